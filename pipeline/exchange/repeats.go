package exchange

import (
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/coord/retry"
)

// RetryLimits are those of the common retry budget: in each Span, all instances together send at
// most Share of the requests, and Allowance, beyond first sendings.
type RetryLimits struct {
	Span             time.Duration
	Share, Allowance float64
}

const (
	// usedShare is the part of the common share that instances use. The rest covers repeats that
	// arrive later than they were counted.
	usedShare = 0.9
	// steadyPart is the part of the allowance that is divided among the instances; the rest is
	// for those that have just started.
	steadyPart = 0.5
	// mostStarts is how often each instance may start within a span while the bound holds.
	mostStarts = 4
	// fewestEntries is the least number of instances that the allowance is divided among: one
	// that knows of no others may only be cut off from them.
	fewestEntries = 6
	// tellEvery is the shortest time between two log lines of one service.
	tellEvery = time.Second
)

// repeats is this instance's part of the common retry budget, a window for each service. It is
// safe for several goroutines.
//
// A process does not know what its last life has sent. What it may send by its own requests is
// safe all the same, as a retry.Window counts each request for one span and the next; of the
// allowance it takes a smaller part until a span has passed.
type repeats struct {
	limits RetryLimits
	// began is when the process did.
	began time.Time

	mu sync.Mutex
	// most is the highest number of entry instances known so far: one that is not seen any more
	// may only be out of reach, and sends on.
	most     int
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
	return &repeats{limits: limits, began: began, most: fewestEntries, services: map[string]*serviceRepeats{}}
}

// first counts the first sending of a request. entries is the number of entry instances.
func (r *repeats) first(now time.Time, service string, entries int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of(now, service, entries).window.CountFirstAttempt(now)
}

// try decides on one more sending, and counts it if it is allowed.
func (r *repeats) try(now time.Time, service string, entries int) repeatDecision {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.of(now, service, entries)
	d := repeatDecision{allowed: s.window.TryRetry(now), age: now.Sub(r.began)}
	if now.Sub(s.toldAt) >= tellEvery {
		s.toldAt, d.tell, d.use = now, true, s.window.Use(now)
	}
	return d
}

func (r *repeats) of(now time.Time, service string, entries int) *serviceRepeats {
	s := r.services[service]
	if s == nil {
		// Each request earns in two spans.
		s = &serviceRepeats{window: retry.NewWindow(now, r.limits.Span, usedShare*r.limits.Share/2, 0)}
		r.services[service] = s
	}
	r.most = max(r.most, entries)
	s.window.SetAllowance(r.allowance(now))
	return s
}

// allowance is this instance's part of the common one.
func (r *repeats) allowance(now time.Time) float64 {
	steady := steadyPart * r.limits.Allowance / float64(r.most)
	if now.Sub(r.began) >= r.limits.Span {
		return steady
	}
	return (1 - steadyPart) / steadyPart / mostStarts * steady
}
