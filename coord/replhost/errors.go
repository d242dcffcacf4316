package replhost

import (
	"fmt"

	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/verdict"
)

// Codes of the errors that the Node's calls return. The verdict of each error says
// whether the proposal may take or may have taken effect.
const (
	// CodeNotLeader: another node may accept it; see NotLeaderError.
	CodeNotLeader verdict.Code = "not_leader"
	// CodeOverloaded: a queue is full, or too many bytes wait for a majority.
	CodeOverloaded verdict.Code = "overloaded"
	// CodeInvalidSize: the proposal is empty or larger than MaxProposalBytes.
	CodeInvalidSize verdict.Code = "invalid_size"
	// CodeSuperseded: another leader's entry was committed at its index.
	CodeSuperseded verdict.Code = "superseded"
	// CodeUnknownResult: a snapshot from another node covers its index.
	CodeUnknownResult verdict.Code = "unknown_result"
	// CodeTimeout: the context ended.
	CodeTimeout verdict.Code = "timeout"
	// CodeStopped: the node was stopped or failed; see Status.
	CodeStopped verdict.Code = "stopped"
	// CodeRefused: the core rejected a configuration change or a transfer; Err says
	// why.
	CodeRefused verdict.Code = "refused"
)

// NotLeaderError names the leader that a follower knows of.
type NotLeaderError struct {
	// Leader is a node id, empty if none is known.
	Leader string
}

// Error names the leader.
func (e *NotLeaderError) Error() string { return fmt.Sprintf("the leader is %q", e.Leader) }

func newError(v verdict.Verdict, code verdict.Code, message string, err error) *verdict.Error {
	e := verdict.New(v, code, message)
	e.Err = err
	return e
}

// coreError converts an error of the core into one for the caller. The core changes
// nothing when it returns an error, so the verdict is NotRun.
func coreError(err error, leader string) *verdict.Error {
	switch {
	case errors.Is(err, replog.ErrNotLeader), errors.Is(err, replog.ErrTransferring):
		return newError(verdict.NotRun, CodeNotLeader, err.Error(), &NotLeaderError{Leader: leader})
	case errors.Is(err, replog.ErrOverloaded):
		return newError(verdict.NotRun, CodeOverloaded, err.Error(), err)
	}
	return newError(verdict.NotRun, CodeRefused, err.Error(), err)
}
