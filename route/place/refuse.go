package place

import "time"

// lateShare is how much of the route's aim what waits in front of a request may take: with
// more, the first event comes late for sure.
//
// What goes wrong without it: for as long as more comes than the engines can read, all
// wait behind each other and all are late.
const lateShare = 1.0

// Overloaded reports whether a request that has not run is refused, at once and with when
// to come back, as even the best place would answer it late: front is what waits before it
// there, in milliseconds, and aim the time within which its answer is to begin, 0 for none.
// The request's own length does not count, or long ones would never be served.
func Overloaded(front float64, aim time.Duration) bool {
	return aim > 0 && front > lateShare*float64(aim.Milliseconds())
}
