package pipeline

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
)

// retryLater is when to come back where a target refused and gave no time.
const retryLater = time.Second

// Attempts sends a request until an answer was passed on, or no further attempt
// may or can be made.
type Attempts struct {
	deps    *Deps
	view    func() *View
	routing *Routing
	budgets *budgets
	ids     *ids
	forward *Forward
	// moves bounds the streams that are being moved.
	moves chan struct{}
}

// attempt is one sending.
type attempt struct {
	route route.AttemptID
	// id names this sending; sent is the name under which engines know it, which
	// a moved stream keeps.
	id, sent ports.AttemptID
	decision route.Decision
	target   *bundle.Target
	alone    bool
	query    *route.Request
	tokens   int
	// begun is when it was sent.
	begun time.Time
}

// newAttempt names a sending of a request.
func (f *Attempts) newAttempt(q *route.Request) *attempt {
	a := &attempt{query: q}
	a.route, a.id = f.ids.attempt()
	a.sent = a.id
	return a
}

// send makes one attempt and passes its answer on. It ends the attempt.
type send func(x *Exchange, a *attempt) error

// Model is the end of the path of model requests.
func (f *Attempts) Model(x *Exchange) error { return f.run(x, f.sendModel) }

// Plain is the end of the path of plain requests.
func (f *Attempts) Plain(x *Exchange) error { return f.run(x, f.sendPlain) }

func (f *Attempts) run(x *Exchange, s send) error {
	ctx, cancel := context.WithDeadline(x.Ctx, x.Deadline)
	defer cancel()
	x.Ctx = ctx
	q := x.routeRequest()
	q.Forwarded = q.Forwarded || f.deps.Forwarder == nil
	q.Tried = f.routing.Reserved()
	f.budgets.request(x.Service.ID)
	for {
		switch f.suspicion(x) {
		case ports.SuspectAlone:
			return f.explain(x, f.runAlone(x, q, s))
		case ports.SuspectRefused:
			return f.explain(x, refuseSuspect())
		}
		again, err := f.step(x, q, s)
		if !again {
			return f.explain(x, err)
		}
	}
}

// suspicion asks anew before each attempt: the one before may have taken its
// target down, or a copy elsewhere may have. Asked at arrival only, a retry
// would run beside others and take down their target as well.
func (f *Attempts) suspicion(x *Exchange) ports.Suspicion {
	if f.deps.Suspects == nil {
		return ports.SuspectNone
	}
	return f.deps.Suspects.Check(f.deps.Now(), x.Digest)
}

// step follows one decision; again says that another one is to be made.
func (f *Attempts) step(x *Exchange, q *route.Request, s send) (again bool, err error) {
	if x.Ctx.Err() != nil {
		return false, x.Ctx.Err()
	}
	a := f.newAttempt(q)
	a.decision = f.routing.Decide(a.route, q)
	switch a.decision.Action {
	case route.Send:
		err = f.attempt(x, a, s)
	case route.Spill:
		err = f.forward.send(x, a.decision.Region)
		q.Forwarded = true
	case route.Hold:
		if !f.routing.Hold(x.Ctx, a.decision.DecideAgain) {
			return false, &verdict.Error{Code: CodeOverloaded, Message: "too many requests wait here", RetryAfter: retryLater}
		}
		return true, nil
	default:
		return false, refusalBy(a.decision)
	}
	again = err != nil && f.again(x, q, asError(err))
	if again {
		// A request that comes home after a failed spill was not sent away.
		x.region = ""
	}
	return again, err
}

// attempt follows a Send decision.
func (f *Attempts) attempt(x *Exchange, a *attempt, s send) error {
	q := a.query
	q.Tried = append(q.Tried, a.decision.Target)
	if err := f.mayStart(x, a); err != nil {
		f.routing.Ended(route.End{Attempt: a.route, Outcome: route.Unreached, CachedTokens: -1})
		return err
	}
	f.start(x, a)
	err := s(x, a)
	x.raise(verdictOf(err))
	if x.claim != nil && x.Verdict.Safe() {
		x.claim.unsent()
	}
	return err
}

// mayStart checks a decision against the bundle in force now, which may have
// changed since the request came: a target that is leaving by then, or was
// given another region, gets nothing new, whatever routing still believes.
func (f *Attempts) mayStart(x *Exchange, a *attempt) error {
	view := f.view()
	t := view.Target(a.decision.Target)
	if !a.alone && slices.Contains(f.routing.Reserved(), a.decision.Target) {
		return refuse(CodeNoTarget, "the target is reserved")
	}
	if t == nil || t.State == bundle.TargetLeaving || t.Region != view.Region {
		return refuse(CodeNoTarget, "the target takes no new work")
	}
	if x.claim != nil && !x.claim.sending() {
		return &verdict.Error{Code: CodeNoTarget, Message: "the claim came too late for sending", RetryAfter: retryLater}
	}
	a.target = t
	return nil
}

func (f *Attempts) start(x *Exchange, a *attempt) {
	f.deps.Metrics.Attempts.Inc(1)
	a.begun = f.deps.Now()
	if f.deps.Suspects != nil {
		f.deps.Suspects.Started(f.deps.Now(), a.id, a.target.ID, x.Digest, a.alone)
	}
}

// end records the end of an attempt.
func (f *Attempts) end(x *Exchange, a *attempt, err error) {
	outcome := outcomeOf(x, err)
	f.routing.Ended(route.End{Attempt: a.route, Outcome: outcome, OutputTokens: a.tokens, CachedTokens: -1})
	f.budgets.ended(x.Service.ID, outcome)
	f.left(x, a, suspectEnd(x, err))
}

// left records that a sending is no longer at its target.
func (f *Attempts) left(x *Exchange, a *attempt, e ports.AttemptEnd) {
	now := f.deps.Now()
	x.atTarget += now.Sub(a.begun)
	if f.deps.Suspects != nil {
		f.deps.Suspects.Ended(now, a.id, e)
	}
}

// suspectEnd tells a target that broke off by itself from every other failure.
func suspectEnd(x *Exchange, err error) ports.AttemptEnd {
	switch {
	case err == nil:
		return ports.AttemptFinished
	case x.Ctx.Err() == nil && asError(err).Code == ports.CodeCut:
		return ports.AttemptCrashed
	}
	return ports.AttemptOther
}

func verdictOf(err error) verdict.Verdict {
	if err == nil {
		return verdict.Ran
	}
	return asError(err).Verdict
}

func outcomeOf(x *Exchange, err error) route.Outcome {
	if err == nil {
		return route.Succeeded
	}
	if x.Ctx.Err() != nil {
		return route.Cancelled
	}
	switch asError(err).Code {
	case CodeCallerGone:
		return route.Cancelled
	case ports.CodeUnreached:
		return route.Unreached
	case ports.CodeRejected:
		return route.Rejected
	case ports.CodeInvalid:
		return route.Succeeded
	}
	return route.Failed
}

// again reports whether the request may be sent once more.
func (f *Attempts) again(x *Exchange, q *route.Request, e *verdict.Error) bool {
	x.raise(e.Verdict)
	if x.headWritten || x.Ctx.Err() != nil || x.bodyUsed() {
		return false
	}
	if !retryable(e.Code) || (x.Once && !x.Verdict.Safe()) {
		return false
	}
	q.Attempt++
	if q.Attempt >= max(1, x.View.Bundle.Rules.MaxAttempts) {
		return false
	}
	if !f.budgets.retry(x.Service.ID) {
		return false
	}
	f.deps.Metrics.Retries.Inc(1)
	return true
}

// retryable reports whether another target could do better.
func retryable(c verdict.Code) bool {
	switch c {
	case ports.CodeInvalid, CodeCallerGone, CodeDeadline, CodeInternal:
		return false
	}
	return true
}

// explain names the cause of an end that came by the context.
func (f *Attempts) explain(x *Exchange, err error) error {
	if err == nil {
		return nil
	}
	ctxErr := x.Ctx.Err()
	if ctxErr == nil {
		return withRetryAfter(asError(err))
	}
	v := x.Verdict
	var e *verdict.Error
	if errors.As(err, &e) {
		v = v.Join(e.Verdict)
	}
	if errors.Is(ctxErr, context.DeadlineExceeded) {
		return verdict.New(v, CodeDeadline, "the deadline passed before the answer's end")
	}
	return verdict.New(v, CodeCallerGone, "the caller left")
}

// withRetryAfter says when to come back with what was refused unrun for want of
// a target or of a region, neither of which lasts.
func withRetryAfter(e *verdict.Error) *verdict.Error {
	passing := StatusOf(e.Code) == http.StatusServiceUnavailable || (e.Code == CodeRegionUnreached && e.Verdict.Safe())
	if e.RetryAfter == 0 && passing {
		c := *e
		c.RetryAfter = retryLater
		return &c
	}
	return e
}

var refusals = map[route.Reason]string{
	route.ReasonUnknownService: "no target of an allowed region serves this",
	route.ReasonNoTarget:       "no target can take work now",
	route.ReasonDeadline:       "no target is predicted to finish in time",
	route.ReasonOverload:       "shed in favour of other requests",
	route.ReasonResidency:      "the allowed regions hold no target that serves this",
}

// refusalBy is the refusal that a decision gives.
func refusalBy(d route.Decision) *verdict.Error {
	code := verdict.Code(d.Reason)
	if d.Reason == route.ReasonNone {
		code = CodeOverloaded
	}
	return &verdict.Error{Code: code, Message: refusals[d.Reason], RetryAfter: d.RetryAfter}
}
