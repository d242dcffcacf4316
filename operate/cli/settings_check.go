package cli

import (
	"github.com/jessevdk/go-flags"

	"github.com/gullhaven/gullhaven/settings"
)

var _ = Register(Command{
	Path:  "settings check",
	Short: "Check settings of instances and name all faults",
	Long: `Reads settings files and names the path of each wrong field, all at once. Exit
code 1 if there is any.

Example: gullhaven settings check examples/sukmajaya/settings/malang-1.json`,
	New: func(env *Env) flags.Commander { return &settingsCheck{env: env} },
})

// settingsCheck is the command `settings check`.
type settingsCheck struct {
	env  *Env
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"settings of an instance"`
	} `positional-args:"yes" required:"yes"`
}

// Execute checks all files, even after one with faults.
func (c *settingsCheck) Execute([]string) error {
	var result error
	for _, path := range c.Args.Files {
		s, err := settings.Load(path)
		if err != nil {
			c.env.Progress("%v", annotateFile(path, err))
			result = ErrRefused
			continue
		}
		c.env.Printf("%s: %s in %s, %s is without faults\n", path, s.Instance, s.Region, s.Zone)
	}
	return result
}
