package cli

import (
	"github.com/jessevdk/go-flags"

	"github.com/gullhaven/gullhaven/bundle"
)

var _ = Register(Command{
	Path:  "bundle next",
	Short: "Start the next version of a bundle",
	Long: `Writes a copy with the next version, whose parent is the given bundle, to be
edited, signed and rolled.

Example: gullhaven bundle next bundle.json --out next.json --note "drain briefing-3"`,
	New: func(env *Env) flags.Commander { return &bundleNext{env: env} },
})

// bundleNext is the command `bundle next`.
type bundleNext struct {
	env  *Env
	Out  string `long:"out" required:"yes" value-name:"FILE" description:"file to write"`
	Note string `long:"note" value-name:"TEXT" description:"line for people"`
	Args struct {
		File string `positional-arg-name:"FILE" description:"bundle in force, signed or not"`
	} `positional-args:"yes" required:"yes"`
}

// Execute writes the next version.
func (c *bundleNext) Execute([]string) error {
	signed, err := readBundle(c.Args.File)
	if err != nil {
		return err
	}
	next := signed.Bundle
	next.Parent, err = signed.Bundle.Digest()
	if err != nil {
		return err
	}
	next.Version++
	next.Note = c.Note
	data, err := bundle.Encode(&next)
	if err != nil {
		return err
	}
	return writeFile(c.Out, data, publicMode)
}
