package retry

import (
	"math"
	"time"
)

const (
	// windowSlots is how many slots a span is counted in: the error of the sliding sums is one
	// slot.
	windowSlots = 10
	// earningSlots is how many slots, that of a retry included, first attempts earn it in its own
	// span. The last slot of the span is left out for those that were counted late.
	earningSlots = windowSlots - 1
)

// Window bounds the retries of one of several senders so that the sum over all of them keeps a
// common bound without communication. Unlike a Budget it does not depend on successes. It is not
// safe for concurrent use.
//
// For each moment a in the span that ends now, the retries since a are at most share times the
// first attempts since a span less MaxLag before a, plus the allowance. First attempts may be counted
// by MaxLag later than callers sent the requests. So the retries in any span are earned by the
// requests that were sent in that span and the one before it, at each sender alike, and sums over
// senders keep
//
//	retries(span) <= share * (first(span) + first(span before)) + allowances
//
// where first counts requests, also where the load moves between senders. A bound by the
// first attempts of the span that ends now would not add up: each sender would allow by the span
// in which it was busiest.
//
// A sender that restarts has lost its counts of retries and of first attempts. Its previous
// incarnation and this one still count each first attempt once, so the sum above holds for them
// too, except for the allowance: that has to be smaller until a span has passed.
type Window struct {
	share, allowance float64
	slotLength       time.Duration
	start            time.Time
	// current is the number of the newest slot since start.
	current       int64
	firstAttempts [2 * windowSlots]int
	retries       [windowSlots + 1]int
}

// MaxLag returns by how much later than it was sent a request may be counted at a Window of length
// span.
func MaxLag(span time.Duration) time.Duration { return span / windowSlots }

// NewWindow returns a Window of length span. share is how many retries each first attempt
// allows in each of the two spans that it counts in; allowance is how many more are allowed.
func NewWindow(now time.Time, span time.Duration, share, allowance float64) *Window {
	return &Window{share: share, allowance: allowance, slotLength: max(1, MaxLag(span)), start: now}
}

// SetAllowance replaces the allowance, for example when the number of senders changes or a span
// has passed since this one started.
func (w *Window) SetAllowance(allowance float64) { w.allowance = allowance }

// CountFirstAttempt counts the first attempt of a request that was received at a time, which may be
// in the past.
func (w *Window) CountFirstAttempt(receivedAt time.Time) {
	w.advance(receivedAt)
	if slot := w.slot(receivedAt); w.keepsFirstAttempts(slot) {
		w.firstAttempts[slot%int64(len(w.firstAttempts))]++
	}
}

// Use is the state of a Window.
type Use struct {
	// FirstAttempts and Retries in the span that ends now.
	FirstAttempts, Retries int
	// Remaining is how many retries are allowed now.
	Remaining float64
}

// Use returns the counts at now.
func (w *Window) Use(now time.Time) Use {
	w.advance(now)
	use := Use{Remaining: math.Inf(1)}
	for back := range int64(windowSlots) {
		use.FirstAttempts += w.firstAttemptsIn(w.current - back)
	}
	earning := use.FirstAttempts - w.firstAttemptsIn(w.current-earningSlots)
	for back := range int64(len(w.retries)) {
		use.Retries += w.retriesIn(w.current - back)
		use.Remaining = min(use.Remaining, w.share*float64(earning)+w.allowance-float64(use.Retries))
		earning += w.firstAttemptsIn(w.current - back - earningSlots)
	}
	return use
}

// TryRetry counts a retry if it is allowed, and reports whether it is.
func (w *Window) TryRetry(now time.Time) bool {
	if w.Use(now).Remaining < 1 {
		return false
	}
	w.retries[w.current%int64(len(w.retries))]++
	return true
}

// firstAttemptsIn and retriesIn return the counts of a slot that is kept; 0 before the start.
func (w *Window) firstAttemptsIn(slot int64) int {
	if !w.keepsFirstAttempts(slot) {
		return 0
	}
	return w.firstAttempts[slot%int64(len(w.firstAttempts))]
}

func (w *Window) keepsFirstAttempts(slot int64) bool {
	return slot >= 0 && slot > w.current-int64(len(w.firstAttempts))
}

// slot returns the number of the slot of a time; negative before the start.
func (w *Window) slot(at time.Time) int64 {
	return int64(at.Sub(w.start) / w.slotLength)
}

func (w *Window) retriesIn(slot int64) int {
	if slot < 0 {
		return 0
	}
	return w.retries[slot%int64(len(w.retries))]
}

// advance clears the slots that are no longer kept.
func (w *Window) advance(now time.Time) {
	at := w.slot(now)
	for ; w.current < at; w.current++ {
		if kept := int64(len(w.firstAttempts)); at-w.current > kept {
			w.current = at - kept
		}
		next := w.current + 1
		w.firstAttempts[next%int64(len(w.firstAttempts))] = 0
		w.retries[next%int64(len(w.retries))] = 0
	}
}
