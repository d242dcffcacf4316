package cli

import (
	"encoding/json"
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/gullhaven/gullhaven/operate/capacity"
)

var _ = Register(Command{
	Path:  "capacity",
	Short: "Work out what each role costs at a size",
	Long: `Works out processor time, memory, bytes and messages of each role of an instance
at a size, from the slopes that were measured for this build, and compares them
with the budgets. It meets no instance. Without options it is the planned size.

--slopes lists the slopes with the commands that measure them again.
--report compares what reports of plays say of each role, the middle instance and
the busiest, in place of the table; it may be given more than once.
With --check the exit code is 1 if a budget is exceeded.

Example: gullhaven capacity --instances 720 --targets 1400 --requests 7600`,
	New: func(env *Env) flags.Commander { return newCapacityCommand(env) },
})

// capacityCommand is the command `capacity`.
type capacityCommand struct {
	env           *Env
	Instances     int      `long:"instances" description:"instances of the system"`
	Targets       int      `long:"targets" description:"runners"`
	Accelerators  int      `long:"accelerators" description:"accelerators of the runners"`
	Requests      float64  `long:"requests" description:"requests a second"`
	Tokens        float64  `long:"tokens" description:"generated tokens a second"`
	Workspaces    int      `long:"workspaces" description:"workspaces"`
	Models        int      `long:"models" description:"models in use"`
	Regions       int      `long:"regions" description:"regions"`
	Zones         int      `long:"zones" description:"availability zones"`
	Changes       float64  `long:"changes" description:"changes of the bundle a day"`
	Skew          float64  `long:"skew" description:"capacity of the largest region by that of the smallest"`
	Once          float64  `long:"once" description:"share of requests that run at most once"`
	ClaimLifetime float64  `long:"claim-lifetime" value-name:"SECONDS" description:"lifetime of claims"`
	Voters        int      `long:"voters" description:"voters of the global group"`
	Times         float64  `long:"times" default:"1" description:"grow all but the regions by a factor"`
	JSON          bool     `long:"json" description:"print JSON"`
	Markdown      bool     `long:"markdown" description:"print the tables of docs/CAPACITY.md"`
	Slopes        bool     `long:"slopes" description:"list the slopes and their commands"`
	Reports       []string `long:"report" value-name:"FILE" description:"compare what reports of plays measured"`
	Check         bool     `long:"check" description:"exit with 1 if a budget is exceeded"`
}

// newCapacityCommand makes the command with the planned size as defaults.
func newCapacityCommand(env *Env) *capacityCommand {
	s := capacity.Planned()
	return &capacityCommand{
		env: env, Instances: s.Instances, Targets: s.Targets, Accelerators: s.Accelerators, Requests: s.Requests,
		Tokens: s.Tokens, Workspaces: s.Workspaces, Models: s.Models, Regions: s.Regions, Zones: s.Zones,
		Changes: s.Changes, Skew: s.Skew, Once: s.AtMostOnceShare, ClaimLifetime: s.ClaimLifetime, Voters: s.Voters,
	}
}

func (c *capacityCommand) size() capacity.Size {
	s := capacity.Size{
		Instances: c.Instances, Targets: c.Targets, Accelerators: c.Accelerators, Requests: c.Requests,
		Tokens: c.Tokens, Workspaces: c.Workspaces, Models: c.Models, Regions: c.Regions, Zones: c.Zones,
		Changes: c.Changes, Skew: c.Skew, AtMostOnceShare: c.Once, ClaimLifetime: c.ClaimLifetime, Voters: c.Voters,
	}
	if c.Times == 1 {
		return s
	}
	return s.Times(c.Times)
}

// Execute prints what the options ask for: the table, the slopes or a comparison.
func (c *capacityCommand) Execute([]string) error {
	if c.Slopes {
		return c.listSlopes()
	}
	if len(c.Reports) > 0 {
		return c.compareReports()
	}
	slopes, err := capacity.Recorded()
	if err != nil {
		return err
	}
	report, err := capacity.New(c.size(), slopes)
	if err != nil {
		return err
	}
	if err := c.write(report); err != nil {
		return err
	}
	if c.Check && overBudget(report) {
		return ErrRefused
	}
	return nil
}

func (c *capacityCommand) compareReports() error {
	var reports []*capacity.Run
	for _, path := range c.Reports {
		m, err := capacity.ReadRun(path)
		if err != nil {
			return err
		}
		reports = append(reports, m)
	}
	if c.JSON {
		return json.NewEncoder(c.env.Out).Encode(reports)
	}
	return capacity.CompareRuns(c.env.Out, reports)
}

func (c *capacityCommand) write(report *capacity.Report) error {
	switch {
	case c.JSON:
		return json.NewEncoder(c.env.Out).Encode(report)
	case c.Markdown:
		return report.Write(c.env.Out, capacity.Markdown)
	default:
		return report.Write(c.env.Out, capacity.Text)
	}
}

func overBudget(r *capacity.Report) bool {
	for _, role := range r.Roles {
		if len(role.Over) > 0 {
			return true
		}
	}
	return r.Change.Whole > capacity.BudgetChange || r.SetAside > capacity.BudgetSetAside || r.ClaimTableFullAfter > 0
}

func (c *capacityCommand) listSlopes() error {
	list, err := capacity.List()
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(c.env.Out).Encode(list)
	}
	t := newTable(c.env.Out, "SLOPES", "name", "value", "unit", "date", "command", "note")
	for _, s := range list {
		t.row(s.Name, fmt.Sprintf("%g", s.Value), s.Unit, s.Date, s.Command, s.Note)
	}
	t.end()
	return nil
}
