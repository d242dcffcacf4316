package replhost

import (
	"context"

	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/coord/replog"
)

// applyJob is one task of the apply goroutine: first the snapshot, then the
// entries, then the reads.
type applyJob struct {
	snapshot  *replog.Snapshot
	committed []replog.Entry
	reads     []replog.ReadState
}

func (j *applyJob) empty() bool {
	return j.snapshot == nil && len(j.committed) == 0 && len(j.reads) == 0
}

// applier drives the state machine.
type applier struct {
	node *Node
	// snapshotAt is the index of the newest snapshot, made or restored.
	snapshotAt uint64
	index      uint64
	waiting    []replog.ReadState
}

func (a *applier) run(ctx context.Context) {
	n := a.node
	for {
		job, err := n.apply.Pop(ctx)
		if err != nil {
			return
		}
		e := event{applied: true}
		if err := a.carryOut(job); err != nil {
			e = event{failed: errors.Annotate(err, "state machine")}
		} else if a.index-a.snapshotAt >= n.opts.SnapshotEntries {
			e.made = a.makeSnapshot()
		}
		if n.events.Push(ctx, e) != nil || e.failed != nil {
			return
		}
	}
}

func (a *applier) carryOut(job applyJob) error {
	if s := job.snapshot; s != nil {
		if err := a.node.opts.StateMachine.Restore(s.Data); err != nil {
			return errors.Annotatef(err, "restore the snapshot at %d", s.Index)
		}
		a.reached(s.Index)
		a.node.calls.skipped(s.Index)
	}
	for _, e := range job.committed {
		a.applyEntry(e)
	}
	a.waiting = append(a.waiting, job.reads...)
	a.answerReads()
	return nil
}

func (a *applier) applyEntry(e replog.Entry) {
	var result []byte
	if e.Kind == replog.EntryNormal && len(e.Data) > 0 {
		result = a.node.opts.StateMachine.Apply(e.Index, e.Data)
	}
	a.index = e.Index
	a.node.applied.Store(e.Index)
	a.node.calls.applied(e, result)
}

// reached notes that the state machine stands at a snapshot.
func (a *applier) reached(index uint64) {
	a.index, a.snapshotAt = index, index
	a.node.applied.Store(index)
}

// answerReads ends the reads whose index is applied.
func (a *applier) answerReads() {
	rest := a.waiting[:0]
	for _, r := range a.waiting {
		if r.Index <= a.index {
			a.node.calls.readDone(r.ID)
		} else {
			rest = append(rest, r)
		}
	}
	a.waiting = rest
}

// makeSnapshot returns nil if the state machine can't give one; the next try
// is after as many entries again.
func (a *applier) makeSnapshot() *madeSnapshot {
	a.snapshotAt = a.index
	data, err := a.node.opts.StateMachine.Snapshot()
	if err != nil {
		a.node.counters.snapshotErrors.Add(1)
		return nil
	}
	return &madeSnapshot{index: a.index, data: data}
}
