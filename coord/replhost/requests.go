package replhost

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/verdict"
)

// request is handled by the core goroutine.
type request interface {
	serve(l *loop, now time.Time)
}

type proposal struct {
	call *call
	// data are proposed one after the other; call ends with the last one.
	data [][]byte
}

type readBarrier struct{ call *call }

type change struct {
	call *call
	ch   replog.ConfChange
}

type transfer struct {
	call *call
	to   string
}

// query reads state of the core goroutine; answer has a capacity of one.
type query[T any] struct {
	run    func(l *loop, now time.Time) T
	answer chan T
}

// Propose replicates data and returns the state machine's result once this node has
// applied it. data must have 1 to MaxProposalBytes bytes. The error is a
// *verdict.Error: with NotRun the proposal takes no effect anywhere, with MayHaveRun it
// may have taken effect or may still do so.
func (n *Node) Propose(ctx context.Context, data []byte) ([]byte, error) {
	return n.ProposeAll(ctx, data)
}

// ProposeAll is Propose for several entries that follow each other in the log: it takes no longer than
// for one. The result is that of the last one, and if that is applied, all are. After an error with the
// verdict MayHaveRun any number of them, from the first on, may have taken effect or still do so.
func (n *Node) ProposeAll(ctx context.Context, data ...[]byte) ([]byte, error) {
	if len(data) == 0 {
		return nil, newError(verdict.NotRun, CodeInvalidSize, "nothing to propose", nil)
	}
	p := proposal{call: newCall()}
	for _, d := range data {
		if len(d) == 0 || len(d) > n.opts.MaxProposalBytes {
			return nil, newError(verdict.NotRun, CodeInvalidSize,
				fmt.Sprintf("%d bytes; from 1 to %d can be proposed", len(d), n.opts.MaxProposalBytes), nil)
		}
		p.data = append(p.data, slices.Clone(d))
	}
	return n.await(ctx, p.call, p)
}

// Read returns nil once the state machine holds everything that was answered to any
// proposer of the group before the call. If the known leader does not answer, it waits
// until ctx ends. The error is a *verdict.Error.
func (n *Node) Read(ctx context.Context) error {
	c := newCall()
	_, err := n.await(ctx, c, readBarrier{call: c})
	return err
}

// ChangeConfig replicates a configuration change and returns once it is applied. The
// error is a *verdict.Error.
func (n *Node) ChangeConfig(ctx context.Context, ch replog.ConfChange) error {
	c := newCall()
	_, err := n.await(ctx, c, change{call: c, ch: ch})
	return err
}

// TransferLeader starts handing leadership to another voter. Lease ends that LeaseUntil
// returned before are void from the call on. The error is a *verdict.Error.
func (n *Node) TransferLeader(ctx context.Context, to string) error {
	c := newCall()
	_, err := n.await(ctx, c, transfer{call: c, to: to})
	return err
}

// Status returns the node's state.
func (n *Node) Status() Status {
	s, ok := runQuery(n, func(l *loop, _ time.Time) Status { return l.status() })
	if !ok {
		return n.final
	}
	return s
}

// LeaseUntil returns the end of the leader's lease by the node's Clock, or zero if
// there is none or the node is no longer Running.
func (n *Node) LeaseUntil() time.Time {
	until, _ := runQuery(n, func(l *loop, now time.Time) time.Time { return l.core.LeaseUntil(now) })
	return until
}

// await submits a request and waits for the end of its call.
func (n *Node) await(ctx context.Context, c *call, r request) ([]byte, error) {
	select {
	case <-n.done:
		return nil, n.stoppedError(verdict.NotRun)
	default:
	}
	if !n.requests.TryPush(r) {
		return nil, newError(verdict.NotRun, CodeOverloaded, "too many calls wait", nil)
	}
	select {
	case o := <-c.done:
		return o.unpack()
	case <-ctx.Done():
		return n.giveUp(c, newError(verdict.MayHaveRun, CodeTimeout, "no answer in time", ctx.Err()))
	case <-n.done:
		return n.giveUp(c, n.stoppedError(verdict.MayHaveRun))
	}
}

// giveUp ends the wait for a call with err, unless its outcome arrived at the same time.
// If the core had not accepted the call, err gets the verdict NotRun.
func (n *Node) giveUp(c *call, err *verdict.Error) ([]byte, error) {
	if c.abandon() {
		err.Verdict = verdict.NotRun
		return nil, err
	}
	n.calls.remove(c)
	select {
	case o := <-c.done:
		return o.unpack()
	default:
		return nil, err
	}
}

func (n *Node) stoppedError(v verdict.Verdict) *verdict.Error {
	return newError(v, CodeStopped, "the node is "+n.final.State.String(), n.final.Err)
}

func (o outcome) unpack() ([]byte, error) {
	if o.err != nil {
		return nil, o.err
	}
	return o.result, nil
}

// runQuery calls f on the core goroutine; it reports false if that has ended.
func runQuery[T any](n *Node, f func(l *loop, now time.Time) T) (T, bool) {
	q := query[T]{run: f, answer: make(chan T, 1)}
	var zero T
	if n.requests.Push(n.ctx, q) != nil {
		<-n.done
		return zero, false
	}
	select {
	case v := <-q.answer:
		return v, true
	case <-n.done:
		return zero, false
	}
}

func (q query[T]) serve(l *loop, now time.Time) { q.answer <- q.run(l, now) }

func (p proposal) serve(l *loop, now time.Time) {
	if !p.call.accept() {
		return
	}
	for k, data := range p.data {
		position, err := l.core.Propose(now, data)
		switch {
		case err != nil && k > 0:
			// The entries before it are in the log.
			p.call.end(outcome{err: newError(verdict.MayHaveRun, CodeRefused, err.Error(), err)})
			return
		case err != nil || k == len(p.data)-1:
			l.trackProposal(p.call, position, err)
			return
		}
	}
}

func (c change) serve(l *loop, now time.Time) {
	if !c.call.accept() {
		return
	}
	position, err := l.core.ProposeConfChange(now, c.ch)
	l.trackProposal(c.call, position, err)
}

func (l *loop) trackProposal(c *call, position replog.Position, err error) {
	if err != nil {
		c.end(outcome{err: coreError(err, l.core.Status().Leader.ID)})
		return
	}
	l.node.calls.addProposal(c, position)
}

func (b readBarrier) serve(l *loop, now time.Time) {
	if !b.call.accept() {
		return
	}
	id := l.node.opts.Random()
	l.node.calls.addRead(b.call, id)
	if err := l.core.ReadIndex(now, id); err != nil {
		l.node.calls.remove(b.call)
		b.call.end(outcome{err: coreError(err, "")})
	}
}

func (t transfer) serve(l *loop, now time.Time) {
	if !t.call.accept() {
		return
	}
	if err := l.core.TransferLeader(now, t.to); err != nil {
		t.call.end(outcome{err: coreError(err, l.core.Status().Leader.ID)})
		return
	}
	t.call.end(outcome{})
}
