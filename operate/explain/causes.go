package explain

import (
	"cmp"
	"crypto/sha256"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
)

// Messages of the lines that are counted.
const (
	msgServed   = "served"
	msgRefused  = "refused"
	msgBrokeOff = "broke off"
	msgLeft     = "caller left"
	msgLost     = "attempt lost"
	msgFailed   = "attempt failed"
	msgBroken   = "stream broken"
	msgMissing  = "log lines missing"
)

// MaxRequests is the number of requests that are kept: 1,000,000 of them took 582 MB, with what awaits
// garbage collection.
const MaxRequests = 1_000_000

// maxNames and maxNameBytes bound the names of routes, workspaces and instances that are kept. Further
// ones count as furtherName.
const (
	maxNames     = 100_000
	maxNameBytes = 128
	furtherName  = "further"
)

// unknownName stands for a region, route or workspace that no line states.
const unknownName = "unknown"

// noWorkspace stands for a request that has no workspace.
const noWorkspace = "none"

// requestKey identifies a request: the start of the SHA-256 of its ID, so that the length of IDs
// doesn't count.
type requestKey [16]byte

// end is how a request ended at an instance.
type end struct {
	at       time.Time
	message  string
	instance string
	code     verdict.Code
	// expected and actual are the times to the first event of a served request.
	expected, actual time.Duration
}

// compare orders ends by time. The other fields order ends of the same time, so that the order of files
// doesn't matter.
func (e *end) compare(other *end) int {
	return cmp.Or(e.at.Compare(other.at), cmp.Compare(e.instance, other.instance),
		cmp.Compare(e.message, other.message), cmp.Compare(e.code, other.code),
		cmp.Compare(e.expected, other.expected), cmp.Compare(e.actual, other.actual))
}

// latest returns the later one of two ends. The old one may be nil.
func latest(old, e *end) *end {
	if old == nil || e.compare(old) > 0 {
		return e
	}
	return old
}

// request is what the lines state about one request. Ends that no line states are nil.
type request struct {
	// final is the last end that the caller's instance has logged, brokeOff the last line `broke off` of
	// any instance: such lines don't state which one is the caller's.
	final, brokeOff *end
	// lastBreak is the last line `stream broken`.
	lastBreak       *end
	first, firstRun trouble
	// rejection is a rejection that the caller was told, again says that it was told another one.
	rejection *end
	again     bool
	route     string
	workspace string
	// refused says that a refusal was logged, which states a workspace if there is one.
	refused    bool
	callerLeft bool
	// servedElsewhere says that an instance served it to the one that had passed it on.
	servedElsewhere bool
}

// Counter counts the requests that were not served by their first cause. The lines may come in any
// order.
type Counter struct {
	region      func(instance string) string
	maxRequests int
	requests    map[requestKey]*request
	// names holds one copy of each name.
	names map[string]string
	// withoutID is the number of requests without an ID. They count towards maxRequests, so that the
	// counts by name and by second are bounded, too.
	withoutID int
	report    Report
}

// NewCounter returns a counter. region returns the region of an instance, or "" if it isn't known.
// At most maxRequests requests are kept.
func NewCounter(region func(instance string) string, maxRequests int) *Counter {
	return &Counter{
		region: region, maxRequests: maxRequests, requests: map[requestKey]*request{}, names: map[string]string{},
		report: Report{
			MaxRequests: maxRequests, Causes: Counts{}, Regions: CountsByName{}, Routes: CountsByName{}, Workspaces: CountsByName{},
			seconds: map[int64]Counts{},
		},
	}
}

// AddUnreadable counts lines that could not be parsed.
func (c *Counter) AddUnreadable(lines int) { c.report.UnreadableLines += lines }

// Add counts one line.
func (c *Counter) Add(line Line) {
	c.report.Lines++
	switch line.Message {
	case msgMissing:
		c.report.MissingReports++
		c.report.MissingLeftOut += int(line.number("left_out"))
		c.report.MissingDropped += int(line.number("dropped"))
	case msgServed, msgRefused, msgBrokeOff, msgLeft, msgLost, msgFailed, msgBroken:
		if q, ok := c.find(line); ok {
			c.add(q, line)
		}
	}
}

// find returns the request that a line names, and false if there is none or no room for it. A request
// that was refused before its ID was read is counted at once.
func (c *Counter) find(line Line) (*request, bool) {
	id := line.text("id")
	if id == "" && (line.Message != msgRefused || line.flag("passed")) {
		// It can't be assigned to a request, and is no caller's end.
		return nil, false
	}
	sum := sha256.Sum256([]byte(id))
	key := requestKey(sum[:len(requestKey{})])
	q, ok := c.requests[key]
	switch {
	case ok:
		return q, true
	case len(c.requests)+c.withoutID >= c.maxRequests:
		c.report.LinesBeyondLimit++
		return nil, false
	case id == "":
		c.withoutID++
		q = &request{}
		c.add(q, line)
		c.settle(&c.report, q)
		return nil, false
	}
	q = &request{}
	c.requests[key] = q
	return q, true
}

// add adds a line to its request.
func (c *Counter) add(q *request, line Line) {
	cause, ran := troubleOf(line)
	t := trouble{line.At, cause}
	q.first.earliest(t)
	if ran {
		q.firstRun.earliest(t)
	}
	e := &end{at: line.At, message: c.name(line.Message), instance: c.name(line.Instance), code: verdict.Code(c.name(line.text("code")))}
	switch e.code {
	case exchange.CodeCallerLeft:
		q.callerLeft = true
		return
	case exchange.CodeSenderLeft:
		// The instance that had forwarded the request states its end.
		return
	}
	switch line.Message {
	case msgBroken:
		q.lastBreak = latest(q.lastBreak, e)
	case msgBrokeOff:
		q.brokeOff = latest(q.brokeOff, e)
	case msgLeft:
		q.callerLeft = true
	case msgRefused:
		c.addRefused(q, line, e)
	case msgServed:
		if line.flag("passed") {
			q.servedElsewhere = true
		} else {
			e.expected, e.actual = millis(line.number("wait_ms")), seconds(line.number("first"))
			q.final = latest(q.final, e)
		}
	}
}

// addRefused adds a line `refused`. Those of an instance that the request was passed on to are not the
// end of the request, but may be why it found no target.
func (c *Counter) addRefused(q *request, line Line, e *end) {
	// If lines differ, the choice doesn't depend on their order.
	q.route = max(q.route, c.name(line.text("route")))
	if name := line.text("workspace"); name != "" {
		q.workspace = max(q.workspace, c.name(name))
	}
	q.refused = true
	if line.flag("passed") {
		if line.text("verdict") == verdict.NotRun.String() {
			q.first.earliest(trouble{line.At, firstCause(e.code, false, trouble{}, trouble{})})
		}
		return
	}
	// A line that is in two files counts once.
	if line.text("verdict") == verdict.NotRun.String() {
		q.again = q.again || q.rejection != nil && q.rejection.compare(e) != 0
		q.rejection = e
	}
	q.final = latest(q.final, e)
}

// name returns the kept copy of a name.
func (c *Counter) name(name string) string {
	if len(name) > maxNameBytes {
		name = name[:maxNameBytes]
	}
	kept, ok := c.names[name]
	if !ok && len(c.names) >= maxNames {
		return furtherName
	}
	if !ok {
		kept = strings.Clone(name)
		c.names[kept] = kept
	}
	return kept
}

// outcome returns the end of a request, and false if the lines don't state it. A line `broke off` is the
// end unless another instance found its stream broken afterwards and logged no end: that one is the
// caller's, and went on with the request.
func (q *request) outcome() (*end, bool) {
	if q.final != nil {
		return q.final, true
	}
	if q.brokeOff == nil {
		return nil, false
	}
	wentOn := q.lastBreak != nil && q.lastBreak.instance != q.brokeOff.instance && q.lastBreak.at.After(q.brokeOff.at)
	return q.brokeOff, !wentOn
}

// Report returns the counts.
func (c *Counter) Report() Report {
	r := c.report
	r.Causes, r.Regions, r.Routes, r.Workspaces = maps.Clone(r.Causes), cloneCounts(r.Regions), cloneCounts(r.Routes), cloneCounts(r.Workspaces)
	r.seconds = cloneCounts(r.seconds)
	r.RequestsKept = len(c.requests) + c.withoutID
	r.LimitReached = r.LinesBeyondLimit > 0
	expected, actual, late := newWaits(), newWaits(), newWaits()
	for _, q := range c.requests {
		c.settle(&r, q)
		e, ok := q.outcome()
		if !ok || e.message != msgServed {
			continue
		}
		if e.expected <= 0 {
			r.Waits.Unexpected++
			continue
		}
		r.Waits.Requests++
		if e.actual > e.expected {
			r.Waits.Later++
		}
		recordWait(expected, e.expected)
		recordWait(actual, e.actual)
		recordWait(late, max(0, e.actual-e.expected))
	}
	r.Waits.Expected, r.Waits.Actual, r.Waits.Excess = percentiles(expected), percentiles(actual), percentiles(late)
	r.sortSeconds()
	return r
}

// settle counts one request in a report.
func (c *Counter) settle(r *Report, q *request) {
	e, ok := q.outcome()
	switch {
	case !ok && q.callerLeft:
		r.CallersLeft++
	case !ok:
		r.NoEnd++
		if q.servedElsewhere {
			r.NoEndServed++
		}
	case e.message == msgServed:
		r.Served++
	default:
		cause := firstCause(e.code, e.message == msgBrokeOff, q.first.until(e.at), q.firstRun.until(e.at))
		if e.message == msgRefused && q.again {
			cause = CauseRejectedAgain
		}
		workspace := cmp.Or(q.workspace, unknownName)
		if q.workspace == "" && q.refused {
			workspace = noWorkspace
		}
		r.count(cause, e.at, cmp.Or(c.region(e.instance), unknownName), cmp.Or(q.route, unknownName), workspace)
	}
}

// Histograms of waits hold microseconds up to an hour, to two digits.
const (
	maxWait    = time.Hour
	waitDigits = 2
)

func newWaits() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxWait.Microseconds(), waitDigits)
}

// recordWait records a wait; a longer one than maxWait counts as maxWait.
func recordWait(h *hdrhistogram.Histogram, d time.Duration) {
	// Values within the range can't fail.
	_ = h.RecordValue(min(max(d, 0), maxWait).Microseconds())
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(p float64) float64 {
		return float64(h.ValueAtPercentile(p)) / float64(time.Millisecond/time.Microsecond)
	}
	return Percentiles{P50: at(50), P90: at(90), P99: at(99)}
}

// maxNumber bounds the durations that a line may state, in seconds, so that they can be converted.
const maxNumber = float64(maxWait / time.Second)

func seconds(n float64) time.Duration {
	return time.Duration(min(max(n, 0), maxNumber) * float64(time.Second))
}

func millis(n float64) time.Duration { return seconds(n / 1000) }

// sortedKeys returns the keys of a map in order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
