package exchange

import "time"

// pauseDetector detects that this process stood still or lagged, so that what it reads afterwards may
// have waited in its sockets. It is not safe for concurrent use.
type pauseDetector struct {
	// maxLag is the longest time between two heartbeats that is not a pause; 0 if none is detected.
	maxLag time.Duration
	// heartbeatAt is the time of the last heartbeat.
	heartbeatAt time.Time
	// endedAt is the end of the last pause; until caughtUpAt, requests may have waited since before
	// it. A pause before caughtUpAt continues the last one.
	endedAt, caughtUpAt time.Time
}

// heartbeat records that the process runs, and returns the pause that ends now; 0 for none.
func (p *pauseDetector) heartbeat(now time.Time) time.Duration {
	gap := now.Sub(p.heartbeatAt)
	if gap <= 0 {
		return 0
	}
	p.heartbeatAt = now
	if gap <= p.maxLag || p.maxLag == 0 {
		return 0
	}
	if now.After(p.caughtUpAt) {
		p.endedAt = now
	}
	// To read what has waited takes less time than it waited: an overloaded process shows by a
	// further lag.
	if until := now.Add(gap); until.After(p.caughtUpAt) {
		p.caughtUpAt = until
	}
	return gap
}

// mayHaveWaited reports whether a request that was read at a time may have waited for longer than
// maxLag.
func (p *pauseDetector) mayHaveWaited(readAt time.Time) bool {
	return !readAt.Before(p.endedAt) && readAt.Before(p.caughtUpAt)
}
