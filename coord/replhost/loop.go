package replhost

import (
	"context"
	"time"

	"github.com/gullhaven/gullhaven/coord/replog"
)

// maxBatch bounds the payloads and calls handled between two checks for a Ready.
const maxBatch = 256

// event is a report of another goroutine to the core goroutine.
type event struct {
	// synced is a Ready that was written and synced.
	synced *replog.Ready
	// savedSnapshot is a snapshot of this node's state machine that is durable.
	savedSnapshot *replog.Snapshot
	// applied says that the apply queue has room again.
	applied bool
	// state is a snapshot that the state machine created, to be saved.
	state *stateSnapshot
	// failed is the error that ends the node.
	failed error
}

// stateSnapshot is the state machine's state at an index.
type stateSnapshot struct {
	index uint64
	data  []byte
}

// loop is the core goroutine.
type loop struct {
	node *Node
	core replog.Log
	// pendingApply is the job for which the apply queue had no room. The core is not
	// advanced past its Ready meanwhile.
	pendingApply *applyJob
	// snapshotPending says that a snapshot is being written to the disk.
	snapshotPending bool
	err             error
}

func (l *loop) run(ctx context.Context) {
	ticks, stop := l.node.opts.Clock.Tick(l.node.opts.Core.HeartbeatInterval / 2)
	defer stop()
	for ctx.Err() == nil && l.err == nil {
		l.advance()
		if l.err != nil {
			break
		}
		l.wait(ctx, ticks)
		l.drain()
	}
	l.terminate()
}

// wait waits for an input and handles it, or for the end of ctx.
func (l *loop) wait(ctx context.Context, ticks <-chan time.Time) {
	n := l.node
	select {
	case <-ctx.Done():
	case p := <-n.inbox.C():
		l.receive(p)
	case r := <-n.requests.C():
		r.serve(l, l.now())
	case e := <-n.events.C():
		l.handle(e)
	case <-ticks:
		l.tick()
	}
}

// drain handles the inputs that are already there, at most maxBatch, so that they share
// a sync.
func (l *loop) drain() {
	n := l.node
	for range maxBatch {
		if l.err != nil {
			return
		}
		select {
		case p := <-n.inbox.C():
			l.receive(p)
		case r := <-n.requests.C():
			r.serve(l, l.now())
		case e := <-n.events.C():
			l.handle(e)
		default:
			return
		}
	}
}

// now returns the time. It must be read after the event that it is passed with, as the
// core requires.
func (l *loop) now() time.Time { return l.node.opts.Clock.Now() }

func (l *loop) tick() {
	now := l.now()
	l.core.Tick(now)
	if !l.node.opts.Repair {
		return
	}
	if ch, ok := l.core.NextRepair(now, l.node.opts.Promote); ok {
		// Rejected while leadership or configuration changes; the next tick tries
		// again.
		_, _ = l.core.ProposeConfChange(now, ch)
	}
}

func (l *loop) receive(p payload) {
	messages, err := decodeMessages(p.data)
	if err != nil {
		l.node.counters.malformed.Add(1)
		return
	}
	now := l.now()
	for _, m := range messages {
		if m.From.ID != p.from || l.core.Step(now, m) != nil {
			l.node.counters.malformed.Add(1)
		}
	}
}

// advance starts the next Ready unless one is in progress.
func (l *loop) advance() {
	for l.pendingApply == nil && l.core.HasReady() {
		r := l.core.Ready()
		if r.Empty() {
			return
		}
		l.send(r.Immediate)
		if r.MustSync {
			// At most one Ready and one snapshot are in progress, so there is room.
			l.node.diskJobs.TryPush(diskJob{ready: &r})
			return
		}
		l.finishReady(&r)
	}
}

func (l *loop) handle(e event) {
	switch {
	case e.failed != nil:
		l.err = e.failed
	case e.synced != nil:
		l.finishReady(e.synced)
	case e.savedSnapshot != nil:
		l.snapshotPending = false
		// An error means that a leader's snapshot has superseded this one.
		_ = l.core.Compact(*e.savedSnapshot, l.node.opts.KeepEntries)
	}
	if e.state != nil {
		l.save(e.state)
	}
	if e.applied {
		l.submitApply()
	}
}

// finishReady continues with a Ready that is durable.
func (l *loop) finishReady(r *replog.Ready) {
	l.send(r.Messages)
	job := applyJob{snapshot: r.Snapshot, committed: r.Committed, reads: r.ReadStates}
	if job.empty() {
		l.core.Advance()
		return
	}
	l.pendingApply = &job
	l.submitApply()
}

// submitApply passes the pending job to the apply goroutine once there is room.
func (l *loop) submitApply() {
	if l.pendingApply != nil && l.node.applyJobs.TryPush(*l.pendingApply) {
		l.pendingApply = nil
		l.core.Advance()
	}
}

// save passes a snapshot to the disk goroutine, unless another one is being written.
func (l *loop) save(m *stateSnapshot) {
	if l.snapshotPending {
		return
	}
	s, err := l.core.MakeSnapshot(m.index, m.data)
	if err != nil { // superseded by a leader's snapshot
		return
	}
	l.snapshotPending = l.node.diskJobs.TryPush(diskJob{snapshot: &s})
}

func (l *loop) send(messages []replog.Message) {
	if len(messages) == 0 || l.err != nil {
		return
	}
	if err := sendMessages(messages, l.node.opts.Transport.Send); err != nil {
		l.err = err
	}
}

// terminate publishes the last status and wakes all callers.
func (l *loop) terminate() {
	n := l.node
	n.final = l.status()
	n.final.State = Stopped
	if l.err != nil {
		n.final.State, n.final.Err = Failed, l.err
	}
	n.cancel()
	close(n.done)
}

func (l *loop) status() Status {
	n := l.node
	return Status{
		Core: l.core.Status(), Applied: n.applied.Load(),
		New: n.rec.New, Truncated: n.rec.Truncated, Counters: n.readCounters(),
	}
}
