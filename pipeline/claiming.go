package pipeline

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
)

// joinRetryAfter is the retry delay for a request that runs at another instance.
const joinRetryAfter = time.Second

// Claiming lets a request that may run at most once through only under a claim,
// which is durable before anything is sent to a target (package coord/claim). A
// resend gets the answer buffered at this instance, joins the running attempt,
// or gets the recorded outcome. It is never sent to a target a second time.
type Claiming struct {
	deps     *Deps
	flight   *inFlight
	forward  *Forward
	buffers  *answerBuffers
	recorder *recorder
	recent   *recentEnds
}

func newClaiming(d *Deps, flight *inFlight, forward *Forward) *Claiming {
	return &Claiming{
		deps:     d,
		flight:   flight,
		forward:  forward,
		buffers:  newAnswerBuffers(d.Bounds),
		recorder: newRecorder(d.Claims, d.Metrics),
		recent:   newRecentEnds(),
	}
}

// Run records how claimed requests ended, until ctx ends.
func (f *Claiming) Run(ctx context.Context) { f.recorder.run(ctx) }

// claimed is the claim of a request.
type claimed struct {
	gate   *claim.Gate
	region string
	// sent says that a target may have received the request.
	sent bool
}

// beginSend must be called right before each attempt. It reports whether the
// claim still allows to send.
func (c *claimed) beginSend() bool {
	c.sent = c.gate.BeginSend()
	return c.sent
}

// cancelSend undoes beginSend. It may be called only where the attempt certainly
// ran at no target.
func (c *claimed) cancelSend() {
	c.gate.CancelSend()
	c.sent = false
}

// Serve claims the key of a request that runs at most once.
func (f *Claiming) Serve(x *Exchange, next Handler) error {
	if !x.Once {
		return next(x)
	}
	if f.deps.Claims == nil {
		return &verdict.Error{Code: claim.CodeUnavailable, Message: "no claims are kept here", RetryAfter: joinRetryAfter}
	}
	digest := requestDigest(x)
	if j := f.buffers.find(x.claimKey()); j != nil {
		return f.join(x, j, digest)
	}
	return f.claim(x, digest, next)
}

// requestDigest covers what a resend must have in common with the first request
// of its key.
func requestDigest(x *Exchange) claim.Digest {
	if x.Request == nil {
		return claim.DigestOf(x.Digest[:])
	}
	return claim.DigestOf(append([]byte{byte(x.Kind)}, x.Body...))
}

func (f *Claiming) join(x *Exchange, j *answerBuffer, digest claim.Digest) error {
	if j.requestDigest != digest {
		x.PriorVerdict = verdict.NotRun
		return refuse(claim.CodeConflict, "the idempotency key was used with another body")
	}
	x.replayed = true
	x.W.Header().Set(HeaderReplayed, "true")
	return j.follow(x)
}

// claim follows the steps of a claim.Gate until it lets the request through or
// refuses it.
func (f *Claiming) claim(x *Exchange, digest claim.Digest, next Handler) error {
	ctx, cancel := context.WithDeadline(x.Ctx, x.Deadline)
	defer cancel()
	c := &claimed{region: x.View.ClaimsHome(x.Workspace)}
	gate, step := claim.Open(x.Arrival, f.request(x, digest))
	c.gate = gate
	for {
		switch step.Action {
		case claim.Propose:
			step = f.propose(ctx, c, step)
		case claim.Send:
			return f.start(x, c, digest, next)
		case claim.Join:
			return f.joinRunning(x, step, digest)
		case claim.Replay:
			x.PriorVerdict = verdict.NotRun
			return recordedOutcome(step.Done)
		case claim.Refuse:
			// The gate's verdict covers the earlier requests of the key as well.
			x.PriorVerdict = verdict.NotRun
			f.recorder.push(c.region, step.Command)
			return step.Err
		default:
			return verdict.New(verdict.MayHaveRun, CodeInternal, "the claim came to no end")
		}
	}
}

func (f *Claiming) request(x *Exchange, digest claim.Digest) claim.Request {
	r := claim.Request{
		Key:      x.claimKey(),
		Body:     digest,
		Instance: f.deps.Instance,
		Mark:     x.Terms.Mark,
		Lifetime: time.Duration(x.View.Bundle.Rules.ClaimLifetimeSeconds) * time.Second,
	}
	_, _ = rand.Read(r.Attempt[:])
	return r
}

// propose proposes the claim when it is due, and returns the gate's next step.
func (f *Claiming) propose(ctx context.Context, c *claimed, step claim.Step) claim.Step {
	if wait := step.At.Sub(f.deps.Now()); wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return c.gate.GiveUp(f.deps.Now(), CodeDeadline, "the request ended before its claim")
		}
	}
	proposeCtx, cancel := context.WithTimeout(ctx, claim.ClaimWait)
	defer cancel()
	res, err := f.deps.Claims.Propose(proposeCtx, c.region, *step.Command)
	now := f.deps.Now()
	switch {
	case err == nil:
		return c.gate.Replied(now, res)
	case ctx.Err() != nil:
		return c.gate.GiveUp(now, CodeDeadline, "the request ended before its claim")
	case errors.Is(err, ports.ErrClaimNotSent):
		return c.gate.Failed(now, claim.NotSent)
	}
	return c.gate.Failed(now, claim.ReplyLost)
}

// joinRunning joins the running attempt, at this instance or at the instance of
// the region that owns it. If that fails, it refuses the request as running.
func (f *Claiming) joinRunning(x *Exchange, step claim.Step, digest claim.Digest) error {
	if step.Owner == f.deps.Instance {
		if j := f.buffers.find(x.claimKey()); j != nil {
			return f.join(x, j, digest)
		}
		if done, ok := f.recent.find(x.claimKey(), step.Attempt); ok {
			x.PriorVerdict = verdict.NotRun
			return recordedOutcome(done)
		}
	}
	if joined, err := f.forward.join(x, step.Owner.ID); joined {
		return err
	}
	e := *step.Err
	e.Code, e.RetryAfter = CodeAlreadyRunning, joinRetryAfter
	e.Message = "the request is running at instance " + step.Owner.ID
	return &e
}

// recordedOutcome returns the refusal of a resend whose request has ended and
// whose answer is not buffered here.
func recordedOutcome(done claim.Result) error {
	if done.Verdict != verdict.Ran {
		return verdict.New(done.Verdict, claim.CodeMayHaveRun, "an earlier sending may have run")
	}
	return verdict.New(verdict.Ran, CodeAlreadyRan,
		fmt.Sprintf("the request ran; its answer had status %d and digest %x", done.Status, done.Answer[:]))
}

// start runs the request in a goroutine of its own, with an answer buffer that
// the caller follows. So a caller that leaves does not cancel work that can't be
// sent again, and a resend can join.
func (f *Claiming) start(x *Exchange, c *claimed, digest claim.Digest, next Handler) error {
	// The grant proves that no earlier request holds the key.
	x.PriorVerdict = verdict.NotRun
	j := f.buffers.open(x.claimKey(), digest)
	y := *x
	y.W, y.claim = j, c
	y.Ctx = context.WithoutCancel(x.Ctx)
	x.Body = nil // y holds it
	f.flight.n.Add(1)
	go func() {
		defer f.flight.n.Add(-1)
		f.run(&y, j, next)
	}()
	return j.follow(x)
}

func (f *Claiming) run(y *Exchange, j *answerBuffer, next Handler) {
	err := next(y)
	now := f.deps.Now()
	var step claim.Step
	if !y.claim.sent {
		e := asError(err)
		step = y.claim.gate.GiveUp(now, e.Code, e.Message)
		if step.Err != nil {
			e = e.Raise(step.Err.Verdict)
			e.RetryAfter = max(e.RetryAfter, step.Err.RetryAfter)
		}
		err = e
	} else {
		status, digest := j.outcome()
		step = y.claim.gate.Finished(now, y.Verdict, status, digest)
	}
	if err != nil {
		// Before followers learn of the end, as their resends may come at once.
		f.recent.add(step.Command)
	}
	f.recorder.push(y.claim.region, step.Command)
	f.buffers.end(j, err, ranAt{target: y.target, took: y.targetTime})
}
