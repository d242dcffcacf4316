package capacity

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Form is the format of a written report.
type Form uint8

// Forms.
const (
	// Text is aligned for a terminal.
	Text Form = iota
	// Markdown is the format of docs/CAPACITY.md.
	Markdown
)

// Write writes the report. The error is the first one of w.
func (r *Report) Write(w io.Writer, form Form) error {
	t := &tableWriter{out: w, form: form}
	s := r.Size
	t.line("%d instances, %d targets, %d accelerators, %.0f requests and %.0f tokens a second, %d workspaces, %d models, %d regions, %d zones, %.0f changes a day.",
		s.Instances, s.Targets, s.Accelerators, s.Requests, s.Tokens, s.Workspaces, s.Models, s.Regions, s.Zones, s.Changes)
	t.line("Largest region: %d instances, %d targets. Assumed: %.3g of the requests run at most once, claims live %.0f s, %d voters.",
		r.Members, r.Targets, s.AtMostOnceShare, s.ClaimLifetime, s.Voters)
	t.line("")
	t.roles(r.Roles)
	t.totals(r.Roles)
	t.line("A change is in force everywhere %.2f s after it was sent (budget %g s): accepting %.2f s, the tree %.2f s, installing on the way %.2f s.",
		r.Change.Whole, BudgetChange, r.Change.Accept, r.Change.Spread, r.Change.Install)
	t.line("")
	t.line("Set aside for control: %d instances (budget %d); %d instances need a disk.", r.SetAside, BudgetSetAside, r.Disks)
	t.line("")
	t.line("Request path, no control: %.1f cores for requests and %.1f for tokens over all instances, %.3f cores an instance of the largest region.",
		r.Path.RequestCores, r.Path.TokenCores, r.Path.PerInstance)
	if r.ClaimTableFullAfter > 0 {
		t.line("")
		t.line("A claim table of %d records is full after %.1f hours, before claims of %.1f hours end: new keys are refused then.",
			maxClaims, r.ClaimTableFullAfter/3600, s.ClaimLifetime/3600)
	}
	return t.err
}

// tableWriter writes lines and keeps the first error.
type tableWriter struct {
	out  io.Writer
	form Form
	err  error
}

func (t *tableWriter) line(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.out, format+"\n", args...)
	}
}

// costColumns are the headers of costCells.
var costColumns = []string{"core", "MB", "sent B/s", "received B/s", "messages/s"}

func costCells(c Cost) []string {
	return []string{
		fmt.Sprintf("%.2f%%", c.CPU*100), fmt.Sprintf("%.2f", c.Memory/1e6),
		fmt.Sprintf("%.0f", c.Sent), fmt.Sprintf("%.0f", c.Received), fmt.Sprintf("%.1f", c.Messages),
	}
}

func (t *tableWriter) roles(roles []Role) {
	rows := [][]string{append([]string{"role", "duty"}, append(costColumns, "mark", "state", "mechanism")...)}
	for _, r := range roles {
		for _, d := range r.Duties {
			row := append([]string{r.Name, d.Name}, costCells(d.Cost)...)
			rows = append(rows, append(row, string(d.Mark), d.State, d.Mechanism))
		}
	}
	t.table(rows)
}

// totals compares the whole cost of each role with the budgets.
func (t *tableWriter) totals(roles []Role) {
	rows := [][]string{append([]string{"an instance that is"}, append(costColumns, "over budget")...)}
	for i, r := range roles {
		name := r.Name
		if i > 0 {
			name = "also " + name
		}
		over := strings.Join(r.Over, ", ")
		if over == "" {
			over = "no"
		}
		rows = append(rows, append(append([]string{name}, costCells(r.Whole)...), over))
	}
	rows = append(rows, []string{"budget", fmt.Sprintf("%.2f%%", BudgetCPU*100), fmt.Sprint(BudgetMemory / 1e6),
		fmt.Sprint(BudgetBytes), fmt.Sprint(BudgetBytes), "", ""})
	t.table(rows)
}

// table writes rows; the first has the headers.
func (t *tableWriter) table(rows [][]string) {
	if t.form == Markdown {
		t.line("| %s |", strings.Join(rows[0], " | "))
		t.line("|%s", strings.Repeat("---|", len(rows[0])))
		for _, row := range rows[1:] {
			t.line("| %s |", strings.Join(row, " | "))
		}
		t.line("")
		return
	}
	if t.err != nil {
		return
	}
	tabs := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(tabs, strings.Join(row, "\t"))
	}
	t.err = tabs.Flush()
	t.line("")
}
