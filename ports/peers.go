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

// ErrClaimNotSent marks an error of Claims.Propose after which the command cannot
// have reached its home region. After any other error it may have.
var ErrClaimNotSent = errors.New("claim not sent")

// Claims proposes commands to the tables that keep non-idempotent requests
// from running twice (package coord/claim).
type Claims interface {
	// Propose commits a command in the log of the home region and returns the
	// table's reply. It returns when ctx ends at the latest.
	Propose(ctx context.Context, home string, c claim.Command) (claim.Result, error)
}

// Suspicion says how a request may run.
type Suspicion uint8

const (
	// SuspectNone: without restriction.
	SuspectNone Suspicion = iota
	// SuspectAlone: only at a target that runs nothing else at the same time.
	SuspectAlone
	// SuspectRefused: not at all; it has crashed targets.
	SuspectRefused
)

// AttemptEnd is the end of an attempt as far as it matters to Suspects.
type AttemptEnd uint8

const (
	// AttemptOther: cancelled, refused, or an error that the target reported.
	AttemptOther AttemptEnd = iota
	// AttemptFinished: the whole answer was received.
	AttemptFinished
	// AttemptCrashed: the target broke the attempt off by itself.
	AttemptCrashed
)

// Suspects detects requests that crash targets (package coord/suspect).
type Suspects interface {
	// Check returns how a request with this digest may run.
	Check(now time.Time, d Digest) Suspicion
	// Started records the start of an attempt; alone is true if the target runs
	// nothing else.
	Started(now time.Time, a AttemptID, target string, d Digest, alone bool)
	// Ended records the end of an attempt. After a crash it returns once the
	// suspects are published in the region, within a time limit. The request is
	// retried or answered only then, so that a resend is checked against them at
	// any instance.
	Ended(now time.Time, a AttemptID, e AttemptEnd)
}

// LoneRun is a target reserved for one request: it runs nothing else until Release.
type LoneRun struct {
	Target string
	// Release ends the run; it must be called.
	Release func()
}

// LoneRuns reserves targets for suspects, in a region one at a time for each digest.
type LoneRuns interface {
	// Begin waits for an idle target of the service until ctx ends at the latest.
	Begin(ctx context.Context, service string, d Digest) (LoneRun, error)
}

// LimitDecision is the result of Limits.Consume.
type LimitDecision struct {
	Allowed bool
	// RetryAfter is set with a refusal.
	RetryAfter time.Duration
}

// Limits holds this instance's shares of the workspaces' limits.
type Limits interface {
	// Consume takes requests and tokens from a workspace's share, or neither.
	Consume(now time.Time, workspace string, requests, tokens float64) LimitDecision
}

// ForwardRequest is a request to forward to another instance.
type ForwardRequest struct {
	Region string
	// Instance to forward it to; empty means any of the region.
	Instance string
	Method   string
	// Target is the path and query.
	Target string
	Header http.Header
	Body   io.Reader
	Length int64
	Once   bool
}

// Forwarder forwards requests to other instances.
type Forwarder interface {
	// Forward sends a request, never to this instance itself. An answer of any
	// status is no error.
	Forward(ctx context.Context, r ForwardRequest) (*PlainAnswer, error)
}
