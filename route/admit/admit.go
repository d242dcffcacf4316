// Package admit decides which requests are refused while more arrive than the targets of a group can
// serve in time. Workspaces that have had more than their fair share of the work are refused first,
// while the others still get their first event within the aim of their route.
//
// The package does no input or output, reads no clock and uses no random numbers: the time is passed in.
package admit

import "time"

// Request is a request that has a target, as far as its admission depends on it.
type Request struct {
	// Workspace is the name of the caller's workspace; empty for none. All requests without one
	// count as those of one workspace.
	Workspace string
	// Rank is the priority; 0 is the most urgent. QueueMillis holds only what is ahead of this rank,
	// so Shares does not weigh it again.
	Rank int
	// QueueMillis is the work queued ahead at the target and WaitMillis the expected time to the first
	// event, both in milliseconds.
	QueueMillis, WaitMillis float64
	// WorkMillis is the time that the request itself takes at the target, in milliseconds.
	WorkMillis float64
	// Aim is the time within which the answer is to begin; 0 for none. Left is the time to the deadline.
	Aim, Left time.Duration
	// Outranked says that Precedence leaves the request no room beside more urgent ones.
	Outranked bool
	// Promised says that the request takes a place that it was promised: the length of the queue is no
	// reason to refuse it.
	Promised bool
}

// Reason is why a request is refused; empty for one that is admitted. Reasons are codes that callers
// and logs see.
type Reason string

const (
	// Overloaded: the work queued ahead takes longer than the aim.
	Overloaded Reason = "overloaded"
	// OverShare: the workspace is over its share, and the work queued ahead takes longer than half the
	// aim.
	OverShare Reason = "over_share"
	// Outranked: more urgent requests need the room.
	Outranked Reason = "outranked"
	// PastDeadline: the first event is expected after the deadline, and the request is no trial.
	PastDeadline Reason = "past_deadline"
)

const (
	// maxQueueShare is the share of the aim that the queue may take before a request of any workspace:
	// beyond it, the first event is late for certain.
	maxQueueShare = 1.0
	// maxQueueShareOver is the same for a workspace over its share: half, so that the others get their
	// first event with half the aim to spare.
	maxQueueShareOver = 0.5
)

// queueLongerThan reports whether the queue takes longer than a share of the aim. There is no aim of 0.
func (r *Request) queueLongerThan(share float64) bool {
	return r.Aim > 0 && r.QueueMillis > share*millis(r.Aim)
}

// pastDeadline reports whether the first event is expected after the deadline. A request without an aim
// waits as long as its caller does, whatever is expected.
func (r *Request) pastDeadline() bool { return r.Aim > 0 && r.WaitMillis > millis(r.Left) }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Decision is the answer to a request.
type Decision struct {
	// Reason is why the request is refused; empty if it is admitted.
	Reason Reason
	// UsedMillis is the work admitted for the workspace, and ShareMillis its fair level, in
	// milliseconds of work, decayed over Decay. The request itself is not in UsedMillis. Both are 0 for
	// a request that is admitted with less than half its aim queued ahead, as nothing depended on them.
	UsedMillis, ShareMillis float64
}

// OverShare reports whether the workspace has had more than its share, whatever the request was refused
// for.
func (d Decision) OverShare() bool { return d.UsedMillis > d.ShareMillis*(1+tolerance) }

// Refused reports whether the request is refused.
func (d Decision) Refused() bool { return d.Reason != "" }
