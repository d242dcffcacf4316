package place

import "time"

// Why a caller is told to come back.
type RetryReason uint8

const (
	// Busy: no target can take the request in time; targets come and go within seconds, and
	// another instance may know more.
	Busy RetryReason = iota
	// Starting: the instance has started and knows no configuration or target yet.
	Starting
	// Leaving: the instance leaves, and another one takes the request now.
	Leaving
	// Killing: the request has crashed each target that ran it, and is refused for long.
	PoisonRequest
)

// back is when a caller should come back.
var back = map[RetryReason]time.Duration{
	Busy: 250 * time.Millisecond,
	// Callers that come back earlier than an instance that starts has a view are refused
	// again, and most do not come a third time; those that come much later are late.
	Starting:      350 * time.Millisecond,
	Leaving:       20 * time.Millisecond,
	PoisonRequest: time.Second,
}

// StartWait is how long a request waits for the first view of an instance that has started:
// 227 instances that started together had theirs 0.5 to 1.1 s after their start, and callers
// give up what is not read within a second.
//
// The load pattern: all instances lose power or are killed, and all callers are back as soon
// as the first of them listen. What goes wrong without it: those that are refused then have
// used up their attempts, though the instance could have served them half a second later: on
// that day 2,233 in a second, half of all that came.
const StartWait = 900 * time.Millisecond

// soonest bounds how soon a caller with little time left is asked back.
const soonest = 50 * time.Millisecond

// Return is when a caller that has left so much time should come back: it honours a third
// of that at most. A caller that told no deadline has left 0 and is told the whole time.
func RetryAfter(why RetryReason, left time.Duration) time.Duration {
	after := back[why]
	if left <= 0 {
		return after
	}
	return max(min(after, left/3), min(after, soonest))
}

// soonestUnits and latestUnits bound when a caller comes back whose workspace has used up its
// limit: units come by the second, and one that is told a minute does not come at all.
const (
	soonestUnits = 100 * time.Millisecond
	latestUnits  = 10 * time.Second
)

// ReturnAfter is when a caller should come back whose workspace has units again after wait.
func LimitRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, soonestUnits), latestUnits)
}
