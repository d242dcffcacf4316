package experiment

import (
	"math"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Millis is a time in milliseconds. It is infinite (null in JSON) if the quantile
// falls among requests without an answer.
type Millis float64

// MarshalJSON writes null for an infinite time.
func (m Millis) MarshalJSON() ([]byte, error) {
	if math.IsInf(float64(m), 0) {
		return []byte("null"), nil
	}
	return strconv.AppendFloat(nil, float64(m), 'f', 3, 64), nil
}

// Figures are the results of one trial. Shares are fractions of all requests that
// arrived after the warm-up, except where noted.
type Figures struct {
	// Arrivals, Answered, Refused, Failed and Lost cover the whole day with poison
	// requests: Arrivals = Answered + Refused + Failed + Lost.
	Arrivals, Answered, Refused, Failed, Lost int
	// Doubled counts non-idempotent requests that started at engines more than
	// once, and requests with more than one final answer.
	Doubled int
	// Violations counts spills of already forwarded requests, attempts outside
	// the allowed regions, and requests next to one that must run alone.
	Violations int
	// P50 to P999 are quantiles of the time to first token of answered model
	// requests.
	P50, P95, P99, P999 Millis
	// P99All is P99 with refused, failed and lost model requests as infinite.
	P99All Millis
	// PlainP99 is the 99th percentile of the time to the whole answer of plain
	// services.
	PlainP99 Millis
	// InTime is the share answered by the deadline.
	InTime, RefusedShare, FailedShare float64
	// Away is the share answered outside the home region. Forced is the share
	// whose home region had no capacity for it; Fits is the part of it for which
	// the other regions have capacity, at average work.
	Away, Forced, Fits float64
	// Cost is the busy target-seconds per answered request.
	Cost float64
	// CacheHits is the fraction of the answered prompts' tokens that were cached.
	CacheHits float64
	// MostKilled is the most targets that one poison request crashed.
	MostKilled int
	// Crashes counts those of targets, Retries and Hedges those of all instances.
	Crashes, Retries, Hedges int
	// InTimeByClass is InTime by class, in the workload's order.
	InTimeByClass []float64
}

// warmUpShare is the fraction of the day whose arrivals are excluded from the
// figures, because all caches start cold.
const warmUpShare = 0.1

// warmUpEnd returns the time of day at which the warm-up ends.
func (w *world) warmUpEnd() time.Duration { return time.Duration(warmUpShare * float64(w.trial.Day)) }

// Bounds of the histograms in microseconds.
const (
	histMax    = int64(time.Hour / time.Microsecond)
	histDigits = 3
)

// tally accumulates the calls of a trial.
type tally struct {
	f              Figures
	first, plain   *hdrhistogram.Histogram
	counted        int
	answered, away int
	inTime         int
	refused        int
	failed         int
	unserved       int // model requests without an answer
	prompt, cached int
	class, classOK []int
}

func (w *world) figures() Figures {
	t := tally{
		first: hdrhistogram.New(1, histMax, histDigits), plain: hdrhistogram.New(1, histMax, histDigits),
		class: make([]int, len(w.trial.Workload.Classes)), classOK: make([]int, len(w.trial.Workload.Classes)),
	}
	warm := w.warmUpEnd()
	for _, c := range w.calls {
		t.countOutcome(c)
		if c.at >= warm && !c.poison {
			t.measure(w, c)
		}
	}
	f := t.f
	f.Violations = w.invalidSpills + w.invalidSends + w.loneViolations
	f.Crashes, f.Retries, f.Hedges = w.crashes, w.retries, w.hedges
	f.MostKilled = w.mostPoisonCrashes()
	f.Forced, f.Fits = w.forced()
	f.Cost = w.busy().Seconds() / float64(max(f.Answered, 1))
	t.quantiles(&f)
	t.shares(&f)
	return f
}

func (w *world) busy() time.Duration {
	var sum time.Duration
	for _, r := range w.regions {
		for _, t := range r.targets {
			sum += t.engine.Busy()
		}
	}
	return sum
}

func (t *tally) countOutcome(c *call) {
	t.f.Arrivals++
	switch c.outcome {
	case answered:
		t.f.Answered++
	case refused:
		t.f.Refused++
	case failed:
		t.f.Failed++
	default:
		t.f.Lost++
	}
	if c.class.NonIdempotent && c.started > 1 || c.finals > 1 {
		t.f.Doubled++
	}
}

func (t *tally) measure(w *world, c *call) {
	wl := &w.trial.Workload
	model := wl.ofModel(c.class)
	class := 0
	for c.class.Name != wl.Classes[class].Name {
		class++
	}
	t.counted++
	t.class[class]++
	switch c.outcome {
	case refused:
		t.refused++
	case failed:
		t.failed++
	}
	if c.outcome != answered {
		if model {
			t.unserved++
		}
		return
	}
	t.answered++
	if c.in.region != w.regions[c.region] {
		t.away++
	}
	if c.total <= c.class.Deadline {
		t.inTime++
		t.classOK[class]++
	}
	if !model {
		record(t.plain, c.total)
		return
	}
	record(t.first, c.first)
	t.prompt += c.prompt
	t.cached += c.cached
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(int64(d/time.Microsecond), 1), histMax)
	if err := h.RecordValue(us); err != nil {
		panic(err) // can't happen: the value is clamped to the bounds
	}
}

const microsPerMilli = 1000

func quantile(h *hdrhistogram.Histogram, percent float64) Millis {
	return Millis(float64(h.ValueAtQuantile(percent)) / microsPerMilli)
}

func (t *tally) quantiles(f *Figures) {
	f.P50, f.P95 = quantile(t.first, 50), quantile(t.first, 95)
	f.P99, f.P999 = quantile(t.first, 99), quantile(t.first, 99.9)
	f.PlainP99 = quantile(t.plain, 99)
	n := float64(t.first.TotalCount())
	rank := 0.99 * (n + float64(t.unserved))
	f.P99All = Millis(math.Inf(1))
	if rank <= n && n > 0 {
		f.P99All = quantile(t.first, 100*rank/n)
	}
}

func (t *tally) shares(f *Figures) {
	all := float64(max(t.counted, 1))
	f.InTime = float64(t.inTime) / all
	f.RefusedShare = float64(t.refused) / all
	f.FailedShare = float64(t.failed) / all
	f.Away = float64(t.away) / all
	f.CacheHits = float64(t.cached) / float64(max(t.prompt, 1))
	for i := range t.class {
		f.InTimeByClass = append(f.InTimeByClass, float64(t.classOK[i])/float64(max(t.class[i], 1)))
	}
}
