package ports

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gullhaven/gullhaven/coord/claim"
)

// Digest is a SHA-256 sum.
type Digest [32]byte

// ErrClaimNotSent marks an error of Claims.Propose after which the command
// can't have reached its home. Any other error leaves that open.
var ErrClaimNotSent = errors.New("claim not sent")

// Claims proposes commands to the tables that keep non-idempotent requests
// from running twice (package coord/claim).
type Claims interface {
	// Propose has a command committed in the log of the home region and returns
	// the table's reply. It returns when ctx ends at the latest.
	Propose(ctx context.Context, home string, c claim.Command) (claim.Result, error)
}

// Suspicion says how a request may run.
type Suspicion uint8

const (
	// SuspectNone: like any other.
	SuspectNone Suspicion = iota
	// SuspectAlone: only at a target that runs nothing else meanwhile.
	SuspectAlone
	// SuspectRefused: not at all; it has taken targets down.
	SuspectRefused
)

// Suspects recognises requests that take targets down.
type Suspects interface {
	// Check tells how a request with this digest may run.
	Check(now time.Time, d Digest) Suspicion
	// Started records a sending; Ended its end. Crashed is set when the target
	// broke off, as opposed to answering with an error.
	Started(now time.Time, a AttemptID, target string, d Digest)
	Ended(now time.Time, a AttemptID, crashed bool)
}

// LimitAnswer is the answer to a request for tokens of a limit.
type LimitAnswer struct {
	OK bool
	// RetryAfter goes with a refusal.
	RetryAfter time.Duration
}

// Limits holds this instance's shares of the workspaces' limits.
type Limits interface {
	// Take uses up requests and tokens of a workspace's share, or neither.
	Take(now time.Time, workspace string, requests, tokens float64) LimitAnswer
}

// ForwardRequest is a request passed on to another region.
type ForwardRequest struct {
	Region string
	Method string
	// Target is path and query.
	Target string
	Header http.Header
	Body   io.Reader
	Length int64
	Once   bool
}

// Forwarder passes a request on to an instance of another region.
type Forwarder interface {
	// Forward sends it; an answer of any status is no error.
	Forward(ctx context.Context, r ForwardRequest) (*PlainAnswer, error)
}

// RetryBudget bounds retries by successes; one for each instance.
type RetryBudget interface {
	// Deposit records a first sending.
	Deposit(now time.Time)
	// Withdraw reports whether a retry or hedge may be sent.
	Withdraw(now time.Time) bool
}
