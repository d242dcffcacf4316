package pipeline

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/coord/httpconn"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
)

// defaultRetryAfter is the retry delay of refusals that have none of their own.
const defaultRetryAfter = time.Second

// Attempts sends a request until an answer was relayed, or no further attempt is
// allowed or possible.
type Attempts struct {
	deps    *Deps
	view    func() *View
	routing *Routing
	budgets *budgets
	ids     *ids
	forward *Forward
	// moves is the semaphore of streams that are being moved.
	moves chan struct{}
}

// attempt is one attempt of a request at a target.
type attempt struct {
	route route.AttemptID
	// id names this attempt. engineID is its name at engines; a moved stream
	// keeps that of the attempt it came from.
	id, engineID ports.AttemptID
	decision     route.Decision
	target       *bundle.Target
	// alone is set for a lone run, at a target that runs nothing else.
	alone bool
	query *route.Request
	// tokens is the number of output tokens relayed: one per chunk, or the request's
	// OutputTokens, an estimate, for an answer of one chunk.
	tokens int
	// rest is for how long the target of a relayed answer wants no requests.
	rest time.Duration
	// startedAt is when it was sent.
	startedAt time.Time
}

// newAttempt returns an attempt of a request with ids of its own.
func (f *Attempts) newAttempt(q *route.Request) *attempt {
	a := &attempt{query: q}
	a.route, a.id = f.ids.attempt()
	a.engineID = a.id
	return a
}

// sendFunc makes one attempt and relays its answer. It ends the attempt.
type sendFunc func(x *Exchange, a *attempt) error

// Model sends model requests; it is the last handler of their path.
func (f *Attempts) Model(x *Exchange) error { return f.run(x, f.sendModel) }

// Plain sends plain requests; it is the last handler of their path.
func (f *Attempts) Plain(x *Exchange) error { return f.run(x, f.sendPlain) }

func (f *Attempts) run(x *Exchange, s sendFunc) error {
	ctx, cancel := context.WithDeadline(x.Ctx, x.Deadline)
	defer cancel()
	x.Ctx = ctx
	q := x.routeRequest()
	q.Forwarded = q.Forwarded || f.deps.Forwarder == nil
	f.budgets.countFirstAttempt(x.Service.ID)
	for {
		switch f.suspicion(x) {
		case ports.SuspectAlone:
			return f.withCause(x, f.runAlone(x, q, s))
		case ports.SuspectRefused:
			return f.withCause(x, refuseSuspect())
		}
		retry, err := f.step(x, q, s)
		if !retry {
			return f.withCause(x, err)
		}
	}
}

// suspicion returns whether the request is a suspect. It must be called before
// each attempt: the one before, or a copy elsewhere, may have crashed its target.
// If it were checked on arrival only, a retry would run beside other requests
// and crash their target as well.
func (f *Attempts) suspicion(x *Exchange) ports.Suspicion {
	if f.deps.Suspects == nil {
		return ports.SuspectNone
	}
	return f.deps.Suspects.Check(f.deps.Now(), x.Digest)
}

// step carries out one routing decision; retry says that another one is needed.
func (f *Attempts) step(x *Exchange, q *route.Request, s sendFunc) (retry bool, err error) {
	if x.Ctx.Err() != nil {
		return false, x.Ctx.Err()
	}
	a := f.newAttempt(q)
	f.decide(x, a)
	switch a.decision.Action {
	case route.Send:
		err = f.attempt(x, a, s)
		if errors.Is(err, errOvertaken) {
			return true, nil
		}
	case route.Spill:
		err = f.forward.send(x, a.decision.Region)
		q.Forwarded = true
	case route.Hold:
		if !f.routing.Hold(x.Ctx, a.decision.DecideAgain) {
			return false, &verdict.Error{Code: CodeOverloaded, Message: "too many requests wait here", RetryAfter: defaultRetryAfter}
		}
		return true, nil
	default:
		return false, refusalFor(a.decision)
	}
	retry = err != nil && f.mayRetry(x, q, asError(err))
	if retry {
		// A failed spill that is retried in this region doesn't count as spilled.
		x.spillRegion = ""
	}
	return retry, err
}

// decide sets the decision of an attempt. Targets of earlier attempts and those that are reserved now
// are left out.
func (f *Attempts) decide(x *Exchange, a *attempt) {
	a.query.Tried = append(f.routing.Reserved(), x.tried...)
	a.decision = f.routing.Decide(a.route, a.query)
}

// errOvertaken is the cause of a refusal to carry out a decision that the state of its target has
// overtaken. Nothing was sent, so another decision is no retry. The target is left out of it, which
// bounds their number.
var errOvertaken = errors.New("the target's state has changed since the decision")

// attempt carries out a Send decision.
func (f *Attempts) attempt(x *Exchange, a *attempt, s sendFunc) error {
	x.tried = append(x.tried, a.decision.Target)
	if err := f.mayStart(x, a); err != nil {
		f.routing.Ended(route.End{Attempt: a.route, Outcome: route.Unreached, CachedTokens: -1})
		return err
	}
	f.start(x, a)
	err := s(x, a)
	x.joinVerdict(verdictOf(err))
	if x.claim != nil && x.Verdict.SafeToRetry() {
		x.claim.cancelSend()
	}
	return err
}

// mayStart checks a decision against the bundle in force now, which may be newer
// than the request: a target that has become leaving, or was moved to another
// region, gets no new work, even if routing doesn't know that yet.
func (f *Attempts) mayStart(x *Exchange, a *attempt) error {
	view := f.view()
	t := view.Target(a.decision.Target)
	if !a.alone && slices.Contains(f.routing.Reserved(), a.decision.Target) {
		return &verdict.Error{Code: CodeNoTarget, Message: "the target is reserved", Err: errOvertaken}
	}
	if t == nil || t.State == bundle.TargetLeaving || t.Region != view.Region {
		return &verdict.Error{Code: CodeNoTarget, Message: "the target takes no new work", Err: errOvertaken}
	}
	if x.claim != nil && !x.claim.beginSend() {
		return &verdict.Error{Code: CodeNoTarget, Message: "the claim came too late for sending", RetryAfter: defaultRetryAfter}
	}
	a.target = t
	return nil
}

func (f *Attempts) start(x *Exchange, a *attempt) {
	f.deps.Metrics.Attempts.Inc(1)
	a.startedAt = f.deps.Now()
	if f.deps.Suspects != nil {
		f.deps.Suspects.Started(f.deps.Now(), a.id, a.target.ID, x.Digest, a.alone)
	}
}

// end records the end of an attempt.
func (f *Attempts) end(x *Exchange, a *attempt, err error) {
	outcome := outcomeOf(x, err)
	end := route.End{Attempt: a.route, Outcome: outcome, OutputTokens: a.tokens, CachedTokens: -1, Rest: a.rest}
	var e *verdict.Error
	if errors.As(err, &e) && e.Code == ports.CodeResting {
		end.Rest = e.RetryAfter
	} else if e != nil && e.Code == ports.CodeRejected {
		end.Busy = e.RetryAfter
	}
	f.deps.recordBroken(x, string(a.decision.Target), err)
	f.routing.Ended(end)
	f.budgets.ended(x.Service.ID, outcome)
	f.leftTarget(x, a, suspectEnd(x, err))
}

// isInvalid reports whether err says that an answer is not valid HTTP.
func isInvalid(err error) bool {
	var e *httpconn.Error
	return errors.As(err, &e)
}

// recordBroken counts and logs an answer that was lost on its way from a target or an instance.
func (d *Deps) recordBroken(x *Exchange, from string, err error) {
	if err == nil || x.Ctx.Err() != nil {
		return
	}
	e := asError(err)
	if e.Code != ports.CodeStreamCut && !isInvalid(err) {
		return
	}
	d.Metrics.BrokenAnswers.Inc(1)
	d.Log.Info("broken answer", zap.String("id", x.ID), zap.String("from", from), zap.Stringer("verdict", e.Verdict), zap.String("message", e.Message), zap.Error(e.Err))
}

// leftTarget records that an attempt no longer runs at its target.
func (f *Attempts) leftTarget(x *Exchange, a *attempt, e ports.AttemptEnd) {
	now := f.deps.Now()
	x.targetTime += now.Sub(a.startedAt)
	if f.deps.Suspects != nil {
		f.deps.Suspects.Ended(now, a.id, e)
	}
}

// suspectEnd classifies an attempt's end. The target crashed if it broke the
// answer off before the request's deadline and its caller's leaving. One that sent
// what is not valid HTTP has not crashed.
func suspectEnd(x *Exchange, err error) ports.AttemptEnd {
	switch {
	case err == nil:
		return ports.AttemptFinished
	case isInvalid(err):
		return ports.AttemptOther
	case x.Ctx.Err() == nil && asError(err).Code == ports.CodeStreamCut:
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
	case ports.CodeRejected, ports.CodeResting:
		return route.Rejected
	case ports.CodeInvalid:
		return route.Succeeded
	}
	return route.Failed
}

// mayRetry reports whether the request may be sent again. It pays for the retry
// from the service's budget.
func (f *Attempts) mayRetry(x *Exchange, q *route.Request, e *verdict.Error) bool {
	x.joinVerdict(e.Verdict)
	if x.headWritten || x.Ctx.Err() != nil || x.bodyUsed() {
		return false
	}
	if !retryable(e.Code) || (x.Once && !x.Verdict.SafeToRetry()) {
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

// retryable reports whether another target could succeed after this failure.
func retryable(c verdict.Code) bool {
	switch c {
	case ports.CodeInvalid, CodeCallerGone, CodeDeadline, CodeInternal:
		return false
	}
	return true
}

// withCause returns the final error of a request. If the deadline or the caller's
// leaving ended it, the error says so.
func (f *Attempts) withCause(x *Exchange, err error) error {
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

// withRetryAfter adds a retry delay to refusals for lack of a target or of a
// region, which are temporary.
func withRetryAfter(e *verdict.Error) *verdict.Error {
	temporary := StatusOf(e.Code) == http.StatusServiceUnavailable || (e.Code == CodeRegionUnreached && e.Verdict.SafeToRetry())
	if e.RetryAfter == 0 && temporary {
		c := *e
		c.RetryAfter = defaultRetryAfter
		return &c
	}
	return e
}

var refusalMessages = map[route.Reason]string{
	route.ReasonUnknownService: "no target of an allowed region serves this",
	route.ReasonNoTarget:       "no target can take work now",
	route.ReasonDeadline:       "no target is predicted to finish in time",
	route.ReasonOverload:       "shed in favour of other requests",
	route.ReasonResidency:      "the allowed regions hold no target that serves this",
}

// refusalFor returns the refusal for a decision that sends the request nowhere.
func refusalFor(d route.Decision) *verdict.Error {
	code := verdict.Code(d.Reason)
	if d.Reason == route.ReasonNone {
		code = CodeOverloaded
	}
	return &verdict.Error{Code: code, Message: refusalMessages[d.Reason], RetryAfter: d.RetryAfter}
}
