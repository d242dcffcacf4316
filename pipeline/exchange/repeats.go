package exchange

import (
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/coord/retry"
)

// RetryLimits are those of the common retry budget, which each instance keeps by a
// static share.
type RetryLimits struct {
	// Span, Share and Allowance are those of retry.Window for all instances
	// together.
	Span             time.Duration
	Share, Allowance float64
}

const (
	// budgetMargin is the part of the common bound that is used: the senders'
	// windows and the judge's do not begin at the same moment.
	budgetMargin = 0.75
	// fewestEntries is the least number of senders that the allowance is shared
	// among: an instance that knows of no others may only be cut off from them.
	fewestEntries = 6
	// tellEvery is the shortest time between two log lines of one service.
	tellEvery = time.Second
)

// repeats is this instance's part of the common retry budget, a window for each service.
// It is safe for several goroutines.
type repeats struct {
	limits RetryLimits
	// began is when the process did.
	began time.Time

	mu       sync.Mutex
	services map[string]*serviceRepeats
}

type serviceRepeats struct {
	window *retry.Window
	toldAt time.Time
}

// repeatDecision is whether one more sending is allowed, and what that was judged by.
type repeatDecision struct {
	allowed bool
	// tell says that a log line is due.
	tell bool
	use  retry.Use
	// age of the process.
	age time.Duration
}

func newRepeats(limits RetryLimits, began time.Time) *repeats {
	return &repeats{limits: limits, began: began, services: map[string]*serviceRepeats{}}
}

// first counts the first sending of a request. entries is the number of entry instances.
func (r *repeats) first(now time.Time, service string, entries int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of(now, service, entries).window.First(now)
}

// try decides on one more sending, and counts it if it is allowed.
func (r *repeats) try(now time.Time, service string, entries int) repeatDecision {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.of(now, service, entries)
	d := repeatDecision{allowed: s.window.TryExtra(now), age: now.Sub(r.began)}
	if now.Sub(s.toldAt) >= tellEvery {
		s.toldAt, d.tell, d.use = now, true, s.window.Use(now)
	}
	return d
}

func (r *repeats) of(now time.Time, service string, entries int) *serviceRepeats {
	allowance := budgetMargin * r.limits.Allowance / float64(max(entries, fewestEntries))
	s := r.services[service]
	if s == nil {
		s = &serviceRepeats{window: retry.NewWindow(now, r.limits.Span, budgetMargin*r.limits.Share, allowance)}
		r.services[service] = s
	}
	s.window.SetAllowance(allowance)
	return s
}
