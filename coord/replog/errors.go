package replog

import "github.com/juju/errors"

// Errors of a Node. None of them leaves a proposal in the log.
const (
	// ErrNotLeader: another node may take it; Status().Leader is the hint.
	ErrNotLeader = errors.ConstError("not the leader")
	// ErrOverloaded: too much waits for a majority; come back later.
	ErrOverloaded = errors.ConstError("too many bytes wait for a majority")
	// ErrTransferring: leadership is about to go to another node.
	ErrTransferring = errors.ConstError("leadership is being transferred")
	// ErrEmpty: a proposal without data.
	ErrEmpty = errors.ConstError("proposal without data")
	// ErrConfPending: the previous configuration is not applied yet, the
	// leader has not committed an entry of its term, or a lease that was
	// given out under an earlier configuration is not covered by this one.
	ErrConfPending = errors.ConstError("the previous configuration is not settled")
	// ErrNotCaughtUp: a learner is promoted only once it holds the log.
	ErrNotCaughtUp = errors.ConstError("learner has not caught up")
	// ErrLeaderChange: a leader does not take itself out; transfer first.
	ErrSelfChange = errors.ConstError("the change is about the leader itself")
	// ErrWrongNode: a message for another node id.
	ErrWrongNode = errors.ConstError("message for another node")
	// ErrMalformed: a message that no node of this version sends.
	ErrMalformed = errors.ConstError("malformed message")
	// ErrCompacted: the index lies before the log or is not applied yet.
	ErrCompacted = errors.ConstError("index is not in the applied log")
)
