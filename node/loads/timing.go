package loads

import "time"

// Budget of load observations, for one instance and direction, whatever the
// size of the region.
const (
	// SteadyBytes in a second that an instance receives of observations.
	SteadyBytesPerSecond = 2200
	// ExtraBytes in a second beside them, for versions, adapters, lives and
	// cache events.
	ExtraBytesPerSecond = 300
)

// Bounds on what is sent; a test compares them with the encoding.
const (
	// MessageBytes bounds a message without rows: 37 B were measured around a
	// payload (TLS, WebSocket, frame), and an empty message takes 4.
	MessageBytes = 44
	// LoadBytes bounds the row of one engine's load.
	LoadBytes = 25
)

const (
	// PollInterval is the time between two polls of an engine by its owner in a
	// small region, and slowestPoll the one in a large region, where others hear
	// of it more seldom. Three failures in a row still fit into 1.2 s.
	PollInterval = 200 * time.Millisecond
	slowestPoll  = 400 * time.Millisecond
	// tick is how often the loop looks for something to say, and the shortest
	// interval.
	tick = 100 * time.Millisecond
	// believed is how long routing believes a report, less a round's delay:
	// repeats of unchanged loads are left out only within it.
	believed = 4 * time.Second
	// slack is what a batch may be late before a deputy polls.
	slack = 500 * time.Millisecond
	// shortestDown is the least time that a target reported down stays so.
	shortestDown = 5 * time.Second
)

// Pace holds the times of sharing. All instances of a region work out the same
// from the same members and targets; while their views differ a deputy polls
// too early, which costs a few polls.
type Timing struct {
	// Poll is the time between two polls of an engine by its owner.
	PollInterval time.Duration
	// Share is the time between two batches of an owner.
	ShareInterval time.Duration
	// Repeat is the longest time until an unchanged observation is told again.
	RepeatInterval time.Duration
	// Deputy is how long reports stay out before the deputy polls.
	BackupDelay time.Duration
	// Forget lets a target that was reported down be tried again when nobody
	// has said anything of it for so long: who said so may be cut off.
	DownExpiry time.Duration
}

// PaceOf works out the times for a region of members and targets, where the
// busiest owner has owned of them. With n-1 senders that each send a message in
// a Share, an instance receives (n-1)*MessageBytes + targets*LoadBytes in it:
// Share is the time in which SteadyBytes allow that. The busiest owner sends
// at most twice SteadyBytes.
func TimingOf(members, targets, owned int) Timing {
	peers := float64(max(0, members-1))
	received := (peers*MessageBytes + float64(targets)*LoadBytes) / SteadyBytesPerSecond
	sent := peers * float64(MessageBytes+owned*LoadBytes) / (2 * SteadyBytesPerSecond)
	share := max(tick, time.Duration(max(received, sent)*float64(time.Second)))
	p := Timing{ShareInterval: share, RepeatInterval: share, PollInterval: min(max(PollInterval, share/4), slowestPoll)}
	if 2*share <= believed {
		p.RepeatInterval = 2 * share
	}
	p.BackupDelay = p.RepeatInterval + share + slack
	p.DownExpiry = max(shortestDown, 2*p.BackupDelay)
	return p
}
