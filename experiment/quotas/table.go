package quotas

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/gullhaven/gullhaven/coord/limit"
	"github.com/gullhaven/gullhaven/node/quota"
)

// duration is the virtual time of a simulation: each region has its peak, and the first one has
// a second one.
const duration = 48 * time.Second

// tolerance is how much may pass beyond a limit in a window.
var tolerance = quota.Tolerance{Window: window, Share: 0.1, Units: 110_000}

// allowedExcess returns how much more than the limit's allowance may pass in a window, as a
// fraction of the allowance.
func (l *Load) allowedExcess() float64 { return tolerance.Share + tolerance.Units/l.allowance() }

// Pattern is a load with its name.
type Pattern struct {
	Name string
	Load Load
}

// Patterns returns the simulated loads: workspaces of three sizes in normal use and in a flood,
// and one whose limit was lowered.
func Patterns() []Pattern {
	of := func(rate, mean, hot float64) Load {
		return Load{Limit: limit.Limit{Rate: rate, Burst: rate}, Mean: mean, FloodFactor: hot, FloodAt: 6 * time.Second, FloodDuration: 9 * time.Second}
	}
	const flood = 6
	return []Pattern{
		{"large", of(1_170_000, 650_000, 0)},
		{"middle", of(186_000, 103_000, 0)},
		{"small", of(29_000, 16_000, 0)},
		{"large-flood", of(1_170_000, 650_000, flood)},
		{"middle-flood", of(186_000, 103_000, flood)},
		{"small-flood", of(29_000, 16_000, flood)},
		{"lowered", of(186_000, 300_000, 0)},
	}
}

// NamedScheme is a scheme with its name.
type NamedScheme struct {
	Name string
	New  func(l *Load) Scheme
}

// Schemes are the compared schemes.
var Schemes = []NamedScheme{
	{"each-instance", func(l *Load) Scheme { return NewShares(l, Instances, tolerance) }},
	{"one-of-a-region", func(l *Load) Scheme { return NewShares(l, 1, tolerance) }},
	{"told-use", func(l *Load) Scheme { return NewUsageBroadcast(l) }},
}

// Mean simulates a load with the seeds from 0 to seeds-1, and returns the mean and the maximum of
// each figure.
func Mean(l Load, w NamedScheme, seeds int) (mean, most Result) {
	n := float64(seeds)
	for seed := range uint64(seeds) {
		r := Simulate(seed, &l, w.New(&l), duration)
		mean.Excess += r.Excess / n
		mean.FalseRefusals += r.FalseRefusals / n
		mean.WorstFalseRefusals += r.WorstFalseRefusals / n
		most.Excess = max(most.Excess, r.Excess)
		most.FalseRefusals = max(most.FalseRefusals, r.FalseRefusals)
		most.WorstFalseRefusals = max(most.WorstFalseRefusals, r.WorstFalseRefusals)
	}
	return mean, most
}

// WriteTable simulates all loads with all schemes and writes a table of their figures.
func WriteTable(out io.Writer, seeds int) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "load\tway\texcess\tmost\tallowed\tneedless\tworst 2 s\tmost")
	for _, p := range Patterns() {
		for _, w := range Schemes {
			mean, most := Mean(p.Load, w, seeds)
			fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.4f\t%.3f\t%.3f\n", p.Name, w.Name,
				mean.Excess, most.Excess, p.Load.allowedExcess(), mean.FalseRefusals, mean.WorstFalseRefusals, most.WorstFalseRefusals)
		}
	}
	return t.Flush()
}
