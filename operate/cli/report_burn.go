package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/metrics/burn"
	"github.com/gullhaven/gullhaven/operate"
	"github.com/gullhaven/gullhaven/operate/burnpage"
)

var _ = Register(Command{
	Path:  "report burn",
	Short: "Report how fast services use up their error budgets, and why",
	Long: `Asks all given instances at once, joins what they have seen in the last six
hours, and shows for each service, region and the workspaces that miss most how
fast the error budget of the objective in the bundle is used up. At rate 1 it is
used up exactly; "fast" is 14.4 over an hour and 5 minutes, "slow" is 6 over six
hours and 30 minutes.

An instance that doesn't answer is named; what only it has seen is missing then.
With --fail-on the exit code is 1 if a verdict is that grave or graver.

Example: gullhaven report burn --to 127.0.0.1:7102 --to 127.0.0.1:7112 --html burn.html`,
	New: func(env *Env) flags.Commander { return &reportBurn{env: env} },
})

// reportBurn is the command `report burn`.
type reportBurn struct {
	env *Env
	connection
	JSON   bool   `long:"json" description:"print JSON"`
	HTML   string `long:"html" value-name:"FILE" description:"also write a self-contained HTML page with plots"`
	FailOn string `long:"fail-on" choice:"slow" choice:"fast" description:"exit with 1 if a verdict is this grave or graver"`
}

// Execute asks the instances and prints the report.
func (c *reportBurn) Execute([]string) error {
	client, err := c.newClient(c.env, 1)
	if err != nil {
		return err
	}
	report, err := client.Burn(c.env.Context)
	if err != nil {
		return err
	}
	for _, s := range report.Unreachable {
		c.env.Progress("%s did not answer: %s", s.Address, s.Error)
	}
	if err := c.write(report); err != nil {
		return err
	}
	worst := report.Worst()
	if worst == burn.Fast && c.FailOn != "" || worst == burn.Slow && c.FailOn == string(burn.Slow) {
		return ErrRefused
	}
	return nil
}

// write writes the report in the formats that the options ask for.
func (c *reportBurn) write(report *operate.BurnReport) error {
	if c.HTML != "" {
		if err := c.writePage(report); err != nil {
			return err
		}
	}
	if c.JSON {
		return json.NewEncoder(c.env.Out).Encode(report)
	}
	c.print(report)
	return nil
}

func (c *reportBurn) writePage(report *operate.BurnReport) error {
	file, err := os.Create(c.HTML)
	if err != nil {
		return err
	}
	if err := burnpage.Write(file, report.Report, unreachableAddresses(report)); err != nil {
		_ = file.Close()
		return errors.Annotate(err, c.HTML)
	}
	return file.Close()
}

func unreachableAddresses(report *operate.BurnReport) []string {
	var names []string
	for _, s := range report.Unreachable {
		names = append(names, s.Address)
	}
	return names
}

// print prints the table.
func (c *reportBurn) print(report *operate.BurnReport) {
	c.env.Printf("burn at %s by bundle version %d, seen by %s\n", report.At.UTC().Format(time.RFC3339), report.Version,
		orNone(strings.Join(report.Instances, ", ")))
	columns := []string{"service", "region", "workspace", "verdict"}
	for _, w := range burn.Windows {
		columns = append(columns, windowName(w))
	}
	t := newTable(c.env.Out, "BURN RATE", append(columns, "missed of requests in 6h", "by cause")...)
	for _, row := range report.Rows {
		t.row(burnRow(row)...)
	}
	t.end()
	if len(report.Unreachable) > 0 {
		c.env.Printf("\nnot answered: %s\n", strings.Join(unreachableAddresses(report), ", "))
	}
}

func burnRow(row burn.Row) []string {
	cells := []string{row.Service, orAll(row.Region), orAll(row.Workspace), string(row.Verdict)}
	for _, w := range row.Windows {
		cells = append(cells, fmt.Sprintf("%.2f", w.Rate))
	}
	longest := row.Windows[len(row.Windows)-1]
	var causes []string
	for _, m := range row.Causes {
		causes = append(causes, fmt.Sprintf("%s %d", m.Cause, m.Requests))
	}
	return append(cells, fmt.Sprintf("%d of %d", longest.Missed, longest.Requests), orNone(strings.Join(causes, ", ")))
}

func orAll(text string) string {
	if text == "" {
		return "all"
	}
	return text
}

// windowName formats a window, such as 30m or 6h.
func windowName(d time.Duration) string {
	if d < time.Hour {
		return fmt.Sprintf("%dm", int(d.Minutes()))
	}
	return fmt.Sprintf("%dh", int(d.Hours()))
}
