package limit

import "time"

const (
	// minUrgentInterval is the time between the first urgent reports of a bucket that
	// refuses; it doubles while the bucket keeps refusing, up to maxUrgentInterval.
	// A workspace that asks for more than its limit is refused all the time, and
	// no report can change that.
	minUrgentInterval = 100 * time.Millisecond
	maxUrgentInterval = 4 * time.Second
)

// urgency records whether a bucket should report before the next regular report.
type urgency struct {
	// refused: a request was refused since the last report.
	refused bool
	// shrunk: the share became smaller, and the Allocator can't grant the rest to
	// others before it knows that the smaller one is in use.
	shrunk bool
	// interval is the time between urgent reports, next the earliest time for one.
	interval time.Duration
	next     time.Time
}

// reportSent resets the state after a regular report.
func (h *urgency) reportSent() {
	if !h.refused {
		h.interval = 0
	}
	h.refused, h.shrunk = false, false
}

// due reports whether to send an urgent report now. The caller must send it.
func (h *urgency) due(now time.Time) bool {
	if h.shrunk {
		h.shrunk = false
		return true
	}
	if !h.refused || now.Before(h.next) {
		return false
	}
	h.interval = max(minUrgentInterval, min(2*h.interval, maxUrgentInterval))
	h.next = now.Add(h.interval)
	return true
}

// UrgentReport returns the number and the demands of a report for only those limits
// that should not wait for the next regular one; without demands there is nothing to
// send. A host that calls it ten times a second, and sends the result like a regular
// report, avoids most refusals while load moves. Without it the bound on what passes
// is the same, but there are more false refusals. As with Report, a host must wait for
// the response to one before it sends the next: an overtaken response is dropped.
func (l *Limiter) UrgentReport(now time.Time) (number uint64, demands []Demand) {
	for id := range l.urgent {
		b := l.buckets[id]
		if b == nil || b.dormant || !b.urgency.due(now) {
			continue
		}
		if !b.urgency.refused {
			delete(l.urgent, id)
		}
		b.fill(now)
		b.demand.update(now)
		demands = append(demands, Demand{ID: id, Rate: b.requestedRate(), Held: b.seq, Share: b.inForce(now)})
	}
	if len(demands) == 0 {
		return 0, nil
	}
	return l.startReport(now), sortDemands(demands)
}
