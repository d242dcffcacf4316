package cli

import (
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/gullhaven/gullhaven/bundle"
)

var _ = Register(Command{
	Path:  "bundle targets",
	Short: "List the targets of a bundle",
	Long: `Lists targets with service, region, zone, state and address, or only their
addresses for scripts.

Example: gullhaven bundle targets bundle.json --kind model --addresses`,
	New: func(env *Env) flags.Commander { return &bundleTargets{env: env} },
})

// bundleTargets is the command `bundle targets`.
type bundleTargets struct {
	env       *Env
	Kind      string `long:"kind" choice:"model" choice:"plain" description:"only targets of services of this kind"`
	Addresses bool   `long:"addresses" description:"print only addresses, with commas between"`
	Args      struct {
		File string `positional-arg-name:"FILE" description:"bundle, signed or not"`
	} `positional-args:"yes" required:"yes"`
}

// Execute lists the targets in the order of the file.
func (c *bundleTargets) Execute([]string) error {
	signed, err := readChecked(c.Args.File)
	if err != nil {
		return err
	}
	targets := c.targetsOfKind(&signed.Bundle)
	if c.Addresses {
		var addresses []string
		for _, target := range targets {
			addresses = append(addresses, target.Address)
		}
		c.env.Printf("%s\n", strings.Join(addresses, ","))
		return nil
	}
	t := newTable(c.env.Out, "TARGETS", "target", "service", "region", "zone", "state", "address")
	for _, x := range targets {
		t.row(x.ID, x.Service, x.Region, x.Zone, string(x.State), x.Address)
	}
	t.end()
	return nil
}

// targetsOfKind returns the targets of the kind that the options ask for, or all.
func (c *bundleTargets) targetsOfKind(b *bundle.Bundle) []bundle.Target {
	kinds := map[string]bundle.ServiceKind{}
	for _, service := range b.Services {
		kinds[service.ID] = service.Kind
	}
	var chosen []bundle.Target
	for _, target := range b.Targets {
		if c.Kind == "" || string(kinds[target.Service]) == c.Kind {
			chosen = append(chosen, target)
		}
	}
	return chosen
}
