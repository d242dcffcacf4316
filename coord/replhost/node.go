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

// State says whether a Node works.
type State uint8

const (
	// Running: it takes part in the group.
	Running State = iota
	// Stopped: Stop was called.
	Stopped
	// Failed: the disk or the state machine failed; Status.Err says how.
	Failed
)

var stateNames = [...]string{Running: "running", Stopped: "stopped", Failed: "failed"}

// String returns the name for logs.
func (s State) String() string { return stateNames[min(s, Failed)] }

// Status is what a node tells of itself.
type Status struct {
	State State
	// Err is the failure, for Failed.
	Err error
	// Core is the core's state; the last one if the node isn't Running.
	Core replog.Status
	// Applied is the index that the state machine has reached.
	Applied uint64
	// New says that the folder was new at Open; Torn is the tail that Open has
	// cut, or nil. See coord/wal.
	New       bool
	Truncated *wal.TruncatedTail
	// Counters since Open.
	Counters Counters
}

// Counters count events since Open.
type Counters struct {
	// Syncs is the number of sync batches, SyncedEntries of the entries in them.
	Syncs, SyncedEntries uint64
	// Snapshots is the number of snapshots saved, SnapshotErrors of those that
	// the state machine didn't give.
	Snapshots, SnapshotErrors uint64
	// Malformed is the number of payloads or messages that were refused,
	// Dropped of those that found the inbox full.
	Malformed, Dropped uint64
}

// counters are the live form of Counters.
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

	inbox    *ring.Ring[payload]
	requests *ring.Ring[request]
	events   *ring.Ring[event]
	disk     *ring.Ring[diskJob]
	apply    *ring.Ring[applyJob]

	applied  atomic.Uint64
	counters counters

	life    context.Context // ends with the node
	stop    context.CancelFunc
	workers sync.WaitGroup
	ended   chan struct{} // closed when the core goroutine has ended
	final   Status        // set before ended is closed
	log     *wal.Log
	closing sync.Once
	closed  error
}

// payload is what the transport has brought.
type payload struct {
	from string
	data []byte
}

// Open recovers the node from its folder and starts it. The errors are those of
// wal.Open, of the state machine's Restore, and of bad options.
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
		inbox:    ring.New[payload](o.QueueLength),
		requests: ring.New[request](o.QueueLength),
		events:   ring.New[event](eventQueue),
		disk:     ring.New[diskJob](diskQueue),
		apply:    ring.New[applyJob](applyQueue),
		ended:    make(chan struct{}),
	}
	if err := n.start(st, state); err != nil {
		_ = st.log.Close()
		return nil, err
	}
	return n, nil
}

func (n *Node) start(st *store, state replog.State) error {
	n.opts.Core.Self.Incarnation = memberNumber(n.rec.Incarnation)
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
		a.reached(s.Index)
	}
	ctx, stop := context.WithCancel(context.Background())
	n.life, n.stop = ctx, stop
	n.workers.Go(func() { runDisk(ctx, n, st) })
	n.workers.Go(func() { a.run(ctx) })
	n.workers.Go(func() { (&loop{node: n, core: core}).run(ctx) })
	return nil
}

// Receive takes in a payload that another node's Transport was given. It never
// blocks; a payload that finds the queue full is dropped and counted. from is
// the sender as the transport has authenticated it.
func (n *Node) Receive(from string, data []byte) {
	n.inbox.TryPush(payload{from: from, data: data})
}

// Member returns the node's id and the incarnation of its folder.
func (n *Node) Member() replog.Member { return n.self }

// Stop ends the node and releases its folder. The error is of the release.
func (n *Node) Stop() error {
	n.closing.Do(func() {
		n.stop()
		n.workers.Wait()
		n.closed = n.log.Close()
	})
	return n.closed
}

// Ended returns a channel that is closed when the node is no longer Running.
func (n *Node) Done() <-chan struct{} { return n.ended }

// count returns the counters now.
func (n *Node) count() Counters {
	c := &n.counters
	return Counters{
		Syncs: c.syncs.Load(), SyncedEntries: c.syncedEntries.Load(),
		Snapshots: c.snapshots.Load(), SnapshotErrors: c.snapshotErrors.Load(),
		Malformed: c.malformed.Load(), Dropped: n.inbox.Stats().Refused,
	}
}
