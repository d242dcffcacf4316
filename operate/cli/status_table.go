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

// printStatus writes the tables of a status; a part that the instance doesn't
// report has no table.
func printStatus(out io.Writer, s *operate.Status) {
	_, _ = fmt.Fprintf(out, "%s in %s, %s (%s), up %s, %d requests under way\n", s.Instance, s.Region, s.Zone,
		strings.Join(s.Roles, ", "), millisText(s.UptimeMillis), s.InFlight)
	_, _ = fmt.Fprintf(out, "bundle: version %d, digest %s\n", s.Version, s.Digest)
	_, _ = fmt.Fprintf(out, "leader: %s\n", leader(s.Leader, s.Lease))
	printTrouble(out, s.Problems())
	printRegions(out, s)
	if len(s.Voters) > 0 {
		printVoters(out, s)
	}
	printInstances(out, s)
	printTargets(out, s)
	if len(s.Services) > 0 {
		printServices(out, s)
	}
}

// leader names a leader, with what is left of its lease where that is known.
func leader(name string, l *operate.LeaseStatus) string {
	if l == nil {
		return orNone(name)
	}
	return fmt.Sprintf("%s (term %d, lease %d ms)", l.Instance, l.Term, l.RemainingMillis)
}

// printTrouble tells what to look at first.
func printTrouble(out io.Writer, trouble []string) {
	for _, line := range trouble {
		_, _ = fmt.Fprintf(out, "! %s\n", line)
	}
}

// printRegions says who is behind, and for how long.
func printRegions(out io.Writer, s *operate.Status) {
	t := newTable(out, "REGIONS", "region", "version", "state", "heard", "leader", "lagging")
	for _, region := range s.Regions {
		var lagging []string
		for _, i := range region.Lagging {
			lagging = append(lagging, fmt.Sprintf("%s on %d for %s", i.Instance, i.Version, millisText(i.ForMillis)))
		}
		t.row(region.Region, fmt.Sprint(region.Version), regionState(region), millisText(region.AgeMillis)+" ago",
			leader("", region.Lease), orNone(strings.Join(lagging, "; ")))
	}
	t.end()
}

// regionState is one word or two.
func regionState(r operate.RegionStatus) string {
	switch {
	case !r.Reachable:
		return "cut off"
	case r.Behind:
		return "behind"
	default:
		return "in force"
	}
}

func printVoters(out io.Writer, s *operate.Status) {
	t := newTable(out, "VOTERS", "instance", "region", "state", "disk", "index")
	for _, v := range s.Voters {
		t.row(v.Instance, v.Region, v.State, v.Disk, fmt.Sprint(v.Index))
	}
	t.end()
}

func printInstances(out io.Writer, s *operate.Status) {
	t := newTable(out, "INSTANCES", "instance", "region", "zone", "state")
	for _, i := range s.Instances {
		t.row(i.ID, i.Region, i.Zone, i.State)
	}
	t.end()
}

func printTargets(out io.Writer, s *operate.Status) {
	t := newTable(out, "TARGETS", "target", "service", "state", "running", "waiting", "heard")
	for _, x := range s.Targets {
		t.row(x.ID, x.Service, x.State, fmt.Sprint(x.Running), fmt.Sprint(x.Waiting), millisText(x.AgeMillis)+" ago")
	}
	t.end()
}

func printServices(out io.Writer, s *operate.Status) {
	t := newTable(out, "SERVICES (first byte in ms)", "service", "region", "window", "requests", "refused",
		"failed", "sent away", "target s", "cost", "p50", "p90", "p99", "p99.9")
	for _, x := range s.Services {
		q := x.FirstByte
		t.row(x.Service, x.Region, fmt.Sprintf("%.0f s", x.WindowSeconds), fmt.Sprint(x.Requests), fmt.Sprint(x.Refused),
			fmt.Sprint(x.Failed), fmt.Sprintf("%.2f%%", x.SpillShare*100), fmt.Sprintf("%.1f", x.TargetSeconds), fmt.Sprintf("%.1f", x.Cost),
			millis(q.P50), millis(q.P90), millis(q.P99), millis(q.P999))
	}
	t.end()
}

func millis(v float64) string { return fmt.Sprintf("%.1f", v) }

// millisText is a time for people.
func millisText(millis int64) string {
	d := time.Duration(millis) * time.Millisecond
	if d >= time.Minute {
		d = d.Truncate(time.Second)
	}
	return d.String()
}

// orNone stands for an empty cell.
func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return strings.TrimSpace(text)
}
