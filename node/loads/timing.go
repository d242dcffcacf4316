package loads

import "time"

// Traffic budget of load observations, for one instance and direction, independent
// of the size of the region.
const (
	// SteadyBytesPerSecond bounds the observations that an instance receives.
	SteadyBytesPerSecond = 2200
	// ExtraBytesPerSecond is the additional budget for versions, adapters,
	// incarnations and cache events.
	ExtraBytesPerSecond = 300
)

// Bounds on the sizes of messages; a test compares them with the encoding.
const (
	// MessageBytes bounds a message without rows: 37 B of TLS, WebSocket and frame
	// overhead around a payload, and 4 B for an empty message.
	MessageBytes = 44
	// LoadBytes bounds the row of one engine's load.
	LoadBytes = 25
)

const (
	// PollInterval is the time between two polls of an engine by its owner in a
	// small region, and maxPollInterval that in a large region, where the owner
	// shares its observations less often. Three consecutive failures still fit
	// into 1.2 s.
	PollInterval    = 200 * time.Millisecond
	maxPollInterval = 400 * time.Millisecond
	// tickInterval is the time between two checks for a message to send, and the
	// shortest share interval.
	tickInterval = 100 * time.Millisecond
	// reportValidity is how long routing uses a report, less the delay of a round:
	// repeats of unchanged loads are omitted only within it.
	reportValidity = 4 * time.Second
	// backupSlack is how late a batch may be before a backup polls.
	backupSlack = 500 * time.Millisecond
	// minDownTime is the least time for which a target reported down counts as down.
	minDownTime = 5 * time.Second
)

// Timing holds the intervals of polling and sharing. All instances of a region compute
// the same values from the same members and targets. While their views differ, a
// backup may poll too early, which costs a few polls.
type Timing struct {
	// PollInterval is the time between two polls of an engine by its owner.
	PollInterval time.Duration
	// ShareInterval is the time between two regular messages of an owner (rounds).
	ShareInterval time.Duration
	// RepeatInterval is the longest time until an unchanged observation is sent again.
	RepeatInterval time.Duration
	// BackupDelay is the time without reports of the owner after which the backup polls.
	BackupDelay time.Duration
	// DownTTL is the time after which a target that was reported down is tried
	// again if no other report arrives: the reporting instance may be cut off.
	DownTTL time.Duration
}

// TimingOf returns the Timing for a region with the given numbers of members and
// targets, of which the busiest owner owns owned. With n members, an instance receives
// (n-1)*MessageBytes + targets*LoadBytes per ShareInterval, which is long enough for
// SteadyBytesPerSecond to allow that. The busiest owner sends at most
// 2*SteadyBytesPerSecond.
func TimingOf(members, targets, owned int) Timing {
	peers := float64(max(0, members-1))
	received := (peers*MessageBytes + float64(targets)*LoadBytes) / SteadyBytesPerSecond
	sent := peers * float64(MessageBytes+owned*LoadBytes) / (2 * SteadyBytesPerSecond)
	share := max(tickInterval, time.Duration(max(received, sent)*float64(time.Second)))
	p := Timing{ShareInterval: share, RepeatInterval: share, PollInterval: min(max(PollInterval, share/4), maxPollInterval)}
	if 2*share <= reportValidity {
		p.RepeatInterval = 2 * share
	}
	p.BackupDelay = p.RepeatInterval + share + backupSlack
	p.DownTTL = max(minDownTime, 2*p.BackupDelay)
	return p
}
