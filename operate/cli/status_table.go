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

// table writes rows with aligned columns.
type table struct {
	writer *tabwriter.Writer
}

// newTable starts a table with a title and headers.
func newTable(out io.Writer, title string, columns ...string) *table {
	_, _ = fmt.Fprintf(out, "\n%s\n", title)
	t := &table{writer: tabwriter.NewWriter(out, 0, 0, cellPadding, ' ', 0)}
	t.row(columns...)
	return t
}

func (t *table) row(cells ...string) {
	_, _ = fmt.Fprintln(t.writer, "  "+strings.Join(cells, "\t"))
}

// end writes the rows.
func (t *table) end() { _ = t.writer.Flush() }

// printStatus writes the tables of a status. Voters and services that the instance
// doesn't report have no table.
func printStatus(out io.Writer, s *operate.Status) {
	_, _ = fmt.Fprintf(out, "%s in %s, %s (%s), up %s, %d requests under way\n", s.Instance, s.Region, s.Zone,
		strings.Join(s.Roles, ", "), millisText(s.UptimeMillis), s.InFlight)
	_, _ = fmt.Fprintf(out, "bundle: version %d, digest %s\n", s.Version, s.Digest)
	_, _ = fmt.Fprintf(out, "leader: %s\n", leaderText(s.Leader, s.Lease))
	printProblems(out, s.Problems())
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

// leaderText returns a leader with its term and the rest of its lease, if known.
func leaderText(name string, l *operate.LeaseStatus) string {
	if l == nil {
		return orNone(name)
	}
	return fmt.Sprintf("%s (term %d, lease %d ms)", l.Instance, l.Term, l.RemainingMillis)
}

// printProblems writes a line with "!" for each problem.
func printProblems(out io.Writer, problems []string) {
	for _, line := range problems {
		_, _ = fmt.Fprintf(out, "! %s\n", line)
	}
}

// printRegions writes the version of each region and the instances that lag.
func printRegions(out io.Writer, s *operate.Status) {
	t := newTable(out, "REGIONS", "region", "version", "state", "heard", "leader", "lagging")
	for _, region := range s.Regions {
		var lagging []string
		for _, i := range region.Lagging {
			lagging = append(lagging, fmt.Sprintf("%s on %d for %s", i.Instance, i.Version, millisText(i.ForMillis)))
		}
		t.row(region.Region, fmt.Sprint(region.Version), regionStateText(region), millisText(region.AgeMillis)+" ago",
			leaderText("", region.Lease), orNone(strings.Join(lagging, "; ")))
	}
	t.end()
}

func regionStateText(r operate.RegionStatus) string {
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

// millisText formats milliseconds as a duration; from a minute on, in whole seconds.
func millisText(millis int64) string {
	d := time.Duration(millis) * time.Millisecond
	if d >= time.Minute {
		d = d.Truncate(time.Second)
	}
	return d.String()
}

// orNone returns "-" for an empty text.
func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return strings.TrimSpace(text)
}
