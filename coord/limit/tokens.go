package limit

import "time"

// TakeTokens spends tokens of a request whose own unit Take has spent before
// its size was known. If not ok, wait says when to come back; the request's
// unit stays spent, as it has been worked on.
func (l *Limiter) TakeTokens(now time.Time, workspace string, tokens float64) (ok bool, wait time.Duration) {
	return l.take(now, ID{workspace, Tokens}, tokens)
}
