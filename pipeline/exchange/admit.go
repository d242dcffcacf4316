package exchange

import "github.com/gullhaven/gullhaven/coord/verdict"

// lateShare is how much of the route's aim what waits in front of a request may take: with
// more, the first event comes late for sure.
//
// What goes wrong without it: for as long as more comes than the engines can read, all
// wait behind each other and all are late. On a day with a burst over all regions (59
// entry instances, 90 engines) 44% of the long and 58% of the short prompts were in time
// without it, and 60 and 72% with it.
const lateShare = 1.0

// overloaded reports whether a request that has not run is refused, at once and with when
// to come back, as even the best place would answer it late. A request that another
// attempt may have run goes on.
func (q *request) overloaded(p *place) bool {
	if q.verdict != verdict.NotRun || q.begun || q.route.Aim <= 0 {
		return false
	}
	return p.choice.Front > lateShare*float64(q.route.Aim.Milliseconds())
}
