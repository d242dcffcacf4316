package experiment

import (
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/experiment/quotas"
	"github.com/gullhaven/gullhaven/experiment/replay"
)

// Command is the command line of the experiment, for go-flags. A flag may be
// repeated to give several values; without it all are selected.
type Command struct {
	Workloads []string      `long:"workload" description:"workload to run: sukmajaya or asociacion; all if not given"`
	Loads     []float64     `long:"load" description:"arrivals as a share of the measured capacity, for example 0.8; 0.5, 0.8 and 0.95 if not given"`
	Faults    []Fault       `long:"fault" description:"fault to run; all if not given"`
	Deciders  []string      `long:"decider" description:"decider to run; all but router_whole if not given"`
	Regions   int           `long:"regions" description:"number of regions; those of the workload if not given"`
	Targets   int           `long:"targets" description:"model targets in each region; those of the workload if not given"`
	Seeds     int           `long:"seeds" default:"5" description:"number of seeds"`
	Day       time.Duration `long:"day" default:"400s" description:"length of the compressed day, in virtual time"`
	Workers   int           `long:"workers" default:"5" description:"trials that run at once; the result does not depend on it"`
	JSON      string        `long:"json" description:"file to write all figures to"`
	Plot      string        `long:"plot" description:"prefix of the names of the plots, two for each workload and load"`
	Format    string        `long:"plot-format" default:"svg" description:"format of the plots: svg or png"`
	Late      bool          `long:"late" description:"let requests run on after their deadline; otherwise they are cancelled then"`

	Lone int `long:"lone" default:"1" description:"targets of a region that may be kept free at once for requests that may have killed one; 0 does not look for such requests"`

	Limits bool `long:"limits" description:"ways to keep workspaces within their limits over all instances, in place of the workloads"`

	Patterns []string `long:"pattern" description:"recorded pattern of load to play against the decisions of a site and plain balancers, in place of the workloads; all stands for every one"`

	// Out is where the table is written; nil means standard output.
	Out io.Writer `no-flag:"true"`
}

// Execute runs the experiment, prints the table and writes the requested files.
func (c *Command) Execute(args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("unexpected argument %q", args[0])
	}
	out := c.Out
	if out == nil {
		out = os.Stdout
	}
	if c.Limits {
		return quotas.WriteTable(out, c.Seeds)
	}
	if len(c.Patterns) > 0 {
		return c.replay(out)
	}
	res, err := Run(Options{
		Workloads: c.Workloads, Deciders: c.Deciders, Loads: c.Loads, Faults: c.Faults,
		Seeds: c.Seeds, Day: c.Day, Workers: c.Workers, Late: c.Late, Lone: c.Lone,
		Regions: c.Regions, Targets: c.Targets,
	})
	if err != nil {
		return err
	}
	if err := res.WriteTable(out); err != nil {
		return err
	}
	if c.JSON != "" {
		if err := res.saveJSON(c.JSON); err != nil {
			return err
		}
	}
	if c.Plot == "" {
		return nil
	}
	names, err := res.SavePlots(c.Plot, c.Format)
	for _, n := range names {
		fmt.Fprintln(out, "wrote", n)
	}
	return err
}

// replay simulates recorded patterns.
func (c *Command) replay(out io.Writer) error {
	names := c.Patterns
	if slices.Contains(names, "all") {
		names = replay.Names()
	}
	return replay.WriteTable(out, names, replay.Deciders, c.Seeds)
}

func (res *Result) saveJSON(name string) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	err = res.WriteJSON(f)
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return err
}
