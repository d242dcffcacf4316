package pick

import (
	"math"
	"time"
)

// pace is how long engines of a service take until the first event, for each 1,000 tokens
// that they read before it, as it was lately.
//
// What goes wrong with a constant: it fits one engine. At engines that read 8 times as fast
// each wait is taken for 8 times as long, so requests are refused that would have been in
// time, and sent to other regions; at slower ones all are late before one is refused.
type pace struct {
	// tokens and millis are sums over the first events, newer ones weighing more.
	tokens, millis float64
	// recent are those of the choices made here, as other regions are told of them; they
	// fade over readingSpan, as of recentAt.
	recent   PrefillSums
	recentAt time.Time
}

// ReadSums are the tokens that engines have read until first events of the last seconds,
// and the milliseconds that this took. Added up over the instances of a region they tell
// how fast its engines read now.
type PrefillSums struct{ Tokens, Millis float64 }

// Add counts those of another instance in. What cannot be is left out.
func (s *PrefillSums) Add(o PrefillSums) {
	if !(o.Tokens >= 0) || !(o.Millis >= 0) || math.IsInf(o.Tokens+o.Millis, 0) {
		return
	}
	s.Tokens, s.Millis = s.Tokens+o.Tokens, s.Millis+o.Millis
}

// perKilo is the time for 1,000 tokens in milliseconds: that of the start where nothing
// is known.
func (s PrefillSums) perKilo() float64 {
	known := newPace()
	known.tokens, known.millis = known.tokens+s.Tokens, known.millis+s.Millis
	return known.perKilo()
}

const (
	// paceKeep is how much of the sums stays with each first event: some hundred of them
	// count, a second or two of a region's traffic.
	paceKeep = 0.995
	// startPerKilo is the pace of the start in milliseconds for 1,000 tokens, and startTokens
	// how many tokens it counts for until first events have shown another one: engines of 70
	// billion parameters take that long beside the tokens of others.
	startPerKilo = 40.0
	startTokens  = 20000.0
	// leastPerKilo and mostPerKilo bound it: engines 40 times as fast and as slow.
	leastPerKilo = startPerKilo / 40
	mostPerKilo  = startPerKilo * 40
	// oddTimes is how many times the estimate a first event counts as at most: an engine
	// that hangs tells nothing of how fast the others read.
	oddTimes = 6.0
	// fewestTokens are those of a first event that tells of the pace: what takes a step or
	// two in any case tells nothing.
	fewestTokens = 200.0
)

func newPace() *pace {
	return &pace{tokens: startTokens, millis: startPerKilo * startTokens / 1000}
}

// until estimates the milliseconds until the first event behind so many tokens, the
// request's own among them.
func (p *pace) until(tokens float64) float64 { return p.perKilo() * tokens / 1000 }

func (p *pace) perKilo() float64 {
	return min(max(1000*p.millis/p.tokens, leastPerKilo), mostPerKilo)
}

// learn takes in a first event. What cannot be is left out.
func (p *pace) learn(tokens, millis float64) {
	if !(tokens >= fewestTokens) || !(millis >= 0) || math.IsInf(millis+tokens, 0) {
		return
	}
	millis = min(millis, oddTimes*p.until(tokens))
	p.tokens = paceKeep*p.tokens + tokens
	p.millis = paceKeep*p.millis + millis
}

// tell counts a first event among those that other regions are told of.
func (p *pace) tell(now time.Time, tokens, millis float64) {
	if !(tokens >= fewestTokens) {
		return
	}
	p.recent = p.lately(now)
	p.recent.Add(PrefillSums{Tokens: tokens, Millis: min(millis, oddTimes*p.until(tokens))})
	p.recentAt = now
}

// lately are the sums as they have faded until now.
func (p *pace) lately(now time.Time) PrefillSums {
	if p.recentAt.IsZero() {
		return PrefillSums{}
	}
	left := math.Exp(-float64(max(0, now.Sub(p.recentAt))) / float64(readingSpan))
	return PrefillSums{Tokens: left * p.recent.Tokens, Millis: left * p.recent.Millis}
}

// ReadSums are those of the choices made by this instance, by service.
func (p *Pool) PrefillSums(now time.Time) map[string]PrefillSums {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]PrefillSums{}
	for service, known := range p.paces {
		if sums := known.lately(now); sums.Tokens >= 1 {
			out[service] = sums
		}
	}
	return out
}
