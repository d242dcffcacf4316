package cli

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/base64"
	"encoding/json"
	"encoding/pem"

	"github.com/jessevdk/go-flags"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/bundle/strict"
)

// operatorKeyBlock is the PEM type of operators' private keys.
const operatorKeyBlock = "PRIVATE KEY"

var _ = Register(Command{
	Path:  "keygen operator",
	Short: "Make the key pair of an operator",
	Long: `Writes the private key, readable by its owner alone, and prints the operator as
it stands in a bundle and in the settings' bootstrap. With --public it prints
that of a key made before.

Example: gullhaven keygen operator ayu --key ayu.key`,
	New: func(env *Env) flags.Commander { return &keygenOperator{env: env} },
})

// keygenOperator is the command `keygen operator`.
type keygenOperator struct {
	env    *Env
	Key    string `long:"key" required:"yes" value-name:"FILE" description:"file of the private key; never replaced"`
	Public bool   `long:"public" description:"make nothing, print the operator of an existing key"`
	Args   struct {
		ID string `positional-arg-name:"ID" description:"id of the operator"`
	} `positional-args:"yes" required:"yes"`
}

// Execute makes or reads a key and prints the operator.
func (c *keygenOperator) Execute([]string) error {
	if err := strict.CheckID(c.Args.ID); err != nil {
		return err
	}
	if !c.Public {
		if err := writeOperatorKey(c.Key); err != nil {
			return err
		}
	}
	key, err := readOperatorKey(c.Key)
	if err != nil {
		return err
	}
	public := key.Public().(ed25519.PublicKey)
	operator := bundle.Operator{ID: c.Args.ID, PublicKey: base64.StdEncoding.EncodeToString(public)}
	return json.NewEncoder(c.env.Out).Encode(operator)
}

// writeOperatorKey makes a private key and writes it to a new file.
func writeOperatorKey(path string) error {
	_, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	data := pem.EncodeToMemory(&pem.Block{Type: operatorKeyBlock, Bytes: der})
	return writeNewFile(path, data, privateMode)
}
