package replhost

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/verdict"
)

// request is served by the core goroutine.
type request interface {
	serve(l *loop, now time.Time)
}

type proposal struct {
	call *call
	data []byte
}

type barrier struct{ call *call }

type change struct {
	call *call
	ch   replog.ConfChange
}

type transfer struct {
	call *call
	to   string
}

// query asks for something that the core goroutine knows; answer holds one.
type query[T any] struct {
	ask    func(l *loop, now time.Time) T
	answer chan T
}

// Propose replicates data and returns the state machine's result once this node
// has applied it. The error is a *verdict.Error: with NotRun it takes no effect
// anywhere, with MayHaveRun it may have taken or may still take effect.
func (n *Node) Propose(ctx context.Context, data []byte) ([]byte, error) {
	if len(data) == 0 || len(data) > n.opts.MaxProposalBytes {
		return nil, failure(verdict.NotRun, CodeInvalidSize,
			fmt.Sprintf("%d bytes; from 1 to %d can be proposed", len(data), n.opts.MaxProposalBytes), nil)
	}
	c := newCall()
	return n.await(ctx, c, proposal{call: c, data: slices.Clone(data)})
}

// Read returns nil once the state machine holds everything that was answered to
// any proposer of the group before the call. A leader that is
// known but doesn't answer makes it wait until ctx ends. The error is a
// *verdict.Error.
func (n *Node) Read(ctx context.Context) error {
	c := newCall()
	_, err := n.await(ctx, c, barrier{call: c})
	return err
}

// Change replicates a change of the configuration and returns once it's
// applied. The error is a *verdict.Error.
func (n *Node) ChangeConfig(ctx context.Context, ch replog.ConfChange) error {
	c := newCall()
	_, err := n.await(ctx, c, change{call: c, ch: ch})
	return err
}

// Transfer begins to hand leadership to another voter. Ends of the lease that
// LeaseUntil returned are void from the call on. The error is a *verdict.Error.
func (n *Node) TransferLeader(ctx context.Context, to string) error {
	c := newCall()
	_, err := n.await(ctx, c, transfer{call: c, to: to})
	return err
}

// Status returns the node's state.
func (n *Node) Status() Status {
	s, ok := ask(n, func(l *loop, _ time.Time) Status { return l.status() })
	if !ok {
		return n.final
	}
	return s
}

// LeaseUntil returns the end of the leader's lease by the node's Clock; zero if
// there is none, also if the node is no longer Running.
func (n *Node) LeaseUntil() time.Time {
	until, _ := ask(n, func(l *loop, now time.Time) time.Time { return l.core.LeaseUntil(now) })
	return until
}

// await hands a request over and waits for the end of its call.
func (n *Node) await(ctx context.Context, c *call, r request) ([]byte, error) {
	select {
	case <-n.ended:
		return nil, n.stopped(verdict.NotRun)
	default:
	}
	if !n.requests.TryPush(r) {
		return nil, failure(verdict.NotRun, CodeOverloaded, "too many calls wait", nil)
	}
	select {
	case o := <-c.done:
		return o.unpack()
	case <-ctx.Done():
		return n.giveUp(c, failure(verdict.MayHaveRun, CodeTimeout, "no answer in time", ctx.Err()))
	case <-n.ended:
		return n.giveUp(c, n.stopped(verdict.MayHaveRun))
	}
}

// giveUp ends the wait for a call, unless its outcome came at the same time.
func (n *Node) giveUp(c *call, err *verdict.Error) ([]byte, error) {
	if c.abandon() {
		err.Verdict = verdict.NotRun
		return nil, err
	}
	n.calls.drop(c)
	select {
	case o := <-c.done:
		return o.unpack()
	default:
		return nil, err
	}
}

func (n *Node) stopped(v verdict.Verdict) *verdict.Error {
	return failure(v, CodeStopped, "the node is "+n.final.State.String(), n.final.Err)
}

func (o outcome) unpack() ([]byte, error) {
	if o.err != nil {
		return nil, o.err
	}
	return o.result, nil
}

// ask queries the core goroutine; false if that has ended.
func ask[T any](n *Node, f func(l *loop, now time.Time) T) (T, bool) {
	q := query[T]{ask: f, answer: make(chan T, 1)}
	var zero T
	if n.requests.Push(n.life, q) != nil {
		<-n.ended
		return zero, false
	}
	select {
	case v := <-q.answer:
		return v, true
	case <-n.ended:
		return zero, false
	}
}

func (q query[T]) serve(l *loop, now time.Time) { q.answer <- q.ask(l, now) }

func (p proposal) serve(l *loop, now time.Time) {
	if !p.call.take() {
		return
	}
	place, err := l.core.Propose(now, p.data)
	l.placed(p.call, place, err)
}

func (c change) serve(l *loop, now time.Time) {
	if !c.call.take() {
		return
	}
	place, err := l.core.ProposeConfChange(now, c.ch)
	l.placed(c.call, place, err)
}

func (l *loop) placed(c *call, place replog.Position, err error) {
	if err != nil {
		c.end(outcome{err: refusal(err, l.core.Status().Leader.ID)})
		return
	}
	l.node.calls.addProposal(c, place)
}

func (b barrier) serve(l *loop, now time.Time) {
	if !b.call.take() {
		return
	}
	id := l.node.opts.Random()
	l.node.calls.addRead(b.call, id)
	if err := l.core.ReadIndex(now, id); err != nil {
		l.node.calls.drop(b.call)
		b.call.end(outcome{err: refusal(err, "")})
	}
}

func (t transfer) serve(l *loop, now time.Time) {
	if !t.call.take() {
		return
	}
	if err := l.core.TransferLeader(now, t.to); err != nil {
		t.call.end(outcome{err: refusal(err, l.core.Status().Leader.ID)})
		return
	}
	t.call.end(outcome{})
}
