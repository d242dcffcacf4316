package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gullhaven/gullhaven/operate"
)

// cellPadding is the space between columns.
const cellPadding = 2

// table writes aligned rows.
type table struct {
	writer *tabwriter.Writer
}

// newTable starts a table with a title.
func newTable(out io.Writer, title string, columns ...string) *table {
	_, _ = fmt.Fprintf(out, "\n%s\n", title)
	t := &table{writer: tabwriter.NewWriter(out, 0, 0, cellPadding, ' ', 0)}
	t.row(columns...)
	return t
}

// row adds a row.
func (t *table) row(cells ...string) {
	_, _ = fmt.Fprintln(t.writer, "  "+strings.Join(cells, "\t"))
}

// end writes the table.
func (t *table) end() { _ = t.writer.Flush() }

// printStatus writes the tables of a status.
func printStatus(out io.Writer, s *operate.Status, now time.Time) {
	_, _ = fmt.Fprintf(out, "%s in %s at %s: bundle version %d, digest %s\n",
		s.Instance, s.Region, s.Time.Format(time.RFC3339), s.Bundle.Version, s.Bundle.Digest)
	_, _ = fmt.Fprintf(out, "leader: %s\n", leader(s.Leader))
	printRegions(out, s, now)
	printVoters(out, s)
	printInstances(out, s)
	printTargets(out, s)
	printServices(out, s)
}

// leader is one line.
func leader(l *operate.LeaderStatus) string {
	if l == nil {
		return "none known"
	}
	return fmt.Sprintf("%s, term %d, lease %d ms", l.Instance, l.Term, l.LeaseMillis)
}

// printRegions says who is behind, and since when.
func printRegions(out io.Writer, s *operate.Status, now time.Time) {
	t := newTable(out, "REGIONS", "region", "version", "reachable", "leader", "behind")
	for _, region := range s.Regions {
		var behind []string
		for _, b := range region.Behind {
			age := now.Sub(b.Since).Truncate(time.Second)
			behind = append(behind, fmt.Sprintf("%s on %d for %s", b.Instance, b.Version, age))
		}
		t.row(region.Region, fmt.Sprint(region.Version), yes(region.Reachable), leader(region.Leader), list(behind))
	}
	t.end()
}

func printVoters(out io.Writer, s *operate.Status) {
	t := newTable(out, "VOTERS", "instance", "region", "state", "disk", "index")
	for _, v := range s.Voters {
		t.row(v.Instance, v.Region, v.State, v.Disk, fmt.Sprint(v.Index))
	}
	t.end()
}

func printInstances(out io.Writer, s *operate.Status) {
	t := newTable(out, "INSTANCES", "instance", "region", "zone", "state", "version")
	for _, i := range s.Instances {
		t.row(i.Instance, i.Region, i.Zone, i.State, fmt.Sprint(i.Version))
	}
	t.end()
}

func printTargets(out io.Writer, s *operate.Status) {
	t := newTable(out, "TARGETS", "target", "service", "region", "zone", "state", "running", "waiting")
	for _, x := range s.Targets {
		t.row(x.Target, x.Service, x.Region, x.Zone, x.State, fmt.Sprint(x.Running), fmt.Sprint(x.Waiting))
	}
	t.end()
}

func printServices(out io.Writer, s *operate.Status) {
	t := newTable(out, "SERVICES (first byte in ms)", "service", "region", "window", "requests", "refused",
		"sent away", "cost", "p50", "p90", "p99", "p99.9")
	for _, x := range s.Services {
		q := x.FirstByte
		t.row(x.Service, x.Region, fmt.Sprintf("%.0f s", x.WindowSeconds), fmt.Sprint(x.Requests), fmt.Sprint(x.Refused),
			fmt.Sprintf("%.2f%%", x.SentAway*100), fmt.Sprintf("%.1f", x.Cost),
			millis(q.P50), millis(q.P90), millis(q.P99), millis(q.P999))
	}
	t.end()
}

func millis(v float64) string { return fmt.Sprintf("%.1f", v) }

func yes(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}

func list(items []string) string {
	if len(items) == 0 {
		return "-"
	}
	return strings.Join(items, "; ")
}
