package served

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// slotLength and slotCount make the window of the figures: the slots before
	// this one and what this one has so far.
	slotLength = 2 * time.Minute
	slotCount  = 3
	// unit of the histograms, whose values go to longest with two digits:
	// about 18 KB each.
	unit    = 100 * time.Microsecond
	longest = 10 * time.Minute
	digits  = 2
	// maxServices bounds the table; requests of further services are counted
	// under Other.
	maxServices = 64
)

// Other stands for services beyond the bound.
const Other = "(other)"

// Request is the end of one request.
type Request struct {
	// Service is empty if it was not found out; the request is left out then.
	Service string
	// FirstByte is zero if there was no answer.
	FirstByte time.Duration
	// Refused requests were not run; Failed ones may have run.
	Refused, Failed, Spilled bool
	// Passed requests came from another instance, which counts them; only their
	// cost is added here.
	Forwarded bool
	// TargetSeconds is the time that it held a share of a target; Cost weighs it.
	TargetSeconds, Cost float64
}

// Figures of one service over Window.
type Figures struct {
	Service                   string
	Window                    time.Duration
	Requests, Refused, Failed uint64
	// SentAway is a share of the requests, 0 to 1.
	SpilledShare        float64
	TargetSeconds, Cost float64
	// Quantiles of the time to the first byte.
	P50, P90, P99, P999 time.Duration
}

// Table gathers the requests of one instance: about 54 KB for each service. It
// is safe for several goroutines.
type Table struct {
	started  time.Time
	mu       sync.Mutex
	services map[string]*[slotCount]slot
}

// slot is what ended in one slotLength.
type slot struct {
	number                              int64
	requests, refused, failed, sentAway uint64
	targetSeconds, cost                 float64
	firstByte                           *hdrhistogram.Histogram
}

// NewTable makes an empty table.
func NewTable(now time.Time) *Table {
	return &Table{started: now, services: map[string]*[slotCount]slot{}}
}

// Observe takes the end of one request.
func (t *Table) Observe(now time.Time, r Request) {
	if r.Service == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.slotOf(r.Service, now)
	s.targetSeconds += r.TargetSeconds
	s.cost += r.Cost
	if r.Forwarded {
		return
	}
	s.requests++
	s.refused += count(r.Refused)
	s.failed += count(r.Failed)
	s.sentAway += count(r.Spilled)
	if r.FirstByte > 0 {
		_ = s.firstByte.RecordValue(int64(min(r.FirstByte, longest) / unit)) // within the bounds
	}
}

func count(yes bool) uint64 {
	if yes {
		return 1
	}
	return 0
}

func slotNumber(t time.Time) int64 { return t.UnixNano() / int64(slotLength) }

// slotOf is the slot of now, emptied if it was of an earlier time.
func (t *Table) slotOf(service string, now time.Time) *slot {
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
	return hdrhistogram.New(1, int64(longest/unit), digits)
}

// Figures of all services that had requests in the window, sorted by service.
func (t *Table) Figures(now time.Time) []Figures {
	t.mu.Lock()
	defer t.mu.Unlock()
	window := t.window(now)
	var list []Figures
	for id, slots := range t.services {
		f := figures(slots, slotNumber(now))
		if f.Requests == 0 {
			continue
		}
		f.Service, f.Window = id, window
		list = append(list, f)
	}
	slices.SortFunc(list, func(x, y Figures) int { return strings.Compare(x.Service, y.Service) })
	return list
}

// window is the time that the slots cover, less what was before the start.
func (t *Table) window(now time.Time) time.Duration {
	into := time.Duration(now.UnixNano() % int64(slotLength))
	return min(into+(slotCount-1)*slotLength, now.Sub(t.started))
}

// figures adds up the slots that are not too old.
func figures(slots *[slotCount]slot, number int64) Figures {
	var f Figures
	var sentAway uint64
	all := newHistogram()
	for i := range slots {
		s := &slots[i]
		if s.firstByte == nil || s.number <= number-slotCount || s.number > number {
			continue
		}
		f.Requests += s.requests
		f.Refused += s.refused
		f.Failed += s.failed
		sentAway += s.sentAway
		f.TargetSeconds += s.targetSeconds
		f.Cost += s.cost
		all.Merge(s.firstByte)
	}
	if f.Requests > 0 {
		f.SpilledShare = float64(sentAway) / float64(f.Requests)
	}
	quantile := func(q float64) time.Duration { return time.Duration(all.ValueAtQuantile(q)) * unit }
	f.P50, f.P90, f.P99, f.P999 = quantile(50), quantile(90), quantile(99), quantile(99.9)
	return f
}
