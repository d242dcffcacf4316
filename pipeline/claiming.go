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

// joinRetry is when to ask again for a request that runs at another instance.
const joinRetry = time.Second

// Claiming lets work that may run at most once through only under a claim,
// which is durable before anything is sent (package coord/claim). A resend gets
// the kept answer of this instance, joins the running attempt, or is told the
// recorded outcome. It is never sent a second time.
type Claiming struct {
	deps     *Deps
	flight   *inFlight
	forward  *Forward
	journals *journals
	recorder *recorder
	recent   *recentEnds
}

func newClaiming(d *Deps, flight *inFlight, forward *Forward) *Claiming {
	return &Claiming{
		deps:     d,
		flight:   flight,
		forward:  forward,
		journals: newJournals(d.Bounds),
		recorder: newRecorder(d.Claims, d.Metrics),
		recent:   newRecentEnds(),
	}
}

// Run records the ends of claims until ctx ends.
func (f *Claiming) Run(ctx context.Context) { f.recorder.run(ctx) }

// claimed is a granted claim of an exchange.
type claimed struct {
	gate *claim.Gate
	home string
	// sent says that a target may have seen the request.
	sent bool
}

// sending asks the gate right before a send.
func (c *claimed) sending() bool {
	c.sent = c.gate.Sending()
	return c.sent
}

// unsent takes a send back that certainly reached no target.
func (c *claimed) unsent() {
	c.gate.Unsent()
	c.sent = false
}

// Serve claims the key of work that runs at most once.
func (f *Claiming) Serve(x *Exchange, next Handler) error {
	if !x.Once {
		return next(x)
	}
	if f.deps.Claims == nil {
		return &verdict.Error{Code: claim.CodeUnavailable, Message: "no claims are kept here", RetryAfter: joinRetry}
	}
	print := fingerprint(x)
	if j := f.journals.find(x.keyOf()); j != nil {
		return f.join(x, j, print)
	}
	return f.claim(x, print, next)
}

// fingerprint covers what a resend must have in common with the first sending.
func fingerprint(x *Exchange) claim.Digest {
	if x.Request == nil {
		return claim.DigestOf(x.Digest[:])
	}
	return claim.DigestOf(append([]byte{byte(x.Kind)}, x.Body...))
}

func (f *Claiming) join(x *Exchange, j *journal, print claim.Digest) error {
	if j.print != print {
		x.PriorVerdict = verdict.NotRun
		return refuse(claim.CodeConflict, "the idempotency key was used with another body")
	}
	x.replayed = true
	x.W.Header().Set(HeaderReplayed, "true")
	return j.follow(x)
}

// claim drives a Gate until it lets the request through or refuses it.
func (f *Claiming) claim(x *Exchange, print claim.Digest, next Handler) error {
	ctx, cancel := context.WithDeadline(x.Ctx, x.Deadline)
	defer cancel()
	c := &claimed{home: x.View.ClaimsHome(x.Workspace)}
	gate, step := claim.Open(x.Arrival, f.request(x, print))
	c.gate = gate
	for {
		switch step.Action {
		case claim.Ask:
			step = f.ask(ctx, c, step)
		case claim.Send:
			return f.start(x, c, print, next)
		case claim.Join:
			return f.joinOwner(x, step, print)
		case claim.Replay:
			x.PriorVerdict = verdict.NotRun
			return recorded(step.Done)
		case claim.Refuse:
			// The gate's word covers the earlier sendings of the key as well.
			x.PriorVerdict = verdict.NotRun
			f.recorder.push(c.home, step.Command)
			return step.Err
		default:
			return verdict.New(verdict.MayHaveRun, CodeInternal, "the claim came to no end")
		}
	}
}

func (f *Claiming) request(x *Exchange, print claim.Digest) claim.Request {
	r := claim.Request{
		Key:      x.keyOf(),
		Body:     print,
		Instance: f.deps.Instance,
		Sending:  x.Terms.Mark,
		Lifetime: time.Duration(x.View.Bundle.Rules.ClaimLifetimeSeconds) * time.Second,
	}
	_, _ = rand.Read(r.Attempt[:])
	return r
}

// ask proposes the claim at its time.
func (f *Claiming) ask(ctx context.Context, c *claimed, step claim.Step) claim.Step {
	if wait := step.At.Sub(f.deps.Now()); wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return c.gate.GiveUp(f.deps.Now(), CodeDeadline, "the request ended before its claim")
		}
	}
	asking, cancel := context.WithTimeout(ctx, claim.ClaimWait)
	defer cancel()
	res, err := f.deps.Claims.Propose(asking, c.home, *step.Command)
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

// joinOwner joins the running attempt, at this instance or at its owner in the
// region. If that fails the caller is told that it runs; it is not run here.
func (f *Claiming) joinOwner(x *Exchange, step claim.Step, print claim.Digest) error {
	if step.Owner == f.deps.Instance {
		if j := f.journals.find(x.keyOf()); j != nil {
			return f.join(x, j, print)
		}
		if done, ok := f.recent.find(x.keyOf(), step.Attempt); ok {
			x.PriorVerdict = verdict.NotRun
			return recorded(done)
		}
	}
	if joined, err := f.forward.join(x, step.Owner.ID); joined {
		return err
	}
	e := *step.Err
	e.Code, e.RetryAfter = CodeAlreadyRunning, joinRetry
	e.Message = "the request is running at instance " + step.Owner.ID
	return &e
}

// recorded is the answer to a resend whose request has ended, and whose answer
// is not kept here.
func recorded(done claim.Result) error {
	if done.Verdict != verdict.Ran {
		return verdict.New(done.Verdict, claim.CodeMayHaveRun, "an earlier sending may have run")
	}
	return verdict.New(verdict.Ran, CodeAlreadyRan,
		fmt.Sprintf("the request ran; its answer had status %d and digest %x", done.Status, done.Answer[:]))
}

// start runs the request apart from its caller, who follows the journal. A
// caller that leaves thus cancels nothing that can't be sent again, and a resend
// can join.
func (f *Claiming) start(x *Exchange, c *claimed, print claim.Digest, next Handler) error {
	// The grant proves that no earlier sending holds the key.
	x.PriorVerdict = verdict.NotRun
	j := f.journals.open(x.keyOf(), print)
	y := *x
	y.W, y.claim = j, c
	y.Ctx = context.WithoutCancel(x.Ctx)
	x.Body = nil // y sends it
	f.flight.n.Add(1)
	go func() {
		defer f.flight.n.Add(-1)
		f.run(&y, j, next)
	}()
	return j.follow(x)
}

func (f *Claiming) run(y *Exchange, j *journal, next Handler) {
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
		// Before followers hear of the end, as they may come again at once.
		f.recent.add(step.Command)
	}
	f.recorder.push(y.claim.home, step.Command)
	f.journals.end(j, err, sentTo{target: y.target, took: y.atTarget})
}
