package pick

import "math"

// pace is how long engines of a service take until the first event, for each 1,000 tokens
// that they read before it, as it was lately.
//
// What goes wrong with a constant: it fits one engine. At engines that read 8 times as fast
// each wait is taken for 8 times as long, so requests are refused that would have been in
// time, and sent to other regions; at slower ones all are late before one is refused.
type pace struct {
	// tokens and millis are sums over the first events, newer ones weighing more.
	tokens, millis float64
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
