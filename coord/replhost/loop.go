package replhost

import (
	"context"
	"time"

	"github.com/gullhaven/gullhaven/coord/replog"
)

// maxBatch bounds the payloads and calls that are taken in between two looks
// at what the core wants done.
const maxBatch = 256

// event is what the other goroutines tell the core goroutine.
type event struct {
	// synced is the Ready that was written; saved the own snapshot that was.
	synced *replog.Ready
	saved  *replog.Snapshot
	// applied says that the apply goroutine has room again.
	applied bool
	made    *madeSnapshot
	// failed ends the node.
	failed error
}

// madeSnapshot is the state machine's state at an index.
type madeSnapshot struct {
	index uint64
	data  []byte
}

// loop is the core goroutine.
type loop struct {
	node *Node
	core replog.Log
	// held is the job that the apply goroutine had no room for. The Ready that
	// it's from is not advanced meanwhile.
	held *applyJob
	// saving says that a snapshot is on its way to the disk.
	saving bool
	err    error
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
	l.end()
}

// wait takes in one thing.
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

// drain takes in what is there already, so that it shares a sync.
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

// now is read after the event that it belongs to, as the core asks for.
func (l *loop) now() time.Time { return l.node.opts.Clock.Now() }

func (l *loop) tick() {
	now := l.now()
	l.core.Tick(now)
	if !l.node.opts.Repair {
		return
	}
	if ch, ok := l.core.NextRepair(now, l.node.opts.Promote); ok {
		// Refused if leadership or configuration is in motion; the next tick
		// tries again.
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

// advance starts the next Ready unless one is under way.
func (l *loop) advance() {
	for l.held == nil && l.core.HasReady() {
		r := l.core.Ready()
		if r.Empty() {
			return
		}
		l.send(r.Immediate)
		if r.MustSync {
			// At most one Ready and one snapshot are on their way, so there
			// is room.
			l.node.disk.TryPush(diskJob{ready: &r})
			return
		}
		l.finish(&r)
	}
}

func (l *loop) handle(e event) {
	switch {
	case e.failed != nil:
		l.err = e.failed
	case e.synced != nil:
		l.finish(e.synced)
	case e.saved != nil:
		l.saving = false
		// An error says that a leader's snapshot has overtaken this one.
		_ = l.core.Compact(*e.saved, l.node.opts.KeepEntries)
	}
	if e.made != nil {
		l.save(e.made)
	}
	if e.applied {
		l.release()
	}
}

// finish goes on with a Ready that is durable.
func (l *loop) finish(r *replog.Ready) {
	l.send(r.Messages)
	job := applyJob{snapshot: r.Snapshot, committed: r.Committed, reads: r.ReadStates}
	if job.empty() {
		l.core.Advance()
		return
	}
	l.held = &job
	l.release()
}

// release hands the held job over as soon as there is room.
func (l *loop) release() {
	if l.held != nil && l.node.apply.TryPush(*l.held) {
		l.held = nil
		l.core.Advance()
	}
}

func (l *loop) save(m *madeSnapshot) {
	if l.saving {
		return
	}
	s, err := l.core.MakeSnapshot(m.index, m.data)
	if err != nil { // overtaken by a leader's snapshot
		return
	}
	l.saving = l.node.disk.TryPush(diskJob{snapshot: &s})
}

func (l *loop) send(messages []replog.Message) {
	if len(messages) == 0 || l.err != nil {
		return
	}
	if err := payloads(messages, l.node.opts.Transport.Send); err != nil {
		l.err = err
	}
}

// end publishes the last status and wakes all callers.
func (l *loop) end() {
	n := l.node
	n.final = l.status()
	n.final.State = Stopped
	if l.err != nil {
		n.final.State, n.final.Err = Failed, l.err
	}
	n.stop()
	close(n.ended)
}

func (l *loop) status() Status {
	n := l.node
	return Status{
		Core: l.core.Status(), Applied: n.applied.Load(),
		New: n.rec.New, Truncated: n.rec.Truncated, Counters: n.count(),
	}
}
