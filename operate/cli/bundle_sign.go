package cli

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"os"
	"slices"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/bundle"
)

var _ = Register(Command{
	Path:  "bundle sign",
	Short: "Add an operator's sign-off to a bundle",
	Long: `Checks a bundle and adds a sign-off. Pass the output on to the next operator
until there are as many sign-offs as the bundle in force asks for.

Example: gullhaven bundle sign bundle.json --operator ayu --key ayu.key --out signed.json`,
	New: func(env *Env) flags.Commander { return &bundleSign{env: env} },
})

// bundleSign is the command `bundle sign`.
type bundleSign struct {
	env      *Env
	Operator string `long:"operator" required:"yes" value-name:"ID" description:"id of the operator in the bundle in force"`
	Key      string `long:"key" required:"yes" value-name:"FILE" description:"private key made by keygen operator"`
	Out      string `long:"out" required:"yes" value-name:"FILE" description:"file to write"`
	Args     struct {
		File string `positional-arg-name:"FILE" description:"bundle, signed by others or not"`
	} `positional-args:"yes" required:"yes"`
}

// Execute signs the file. A bundle with faults is not signed.
func (c *bundleSign) Execute([]string) error {
	key, err := readOperatorKey(c.Key)
	if err != nil {
		return err
	}
	signed, err := readChecked(c.Args.File)
	if err != nil {
		return err
	}
	id, err := signed.Bundle.Identity()
	if err != nil {
		return err
	}
	own := func(s bundle.Signature) bool { return s.Operator == c.Operator }
	signed.Signatures = append(slices.DeleteFunc(signed.Signatures, own), bundle.Sign(id, c.Operator, key))
	data, err := bundle.EncodeSigned(signed)
	if err != nil {
		return err
	}
	if err := writeFile(c.Out, data, publicMode); err != nil {
		return err
	}
	c.env.Printf("version %d, digest %s: %d sign-offs\n", id.Version, id.Digest, len(signed.Signatures))
	return nil
}

// readOperatorKey reads an Ed25519 private key in PEM form.
func readOperatorKey(path string) (ed25519.PrivateKey, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != operatorKeyBlock {
		return nil, errors.Errorf("%s has no private key in PEM form", path)
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, annotateFile(path, err)
	}
	private, ok := key.(ed25519.PrivateKey)
	if !ok {
		return nil, errors.Errorf("%s has a key of type %T, not Ed25519", path, key)
	}
	return private, nil
}
