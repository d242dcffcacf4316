package cli

import (
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/operate"
)

var _ = Register(Command{
	Path:  "bundle roll",
	Short: "Roll a signed bundle and wait until it is in force everywhere",
	Long: `Sends a signed bundle to an instance, to the next one after a failure, and then
prints progress until it is in force in every region. The same bundle can be
sent again at any time, to any instance, and gets the same answer.

Exit code 0: accepted, and in force everywhere unless --no-wait. 1: refused, or
accepted and not in force everywhere in time; the output says which. 3: no
instance answered; send it again.

Example: gullhaven bundle roll signed.json --to 127.0.0.1:7112 --to 127.0.0.1:7122`,
	New: func(env *Env) flags.Commander { return &bundleRoll{env: env} },
})

const (
	// rollRounds is how often all addresses are tried.
	rollRounds = 5
	// pollInterval is the time between two reads of the status.
	pollInterval = 200 * time.Millisecond
)

// bundleRoll is the command `bundle roll`.
type bundleRoll struct {
	env *Env
	connection
	NoWait bool    `long:"no-wait" description:"end as soon as the bundle is accepted"`
	Within float64 `long:"within" default:"60" value-name:"SECONDS" description:"how long to wait until it is in force everywhere"`
	Args   struct {
		File string `positional-arg-name:"FILE" description:"signed bundle"`
	} `positional-args:"yes" required:"yes"`
}

// Execute rolls the bundle and waits as the options say.
func (c *bundleRoll) Execute([]string) error {
	signed, err := readChecked(c.Args.File)
	if err != nil {
		return err
	}
	data, err := bundle.EncodeSigned(signed)
	if err != nil {
		return err
	}
	client, err := c.newClient(c.env, rollRounds)
	if err != nil {
		return err
	}
	result, err := client.Roll(c.env.Context, data)
	if err != nil {
		return err
	}
	c.env.Printf("accepted as version %d, digest %s\n", result.Version, result.Digest)
	if c.NoWait {
		return nil
	}
	return c.wait(client, result.Version)
}

// wait prints the regions that lack the version until none does. A region that is
// cut off can't receive a bundle, so the wait is bounded.
func (c *bundleRoll) wait(client *operate.Client, version uint64) error {
	start := c.env.Now()
	end := start.Add(time.Duration(c.Within * float64(time.Second)))
	shown := ""
	for {
		status, err := client.Status(c.env.Context)
		if err != nil {
			return errors.Annotatef(err, "version %d is accepted, but its progress is unknown", version)
		}
		lacking := status.RegionsWithout(version)
		seconds := c.env.Now().Sub(start).Seconds()
		if len(lacking) == 0 && len(status.Regions) > 0 {
			c.printDone(status, version, seconds)
			return nil
		}
		if line := strings.Join(lacking, ", "); line != shown {
			c.env.Progress("%.1f s: not yet in force in %s", seconds, line)
			shown = line
		}
		if !c.env.Now().Before(end) {
			c.env.Printf("accepted, but after %.1f s not in force in %s\n", seconds, shown)
			return ErrRefused
		}
		if err := c.env.Sleep(c.env.Context, pollInterval); err != nil {
			return err
		}
	}
}

// printDone prints that no region lacks the version. A version that was accepted
// before and is sent again may have been replaced since.
func (c *bundleRoll) printDone(status *operate.Status, version uint64, seconds float64) {
	if status.Version > version {
		c.env.Printf("version %d has replaced it since\n", status.Version)
		return
	}
	c.env.Printf("in force in all %d regions after %.1f s\n", len(status.Regions), seconds)
}
