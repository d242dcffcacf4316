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

// AttemptEnd is how a sending ended, as far as suspicion goes.
type AttemptEnd uint8

const (
	// AttemptOther: cancelled, refused, or an error that the target told.
	AttemptOther AttemptEnd = iota
	// AttemptFinished: the whole answer came.
	AttemptFinished
	// AttemptCrashed: the target broke off by itself.
	AttemptCrashed
)

// Suspects recognises requests that take targets down (package coord/suspect).
type Suspects interface {
	// Check tells how a request with this digest may run.
	Check(now time.Time, d Digest) Suspicion
	// Started records a sending; alone says that the target runs nothing else.
	Started(now time.Time, a AttemptID, target string, d Digest, alone bool)
	// Ended records its end. After a crash it returns once the suspects are
	// published in the region, within a bound of time: the request is retried
	// or answered only then, so that a resend finds them wherever it arrives.
	Ended(now time.Time, a AttemptID, e AttemptEnd)
}

// LoneRun is a target that runs nothing else and gets nothing else.
type LoneRun struct {
	Target string
	// Release ends the run; it must be called.
	Release func()
}

// LoneRuns gives suspects a target of their own, one in a region at a time for
// each digest.
type LoneRuns interface {
	// Begin waits for an idle target of the service until ctx ends at the latest.
	Begin(ctx context.Context, service string, d Digest) (LoneRun, error)
}

// LimitAnswer is the answer to a request for tokens of a limit.
type LimitDecision struct {
	Allowed bool
	// RetryAfter goes with a refusal.
	RetryAfter time.Duration
}

// Limits holds this instance's shares of the workspaces' limits.
type Limits interface {
	// Take uses up requests and tokens of a workspace's share, or neither.
	Consume(now time.Time, workspace string, requests, tokens float64) LimitDecision
}

// ForwardRequest is a request passed on to another instance.
type ForwardRequest struct {
	Region string
	// Instance to pass it on to; empty means any of the region.
	Instance string
	Method   string
	// Target is path and query.
	Target string
	Header http.Header
	Body   io.Reader
	Length int64
	Once   bool
}

// Forwarder passes requests on to other instances.
type Forwarder interface {
	// Forward sends it; an answer of any status is no error. It is never sent to
	// this instance itself.
	Forward(ctx context.Context, r ForwardRequest) (*PlainAnswer, error)
}
