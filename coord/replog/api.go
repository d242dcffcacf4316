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

// Options are the settings of a Node. Zero values take the defaults.
type Options struct {
	// Self is this node's id and the incarnation of its data folder. The host
	// draws a random non-zero incarnation when it makes the folder, and syncs
	// it before New is called.
	Self Member
	// Bootstrap lists the ids of the first voters and learners, the same at
	// each of them, or is nil for a node that joins an existing group. Only the
	// lowest voter id (the founder) acts on it; see the package comment.
	Bootstrap *Bootstrap
	// HeartbeatInterval is the time between heartbeats of a leader; default
	// 100 ms.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the time without a leader after which an election
	// may start, and the length of a leader's lease before the allowance for
	// drift; default 10 heartbeat intervals. All nodes must have the same.
	ElectionTimeout time.Duration
	// MaxDrift bounds how much the rate of each node's monotonic clock
	// differs from true time, as a share; default 0.01. All nodes must have
	// the same. A clock outside of the bound voids leases, not the log.
	MaxDrift float64
	// MaxAppendBytes bounds the data of the entries in one append message (one
	// entry always fits); default 256 KiB.
	MaxAppendBytes int
	// MaxInflight bounds the appends sent to a peer and not yet answered;
	// default 32.
	MaxInflight int
	// MaxUncommittedBytes bounds the data of proposals that wait for a
	// majority; beyond it Propose returns ErrOverloaded. Default 16 MiB.
	MaxUncommittedBytes int
	// Seed seeds the randomised election timeouts. Nodes of a group need
	// different seeds.
	Seed uint64
}

// Bootstrap names the first members of a group by id.
type Bootstrap struct {
	Voters   []string
	Learners []string
}

// HardState is what must be synced before the messages of a Ready are sent. The
// commit index is not in it: after a stop between two writes it could speak of
// entries that were about to replace the ones on disk.
type HardState struct {
	// Group is the founder's incarnation at the forming of the group; zero on
	// a node that belongs to none yet. Messages of other groups are dropped.
	Group uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	// Vote is the candidate voted for in Term; zero for none.
	Vote Member `cbor:"3,keyasint"`
}

// EntryKind tells proposals of the host from entries of the log's own.
type EntryKind uint8

const (
	// EntryNormal holds data of the host; empty data is the entry by which a
	// new leader commits what its predecessors left. Hosts skip it.
	EntryNormal EntryKind = iota
	// EntryConfig holds a configuration.
	EntryConfig
)

// Entry is one place of the log.
type Entry struct {
	Term  uint64    `cbor:"1,keyasint"`
	Index uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
	// Config is the whole configuration from this entry on, for EntryConfig.
	Config *Config `cbor:"5,keyasint,omitempty"`
}

// Snapshot is the host's state at an index together with what the log needs to
// go on from there.
type Snapshot struct {
	Group  uint64 `cbor:"1,keyasint"`
	Index  uint64 `cbor:"2,keyasint"`
	Term   uint64 `cbor:"3,keyasint"`
	Config Config `cbor:"4,keyasint"`
	Data   []byte `cbor:"5,keyasint"`
}

// State is what a host read from its disk. The zero State is that of a new
// folder.
type State struct {
	HardState HardState
	// Snapshot is the newest one, or nil.
	Snapshot *Snapshot
	// Entries follow each other without a gap. They may begin at or before the
	// snapshot's index, and must reach to the index after it if there are any
	// beyond.
	Entries []Entry
}

// MessageKind says what a Message is.
type MessageKind uint8

// The kinds of messages. Responses follow their requests.
const (
	// MsgProbe is the founder's question whether a node is blank.
	MsgProbe MessageKind = iota + 1
	MsgProbeResp
	// MsgStranger answers a message that was meant for another incarnation of
	// the receiver.
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
	// MsgTimeoutNow asks a follower to campaign at once, at a leader transfer.
	MsgTimeoutNow
	// MsgReadIndex is a follower's read that the leader confirms.
	MsgReadIndex
	MsgReadIndexResp
)

// Message goes between two incarnations of one group. Hosts carry it as it is
// and may lose, delay, repeat and reorder it.
type Message struct {
	Kind  MessageKind `cbor:"1,keyasint"`
	Group uint64      `cbor:"2,keyasint,omitempty"`
	From  Member      `cbor:"3,keyasint"`
	To    Member      `cbor:"4,keyasint"`
	Term  uint64      `cbor:"5,keyasint,omitempty"`
	// Index and LogTerm are the place before Entries, the candidate's last
	// entry, or the place that a response speaks of.
	Index   uint64 `cbor:"6,keyasint,omitempty"`
	LogTerm uint64 `cbor:"7,keyasint,omitempty"`
	Commit  uint64 `cbor:"8,keyasint,omitempty"`
	Reject  bool   `cbor:"9,keyasint,omitempty"`
	// Hint and HintTerm are the last place at which the logs may agree, in a
	// rejecting MsgAppendResp.
	Hint     uint64 `cbor:"10,keyasint,omitempty"`
	HintTerm uint64 `cbor:"11,keyasint,omitempty"`
	// Round numbers the heartbeat rounds of a leader's term.
	Round uint64 `cbor:"12,keyasint,omitempty"`
	// ReadID is the number of a read at its node.
	ReadID uint64 `cbor:"13,keyasint,omitempty"`
	// Force is set on votes of a leader transfer, whose leader has given up
	// its lease.
	Force bool `cbor:"14,keyasint,omitempty"`
	// Bootstrap is a digest of the founder's list, in probes.
	Bootstrap uint64    `cbor:"15,keyasint,omitempty"`
	Entries   []Entry   `cbor:"16,keyasint,omitempty"`
	Snapshot  *Snapshot `cbor:"17,keyasint,omitempty"`
}

// ReadState answers a ReadIndex.
type ReadState struct {
	// ID is the number passed to ReadIndex.
	ID uint64
	// Index is the index that must be applied before the read is served.
	Index uint64
}

// Ready is what a Node wants done. The host
//
//  1. may send Immediate at once, in parallel to the rest;
//  2. writes HardState, then Snapshot and drops its whole log, then Entries
//     (dropping any at or after the first one's index), and syncs if MustSync;
//     a stop after any part of it is safe;
//  3. sends Messages;
//  4. restores its state machine from Snapshot, then applies Committed in order;
//  5. serves ReadStates whose Index is applied;
//  6. calls Advance.
//
// It calls Ready again only after Advance; Step, Tick and the proposals may
// come in between. A disk that fails to sync must not be followed by Messages
// or Advance: the host stops the node.
type Ready struct {
	Immediate []Message
	// HardState is nil if it did not change.
	HardState *HardState
	Snapshot  *Snapshot
	Entries   []Entry
	// MustSync is false if nothing is to be written.
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

// Role is what a node is in its term.
type Role uint8

const (
	// Blank belongs to no group yet: a new folder, or one that was lost.
	Blank Role = iota
	Follower
	PreCandidate
	Candidate
	Leader
)

// String returns the name for logs.
func (r Role) String() string {
	return [...]string{"blank", "follower", "pre_candidate", "candidate", "leader"}[min(r, Leader)]
}

// Peer is what a leader knows of another member.
type Peer struct {
	Member Member
	Voter  bool
	// Match is the highest index known to be synced there.
	Match uint64
	// Active is the time of the last answer, zero for none in this term.
	Active time.Time
	// CaughtUp says that it holds all that was committed when the newest
	// heartbeat round began.
	CaughtUp bool
	// Snapshotting says that a snapshot is under way to it.
	Snapshotting bool
}

// Status is a copy of a node's state for reports.
type Status struct {
	Self   Member
	Role   Role
	Group  uint64
	Term   uint64
	Leader Member
	// Config is the configuration of the newest entry, ConfigIndex its index.
	Config      Config
	ConfigIndex uint64
	// First, Last, Commit and Applied are indexes; First is the first entry
	// held in memory.
	First, Last, Commit, Applied uint64
	// Peers is set at a leader, sorted by id.
	Peers []Peer
	// Strangers are incarnations that answered in place of a silent member: a
	// lost disk that waits for Readmit. Set at a leader, sorted by id.
	OtherIncarnations []Member
}

// Log is the interface of a Node towards its host, for hosts that fake it.
//
// now comes from the host's monotonic clock, which goes on while the process
// is stopped. The host reads it after the event it passes in has happened. A
// time before an earlier one is taken as the earlier one.
type Log interface {
	// Step takes in a message. An error says that the message is malformed or
	// goes to another node; the node is unchanged then.
	Step(now time.Time, m Message) error
	// Tick lets time pass; call it at least each half HeartbeatInterval.
	Tick(now time.Time)
	// NextTick returns the time by which Tick should be called.
	NextTick() time.Time
	// Propose appends data, which must not be empty, and returns its place.
	// The proposal has won if an entry of that term is committed at that
	// index, and has lost if one of another term is. Errors: ErrNotLeader,
	// ErrOverloaded, ErrTransferring, ErrEmpty.
	Propose(now time.Time, data []byte) (Position, error)
	// ProposeConfChange appends the next configuration. Errors: those of
	// Propose, ErrConfPending, ErrNotCaughtUp, ErrLeaderChange and those of
	// Config.Apply.
	ProposeConfChange(now time.Time, ch ConfChange) (Position, error)
	// NextRepair returns the change that a lost disk needs now: Readmit for a
	// stranger, Promote for a caught-up learner among promote. For a leader
	// only.
	NextRepair(now time.Time, promote func(Member) bool) (ConfChange, bool)
	// ReadIndex asks for an index at which a read is linearizable. The answer
	// comes in Ready.ReadStates, or never: the host gives up after a time. id
	// must not repeat at this node id, over restarts either; a random one
	// does. Errors: ErrNotLeader if no leader is known.
	ReadIndex(now time.Time, id uint64) error
	// LeaseUntil returns the end of the lease by this node's clock, or the
	// zero time if it is not the leader, has not yet committed an entry of
	// its term, or the lease has ended at now.
	LeaseUntil(now time.Time) time.Time
	// TransferLeader hands leadership to a voter once it has all entries, or
	// gives up after an election timeout. The host first stops to act on its
	// lease: ends that LeaseUntil returned before are void from this call on.
	// Errors: ErrNotLeader, ErrTransferring, and NotFound for an id that is no
	// other voter.
	TransferLeader(now time.Time, id string) error
	// Ready and Advance: see Ready.
	Ready() Ready
	// HasReady reports whether Ready would return something to do.
	HasReady() bool
	Advance()
	// MakeSnapshot wraps the host's state at an applied index. The host syncs
	// the result before it calls Compact.
	MakeSnapshot(index uint64, data []byte) (Snapshot, error)
	// Compact keeps s for peers that lag and drops entries up to s.Index-keep.
	Compact(s Snapshot, keep uint64) error
	// Status returns a copy of the state.
	Status() Status
}

// Place is where a proposal stands in the log.
type Position struct{ Term, Index uint64 }
