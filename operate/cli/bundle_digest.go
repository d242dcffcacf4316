package cli

import (
	"github.com/jessevdk/go-flags"
)

var _ = Register(Command{
	Path:  "bundle digest",
	Short: "Print the digest of a bundle",
	Long: `Prints the digest that operators sign and that the next version names as its
parent.

Example: gullhaven bundle digest bundle.json`,
	New: func(env *Env) flags.Commander { return &bundleDigest{env: env} },
})

// bundleDigest is the command `bundle digest`.
type bundleDigest struct {
	env  *Env
	Args struct {
		File string `positional-arg-name:"FILE" description:"bundle, signed or not"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the digest.
func (c *bundleDigest) Execute([]string) error {
	signed, err := readBundle(c.Args.File)
	if err != nil {
		return err
	}
	digest, err := signed.Bundle.Digest()
	if err != nil {
		return err
	}
	c.env.Printf("%s\n", digest)
	return nil
}
