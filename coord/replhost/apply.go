package replhost

import (
	"context"

	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/coord/replog"
)

// applyJob is one task of the apply goroutine: the snapshot first, then the entries,
// then the reads.
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
	// index is the last index applied or restored. pendingReads wait for a later one.
	index        uint64
	pendingReads []replog.ReadState
}

func (a *applier) run(ctx context.Context) {
	n := a.node
	for {
		job, err := n.applyJobs.Pop(ctx)
		if err != nil {
			return
		}
		e := event{applied: true}
		if err := a.runJob(job); err != nil {
			e = event{failed: errors.Annotate(err, "state machine")}
		} else if a.index-a.snapshotAt >= n.opts.SnapshotEntries {
			e.state = a.makeSnapshot()
		}
		if n.events.Push(ctx, e) != nil || e.failed != nil {
			return
		}
	}
}

func (a *applier) runJob(job applyJob) error {
	if s := job.snapshot; s != nil {
		if err := a.node.opts.StateMachine.Restore(s.Data); err != nil {
			return errors.Annotatef(err, "restore the snapshot at %d", s.Index)
		}
		a.setApplied(s.Index)
		a.node.calls.endCovered(s.Index)
	}
	for _, e := range job.committed {
		a.applyEntry(e)
	}
	a.pendingReads = append(a.pendingReads, job.reads...)
	a.completeReads()
	return nil
}

func (a *applier) applyEntry(e replog.Entry) {
	var result []byte
	if e.Kind == replog.EntryNormal && len(e.Data) > 0 {
		result = a.node.opts.StateMachine.Apply(e.Index, e.Data)
	}
	a.index = e.Index
	a.node.applied.Store(e.Index)
	a.node.calls.endApplied(e, result)
}

// setApplied records that the state machine was restored from a snapshot at index.
func (a *applier) setApplied(index uint64) {
	a.index, a.snapshotAt = index, index
	a.node.applied.Store(index)
}

// completeReads completes the reads whose index is applied.
func (a *applier) completeReads() {
	rest := a.pendingReads[:0]
	for _, r := range a.pendingReads {
		if r.Index <= a.index {
			a.node.calls.endRead(r.ID)
		} else {
			rest = append(rest, r)
		}
	}
	a.pendingReads = rest
}

// makeSnapshot returns nil if the state machine fails to create one; the next attempt
// is after another SnapshotEntries entries.
func (a *applier) makeSnapshot() *stateSnapshot {
	a.snapshotAt = a.index
	data, err := a.node.opts.StateMachine.Snapshot()
	if err != nil {
		a.node.counters.snapshotErrors.Add(1)
		return nil
	}
	return &stateSnapshot{index: a.index, data: data}
}
