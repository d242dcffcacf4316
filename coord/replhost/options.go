package replhost

import (
	crand "crypto/rand"
	"encoding/binary"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/wal"
)

// Defaults of Options.
const (
	DefaultSnapshotEntries  = 10_000
	DefaultKeepEntries      = 1_000
	DefaultMaxProposalBytes = 1 << 20
	DefaultQueueLength      = 1024
)

// Bounds of the queues between the goroutines, in items.
const (
	eventQueue = 64
	diskQueue  = 4
	applyQueue = 16
)

// StateMachine is driven by the log. Only the apply goroutine calls it.
type StateMachine interface {
	// Apply applies the entry at index and returns the result for its proposer. It must
	// be deterministic: the same entries in the same order give the same state.
	Apply(index uint64, data []byte) []byte
	// Snapshot returns the whole state. The result must not share memory with it.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a Snapshot.
	Restore(data []byte) error
}

// Transport sends payloads to other nodes. It may lose, delay, repeat and reorder them.
//
// A node that lags behind the entries that others keep, or whose disk was lost, gets
// the state machine's whole Snapshot in one payload. If the transport refuses payloads
// of that length, the node never catches up: its applied index stays behind in Status,
// and a lost disk stays a learner. So the transport's size limit must be above the
// longest Snapshot.
type Transport interface {
	// Send sends payload to the node with id to. It must not block for long, as the
	// core goroutine calls it, and must not change payload.
	Send(to string, payload []byte)
}

// Clock is the node's monotonic clock.
type Clock interface {
	// Now returns the time; see the package comment on stopped processes.
	Now() time.Time
	// Tick sends the time on c at each interval and drops ticks that are not received.
	// stop ends it.
	Tick(interval time.Duration) (c <-chan time.Time, stop func())
}

// SystemClock is the process's monotonic clock.
type SystemClock struct{}

// Now returns time.Now, which carries the monotonic time.
func (SystemClock) Now() time.Time { return time.Now() }

// Tick starts a time.Ticker.
func (SystemClock) Tick(interval time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(interval)
	return t.C, t.Stop
}

// Options configure a Node. Zero values take the defaults, but Core.Self.ID, Dir,
// Transport and StateMachine are required.
type Options struct {
	// Core is passed to the core. Self.Incarnation is set to that of the folder; a zero
	// Seed is drawn from Random.
	Core replog.Options
	// FS and Dir are the file system and folder of the log; FS is wal.OS by default.
	FS  wal.FS
	Dir string
	// SegmentBytes is passed to the log; see wal.Options.
	SegmentBytes int64

	Transport    Transport
	StateMachine StateMachine
	// Clock is SystemClock by default.
	Clock Clock
	// Random returns random numbers for the incarnation of a new folder, for read ids
	// and for a zero Core.Seed; crypto/rand by default. If a folder gets the same
	// incarnation twice, a lost disk is not detected.
	Random func() uint64

	// SnapshotEntries is the number of applied entries between snapshots, default
	// 10000. KeepEntries is the number of entries before a snapshot that stay in memory
	// for peers that lag, default 1000.
	SnapshotEntries, KeepEntries uint64
	// MaxProposalBytes bounds the data of one proposal; default 1 MiB.
	MaxProposalBytes int
	// QueueLength bounds the messages and the calls that wait for the core; default
	// 1024 each.
	QueueLength int
	// Repair lets a leader readmit lost disks and promote learners automatically.
	Repair bool
	// Promote reports whether Repair may make a learner a voter; by default, whether it
	// is among the voters of Core.Bootstrap.
	Promote func(replog.Member) bool
}

func (o *Options) complete() error {
	if o.Core.Self.ID == "" || o.Dir == "" || o.Transport == nil || o.StateMachine == nil {
		return errors.NotValidf("options without node id, folder, transport or state machine")
	}
	if o.FS == nil {
		o.FS = wal.OS{}
	}
	if o.Clock == nil {
		o.Clock = SystemClock{}
	}
	if o.Random == nil {
		o.Random = systemRandom
	}
	if o.Core.HeartbeatInterval == 0 {
		o.Core.HeartbeatInterval = replog.DefaultHeartbeatInterval
	}
	if o.Core.Seed == 0 {
		o.Core.Seed = o.Random()
	}
	if o.Promote == nil {
		o.Promote = o.bootstrapVoter
	}
	o.SnapshotEntries = orDefault(o.SnapshotEntries, DefaultSnapshotEntries)
	o.KeepEntries = orDefault(o.KeepEntries, DefaultKeepEntries)
	o.MaxProposalBytes = orDefault(o.MaxProposalBytes, DefaultMaxProposalBytes)
	o.QueueLength = orDefault(o.QueueLength, DefaultQueueLength)
	return nil
}

func orDefault[T uint64 | int](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}

func (o *Options) bootstrapVoter(m replog.Member) bool {
	return o.Core.Bootstrap != nil && slices.Contains(o.Core.Bootstrap.Voters, m.ID)
}

func systemRandom() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // never returns an error; it ends the process instead
	return binary.LittleEndian.Uint64(b[:])
}

// newIncarnation returns a random incarnation whose number for the core is not zero.
func newIncarnation(random func() uint64) wal.Incarnation {
	var id wal.Incarnation
	for coreIncarnation(id) == 0 {
		binary.LittleEndian.PutUint64(id[:], random())
	}
	binary.LittleEndian.PutUint64(id[8:], random())
	return id
}

// coreIncarnation returns the part of an incarnation that the core uses.
func coreIncarnation(id wal.Incarnation) uint64 { return binary.LittleEndian.Uint64(id[:]) }
