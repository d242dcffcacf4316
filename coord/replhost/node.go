package replhost

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/ring"
	"github.com/gullhaven/gullhaven/coord/wal"
)

// State says whether a Node runs.
type State uint8

const (
	// Running: the node takes part in the group.
	Running State = iota
	// Stopped: Stop was called.
	Stopped
	// Failed: the disk or the state machine failed; Status.Err says how.
	Failed
)

var stateNames = [...]string{Running: "running", Stopped: "stopped", Failed: "failed"}

// String returns the name used in logs.
func (s State) String() string { return stateNames[min(s, Failed)] }

// Status is a node's state for reporting.
type Status struct {
	State State
	// Err is the cause of Failed.
	Err error
	// Core is the core's state; the last one if the node is not Running.
	Core replog.Status
	// Applied is the index that the state machine has reached.
	Applied uint64
	// New says that the folder was new at Open. Truncated is the tail that Open
	// dropped, or nil. See coord/wal.
	New       bool
	Truncated *wal.TruncatedTail
	// Counters are the events since Open.
	Counters Counters
}

// Counters count events since Open.
type Counters struct {
	// Syncs is the number of sync batches, SyncedEntries the number of entries in them.
	Syncs, SyncedEntries uint64
	// Snapshots is the number of snapshots saved, SnapshotErrors the number that the
	// state machine failed to create.
	Snapshots, SnapshotErrors uint64
	// Malformed is the number of payloads or messages that were rejected, Dropped the
	// number of payloads that found the inbox full.
	Malformed, Dropped uint64
}

// counters holds the live values of Counters, but for Dropped, which the inbox counts.
type counters struct {
	syncs, syncedEntries      atomic.Uint64
	snapshots, snapshotErrors atomic.Uint64
	malformed                 atomic.Uint64
}

// Node is one member of a replicated group.
type Node struct {
	opts  Options
	rec   wal.Recovered
	self  replog.Member
	calls *calls

	inbox     *ring.Ring[payload]
	requests  *ring.Ring[request]
	events    *ring.Ring[event]
	diskJobs  *ring.Ring[diskJob]
	applyJobs *ring.Ring[applyJob]

	applied  atomic.Uint64
	counters counters

	ctx      context.Context // cancelled when the node ends
	cancel   context.CancelFunc
	workers  sync.WaitGroup
	done     chan struct{} // closed when the core goroutine ended
	final    Status        // set before done is closed
	log      *wal.Log
	stopOnce sync.Once
	stopErr  error
}

// payload is data received from the transport.
type payload struct {
	from string
	data []byte
}

// Open recovers the node from its folder and starts it. It returns an error for invalid
// options, and those of wal.Open and of the state machine's Restore.
func Open(o Options) (*Node, error) {
	if err := o.complete(); err != nil {
		return nil, err
	}
	st, state, rec, err := openStore(o)
	if err != nil {
		return nil, err
	}
	n := &Node{
		opts: o, rec: rec, calls: newCalls(), log: st.log,
		inbox:     ring.New[payload](o.QueueLength),
		requests:  ring.New[request](o.QueueLength),
		events:    ring.New[event](eventQueue),
		diskJobs:  ring.New[diskJob](diskQueue),
		applyJobs: ring.New[applyJob](applyQueue),
		done:      make(chan struct{}),
	}
	if err := n.start(st, state); err != nil {
		_ = st.log.Close()
		return nil, err
	}
	return n, nil
}

func (n *Node) start(st *store, state replog.State) error {
	n.opts.Core.Self.Incarnation = coreIncarnation(n.rec.Incarnation)
	n.self = n.opts.Core.Self
	core, err := replog.New(n.opts.Clock.Now(), n.opts.Core, state)
	if err != nil {
		return errors.Annotate(err, "start the core")
	}
	a := applier{node: n}
	if s := state.Snapshot; s != nil {
		if err := n.opts.StateMachine.Restore(s.Data); err != nil {
			return errors.Annotatef(err, "restore the snapshot at %d", s.Index)
		}
		a.setApplied(s.Index)
	}
	ctx, stop := context.WithCancel(context.Background())
	n.ctx, n.cancel = ctx, stop
	n.workers.Go(func() { runDisk(ctx, n, st) })
	n.workers.Go(func() { a.run(ctx) })
	n.workers.Go(func() { (&loop{node: n, core: core}).run(ctx) })
	return nil
}

// Receive accepts a payload that another node's Transport sent. It never blocks; a
// payload that finds the queue full is dropped and counted. from is the sender's id,
// which the transport must have authenticated. data must not be changed afterwards.
func (n *Node) Receive(from string, data []byte) {
	n.inbox.TryPush(payload{from: from, data: data})
}

// Member returns the node's id and the incarnation of its folder.
func (n *Node) Member() replog.Member { return n.self }

// Stop ends the node and releases its folder. It returns the error of the release.
func (n *Node) Stop() error {
	n.stopOnce.Do(func() {
		n.cancel()
		n.workers.Wait()
		n.stopErr = n.log.Close()
	})
	return n.stopErr
}

// Done returns a channel that is closed when the node is no longer Running.
func (n *Node) Done() <-chan struct{} { return n.done }

// readCounters returns the current counters.
func (n *Node) readCounters() Counters {
	c := &n.counters
	return Counters{
		Syncs: c.syncs.Load(), SyncedEntries: c.syncedEntries.Load(),
		Snapshots: c.snapshots.Load(), SnapshotErrors: c.snapshotErrors.Load(),
		Malformed: c.malformed.Load(), Dropped: n.inbox.Stats().Refused,
	}
}
