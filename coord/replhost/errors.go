package replhost

import (
	"fmt"

	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/verdict"
)

// Codes of the errors of Propose, Read and the other calls. The verdict says
// for each error whether the proposal may take or have taken effect.
const (
	// CodeNotLeader: another node may take it; see NotLeaderError.
	CodeNotLeader verdict.Code = "not_leader"
	// CodeOverloaded: a queue is full, or too much waits for a majority.
	CodeOverloaded verdict.Code = "overloaded"
	// CodeTooLarge: the proposal is empty or larger than MaxProposalBytes.
	CodeInvalidSize verdict.Code = "invalid_size"
	// CodeSuperseded: another leader's entry took its place in the log.
	CodeSuperseded verdict.Code = "superseded"
	// CodeUnknown: its place was skipped by a snapshot of another node.
	CodeUnknownResult verdict.Code = "unknown_result"
	// CodeTimeout: the context ended.
	CodeTimeout verdict.Code = "timeout"
	// CodeStopped: the node was stopped or failed; see Status.
	CodeStopped verdict.Code = "stopped"
	// CodeRefused: the core refused a change of the configuration or a
	// transfer; Err says why.
	CodeRefused verdict.Code = "refused"
)

// NotLeaderError carries the leader that a follower knows of.
type NotLeaderError struct {
	// Leader is a node id, empty if none is known.
	Leader string
}

// Error names the leader.
func (e *NotLeaderError) Error() string { return fmt.Sprintf("the leader is %q", e.Leader) }

func failure(v verdict.Verdict, code verdict.Code, message string, err error) *verdict.Error {
	e := verdict.New(v, code, message)
	e.Err = err
	return e
}

// refusal turns an error of the core into one for the caller. The core takes
// nothing in when it returns an error, so the verdict is not run.
func refusal(err error, leader string) *verdict.Error {
	switch {
	case errors.Is(err, replog.ErrNotLeader), errors.Is(err, replog.ErrTransferring):
		return failure(verdict.NotRun, CodeNotLeader, err.Error(), &NotLeaderError{Leader: leader})
	case errors.Is(err, replog.ErrOverloaded):
		return failure(verdict.NotRun, CodeOverloaded, err.Error(), err)
	}
	return failure(verdict.NotRun, CodeRefused, err.Error(), err)
}
