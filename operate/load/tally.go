package load

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Histograms reach from a microsecond to ten minutes, in nanoseconds, with
	// three digits.
	shortest = int64(time.Microsecond)
	longest  = int64(10 * time.Minute)
	digits   = 3
	// maxNotes bounds the examples of faults in a report.
	maxNotes = 10
)

// times is a histogram of durations.
type times struct{ h *hdrhistogram.Histogram }

func newTimes() times { return times{hdrhistogram.New(shortest, longest, digits)} }

// add counts a duration; those out of range count at its ends.
func (t times) add(d time.Duration) {
	_ = t.h.RecordValue(min(max(int64(d), shortest), longest))
}

// Quantiles of a duration, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

func (t times) quantiles() Quantiles {
	if t.h.TotalCount() == 0 {
		return Quantiles{}
	}
	at := func(q float64) float64 { return millis(float64(t.h.ValueAtQuantile(q))) }
	return Quantiles{
		Count: t.h.TotalCount(), Mean: millis(t.h.Mean()),
		P50: at(50), P95: at(95), P99: at(99), P999: at(99.9), Max: millis(float64(t.h.Max())),
	}
}

func millis(nanoseconds float64) float64 { return nanoseconds / float64(time.Millisecond) }

// sideTally counts the sendings to one side.
type sideTally struct {
	kinds     [kinds]int64
	codes     map[string]int64
	resends   int64
	late      int64
	moved     int64
	redirects int64
	tokens    int64

	wait, first, between, whole times
}

func newSideTally() *sideTally {
	return &sideTally{codes: map[string]int64{}, wait: newTimes(), first: newTimes(), between: newTimes(), whole: newTimes()}
}

// tally counts the ends of sendings. Its user is one goroutine; others read
// through its lock.
type tally struct {
	mu    sync.Mutex
	sides [2]*sideTally
	notes []string
	keys  []*history
}

func newTally() *tally {
	return &tally{sides: [2]*sideTally{newSideTally(), newSideTally()}}
}

// add counts one end.
func (t *tally) add(o *outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sides[o.side]
	s.add(o)
	if o.kind >= Unmarked && len(t.notes) < maxNotes {
		t.notes = append(t.notes, fmt.Sprintf("%s at %s: %s", o.kind, o.at, o.note))
	}
}

func (s *sideTally) add(o *outcome) {
	s.kinds[o.kind]++
	s.moved += int64(o.moved)
	s.redirects += int64(o.redirected)
	s.tokens += int64(o.tokens)
	if o.resend {
		s.resends++
	}
	if o.code != "" {
		s.codes[fmt.Sprintf("%s %s", o.code, o.verdict)]++
	}
	if o.kind == Unsent {
		return
	}
	s.wait.add(o.wait)
	if o.first > 0 && (o.kind == Answered || o.kind == CutWithEvent) {
		s.first.add(o.first)
	}
	if o.kind != Answered {
		return
	}
	s.whole.add(o.whole)
	for _, d := range o.between {
		s.between.add(d)
	}
	if o.late {
		s.late++
	}
}

// addKey keeps what a key's sendings were told.
func (t *tally) addKey(h *history) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keys = append(t.keys, h)
}

// note adds an example to the report.
func (t *tally) note(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.notes) < maxNotes {
		t.notes = append(t.notes, text)
	}
}

// line is a line of progress.
func (t *tally) line(at time.Duration) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sides[ToGateway]
	wrong := int64(0)
	for _, n := range s.kinds[Unmarked:] {
		wrong += n
	}
	return fmt.Sprintf("%3.0f s: answered %d, refused %d, cut %d, broken %d, unreached %d, unsent %d, wrong %d; first p50 %.1f ms, p99 %.1f ms",
		at.Seconds(), s.kinds[Answered], s.kinds[Refused], s.kinds[CutWithEvent], s.kinds[Broken], s.kinds[Unreached], s.kinds[Unsent],
		wrong, s.first.quantiles().P50, s.first.quantiles().P99)
}

// sortedCodes in the order of their names.
func (s *sideTally) sortedCodes() []CodeCount {
	list := []CodeCount{}
	for name, n := range s.codes {
		list = append(list, CodeCount{Name: name, Count: n})
	}
	slices.SortFunc(list, func(x, y CodeCount) int {
		if x.Name < y.Name {
			return -1
		}
		return 1
	})
	return list
}
