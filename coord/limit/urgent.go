package limit

import "time"

const (
	// urgentPause is the time between the first urgent reports of a bucket that
	// refuses; it doubles while the bucket goes on to refuse, up to maxPause.
	// A workspace that asks for more than its limit refuses all the time, and
	// no report can change that.
	urgentPause = 100 * time.Millisecond
	maxPause    = 4 * time.Second
)

// hurry says whether a bucket has something to tell before the next report.
type hurry struct {
	// refused: a request was refused since the last report.
	refused bool
	// shrunk: the share became smaller, and the owner can't grant the rest to
	// others before it knows that the smaller one is in use.
	shrunk bool
	// pause is the time between urgent reports, next the earliest one.
	pause time.Duration
	next  time.Time
}

// reported is called with a regular report.
func (h *hurry) reported() {
	if !h.refused {
		h.pause = 0
	}
	h.refused, h.shrunk = false, false
}

// due says whether to report now, and counts on it that this is done.
func (h *hurry) due(now time.Time) bool {
	if h.shrunk {
		h.shrunk = false
		return true
	}
	if !h.refused || now.Before(h.next) {
		return false
	}
	h.pause = max(urgentPause, min(2*h.pause, maxPause))
	h.next = now.Add(h.pause)
	return true
}

// UrgentReport returns a report of only those limits that should not wait for the
// next regular one; there is none if it has no demands. A host that calls it ten
// times a second, and sends what it returns like a regular report, spares callers
// most refusals while load moves. Without it the bound on what passes is the
// same and what is refused needlessly is more. As with Report, a host waits for
// the answer to one before it sends the next: an overtaken answer is dropped.
func (l *Limiter) UrgentReport(now time.Time) (number uint64, demands []Demand) {
	for id := range l.hurried {
		b := l.buckets[id]
		if b == nil || b.dormant || !b.hurry.due(now) {
			continue
		}
		if !b.hurry.refused {
			delete(l.hurried, id)
		}
		b.fill(now)
		b.demand.measure(now)
		demands = append(demands, Demand{ID: id, Rate: b.ask(), Held: b.seq, Share: b.inForce(now)})
	}
	if len(demands) == 0 {
		return 0, nil
	}
	return l.number(now), sorted(demands)
}
