package cli

import (
	"encoding/json"

	"github.com/jessevdk/go-flags"

	"github.com/gullhaven/gullhaven/bundle"
)

var _ = Register(Command{
	Path:  "bundle diff",
	Short: "List what differs between two bundles",
	Long: `Lists each difference with its path: "+" added, "-" removed, "~" changed.

Example: gullhaven bundle diff bundle.json next.json`,
	New: func(env *Env) flags.Commander { return &bundleDiff{env: env} },
})

// bundleDiff is the command `bundle diff`.
type bundleDiff struct {
	env  *Env
	JSON bool `long:"json" description:"print a JSON list"`
	Args struct {
		A string `positional-arg-name:"A" description:"earlier bundle, signed or not"`
		B string `positional-arg-name:"B" description:"later bundle, signed or not"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the differences of two files.
func (c *bundleDiff) Execute([]string) error {
	a, err := readBundle(c.Args.A)
	if err != nil {
		return err
	}
	b, err := readBundle(c.Args.B)
	if err != nil {
		return err
	}
	changes := bundle.Diff(&a.Bundle, &b.Bundle)
	if c.JSON {
		return json.NewEncoder(c.env.Out).Encode(append([]bundle.Change{}, changes...))
	}
	for _, change := range changes {
		c.env.Printf("%s\n", change)
	}
	c.env.Printf("%d differences\n", len(changes))
	return nil
}
