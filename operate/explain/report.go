package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Counts are numbers of requests by cause.
type Counts map[Cause]int

// Total returns the number of requests.
func (c Counts) Total() int {
	total := 0
	for _, n := range c {
		total += n
	}
	return total
}

// CountsByName are counts by region, route or workspace.
type CountsByName map[string]Counts

// cloneCounts copies counts by name or by second.
func cloneCounts[K comparable](c map[K]Counts) map[K]Counts {
	out := make(map[K]Counts, len(c))
	for key, counts := range c {
		out[key] = maps.Clone(counts)
	}
	return out
}

func (c CountsByName) count(name string, cause Cause) {
	if c[name] == nil {
		c[name] = Counts{}
	}
	c[name][cause]++
}

// Second is the requests whose end was logged in one second.
type Second struct {
	At     time.Time `json:"at"`
	Causes Counts    `json:"causes"`
}

// Percentiles are of times in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50_ms"`
	P90 float64 `json:"p90_ms"`
	P99 float64 `json:"p99_ms"`
}

// Waits compares expected and actual times to the first event of served requests.
type Waits struct {
	// Requests had an expected wait, Later of them waited longer than that. Unexpected had none.
	Requests   int `json:"requests"`
	Later      int `json:"later"`
	Unexpected int `json:"without_expected_wait"`
	// Excess is by how much the actual wait was longer than expected, 0 if it wasn't.
	Expected Percentiles `json:"expected"`
	Actual   Percentiles `json:"actual"`
	Excess   Percentiles `json:"excess"`
}

// Report is the counts of a Counter.
type Report struct {
	Lines           int `json:"lines"`
	UnreadableLines int `json:"unreadable_lines"`
	// MissingReports is the number of lines that report missing ones, MissingLeftOut and MissingDropped
	// the lines that these report as left out (ordinary outcomes) and dropped (any lines).
	MissingReports int `json:"missing_reports"`
	MissingLeftOut int `json:"missing_left_out"`
	MissingDropped int `json:"missing_dropped"`
	// RequestsKept is the number of requests that are kept, at most MaxRequests. LimitReached says that
	// LinesBeyondLimit lines were about other requests, which are not counted.
	RequestsKept     int  `json:"requests_kept"`
	MaxRequests      int  `json:"max_requests"`
	LimitReached     bool `json:"limit_reached"`
	LinesBeyondLimit int  `json:"lines_beyond_limit"`

	Served    int `json:"served"`
	NotServed int `json:"not_served"`
	// CallersLeft and NoEnd are requests whose lines state no end; the callers of the former left.
	CallersLeft int `json:"callers_left"`
	NoEnd       int `json:"no_end"`
	// NoEndServed are those of NoEnd that another instance served: most of them were served to their
	// callers, too, and the line was left out.
	NoEndServed int `json:"no_end_served_elsewhere"`

	Waits      Waits        `json:"waits"`
	Causes     Counts       `json:"causes"`
	Regions    CountsByName `json:"regions"`
	Routes     CountsByName `json:"routes"`
	Workspaces CountsByName `json:"workspaces"`
	// Seconds are in the order of time. Those without such a request are left out.
	Seconds []Second `json:"seconds"`

	// seconds holds Seconds by Unix time while it is counted.
	seconds map[int64]Counts
}

// count counts a request that was not served.
func (r *Report) count(cause Cause, at time.Time, region, route, workspace string) {
	r.NotServed++
	r.Causes[cause]++
	r.Regions.count(region, cause)
	r.Routes.count(route, cause)
	r.Workspaces.count(workspace, cause)
	second := at.Unix()
	if r.seconds[second] == nil {
		r.seconds[second] = Counts{}
	}
	r.seconds[second][cause]++
}

// sortSeconds sets Seconds.
func (r *Report) sortSeconds() {
	r.Seconds = make([]Second, 0, len(r.seconds))
	for _, second := range slices.Sorted(maps.Keys(r.seconds)) {
		r.Seconds = append(r.Seconds, Second{time.Unix(second, 0).UTC(), r.seconds[second]})
	}
}

// maxRows bounds the rows of a table by name. JSON has all.
const maxRows = 50

// Write prints the report as text.
func (r Report) Write(w io.Writer) error {
	var b strings.Builder
	r.writeTotals(&b)
	r.writeCauses(&b)
	var used []Cause
	for _, cause := range Causes {
		if r.Causes[cause] > 0 {
			used = append(used, cause)
		}
	}
	if len(used) > 0 {
		writeByName(&b, "BY REGION", "region", used, r.Regions)
		writeByName(&b, "BY ROUTE", "route", used, r.Routes)
		writeByName(&b, "BY WORKSPACE", "workspace", used, r.Workspaces)
		t := newCountTable(&b, "BY SECOND", "second (UTC)", used)
		for _, s := range r.Seconds {
			t.row(s.At.Format(time.DateTime), s.Causes)
		}
		t.end()
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// writeTotals writes what was read, and how many requests ended in which way.
func (r Report) writeTotals(b *strings.Builder) {
	fmt.Fprintf(b, "%d lines read, %d unreadable\n", r.Lines, r.UnreadableLines)
	fmt.Fprintf(b, "log lines missing: %d left out, %d dropped, in %d reports\n", r.MissingLeftOut, r.MissingDropped, r.MissingReports)
	if r.LimitReached {
		fmt.Fprintf(b, "limit of %d requests reached: %d lines about other requests are not counted\n", r.MaxRequests, r.LinesBeyondLimit)
	}
	fmt.Fprintf(b, "requests: %d served, %d not served, %d left by their callers, %d without a logged end (%d of them served by another instance)\n",
		r.Served, r.NotServed, r.CallersLeft, r.NoEnd, r.NoEndServed)
	fmt.Fprintf(b, "waits of %d served requests (%d had no expected wait): %d waited longer than expected\n", r.Waits.Requests, r.Waits.Unexpected, r.Waits.Later)
	t := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "ms\tp50\tp90\tp99\t")
	for _, row := range []struct {
		name string
		p    Percentiles
	}{{"expected", r.Waits.Expected}, {"actual", r.Waits.Actual}, {"excess", r.Waits.Excess}} {
		_, _ = fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%.0f\t\n", row.name, row.p.P50, row.p.P90, row.p.P99)
	}
	_ = t.Flush()
}

// writeCauses writes the requests by cause, the most frequent first.
func (r Report) writeCauses(b *strings.Builder) {
	order := slices.Clone(Causes)
	slices.SortStableFunc(order, func(x, y Cause) int { return cmp.Compare(r.Causes[y], r.Causes[x]) })
	fmt.Fprintf(b, "\nBY CAUSE\n")
	t := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "cause\trequests\tshare\t")
	for _, cause := range order {
		if n := r.Causes[cause]; n > 0 {
			_, _ = fmt.Fprintf(t, "%s\t%d\t%.1f%%\t\n", cause, n, 100*float64(n)/float64(r.NotServed))
		}
	}
	_ = t.Flush()
}

// writeByName writes counts by name, the largest first.
func writeByName(b *strings.Builder, title, column string, used []Cause, counts CountsByName) {
	names := sortedKeys(counts)
	slices.SortStableFunc(names, func(x, y string) int { return cmp.Compare(counts[y].Total(), counts[x].Total()) })
	t := newCountTable(b, title, column, used)
	for _, name := range names[:min(len(names), maxRows)] {
		t.row(name, counts[name])
	}
	t.end()
	if more := len(names) - maxRows; more > 0 {
		fmt.Fprintf(b, "and %d more, which --json prints\n", more)
	}
}

// countTable is a table with a column for each cause that occurs.
type countTable struct {
	w    *tabwriter.Writer
	used []Cause
}

func newCountTable(b *strings.Builder, title, column string, used []Cause) countTable {
	fmt.Fprintf(b, "\n%s\n", title)
	t := countTable{tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight), used}
	_, _ = fmt.Fprintf(t.w, "%s\tall", column)
	for _, cause := range used {
		_, _ = fmt.Fprintf(t.w, "\t%s", cause)
	}
	_, _ = fmt.Fprintln(t.w, "\t")
	return t
}

func (t countTable) row(name string, counts Counts) {
	_, _ = fmt.Fprintf(t.w, "%s\t%d", name, counts.Total())
	for _, cause := range t.used {
		_, _ = fmt.Fprintf(t.w, "\t%d", counts[cause])
	}
	_, _ = fmt.Fprintln(t.w, "\t")
}

func (t countTable) end() { _ = t.w.Flush() }
