package feed

import "time"

const (
	// refusedPause is the least time after a refused call, doubled with each further
	// one in a row up to refusedMost: several instances may have asked at once, and the
	// platform counts a second.
	refusedPause = 100 * time.Millisecond
	refusedMost  = time.Second
)

// Pace spreads calls over time, so that a reading of many pages does not take all of
// the rate that the platform allows. It belongs to one goroutine.
type Pacer struct {
	// PerSecond is the rate; 0 where there is none.
	PerSecond float64

	next     time.Time
	refusals int
}

// Turn returns how long to wait for the next call. refused says that the last one was,
// as one too many; random in [0, 1) spreads those of several instances.
func (p *Pacer) Delay(now time.Time, refused bool, random float64) time.Duration {
	if refused {
		pause := min(refusedMost, refusedPause<<min(p.refusals, 8))
		p.refusals++
		p.next = later(p.next, now.Add(pause/2+time.Duration(random*float64(pause))))
	} else {
		p.refusals = 0
	}
	at := later(p.next, now)
	if p.PerSecond > 0 {
		p.next = at.Add(time.Duration(float64(time.Second) / p.PerSecond))
	}
	return at.Sub(now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
