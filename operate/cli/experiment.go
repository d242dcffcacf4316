package cli

import (
	"github.com/jessevdk/go-flags"

	"github.com/gullhaven/gullhaven/experiment"
)

// The routing experiment runs in this process and in virtual time, without
// instances or targets.
var _ = Register(Command{
	Path:  "experiment",
	Short: "Measure routing decisions against baselines in virtual time",
	Long: `Feed seeded traces of arrivals to the routing decisions and to plain balancers,
and compare tail latency, share in time, cost and share sent away. The same
seeds give the same table. A whole run takes a few minutes of processor time.

Example: gullhaven experiment --workload sukmajaya --load 0.8 --fault all_lost --json out.json --plot out`,
	New: func(env *Env) flags.Commander { return &experiment.Command{Out: env.Out} },
})
