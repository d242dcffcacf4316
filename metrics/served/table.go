package served

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// slotDuration and slotCount define the window of the figures: the current slot so far and
	// the slots before it.
	slotDuration = 2 * time.Minute
	slotCount    = 3
	// unit of the histograms, whose values go up to maxTime with two significant
	// digits: about 18 KB each.
	unit              = 100 * time.Microsecond
	maxTime           = 10 * time.Minute
	significantDigits = 2
	// maxServices bounds the table; requests of further services are counted
	// under Other.
	maxServices = 64
)

// Other is the id under which services beyond the bound are counted.
const Other = "(other)"

// Request is the end of one request.
type Request struct {
	// Service is empty if unknown; the request is not counted then.
	Service string
	// FirstByte is zero if there was no answer.
	FirstByte time.Duration
	// Refused requests were not run; Failed ones may have run.
	Refused, Failed, Spilled bool
	// Forwarded requests came from another instance, which counts them; only their
	// cost is added here.
	Forwarded bool
	// TargetSeconds is the time at targets times the share of a target used; Cost is its price.
	TargetSeconds, Cost float64
}

// Figures has the aggregates of one service over Window.
type Figures struct {
	Service                   string
	Window                    time.Duration
	Requests, Refused, Failed uint64
	// SpilledShare is a share of the requests, 0 to 1.
	SpilledShare        float64
	TargetSeconds, Cost float64
	// Quantiles of the time to the first byte.
	P50, P90, P99, P999 time.Duration
}

// Table aggregates the requests of one instance, in about 54 KB for each service. It
// is safe for concurrent use.
type Table struct {
	started  time.Time
	mu       sync.Mutex
	services map[string]*[slotCount]slot
}

// slot counts the requests that ended in one slotDuration.
type slot struct {
	number                             int64
	requests, refused, failed, spilled uint64
	targetSeconds, cost                float64
	firstByte                          *hdrhistogram.Histogram
}

// NewTable returns an empty table.
func NewTable(now time.Time) *Table {
	return &Table{started: now, services: map[string]*[slotCount]slot{}}
}

// Observe records the end of one request.
func (t *Table) Observe(now time.Time, r Request) {
	if r.Service == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.slotFor(r.Service, now)
	s.targetSeconds += r.TargetSeconds
	s.cost += r.Cost
	if r.Forwarded {
		return
	}
	s.requests++
	s.refused += boolCount(r.Refused)
	s.failed += boolCount(r.Failed)
	s.spilled += boolCount(r.Spilled)
	if r.FirstByte > 0 {
		_ = s.firstByte.RecordValue(int64(min(r.FirstByte, maxTime) / unit)) // within the bounds
	}
}

func boolCount(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

func slotNumber(t time.Time) int64 { return t.UnixNano() / int64(slotDuration) }

// slotFor returns the slot of now, cleared if it was of an earlier time.
func (t *Table) slotFor(service string, now time.Time) *slot {
	if t.services[service] == nil && len(t.services) >= maxServices {
		service = Other
	}
	slots := t.services[service]
	if slots == nil {
		slots = &[slotCount]slot{}
		t.services[service] = slots
	}
	number := slotNumber(now)
	s := &slots[number%slotCount]
	if s.firstByte == nil {
		s.firstByte = newHistogram()
	}
	if s.number < number {
		s.firstByte.Reset()
		*s = slot{number: number, firstByte: s.firstByte}
	}
	return s
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxTime/unit), significantDigits)
}

// Figures returns the figures of all services with requests in the window, sorted by
// service.
func (t *Table) Figures(now time.Time) []Figures {
	t.mu.Lock()
	defer t.mu.Unlock()
	window := t.windowAt(now)
	var list []Figures
	for id, slots := range t.services {
		f := sumFigures(slots, slotNumber(now))
		if f.Requests == 0 {
			continue
		}
		f.Service, f.Window = id, window
		list = append(list, f)
	}
	slices.SortFunc(list, func(x, y Figures) int { return strings.Compare(x.Service, y.Service) })
	return list
}

// windowAt returns the time that the slots cover, without the time before the start.
func (t *Table) windowAt(now time.Time) time.Duration {
	elapsed := time.Duration(now.UnixNano() % int64(slotDuration))
	return min(elapsed+(slotCount-1)*slotDuration, now.Sub(t.started))
}

// sumFigures adds up the slots that are in the window.
func sumFigures(slots *[slotCount]slot, number int64) Figures {
	var f Figures
	var spilled uint64
	all := newHistogram()
	for i := range slots {
		s := &slots[i]
		if s.firstByte == nil || s.number <= number-slotCount || s.number > number {
			continue
		}
		f.Requests += s.requests
		f.Refused += s.refused
		f.Failed += s.failed
		spilled += s.spilled
		f.TargetSeconds += s.targetSeconds
		f.Cost += s.cost
		all.Merge(s.firstByte)
	}
	if f.Requests > 0 {
		f.SpilledShare = float64(spilled) / float64(f.Requests)
	}
	quantile := func(q float64) time.Duration { return time.Duration(all.ValueAtQuantile(q)) * unit }
	f.P50, f.P90, f.P99, f.P999 = quantile(50), quantile(90), quantile(99), quantile(99.9)
	return f
}
