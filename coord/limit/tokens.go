package limit

import "time"

// ConsumeTokens consumes the tokens of a request that Consume has already counted,
// before its size was known. If not allowed, retryAfter is the time until a retry may
// succeed; the request itself stays counted, as work was done on it.
func (l *Limiter) ConsumeTokens(now time.Time, workspace string, tokens float64) (allowed bool, retryAfter time.Duration) {
	return l.consume(now, ID{workspace, Tokens}, tokens)
}
