package retry

import "time"

// windowParts is how many parts a window's count is kept in: the error of the
// sliding sum is one part.
const windowParts = 10

// Window bounds what is sent beyond first sendings in any span of its length by a
// share of the first sendings in the span that ended when the last of them was sent,
// and a fixed allowance. Unlike a Budget it does
// not depend on successes: it serves where several senders keep a common bound by
// static shares, each with its part of the allowance. It is not safe for several
// goroutines.
type Window struct {
	share, allowance float64
	part             time.Duration
	start            time.Time
	// at is the number of the newest part since start.
	at     int64
	firsts [windowParts]int
	extras [windowParts + 1]int
}

// NewWindow makes a Window of the length span. share is how many extras each first
// sending allows, allowance how many are allowed beside.
func NewWindow(now time.Time, span time.Duration, share, allowance float64) *Window {
	return &Window{share: share, allowance: allowance, part: max(1, span/windowParts), start: now}
}

// SetAllowance replaces the allowance, as when the number of senders changes.
func (w *Window) SetAllowance(allowance float64) { w.allowance = allowance }

// First counts a first sending.
func (w *Window) First(now time.Time) {
	w.move(now)
	w.firsts[w.at%windowParts]++
}

// Use is what a Window holds.
type Use struct {
	// Firsts and Extras are counted in the span that ends now.
	Firsts, Extras int
	// Most is how many extras they allow.
	Most float64
}

// Use returns what is counted now.
func (w *Window) Use(now time.Time) Use {
	w.move(now)
	firsts := sum(w.firsts[:])
	return Use{Firsts: firsts, Extras: sum(w.extras[:]), Most: w.share*float64(firsts) + w.allowance}
}

// TryExtra counts a further sending in and reports whether it is allowed.
func (w *Window) TryExtra(now time.Time) bool {
	if use := w.Use(now); float64(use.Extras+1) > use.Most {
		return false
	}
	w.extras[w.at%(windowParts+1)]++
	return true
}

// move clears the parts that have left the window. Extras are kept one part longer
// than the window, firsts are not, so that rounding never allows too much.
func (w *Window) move(now time.Time) {
	at := int64(now.Sub(w.start) / w.part)
	for ; w.at < at; w.at++ {
		if at-w.at > 2*windowParts {
			w.at = at - 2*windowParts
		}
		w.firsts[(w.at+1)%windowParts] = 0
		w.extras[(w.at+1)%(windowParts+1)] = 0
	}
}

func sum(counts []int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
