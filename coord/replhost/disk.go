package replhost

import (
	"context"

	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/coord/replog"
)

// diskJob is one task of the disk goroutine: a Ready, or a snapshot of this node's own
// state machine.
type diskJob struct {
	ready    *replog.Ready
	snapshot *replog.Snapshot
}

// runDisk runs jobs until the first failure. A job can be durable although the log
// failed right after it, when writing the batch's mark: the job then counts, but the
// node ends at once instead of at its next write.
func runDisk(ctx context.Context, n *Node, st *store) {
	for {
		job, err := n.diskJobs.Pop(ctx)
		if err != nil {
			return
		}
		if err := n.runDiskJob(st, job); err != nil {
			_ = n.events.Push(ctx, event{failed: errors.Annotate(err, "disk")})
			return
		}
		if n.events.Push(ctx, event{synced: job.ready, savedSnapshot: job.snapshot}) != nil {
			return
		}
		if err := st.log.Err(); err != nil {
			_ = n.events.Push(ctx, event{failed: errors.Annotate(err, "disk")})
			return
		}
	}
}

func (n *Node) runDiskJob(st *store, job diskJob) error {
	if job.snapshot != nil {
		if err := st.saveSnapshot(*job.snapshot); err != nil {
			return err
		}
		n.counters.snapshots.Add(1)
		return nil
	}
	if err := st.write(job.ready); err != nil {
		return err
	}
	n.counters.syncs.Add(1)
	n.counters.syncedEntries.Add(uint64(len(job.ready.Entries)))
	return nil
}
