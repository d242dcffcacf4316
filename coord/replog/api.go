package replog

import (
	"time"

	"github.com/gullhaven/gullhaven/coord/replog/confchange"
)

// Member is one incarnation of a node; see package confchange.
type Member = confchange.Member

// Config is the set of voters and learners; see package confchange.
type Config = confchange.Config

// ConfChange is one step from a configuration to the next.
type ConfChange = confchange.Change

// Options configure a Node. Zero values take the defaults.
type Options struct {
	// Self is this node's id and the incarnation of its data folder. The host draws a
	// random non-zero incarnation when it creates the folder, and syncs it before New
	// is called.
	Self Member
	// Bootstrap lists the ids of the first voters and learners, identical at each of
	// them, or is nil for a node that joins an existing group. The lowest voter id (the
	// founder) forms the group from it; the others reject a founder whose lists differ.
	// See the package comment.
	Bootstrap *Bootstrap
	// HeartbeatInterval is the time between a leader's heartbeats; default 100 ms.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the time without a leader after which an election may start,
	// and the length of a leader's lease before the allowance for drift; default 10
	// heartbeat intervals, at least 2. It must be the same at all nodes.
	ElectionTimeout time.Duration
	// MaxDrift bounds how much the rate of each node's monotonic clock differs from
	// true time, as a fraction; default 0.01. It must be the same at all nodes. A clock
	// outside the bound makes leases unsafe, but not the log.
	MaxDrift float64
	// MaxAppendBytes bounds the entry data of one append message (a single entry always
	// fits); default 256 KiB.
	MaxAppendBytes int
	// MaxInflight bounds the unanswered append messages per peer; default 32.
	MaxInflight int
	// MaxUncommittedBytes bounds the data of proposals that are not committed yet;
	// beyond it Propose returns ErrOverloaded (a single proposal always fits). Default
	// 16 MiB.
	MaxUncommittedBytes int
	// Seed seeds the randomised election timeouts. It must differ between the nodes of
	// a group.
	Seed uint64
}

// Bootstrap names the first members of a group by id.
type Bootstrap struct {
	Voters   []string
	Learners []string
}

// HardState must be synced before the messages of a Ready are sent. It leaves out the
// commit index: after a crash between two writes, the index could refer to entries that
// were about to replace those on disk.
type HardState struct {
	// Group is the founder's incarnation when the group was formed; zero on a node that
	// belongs to no group yet. Messages of other groups are dropped.
	Group uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	// Vote is the candidate voted for in Term; zero if none.
	Vote Member `cbor:"3,keyasint"`
}

// EntryKind distinguishes the host's proposals from the log's own entries.
type EntryKind uint8

const (
	// EntryNormal holds data of the host. Without data it is the entry by which a new
	// leader commits its predecessors' entries; hosts skip it.
	EntryNormal EntryKind = iota
	// EntryConfig holds a configuration.
	EntryConfig
)

// Entry is one entry of the log.
type Entry struct {
	Term  uint64    `cbor:"1,keyasint"`
	Index uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
	// Config is the whole configuration in force from this entry on, for EntryConfig.
	Config *Config `cbor:"5,keyasint,omitempty"`
}

// Snapshot is the host's state at an index and what the log needs to continue from
// there.
type Snapshot struct {
	Group uint64 `cbor:"1,keyasint"`
	// Index and Term are those of the last entry that Data covers.
	Index uint64 `cbor:"2,keyasint"`
	Term  uint64 `cbor:"3,keyasint"`
	// Config is the configuration in force at Index.
	Config Config `cbor:"4,keyasint"`
	Data   []byte `cbor:"5,keyasint"`
}

// State is what a host read from its disk. The zero State is that of a new folder.
type State struct {
	HardState HardState
	// Snapshot is the newest one, or nil.
	Snapshot *Snapshot
	// Entries have consecutive indexes. They may begin at or before the snapshot's
	// index; if any lie beyond it, they must include the index right after it.
	Entries []Entry
}

// MessageKind is the type of a Message.
type MessageKind uint8

// The kinds of messages. Responses follow their requests.
const (
	// MsgProbe is the founder's question whether a node is blank.
	MsgProbe MessageKind = iota + 1
	MsgProbeResp
	// MsgWrongIncarnation answers a message for another incarnation of the receiver.
	MsgWrongIncarnation
	MsgPreVote
	MsgPreVoteResp
	MsgVote
	MsgVoteResp
	MsgAppend
	MsgAppendResp
	MsgHeartbeat
	MsgHeartbeatResp
	MsgSnapshot
	// MsgTimeoutNow asks a follower to campaign at once, for a leader transfer.
	MsgTimeoutNow
	// MsgReadIndex is a follower's read that the leader has to confirm.
	MsgReadIndex
	MsgReadIndexResp
)

// Message is sent from one incarnation to another of the same group; probes, their
// responses and MsgWrongIncarnation carry no group. Hosts pass it on unchanged and may
// lose, delay, repeat and reorder it.
type Message struct {
	Kind  MessageKind `cbor:"1,keyasint"`
	Group uint64      `cbor:"2,keyasint,omitempty"`
	From  Member      `cbor:"3,keyasint"`
	To    Member      `cbor:"4,keyasint"`
	Term  uint64      `cbor:"5,keyasint,omitempty"`
	// Index and LogTerm are the position before Entries, that of the candidate's last
	// entry, or that of Snapshot. In MsgAppendResp, Index is the last index that
	// agrees, or with Reject that of the request; in MsgReadIndexResp it is that of the
	// read.
	Index   uint64 `cbor:"6,keyasint,omitempty"`
	LogTerm uint64 `cbor:"7,keyasint,omitempty"`
	// Commit is the leader's commit index, in a heartbeat at most what the receiver is
	// known to hold.
	Commit uint64 `cbor:"8,keyasint,omitempty"`
	Reject bool   `cbor:"9,keyasint,omitempty"`
	// Hint and HintTerm are the last position at which the logs may agree, in a
	// rejecting MsgAppendResp.
	Hint     uint64 `cbor:"10,keyasint,omitempty"`
	HintTerm uint64 `cbor:"11,keyasint,omitempty"`
	// Round is the number of a heartbeat round within the leader's term.
	Round uint64 `cbor:"12,keyasint,omitempty"`
	// ReadID is the id given to ReadIndex at the requesting node.
	ReadID uint64 `cbor:"13,keyasint,omitempty"`
	// Force is set on votes of a leader transfer, whose leader has given up its lease.
	Force bool `cbor:"14,keyasint,omitempty"`
	// Bootstrap is a digest of the founder's Bootstrap, in probes.
	Bootstrap uint64    `cbor:"15,keyasint,omitempty"`
	Entries   []Entry   `cbor:"16,keyasint,omitempty"`
	Snapshot  *Snapshot `cbor:"17,keyasint,omitempty"`
}

// ReadState answers a ReadIndex.
type ReadState struct {
	// ID is the id passed to ReadIndex.
	ID uint64
	// Index must be applied before the read is served.
	Index uint64
}

// Ready is the work that a Node hands to its host. The host
//
//  1. may send Immediate at once, in parallel with the rest;
//  2. writes HardState, then Snapshot, then drops its whole log if there is a
//     Snapshot, then writes Entries (dropping any at or after the first one's
//     index), and syncs if MustSync; a crash after any part of this is safe;
//  3. sends Messages;
//  4. restores its state machine from Snapshot, then applies Committed in order;
//  5. serves ReadStates whose Index is applied;
//  6. calls Advance.
//
// The host calls Ready again only after Advance; it may call Step, Tick and the
// proposal methods in between. If the disk fails to sync, it must stop the node and
// neither send Messages nor call Advance.
type Ready struct {
	Immediate []Message
	// HardState is nil if unchanged.
	HardState *HardState
	Snapshot  *Snapshot
	Entries   []Entry
	// MustSync is false if there is nothing to write.
	MustSync   bool
	Messages   []Message
	Committed  []Entry
	ReadStates []ReadState
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return len(r.Immediate) == 0 && r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 &&
		len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.ReadStates) == 0
}

// Role is a node's role in its term.
type Role uint8

const (
	// Blank: the node belongs to no group yet; its folder is new or was lost.
	Blank Role = iota
	Follower
	PreCandidate
	Candidate
	Leader
)

// String returns the name used in logs.
func (r Role) String() string {
	return [...]string{"blank", "follower", "pre_candidate", "candidate", "leader"}[min(r, Leader)]
}

// Peer is a leader's view of another member.
type Peer struct {
	Member Member
	Voter  bool
	// Match is the highest index known to be synced there.
	Match uint64
	// Active is the time of the last response, zero for none in this term.
	Active time.Time
	// CaughtUp reports whether the peer answered within the last election timeout and
	// holds all that was committed when the newest heartbeat round began.
	CaughtUp bool
	// Snapshotting reports whether a snapshot is being sent to the peer.
	Snapshotting bool
}

// Status is a copy of a node's state for reporting.
type Status struct {
	Self   Member
	Role   Role
	Group  uint64
	Term   uint64
	Leader Member
	// Config is the configuration of the newest entry, ConfigIndex its index.
	Config      Config
	ConfigIndex uint64
	// First, Last, Commit and Applied are indexes; First is that of the first entry in
	// memory.
	First, Last, Commit, Applied uint64
	// Peers is set at a leader, sorted by id.
	Peers []Peer
	// OtherIncarnations are incarnations that answered under the id of a silent member:
	// lost disks that wait for Readmit. Set at a leader, sorted by id.
	OtherIncarnations []Member
}

// Log is the interface between a Node and its host, for hosts that use a fake.
//
// now comes from the host's monotonic clock, which must keep running while the process
// is stopped. The host reads it after the event that it passes in. A time before an
// earlier one is replaced by the earlier one.
type Log interface {
	// Step handles a message. An error says that the message is malformed or for
	// another node id; the node is then unchanged.
	Step(now time.Time, m Message) error
	// Tick advances the time; call it at least every half HeartbeatInterval.
	Tick(now time.Time)
	// NextTick returns the time by which Tick should be called.
	NextTick() time.Time
	// Propose appends data, which must not be empty nor be changed afterwards, and
	// returns its position. The proposal is committed if an entry of that term is
	// committed at that index, and lost if one of another term is. Errors: ErrNotLeader,
	// ErrOverloaded, ErrTransferring, ErrEmpty.
	Propose(now time.Time, data []byte) (Position, error)
	// ProposeConfChange appends the configuration after ch. Errors: ErrNotLeader,
	// ErrTransferring, ErrConfPending, ErrNotCaughtUp, ErrSelfChange and those of
	// Config.Apply.
	ProposeConfChange(now time.Time, ch ConfChange) (Position, error)
	// NextRepair returns the change that repairs a lost disk now, if any: Readmit for
	// another incarnation of a silent member, or Promote for a caught-up learner for
	// which promote returns true. It reports false at a node that is not the leader.
	NextRepair(now time.Time, promote func(Member) bool) (ConfChange, bool)
	// ReadIndex requests an index at which a read is linearizable. The answer comes in
	// Ready.ReadStates, or never: the host must use a timeout. id must not repeat at
	// this node id, restarts included; a random number will do. Errors: ErrNotLeader if
	// no leader is known.
	ReadIndex(now time.Time, id uint64) error
	// LeaseUntil returns the end of the lease by this node's clock, or the zero time if
	// the node is not the leader, has not yet committed an entry of its term, or its
	// lease has ended at now.
	LeaseUntil(now time.Time) time.Time
	// TransferLeader hands leadership to a voter once that holds all entries, or gives
	// up after an election timeout. The host must first stop acting on its lease: ends
	// that LeaseUntil returned before are void from this call on. Errors: ErrNotLeader,
	// ErrTransferring, and NotFound if id is not another voter.
	TransferLeader(now time.Time, id string) error
	// Ready returns the next work and Advance reports it done; see Ready.
	Ready() Ready
	// HasReady reports whether Ready would return any work.
	HasReady() bool
	Advance()
	// MakeSnapshot wraps the host's state at an applied index. The host must sync the
	// result before it calls Compact. Error: ErrCompacted.
	MakeSnapshot(index uint64, data []byte) (Snapshot, error)
	// Compact keeps s for peers that lag and drops entries up to s.Index-keep. Error:
	// ErrCompacted.
	Compact(s Snapshot, keep uint64) error
	// Status returns a copy of the state.
	Status() Status
}

// Position identifies an entry of the log.
type Position struct{ Term, Index uint64 }
