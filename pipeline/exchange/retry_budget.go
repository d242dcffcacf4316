package exchange

import (
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/coord/retry"
)

// RetryLimits bounds the retries of a service by all instances together: in each Span, at most
// Share of the number of requests, plus Allowance.
type RetryLimits struct {
	Span time.Duration
	// Share is from 0 to 1; Allowance is a number of retries.
	Share, Allowance float64
}

const (
	// usableShare is the fraction of the shared budget that instances use. The rest covers
	// retries that arrive later than they were counted.
	usableShare = 0.9
	// steadyShare is the fraction of the allowance that is divided among running instances. The
	// rest is for instances that have just started.
	steadyShare = 0.5
	// maxStartsPerSpan is how often each instance may start within a span without breaking the
	// bound of RetryLimits.
	maxStartsPerSpan = 4
	// minEntryInstances is the least number of instances that the allowance is divided among:
	// an instance that sees no others may only be partitioned from them.
	minEntryInstances = 6
	// logInterval is the minimum time between two log lines on one service.
	logInterval = time.Second
)

// retryBudget is this instance's part of the shared retry budget, with one window per service.
// It is safe for concurrent use.
//
// A process does not know what it sent before a restart. The retries that its own requests earn
// are safe nevertheless, because a retry.Window counts each request for one span and the next.
// Of the allowance, it takes a smaller part until it has run for a span.
//
// Requests earn retries from when callers sent them. After a pause of the process, requests of earlier
// spans wait in its sockets: those that it reads then earn none.
type retryBudget struct {
	limits RetryLimits
	// startedAt is when the process started.
	startedAt time.Time

	mu     sync.Mutex
	pauses pauseDetector
	// unreported is a pause that recordRequest noticed before heartbeat did.
	unreported time.Duration
	// unearned counts the requests that earn no retries, as they may have waited during a pause.
	unearned int
	// maxEntries is the highest number of entry instances seen so far: one that disappears may
	// only be unreachable from here, and still sends retries.
	maxEntries int
	services   map[string]*serviceBudget
}

type serviceBudget struct {
	window   *retry.Window
	loggedAt time.Time
}

// retryDecision says whether a retry is allowed, and what the decision was based on.
type retryDecision struct {
	allowed bool
	// logDue says that a log line is due; use is set only then.
	logDue bool
	use    retry.Use
	// unearned is how many requests since the start have earned no retries, as they may have waited
	// during a pause of the process.
	unearned int
	// uptime is the time since the process started.
	uptime time.Duration
}

func newRetryBudget(limits RetryLimits, startedAt time.Time) *retryBudget {
	return &retryBudget{
		limits: limits, startedAt: startedAt, maxEntries: minEntryInstances, services: map[string]*serviceBudget{},
		pauses: pauseDetector{maxLag: retry.MaxLag(limits.Span), heartbeatAt: startedAt},
	}
}

// heartbeat must be called several times within a retry.MaxLag while the process runs. It returns the
// pause that ends now; 0 for none.
func (r *retryBudget) heartbeat(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	pause := max(r.unreported, r.pauses.heartbeat(now))
	r.unreported = 0
	return pause
}

// recordRequest counts the first attempt of a request that was read at a time. entries is the number
// of entry instances.
func (r *retryBudget) recordRequest(readAt time.Time, service string, entries int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreported = max(r.unreported, r.pauses.heartbeat(readAt))
	if r.pauses.mayHaveWaited(readAt) {
		r.unearned++
		return
	}
	r.service(readAt, service, entries).window.CountFirstAttempt(readAt)
}

// tryRetry decides whether a retry is allowed, and counts it if so.
func (r *retryBudget) tryRetry(now time.Time, service string, entries int) retryDecision {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(now, service, entries)
	d := retryDecision{allowed: s.window.TryRetry(now), uptime: now.Sub(r.startedAt)}
	if now.Sub(s.loggedAt) >= logInterval {
		s.loggedAt, d.logDue, d.use, d.unearned = now, true, s.window.Use(now), r.unearned
	}
	return d
}

// service returns the budget of a service with its current allowance. r.mu must be held.
func (r *retryBudget) service(now time.Time, service string, entries int) *serviceBudget {
	s := r.services[service]
	if s == nil {
		// Each request earns retries in two spans, so each gets half the share.
		s = &serviceBudget{window: retry.NewWindow(now, r.limits.Span, usableShare*r.limits.Share/2, 0)}
		r.services[service] = s
	}
	r.maxEntries = max(r.maxEntries, entries)
	s.window.SetAllowance(r.allowance(now))
	return s
}

// allowance is this instance's part of the shared allowance, in retries per span.
func (r *retryBudget) allowance(now time.Time) float64 {
	steady := steadyShare * r.limits.Allowance / float64(r.maxEntries)
	if now.Sub(r.startedAt) >= r.limits.Span {
		return steady
	}
	return (1 - steadyShare) / steadyShare / maxStartsPerSpan * steady
}
