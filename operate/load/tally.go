package load

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Range of histograms, in nanoseconds, and their precision.
	minDuration       = int64(time.Microsecond)
	maxDuration       = int64(10 * time.Minute)
	significantDigits = 3
	// maxNotes bounds the examples of faults in a report.
	maxNotes = 10
)

// histogram counts durations.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(minDuration, maxDuration, significantDigits)}
}

// add counts a duration; one out of range counts as the nearest bound.
func (t histogram) add(d time.Duration) {
	_ = t.h.RecordValue(min(max(int64(d), minDuration), maxDuration))
}

// Quantiles of durations, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

func (t histogram) quantiles() Quantiles {
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

// destTally counts the attempts to one destination.
type destTally struct {
	kinds     [kindCount]int64
	codes     map[string]int64
	resends   int64
	late      int64
	failovers int64
	redirects int64
	tokens    int64

	startDelay, firstToken, betweenTokens, total histogram
}

func newDestTally() *destTally {
	return &destTally{codes: map[string]int64{}, startDelay: newHistogram(), firstToken: newHistogram(), betweenTokens: newHistogram(), total: newHistogram()}
}

// tally counts the outcomes of attempts. Its methods are safe for concurrent use.
type tally struct {
	mu    sync.Mutex
	dests [2]*destTally
	notes []string
	keys  []*history
}

func newTally() *tally {
	return &tally{dests: [2]*destTally{newDestTally(), newDestTally()}}
}

// add counts one outcome.
func (t *tally) add(o *outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.dests[o.dest]
	s.add(o)
	if o.kind >= Unmarked && len(t.notes) < maxNotes {
		t.notes = append(t.notes, fmt.Sprintf("%s at %s: %s", o.kind, o.instance, o.note))
	}
}

func (s *destTally) add(o *outcome) {
	s.kinds[o.kind]++
	s.failovers += int64(o.failovers)
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
	s.startDelay.add(o.startDelay)
	if o.firstToken > 0 && (o.kind == Answered || o.kind == CutWithEvent) {
		s.firstToken.add(o.firstToken)
	}
	if o.kind != Answered {
		return
	}
	s.total.add(o.total)
	for _, d := range o.betweenTokens {
		s.betweenTokens.add(d)
	}
	if o.late {
		s.late++
	}
}

// addKey keeps the history of a key.
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

// progressLine returns the counts so far as a line of text.
func (t *tally) progressLine(at time.Duration) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.dests[ToGateway]
	wrong := int64(0)
	for _, n := range s.kinds[Unmarked:] {
		wrong += n
	}
	return fmt.Sprintf("%3.0f s: answered %d, refused %d, cut %d, broken %d, unreached %d, unsent %d, wrong %d; first p50 %.1f ms, p99 %.1f ms",
		at.Seconds(), s.kinds[Answered], s.kinds[Refused], s.kinds[CutWithEvent], s.kinds[Broken], s.kinds[Unreached], s.kinds[Unsent],
		wrong, s.firstToken.quantiles().P50, s.firstToken.quantiles().P99)
}

// sortedCodes returns the codes in the order of their names.
func (s *destTally) sortedCodes() []CodeCount {
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
