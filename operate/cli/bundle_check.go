package cli

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/gullhaven/gullhaven/bundle"
)

var _ = Register(Command{
	Path:  "bundle check",
	Short: "Check a bundle and name all faults",
	Long: `Reads a bundle, signed or not, and names the path of each wrong field, all at
once. Exit code 1 if there is any.

Example: gullhaven bundle check examples/sukmajaya/bundle.json`,
	New: func(env *Env) flags.Commander { return &bundleCheck{env: env} },
})

// bundleCheck is the command `bundle check`.
type bundleCheck struct {
	env  *Env
	Args struct {
		File string `positional-arg-name:"FILE" description:"bundle, signed or not"`
	} `positional-args:"yes" required:"yes"`
}

// Execute checks the file.
func (c *bundleCheck) Execute([]string) error {
	signed, err := readChecked(c.Args.File)
	if err != nil {
		return err
	}
	b := &signed.Bundle
	c.env.Printf("version %d is without faults: %d regions, %d models, %d services, %d targets, %d workspaces\n",
		b.Version, len(b.Regions), len(b.Models), len(b.Services), len(b.Targets), len(b.Workspaces))
	return nil
}

// readChecked reads a bundle; one with faults is an error that lists them.
func readChecked(path string) (*bundle.Signed, error) {
	signed, err := readBundle(path)
	if err != nil {
		return nil, err
	}
	if problems := bundle.Check(&signed.Bundle); len(problems) > 0 {
		return nil, fmt.Errorf("%s: %d faults\n%w", path, len(problems), problems)
	}
	return signed, nil
}
