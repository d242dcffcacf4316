package pick

import (
	"math"
	"time"
)

// prefillTime estimates how long engines of a service take until the first event per 1,000 tokens
// of prefill, from recent requests.
//
// A constant fits one engine only. With engines 8 times as fast, each wait is overestimated 8
// times, so requests are refused or sent to other regions that would have been in time; with slower
// ones, all requests are late before one is refused.
type prefillTime struct {
	// tokens and millis are decayed sums over first events.
	tokens, millis float64
	// recent are the sums of this instance's own choices, which are reported to other regions; they
	// decay over prefillSpan, as of recentAt.
	recent   PrefillSums
	recentAt time.Time
}

// PrefillSums are the tokens prefilled until recent first events, and the milliseconds that this
// took. Summed over the instances of a region they give the current prefill speed of its engines.
type PrefillSums struct{ Tokens, Millis float64 }

// Add adds the sums of another instance. Negative, NaN and infinite sums are ignored.
func (s *PrefillSums) Add(o PrefillSums) {
	if !(o.Tokens >= 0) || !(o.Millis >= 0) || math.IsInf(o.Tokens+o.Millis, 0) {
		return
	}
	s.Tokens, s.Millis = s.Tokens+o.Tokens, s.Millis+o.Millis
}

// millisPerKilo is the time for 1,000 tokens in milliseconds; the initial estimate if nothing is
// known.
func (s PrefillSums) millisPerKilo() float64 {
	known := newPrefillTime()
	known.tokens, known.millis = known.tokens+s.Tokens, known.millis+s.Millis
	return known.millisPerKilo()
}

const (
	// prefillTimeDecay is the weight of the old sums when a first event is added: some hundred
	// first events count, a second or two of a region's traffic.
	prefillTimeDecay = 0.995
	// initialMillisPerKilo is the initial estimate in milliseconds per 1,000 tokens, and
	// initialTokens its weight in tokens until first events replace it: engines of 70 billion
	// parameters take that long when tokens of other requests are processed alongside.
	initialMillisPerKilo = 40.0
	initialTokens        = 20000.0
	// minMillisPerKilo and maxMillisPerKilo bound the estimate: engines 40 times as fast and as
	// slow.
	minMillisPerKilo = initialMillisPerKilo / 40
	maxMillisPerKilo = initialMillisPerKilo * 40
	// maxOutlierRatio caps the time of a first event at a multiple of the estimate: a hanging
	// engine says nothing about the speed of the others.
	maxOutlierRatio = 6.0
	// minObservedTokens is the least prefill to learn from: a shorter one takes a step or two in
	// any case and says nothing about the speed.
	minObservedTokens = 200.0
)

func newPrefillTime() *prefillTime {
	return &prefillTime{tokens: initialTokens, millis: initialMillisPerKilo * initialTokens / 1000}
}

// firstEventMillis estimates the milliseconds until the first event after a prefill of the given
// tokens, including the request's own.
func (p *prefillTime) firstEventMillis(tokens float64) float64 {
	return p.millisPerKilo() * tokens / 1000
}

func (p *prefillTime) millisPerKilo() float64 {
	return min(max(1000*p.millis/p.tokens, minMillisPerKilo), maxMillisPerKilo)
}

// learn records a first event, which came after millis milliseconds and a prefill of tokens. Fewer
// than minObservedTokens tokens, a negative time, NaN and infinite values are ignored.
func (p *prefillTime) learn(tokens, millis float64) {
	if !(tokens >= minObservedTokens) || !(millis >= 0) || math.IsInf(millis+tokens, 0) {
		return
	}
	millis = min(millis, maxOutlierRatio*p.firstEventMillis(tokens))
	p.tokens = prefillTimeDecay*p.tokens + tokens
	p.millis = prefillTimeDecay*p.millis + millis
}

// report adds a first event to the sums that are reported to other regions, with parameters as for
// learn. Fewer than minObservedTokens tokens are ignored.
func (p *prefillTime) report(now time.Time, tokens, millis float64) {
	if !(tokens >= minObservedTokens) {
		return
	}
	p.recent = p.recentSums(now)
	p.recent.Add(PrefillSums{Tokens: tokens, Millis: min(millis, maxOutlierRatio*p.firstEventMillis(tokens))})
	p.recentAt = now
}

// recentSums returns the sums decayed until now.
func (p *prefillTime) recentSums(now time.Time) PrefillSums {
	if p.recentAt.IsZero() {
		return PrefillSums{}
	}
	left := math.Exp(-float64(max(0, now.Sub(p.recentAt))) / float64(prefillSpan))
	return PrefillSums{Tokens: left * p.recent.Tokens, Millis: left * p.recent.Millis}
}

// PrefillSums returns the sums of this instance's own choices, by service.
func (p *Pool) PrefillSums(now time.Time) map[string]PrefillSums {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]PrefillSums{}
	for service, known := range p.prefillTimes {
		if sums := known.recentSums(now); sums.Tokens >= 1 {
			out[service] = sums
		}
	}
	return out
}
