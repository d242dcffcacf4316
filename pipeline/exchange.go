package pipeline

import (
	"context"
	"net/http"
	"time"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/pipeline/hop"
	"github.com/gullhaven/gullhaven/pipeline/openai"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
)

// Kind is the kind of a request.
type Kind uint8

// Kinds of requests: chat completions, text completions, plain services.
const (
	KindChat Kind = iota
	KindText
	KindPlain
)

// Exchange is one request and what the filters found out about it.
type Exchange struct {
	// Ctx ends when the caller leaves, and from Attempts on also at the deadline.
	Ctx context.Context
	W   http.ResponseWriter
	R   *http.Request
	// ID is returned to the caller; Number is unique within the process.
	ID      string
	Number  uint64
	Kind    Kind
	Arrival time.Time
	// now is the clock of Arrival.
	now func() time.Time
	// View is the bundle in force at arrival.
	View *View
	// Peer is the instance that forwarded the request; empty for a caller's own.
	Peer string
	// Hops are the instances that forwarded the request, first to last.
	Hops hop.Path

	Workspace *bundle.Workspace
	Service   *bundle.Service
	Adapter   string
	Terms     Terms
	// Deadline and FirstTokenBy are points in time; FirstTokenBy may be zero.
	Deadline, FirstTokenBy time.Time
	// Regions that may serve the request; empty means any.
	Regions []string

	// Body is the request body, where it is read whole.
	Body []byte
	// Request is nil for plain services.
	Request *openai.Request
	Prefix  []uint64
	// Digest is the same for the same work under another request id.
	Digest ports.Digest
	// Once marks a request that may run at most once.
	Once bool

	// PriorVerdict is the verdict that earlier requests with the same
	// idempotency key may have reached, as far as is known here.
	PriorVerdict verdict.Verdict
	// Verdict is joined over this instance's own attempts.
	Verdict verdict.Verdict

	// claim is held by a request that runs at most once.
	claim *claimed
	// tried are the targets that attempts were decided for.
	tried []route.TargetID

	// bodyStream is the caller's body where it is streamed to the target.
	bodyStream *trackedBody

	// What was relayed to the caller so far, and from where.
	headWritten bool
	firstByte   time.Time
	// targetTime is the time of this instance's own attempts, summed.
	targetTime  time.Duration
	chunks      int
	spillRegion string
	target      route.TargetID
	replayed    bool
}

// joinVerdict joins the verdict of an attempt with those before.
func (x *Exchange) joinVerdict(v verdict.Verdict) { x.Verdict = x.Verdict.Join(v) }

// finalError returns the error as the caller receives it, with the verdict of
// all attempts and of earlier requests with its key.
func (x *Exchange) finalError(e *verdict.Error) *verdict.Error {
	return e.Raise(x.Verdict.Join(x.PriorVerdict))
}

// releaseBody drops what only another attempt would need. It is called when the
// answer to the caller has begun, as a stream may stay open for long after that.
func (x *Exchange) releaseBody() {
	x.Body = nil
	if x.Request != nil {
		x.Request.Prompt = nil
	}
}

// streamed reports whether the answer is sent as server-sent events.
func (x *Exchange) streamed() bool { return x.Request != nil && x.Request.Stream }

// routeRequest returns the request as routing takes it.
func (x *Exchange) routeRequest() *route.Request {
	r := &route.Request{
		ID:           x.Number,
		Service:      x.Service.ID,
		Adapter:      x.Adapter,
		Workspace:    x.Workspace.ID,
		Priority:     x.Terms.Priority,
		Arrival:      x.Arrival,
		Deadline:     x.Deadline,
		FirstTokenBy: x.FirstTokenBy,
		Prefix:       x.Prefix,
		Idempotent:   !x.Once,
		Home:         x.Workspace.Home,
		Regions:      x.Regions,
		Forwarded:    x.Hops.FromOtherRegion(x.View.Region),
	}
	if x.Once {
		// The claim was granted to this instance; no other may send the request.
		r.Regions = []string{x.View.Region}
	}
	if x.Request != nil {
		r.PromptTokens = x.Request.PromptTokens()
		r.OutputTokens = x.Request.OutputTokens()
	}
	return r
}

// claimKey returns the key under which the request is claimed.
func (x *Exchange) claimKey() claim.Key {
	return claim.KeyOf(x.Workspace.ID, x.Service.ID+"\x00"+x.Terms.IdempotencyKey)
}
