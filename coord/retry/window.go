package retry

import (
	"math"
	"time"
)

// windowParts is how many parts a span is counted in: the error of the sliding sums is one
// part.
const windowParts = 10

// Window bounds what one of several senders sends beyond first sendings, so that the sum over
// all of them keeps a common bound without a word between them. Unlike a Budget it does not
// depend on successes. It is not safe for several goroutines.
//
// For each moment a in the span that ends now, the extras since a are at most share times the
// first sendings since a span before a, and the allowance. So the extras in any span are earned
// by the first sendings of that span and of the one before it, at all senders alike, and sums
// over senders keep
//
//	extras(span) <= share * (firsts(span) + firsts(span before)) + allowances
//
// also where the load moves between senders. A bound by the first sendings of the span that
// ends now would not add up: each sender would allow by the span in which it was busiest.
//
// A sender that starts anew has forgotten what it sent, and what that was earned by. Its last
// life and this one still earn each first sending once, so the sum above holds for them too,
// but for the allowance: that has to be smaller until a span has passed.
type Window struct {
	share, allowance float64
	part             time.Duration
	start            time.Time
	// at is the number of the newest part since start.
	at     int64
	firsts [2 * windowParts]int
	extras [windowParts + 1]int
}

// NewWindow makes a Window of the length span. share is how many extras each first sending
// allows in each of the two spans that it counts in, allowance how many are allowed beside.
func NewWindow(now time.Time, span time.Duration, share, allowance float64) *Window {
	return &Window{share: share, allowance: allowance, part: max(1, span/windowParts), start: now}
}

// SetAllowance replaces the allowance, as when the number of senders changes or a span
// has passed since this one started.
func (w *Window) SetAllowance(allowance float64) { w.allowance = allowance }

// CountFirstAttempt counts a first sending.
func (w *Window) CountFirstAttempt(now time.Time) {
	w.move(now)
	w.firsts[w.at%int64(len(w.firsts))]++
}

// Use is what a Window holds.
type Use struct {
	// FirstAttempts and Retries are counted in the span that ends now.
	FirstAttempts, Retries int
	// Remaining is how many extras are allowed now.
	Remaining float64
}

// Use returns what is counted now.
func (w *Window) Use(now time.Time) Use {
	w.move(now)
	use := Use{Remaining: math.Inf(1)}
	firsts := 0
	for back := range int64(windowParts) {
		firsts += w.firstsIn(w.at - back)
	}
	use.FirstAttempts = firsts
	for back := range int64(len(w.extras)) {
		use.Retries += w.extrasIn(w.at - back)
		use.Remaining = min(use.Remaining, w.share*float64(firsts)+w.allowance-float64(use.Retries))
		firsts += w.firstsIn(w.at - back - windowParts)
	}
	return use
}

// TryRetry counts a further sending in and reports whether it is allowed.
func (w *Window) TryRetry(now time.Time) bool {
	if w.Use(now).Remaining < 1 {
		return false
	}
	w.extras[w.at%int64(len(w.extras))]++
	return true
}

// firstsIn and extrasIn are the counts of a part that is still kept; none before the start.
func (w *Window) firstsIn(part int64) int {
	if part < 0 || part <= w.at-int64(len(w.firsts)) {
		return 0
	}
	return w.firsts[part%int64(len(w.firsts))]
}

func (w *Window) extrasIn(part int64) int {
	if part < 0 {
		return 0
	}
	return w.extras[part%int64(len(w.extras))]
}

// move clears the parts that are not kept any more.
func (w *Window) move(now time.Time) {
	at := int64(now.Sub(w.start) / w.part)
	for ; w.at < at; w.at++ {
		if kept := int64(len(w.firsts)); at-w.at > kept {
			w.at = at - kept
		}
		next := w.at + 1
		w.firsts[next%int64(len(w.firsts))] = 0
		w.extras[next%int64(len(w.extras))] = 0
	}
}
