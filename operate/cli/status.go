package cli

import (
	"encoding/json"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/operate"
)

var _ = Register(Command{
	Path:  "status",
	Short: "Show what is in force, who leads and how it is served",
	Long: `Shows the bundle in force in each region and who is behind, leaders and leases,
voters and their disks, instances, targets, cost, tail latency and the share
sent away, as one instance knows them. Lines that begin with "!" tell what to
look at first; with --check the exit code is 1 if there are any.

Example: gullhaven status --to 127.0.0.1:7112 --watch`,
	New: func(env *Env) flags.Commander { return &status{env: env} },
})

// minEvery is the least value of --every, in seconds, so that a watch doesn't load
// the instances.
const minEvery = 0.2

// clearScreen moves to the top of a terminal and clears it.
const clearScreen = "\x1b[H\x1b[2J"

// status is the command `status`.
type status struct {
	env *Env
	connection
	JSON  bool    `long:"json" description:"print JSON, one document a line"`
	Watch bool    `long:"watch" description:"show again until interrupted"`
	Check bool    `long:"check" description:"exit with 1 if something is known to be wrong"`
	Every float64 `long:"every" default:"2" value-name:"SECONDS" description:"time between two looks with --watch"`
}

// Execute prints the status once, or with --watch until interrupted. Errors of the
// instances don't end a watch.
func (c *status) Execute([]string) error {
	client, err := c.newClient(c.env, 1)
	if err != nil {
		return err
	}
	if c.Every < minEvery {
		return errors.Errorf("--every is %g, but must be at least %g", c.Every, minEvery)
	}
	for {
		err := c.show(client)
		if !c.Watch {
			return err
		}
		if err != nil && !errors.Is(err, ErrRefused) {
			c.env.Progress("%v", err)
		}
		if c.env.Sleep(c.env.Context, time.Duration(c.Every*float64(time.Second))) != nil {
			return nil
		}
	}
}

// show reads and prints the status once.
func (c *status) show(client *operate.Client) error {
	status, err := client.Status(c.env.Context)
	if err != nil {
		return err
	}
	if err := c.print(status); err != nil {
		return err
	}
	if c.Check && len(status.Problems()) > 0 {
		return ErrRefused
	}
	return nil
}

func (c *status) print(status *operate.Status) error {
	if c.JSON {
		return json.NewEncoder(c.env.Out).Encode(status)
	}
	if c.Watch {
		c.env.Printf(clearScreen)
	}
	printStatus(c.env.Out, status)
	return nil
}
