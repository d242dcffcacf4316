package cli

import (
	"github.com/jessevdk/go-flags"

	"github.com/gullhaven/gullhaven/settings"
)

var _ = Register(Command{
	Path:  "settings addresses",
	Short: "List instances with their addresses",
	Long: `Prints a line for each settings file: instance, region, and the addresses for
callers, instances and operators, with blanks between.

Example: gullhaven settings addresses examples/sukmajaya/settings/malang-1.json`,
	New: func(env *Env) flags.Commander { return &settingsAddresses{env: env} },
})

// settingsAddresses is the command `settings addresses`.
type settingsAddresses struct {
	env  *Env
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"settings of an instance"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints a line for each file.
func (c *settingsAddresses) Execute([]string) error {
	for _, path := range c.Args.Files {
		s, err := settings.Load(path)
		if err != nil {
			return annotateFile(path, err)
		}
		a := s.Advertise
		c.env.Printf("%s %s %s %s %s\n", s.Instance, s.Region, a.Callers, a.Instances, a.Operators)
	}
	return nil
}
