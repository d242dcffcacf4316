package replog

import "github.com/juju/errors"

// Errors of a Node. None of them leaves a proposal in the log.
const (
	// ErrNotLeader: another node may accept it; Status().Leader is a hint.
	ErrNotLeader = errors.ConstError("not the leader")
	// ErrOverloaded: MaxUncommittedBytes is reached; retry later.
	ErrOverloaded = errors.ConstError("too many bytes wait for a majority")
	// ErrTransferring: a leader transfer is in progress.
	ErrTransferring = errors.ConstError("leadership is being transferred")
	// ErrEmpty: the proposal has no data.
	ErrEmpty = errors.ConstError("proposal without data")
	// ErrConfPending: the previous configuration is not applied yet, the leader has not
	// committed an entry of its term, or a lease returned under an earlier
	// configuration is not covered by this one.
	ErrConfPending = errors.ConstError("the previous configuration is not settled")
	// ErrNotCaughtUp: a learner is promoted only once it holds the log.
	ErrNotCaughtUp = errors.ConstError("learner has not caught up")
	// ErrSelfChange: a leader cannot change its own membership; transfer leadership
	// first.
	ErrSelfChange = errors.ConstError("the change is about the leader itself")
	// ErrWrongNode: the message is for another node id.
	ErrWrongNode = errors.ConstError("message for another node")
	// ErrMalformed: no node of this version sends such a message.
	ErrMalformed = errors.ConstError("malformed message")
	// ErrCompacted: the index is before the log's start or not applied yet.
	ErrCompacted = errors.ConstError("index is not in the applied log")
)
