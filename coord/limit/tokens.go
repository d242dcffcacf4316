package limit

import "time"

// TakeTokens consumes the tokens of a request that Take has already counted,
// before its size was known. If not ok, wait is the time until a retry may
// succeed; the request itself stays counted, as work was done on it.
func (l *Limiter) TakeTokens(now time.Time, workspace string, tokens float64) (ok bool, wait time.Duration) {
	return l.take(now, ID{workspace, Tokens}, tokens)
}
