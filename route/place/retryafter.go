package place

import "time"

// RetryReason is why a caller is told to retry later.
type RetryReason uint8

const (
	// Busy: no target can take the request in time. Targets come and go within seconds, and another
	// instance may know of more.
	Busy RetryReason = iota
	// Starting: the instance has just started and knows no configuration or targets yet.
	Starting
	// Leaving: the instance is leaving, and another one accepts the request now.
	Leaving
	// Draining: all targets of the service are draining, and the list names no other one yet.
	Draining
	// PoisonRequest: the request has crashed several targets and is refused until its next trial.
	PoisonRequest
)

// retryDelays are the delays before a retry by a caller without a deadline.
var retryDelays = map[RetryReason]time.Duration{
	Busy: 250 * time.Millisecond,
	// Callers that retry before a starting instance has a view are refused again, and most do not
	// try a third time. Callers that retry much later are late.
	Starting:      350 * time.Millisecond,
	Leaving:       20 * time.Millisecond,
	Draining:      time.Second,
	PoisonRequest: time.Second,
}

// StartWait is how long a request waits for the first view of an instance that has started: 227
// instances that started together had theirs 0.5 to 1.1 s after their start, and callers give up on
// a request that is not read within a second.
//
// When all instances lose power or are killed, all callers return as soon as the first instances
// listen. Without the wait, callers refused then have used up their attempts although the instance
// could have served them half a second later: 2,233 in one second, half of all requests.
const StartWait = 900 * time.Millisecond

// minRetryAfter is the least delay for a caller with little time left.
const minRetryAfter = 50 * time.Millisecond

// RetryAfter returns the delay after which a caller should retry: at most a third of the time left
// until its deadline, but not below minRetryAfter unless the reason's own delay is shorter. left is
// 0 for a caller without a deadline, which gets the reason's full delay.
func RetryAfter(why RetryReason, left time.Duration) time.Duration {
	after := retryDelays[why]
	if left <= 0 {
		return after
	}
	return max(min(after, left/3), min(after, minRetryAfter))
}

// minLimitRetryAfter and maxLimitRetryAfter bound the delay for a caller whose workspace has used
// up its limit: units are added continuously, and a caller with a delay of a minute does not come
// back at all.
const (
	minLimitRetryAfter = 100 * time.Millisecond
	maxLimitRetryAfter = 10 * time.Second
)

// LimitRetryAfter returns the delay after which a caller should retry whose workspace has units
// again after retryAfter: from minLimitRetryAfter to maxLimitRetryAfter.
func LimitRetryAfter(retryAfter time.Duration) time.Duration {
	return min(max(retryAfter, minLimitRetryAfter), maxLimitRetryAfter)
}

const (
	// minRestSpread and maxRestSpread bound the time over which the callers that were refused
	// during a rest return after it.
	minRestSpread = 100 * time.Millisecond
	maxRestSpread = 2 * time.Second
)

// RestRetryAfter returns the delay for a caller that is refused because all targets rest, the first
// for the time left of the asked rest. Callers return over a time as long as the whole rest, or the
// half of what their deadline leaves after it, so that they come back about as fast as they were
// refused. deadline is the time until the caller's deadline, 0 for none, and uniform a random
// number in [0, 1).
func RestRetryAfter(left, asked, deadline time.Duration, uniform float64) time.Duration {
	spread := min(asked, maxRestSpread)
	if after := deadline - left; after > 0 {
		spread = min(spread, after/2)
	}
	return left + time.Duration(uniform*float64(max(spread, minRestSpread)))
}
