package claim

import (
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// Codes of refusals by a Gate.
const (
	// CodeUnavailable: the claim could not be made or its fate is not known.
	CodeUnavailable verdict.Code = "claim_unavailable"
	// CodeConflict: the key was used with another body.
	CodeConflict verdict.Code = "idempotency_key_conflict"
	// CodeMayHaveRun: an earlier sending of the key may have run.
	CodeMayHaveRun verdict.Code = "may_have_run"
	// CodeHeld: the key was released a moment ago.
	CodeHeld verdict.Code = "claim_held"
	// CodeGivenUp: the host gave the request up before sending it.
	CodeGivenUp verdict.Code = "given_up"
)

// Action is what a Gate asks its host to do next.
type Action uint8

const (
	// Wait: nothing until the next event.
	Wait Action = iota
	// Propose: propose Step.Command at Step.At, and tell the Gate the outcome by
	// Replied or Failed.
	Propose
	// Send: the key is ours. Call Sending right before the send.
	Send
	// Join: ask Step.Owner for the running Step.Attempt, and wait with it. If
	// that fails the caller is told Step.Err.
	Join
	// Replay: answer from Step.Done; the answer itself is not kept.
	Replay
	// Refuse: answer with Step.Err. If Step.Command is set, propose it as well
	// until it is accepted; the caller need not wait for that.
	Refuse
	// Record: propose Step.Command until it is accepted.
	Record
)

// Step is the typed effect of an event.
type Step struct {
	Action  Action
	Command *Command
	// At goes with Ask.
	At time.Time
	// Owner and Attempt go with Join.
	Owner   Instance
	Attempt AttemptID
	// Done goes with Replay.
	Done Result
	// Err goes with Refuse and Join.
	Err *verdict.Error
}

// Failure is how asking the claim's home failed.
type Failure uint8

const (
	// NotSent: the claim can't have reached its home.
	NotSent Failure = iota
	// ReplyLost: the claim was sent; whether it was committed is not known.
	ReplyLost
)

// Request is what a Gate needs to know of the request it guards.
type Request struct {
	Key      Key
	Body     Digest
	Attempt  AttemptID
	Instance Instance
	Mark  Mark
	// Lifetime of the record, whole seconds, from 1 s to MaxLifetime.
	Lifetime time.Duration
}

type gateState uint8

const (
	gateAsking gateState = iota
	gateGranted
	gateSent
	gateClosed
)

// Gate decides for one sending of a non-idempotent request whether it may be
// sent, and what its caller is told. See the package comment for the rules.
// A Gate has a single owner and is used for one sending only.
type Gate struct {
	r      Request
	opened time.Time
	state  gateState
	asks   int
	// sent says that a send was begun at any time, also one that was undone.
	sent bool
}

// askPause is the wait before the claim is asked for again; it doubles.
const askPause = 50 * time.Millisecond

// Open starts a Gate. now is when the request came from its caller, to this
// very instance, also if it waited before Open: the argument for Hold counts
// from there. Times are read from the monotonic clock of this process, here and
// in every method of the Gate.
func Open(now time.Time, r Request) (*Gate, Step) {
	g := &Gate{r: r, opened: now}
	return g, g.ask(now)
}

// Replied takes the table's reply to the Claim.
func (g *Gate) Replied(now time.Time, res Result) Step {
	// A grant that comes after the refusal would leave the key running for
	// nobody. A Gate that ever sent must not release: its Finish may be under way.
	if g.state == gateClosed && res.Reply == Granted && !g.sent {
		return Step{Action: Record, Command: g.abandon(now, true)}
	}
	if g.state != gateAsking {
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
		return g.refuse(g.unclaimed(), CodeHeld, "the key was released a moment ago", retryAfter(res))
	default:
		return g.refuse(g.unclaimed(), CodeUnavailable, "the claim was refused: "+res.Reply.String(), retryAfter(res))
	}
}

// Failed takes a failure to ask. The Gate asks again under the same attempt
// until ClaimWait has passed.
func (g *Gate) Failed(now time.Time, f Failure) Step {
	if g.state != gateAsking {
		return Step{Action: Wait}
	}
	pause := askPause << min(g.asks, 5)
	if now.Add(pause).Before(g.opened.Add(ClaimWait)) {
		return g.ask(now.Add(pause))
	}
	s := g.refuse(g.unclaimed(), CodeUnavailable, "the claim's home could not be asked", ClaimWait)
	if f == ReplyLost || g.asks > 1 {
		s.Command = g.abandon(now, true)
	}
	return s
}

// GiveUp ends a request that was not sent: its deadline passed, its caller
// left or no target can take it. After Sending it changes nothing; the host
// then ends the request by Finished.
func (g *Gate) GiveUp(now time.Time, code verdict.Code, message string) Step {
	switch g.state {
	case gateAsking:
		s := g.refuse(g.unclaimed(), code, message, 0)
		s.Command = g.abandon(now, true)
		return s
	case gateGranted:
		s := g.refuse(verdict.NotRun, code, message, g.afterRelease())
		s.Command = g.abandon(now, true)
		return s
	}
	return Step{Action: Wait}
}

// BeginSend marks that the request is about to be sent, and reports whether it
// may be. It is called right before the first byte goes to a target. No time
// is checked: while the key is ours the table grants it to nobody else, also
// if this process was frozen meanwhile.
func (g *Gate) BeginSend() bool {
	if g.state != gateGranted {
		return false
	}
	g.state = gateSent
	g.sent = true
	return true
}

// CancelSend takes back Sending where it is certain that the target saw nothing of
// the request (connection refused), so that another target may be tried.
func (g *Gate) CancelSend() {
	if g.state == gateSent {
		g.state = gateGranted
	}
}

// Finished takes the end of a sending. A sending that is certain not to have
// reached the target (NotRun) releases the key.
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

// granted takes the key, unless the grant is so late that a later sending can
// have been told "not run" in between (see Hold).
func (g *Gate) granted(now time.Time) Step {
	if now.Sub(g.opened) < ClaimWait {
		g.state = gateGranted
		return Step{Action: Send}
	}
	s := g.refuse(verdict.NotRun, CodeUnavailable, "the claim was granted too late", g.afterRelease())
	s.Command = g.abandon(now, true)
	return s
}

// unclaimed is the verdict where the table did not grant the key: another
// sending may hold it unless the caller vouches that there is none.
func (g *Gate) unclaimed() verdict.Verdict {
	if g.r.Mark == First {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// afterRelease is when a resend is granted the key again.
func (g *Gate) afterRelease() time.Duration {
	if g.r.Mark == First {
		return 0
	}
	return Hold
}

func (g *Gate) ask(at time.Time) Step {
	g.asks++
	c := &Claim{
		Key: g.r.Key, Body: g.r.Body, Attempt: g.r.Attempt, Instance: g.r.Instance,
		LifetimeSeconds: lifetimeSeconds(g.r.Lifetime), Mark: g.r.Mark,
	}
	// The time of the claim is when the Gate was opened, also when it asks again.
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
