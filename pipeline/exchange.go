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

// Kind tells what a request asks for.
type Kind uint8

// Kinds of requests.
const (
	KindChat Kind = iota
	KindText
	KindPlain
)

// Exchange is one request on its way through the filters, with what they found.
type Exchange struct {
	// Ctx ends with the caller, and with the deadline once that is known.
	Ctx context.Context
	W   http.ResponseWriter
	R   *http.Request
	// ID is told to the caller; Number is unique within the process.
	ID      string
	Number  uint64
	Kind    Kind
	Arrival time.Time
	// View is the bundle in force at arrival.
	View *View
	// Peer is the instance that passed the request on; empty for a caller.
	Peer string
	// Hops are the instances passed before this one.
	Hops hop.Path

	Workspace *bundle.Workspace
	Service   *bundle.Service
	Adapter   string
	Terms     Terms
	// Deadline and FirstTokenBy are absolute; FirstTokenBy may be zero.
	Deadline, FirstTokenBy time.Time
	// Regions that may serve it; empty means any.
	Regions []string

	// Body is the whole body, where it is read whole.
	Body []byte
	// Request is nil for plain services.
	Request *openai.Request
	Prefix  []uint64
	// Digest recognises the same work under other ids.
	Digest ports.Digest
	// Once marks work that may run at most once.
	Once bool

	// Floor is the verdict that earlier sendings of the key may have reached,
	// as far as is known here.
	PriorVerdict verdict.Verdict
	// Verdict is joined over this instance's own attempts.
	Verdict verdict.Verdict

	// claim guards the sending of work that runs at most once.
	claim *claimed

	// stream is the caller's body where it is passed on as it comes.
	stream *countedBody

	// Passed on to the caller so far.
	headWritten bool
	firstByte   time.Time
	// atTarget is the time of this instance's own sendings, summed.
	atTarget time.Duration
	chunks   int
	region   string
	target   route.TargetID
	replayed bool
}

// raise joins the verdict of an attempt.
func (x *Exchange) raise(v verdict.Verdict) { x.Verdict = x.Verdict.Join(v) }

// final is an error as the caller is told it.
func (x *Exchange) final(e *verdict.Error) *verdict.Error {
	return e.Raise(x.Verdict.Join(x.PriorVerdict))
}

// letGo drops what only another sending would need. It is called when the answer
// to the caller has begun, for a stream may be open for long after that.
func (x *Exchange) letGo() {
	x.Body = nil
	if x.Request != nil {
		x.Request.Prompt = nil
	}
}

// streamed reports whether the answer goes out as events.
func (x *Exchange) streamed() bool { return x.Request != nil && x.Request.Stream }

// routeRequest is the request as routing takes it.
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
		Forwarded:    x.Hops.Crossed(x.View.Region),
	}
	if x.Once {
		// Its claim was granted to this instance and lets nobody else send.
		r.Regions = []string{x.View.Region}
	}
	if x.Request != nil {
		r.PromptTokens = x.Request.PromptTokens()
		r.OutputTokens = x.Request.OutputTokens()
	}
	return r
}

// keyOf is the claim's key of the exchange.
func (x *Exchange) keyOf() claim.Key {
	return claim.KeyOf(x.Workspace.ID, x.Service.ID+"\x00"+x.Terms.IdempotencyKey)
}
