package feed

import "time"

const (
	// refusedBackoff is the minimum delay after a refused call. It doubles with each further
	// refusal in a row up to maxRefusedBackoff: several instances may have called at once, and the
	// platform counts calls per second.
	refusedBackoff    = 100 * time.Millisecond
	maxRefusedBackoff = time.Second
)

// Pacer spreads calls over time, so that reading a list of many pages does not use up the rate that
// the platform allows. It is not safe for concurrent use.
type Pacer struct {
	// PerSecond is the rate; 0 if there is none.
	PerSecond float64

	nextCall time.Time
	refusals int
}

// Delay returns how long to wait before the next call. refused says that the last call was refused
// for exceeding the rate. random in [0, 1) spreads the calls of several instances.
func (p *Pacer) Delay(now time.Time, refused bool, random float64) time.Duration {
	if refused {
		backoff := min(maxRefusedBackoff, refusedBackoff<<min(p.refusals, 8))
		p.refusals++
		p.nextCall = later(p.nextCall, now.Add(backoff/2+time.Duration(random*float64(backoff))))
	} else {
		p.refusals = 0
	}
	at := later(p.nextCall, now)
	if p.PerSecond > 0 {
		p.nextCall = at.Add(time.Duration(float64(time.Second) / p.PerSecond))
	}
	return at.Sub(now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
