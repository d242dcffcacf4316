package claim

import (
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// Codes of refusals by a Gate.
const (
	// CodeUnavailable: the claim could not be made, or whether it was is not known.
	CodeUnavailable verdict.Code = "claim_unavailable"
	// CodeConflict: the key was used with another body.
	CodeConflict verdict.Code = "idempotency_key_conflict"
	// CodeMayHaveRun: an earlier attempt of the key may have run.
	CodeMayHaveRun verdict.Code = "may_have_run"
	// CodeHeld: the key was released a moment ago.
	CodeHeld verdict.Code = "claim_held"
	// CodeGivenUp: the host gave up the request before sending it.
	CodeGivenUp verdict.Code = "given_up"
)

// Action is what the host of a Gate must do next.
type Action uint8

const (
	// Wait: nothing until the next event.
	Wait Action = iota
	// Propose: propose Step.Command at Step.At, and report the outcome with Replied
	// or Failed.
	Propose
	// Send: the key is this attempt's. Call BeginSend right before sending.
	Send
	// Join: ask Step.Owner for the running Step.Attempt and wait for its result. If
	// that fails the caller gets Step.Err.
	Join
	// Replay: respond from Step.Done; the answer itself is not stored.
	Replay
	// Refuse: respond with Step.Err. If Step.Command is set, also propose it
	// until it is accepted; the caller need not wait for that.
	Refuse
	// Record: propose Step.Command until it is accepted.
	Record
)

// Step is what the host must do after an event.
type Step struct {
	Action Action
	// Command is set with Propose and Record, and with Refuse if the claim may have to be
	// released.
	Command *Command
	// At is set with Propose.
	At time.Time
	// Owner and Attempt are set with Join.
	Owner   Instance
	Attempt AttemptID
	// Done is set with Replay.
	Done Result
	// Err is set with Refuse and Join.
	Err *verdict.Error
}

// Failure is how a proposal to the claims home failed.
type Failure uint8

const (
	// NotSent: the claim can't have reached the claims home.
	NotSent Failure = iota
	// ReplyLost: the claim was sent; whether it was committed is not known.
	ReplyLost
)

// Request describes the request that a Gate guards.
type Request struct {
	Key      Key
	Body     Digest
	Attempt  AttemptID
	Instance Instance
	Mark     Mark
	// Lifetime of the record, in whole seconds from 1 s to MaxLifetime.
	Lifetime time.Duration
}

type gateState uint8

const (
	gateProposing gateState = iota
	gateGranted
	gateSent
	gateClosed
)

// Gate decides for one attempt of a non-idempotent request whether it may be
// sent, and what its caller is told. See the package comment for the rules.
// A Gate is not safe for concurrent use and serves one attempt only.
type Gate struct {
	r         Request
	opened    time.Time
	state     gateState
	proposals int
	// sent: a send was begun at any time, even if it was cancelled.
	sent bool
}

// baseProposalDelay gives the delay before a repeated proposal: it is doubled for each
// proposal made, at most five times, so the first repetition comes after 100 ms.
const baseProposalDelay = 50 * time.Millisecond

// Open returns the Gate of an attempt and its first step. now must be when the request
// arrived from its caller at this very instance, even if it waited before Open: the
// argument for Hold counts from there. Times are read from the monotonic clock of this
// process, here and in every method of the Gate.
func Open(now time.Time, r Request) (*Gate, Step) {
	g := &Gate{r: r, opened: now}
	return g, g.propose(now)
}

// Replied handles the table's reply to the Claim.
func (g *Gate) Replied(now time.Time, res Result) Step {
	// A grant after the refusal would leave the key running without an owner. A Gate that
	// ever sent must not release: its Finish may be in flight.
	if g.state == gateClosed && res.Reply == Granted && !g.sent {
		return Step{Action: Record, Command: g.abandon(now, true)}
	}
	if g.state != gateProposing {
		return Step{Action: Wait}
	}
	switch res.Reply {
	case Granted:
		return g.granted(now)
	case Running:
		g.state = gateClosed
		return Step{Action: Join, Owner: res.Owner, Attempt: res.Attempt,
			Err: verdict.New(verdict.MayHaveRun, CodeMayHaveRun, "the key is running elsewhere")}
	case Done:
		g.state = gateClosed
		return Step{Action: Replay, Done: res}
	case MayHaveRun:
		return g.refuse(verdict.MayHaveRun, CodeMayHaveRun, "an earlier sending may have run", 0)
	case Conflict:
		return g.refuse(verdict.NotRun, CodeConflict, "the idempotency key was used with another body", 0)
	case Held:
		return g.refuse(g.unclaimedVerdict(), CodeHeld, "the key was released a moment ago", retryAfter(res))
	default:
		return g.refuse(g.unclaimedVerdict(), CodeUnavailable, "the claim was refused: "+res.Reply.String(), retryAfter(res))
	}
}

// Failed handles a proposal that failed. The Gate proposes again under the same attempt
// until ClaimWait has passed.
func (g *Gate) Failed(now time.Time, f Failure) Step {
	if g.state != gateProposing {
		return Step{Action: Wait}
	}
	delay := baseProposalDelay << min(g.proposals, 5)
	if now.Add(delay).Before(g.opened.Add(ClaimWait)) {
		return g.propose(now.Add(delay))
	}
	s := g.refuse(g.unclaimedVerdict(), CodeUnavailable, "the claim's home could not be asked", ClaimWait)
	if f == ReplyLost || g.proposals > 1 {
		s.Command = g.abandon(now, true)
	}
	return s
}

// GiveUp ends a request that was not sent: its deadline passed, its caller
// left or no target can take it. code and message go into the refusal. After
// BeginSend it changes nothing; the host must then end the request with Finished.
func (g *Gate) GiveUp(now time.Time, code verdict.Code, message string) Step {
	switch g.state {
	case gateProposing:
		s := g.refuse(g.unclaimedVerdict(), code, message, 0)
		s.Command = g.abandon(now, true)
		return s
	case gateGranted:
		s := g.refuse(verdict.NotRun, code, message, g.retryAfterRelease())
		s.Command = g.abandon(now, true)
		return s
	}
	return Step{Action: Wait}
}

// BeginSend marks that the request is about to be sent, and reports whether it
// may be. Call it right before the first byte goes to a target. No time
// is checked: while this attempt holds the key the table grants it to no other, even
// if this process was frozen in between.
func (g *Gate) BeginSend() bool {
	if g.state != gateGranted {
		return false
	}
	g.state = gateSent
	g.sent = true
	return true
}

// CancelSend undoes BeginSend so that another target may be tried. Call it only where it
// is certain that the target saw nothing of the request (connection refused).
func (g *Gate) CancelSend() {
	if g.state == gateSent {
		g.state = gateGranted
	}
}

// Finished handles the end of a send. NotRun, which must be certain (the request did
// not reach the target), releases the key. status is the HTTP status or 0.
func (g *Gate) Finished(now time.Time, v verdict.Verdict, status uint16, answer Digest) Step {
	if g.state != gateSent {
		return Step{Action: Wait}
	}
	g.state = gateClosed
	if v == verdict.NotRun {
		return Step{Action: Record, Command: g.abandon(now, true)}
	}
	f := &Finish{Key: g.r.Key, Attempt: g.r.Attempt, Verdict: v, Status: status, Answer: answer}
	return Step{Action: Record, Command: &Command{Now: now.UnixMilli(), Finish: f}}
}

// granted takes the key, unless the grant is so late that a later attempt may
// have been told "not run" in between (see Hold).
func (g *Gate) granted(now time.Time) Step {
	if now.Sub(g.opened) < ClaimWait {
		g.state = gateGranted
		return Step{Action: Send}
	}
	s := g.refuse(verdict.NotRun, CodeUnavailable, "the claim was granted too late", g.retryAfterRelease())
	s.Command = g.abandon(now, true)
	return s
}

// unclaimedVerdict is the verdict where the table did not grant the key: another
// attempt may hold it unless the caller vouches that there is none.
func (g *Gate) unclaimedVerdict() verdict.Verdict {
	if g.r.Mark == First {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// retryAfterRelease returns the time after which a resend can be granted the key.
func (g *Gate) retryAfterRelease() time.Duration {
	if g.r.Mark == First {
		return 0
	}
	return Hold
}

func (g *Gate) propose(at time.Time) Step {
	g.proposals++
	c := &Claim{
		Key: g.r.Key, Body: g.r.Body, Attempt: g.r.Attempt, Instance: g.r.Instance,
		LifetimeSeconds: lifetimeSeconds(g.r.Lifetime), Mark: g.r.Mark,
	}
	// The claim carries the time at which the Gate was opened, also when it is repeated.
	return Step{Action: Propose, At: at, Command: &Command{Now: g.opened.UnixMilli(), Claim: c}}
}

func (g *Gate) abandon(now time.Time, notRun bool) *Command {
	a := &Abandon{
		Key: g.r.Key, Attempt: g.r.Attempt, NotRun: notRun,
		LifetimeSeconds: lifetimeSeconds(g.r.Lifetime), Mark: g.r.Mark,
	}
	return &Command{Now: now.UnixMilli(), Abandon: a}
}

func (g *Gate) refuse(v verdict.Verdict, code verdict.Code, message string, after time.Duration) Step {
	g.state = gateClosed
	err := verdict.New(v, code, message)
	err.RetryAfter = after
	return Step{Action: Refuse, Err: err}
}

func lifetimeSeconds(d time.Duration) uint32 { return uint32(max(1, d/time.Second)) }

func retryAfter(r Result) time.Duration { return time.Duration(r.RetryAfterMillis) * time.Millisecond }
