// Package membership detects which instances of a region are alive, at a cost
// per instance that does not grow with their number.
//
// It follows SWIM (Das, Gupta, Motivala, 2002) with the suspicion and
// local-health rules of Lifeguard (Dadgar, Phillips, Currey, 2018): each
// instance probes one member per period, asks a few others to probe it when no
// answer arrives, and piggybacks state changes on the probes. A member is
// suspected before it is declared dead, and refutes the suspicion by raising
// its incarnation. Periodic anti-entropy compares digests with one random
// member and finds what gossip missed.
//
// A Group is a state machine without I/O: the host steps it with messages and
// ticks, sends what it returns and passes in time and randomness.
package membership

import (
	"fmt"
	"time"
)

// State is the state of a member as another instance sees it. Within one
// incarnation a higher state replaces a lower one; any state of a higher
// incarnation replaces all states of a lower one.
type State uint8

const (
	// Alive members answer.
	Alive State = iota
	// Suspect members missed a probe and have time to refute.
	Suspect
	// Dead members did not refute in time. They are still probed periodically
	// and become alive again with a higher incarnation.
	Dead
	// Left members announced that they leave.
	Left
)

var stateNames = [...]string{Alive: "alive", Suspect: "suspect", Dead: "dead", Left: "left"}

// String returns the name of the state in lower case.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// Member describes an instance. The protocol interprets ID and Incarnation
// only; just the instance itself changes the other fields.
type Member struct {
	ID      string
	Region  string
	Zone    string
	Address string
	// Incarnation grows with every start and refutation of the instance. A
	// host without a disk passes its wall clock in milliseconds at the start;
	// if that is too low, the Group raises it above what others remember.
	Incarnation uint64
	Roles       []string
	// Meta is application data of up to MaxMeta bytes.
	Meta []byte
}

// View is a member as one instance sees it.
type View struct {
	Member
	State State
	// Since is when this instance saw the member enter the state.
	Since time.Time
	// Leaving is set while the platform's list marks the member as leaving. It
	// is a hint: the member keeps its state as long as it answers.
	Leaving bool
}

// Event is one change of a member's state, as this instance sees it.
type Event struct {
	At     time.Time
	State  State
	Member Member
}

// Hint is one entry of the platform's list of instances, which may be outdated.
type Hint struct {
	ID      string
	Leaving bool
}

// Update is the wire form of one member's state.
type Update struct {
	_           struct{} `cbor:",toarray"`
	State       State
	Incarnation uint64
	ID          string
	// By is the id of the instance that suspects, for Suspect; empty otherwise.
	By string
	// Info describes the member, for Alive; nil otherwise.
	Info *Info
}

// Info holds the fields of an Alive update besides id and incarnation.
type Info struct {
	_       struct{} `cbor:",toarray"`
	Region  string
	Zone    string
	Address string
	Roles   []string
	Meta    []byte
}

// Kind is the type of a Message.
type Kind uint8

const (
	// Ping asks for an Ack with the same Seq.
	Ping Kind = iota
	// Ack answers a Ping; Target is the probed member of a relayed probe.
	Ack
	// PingReq asks the receiver to ping Target and to forward its Ack.
	PingReq
	// Gossip only carries updates.
	Gossip
	// Sync carries bucket digests of the sender's view.
	Sync
	// SyncReply carries entries of the buckets in Want, which differ, and asks
	// for the receiver's entries of the same buckets.
	SyncReply
	// SyncPush carries entries that a SyncReply asked for, or further entries
	// of a SyncReply.
	SyncPush
)

// Message is exchanged between instances. Encoded, it has at most
// Config.MaxBytes bytes.
type Message struct {
	_       struct{} `cbor:",toarray"`
	Kind    Kind
	Seq     uint64
	Target  string
	Updates []Update
	// Digests holds one digest per bucket, for Sync.
	Digests []uint32
	// Want is a bit set of buckets, for SyncReply.
	Want uint64
}

// Out is a message to send. Neither order nor delivery is guaranteed.
type Out struct {
	To      string
	Message Message
}

// MaxMeta bounds Member.Meta, in bytes.
const MaxMeta = 64

// Config holds the times and bounds of a Group. All members must use the same.
type Config struct {
	// TickInterval is how often the host calls Tick.
	TickInterval time.Duration
	// MaxTickGap is the longest time between two calls of the host. After a
	// longer one the Group assumes that its process was frozen.
	MaxTickGap time.Duration
	// ProbeInterval is the time between two probes.
	ProbeInterval time.Duration
	// ProbeTimeout is when indirect probes start; at the end of the
	// ProbeInterval the probed member is suspected.
	ProbeTimeout time.Duration
	// IndirectProbes is how many members are asked to probe on behalf of this
	// one.
	IndirectProbes int
	// SuspicionMin and SuspicionMax bound the time from Suspect to Dead. It
	// starts at the maximum and shrinks with each further member that
	// suspects, down to the minimum after SuspicionConfirms of them.
	SuspicionMin, SuspicionMax time.Duration
	SuspicionConfirms          int
	// GossipInterval and GossipFanout: while updates are queued, they are also
	// sent to GossipFanout random members every GossipInterval.
	GossipInterval time.Duration
	GossipFanout   int
	// RetransmitMult times log2 of the number of members is how often each
	// instance sends an update.
	RetransmitMult int
	// SyncInterval is the time between two comparisons of views with a random
	// member.
	SyncInterval time.Duration
	// DeadProbeInterval is the time between two probes of a random dead member.
	DeadProbeInterval time.Duration
	// Retain is how long dead and left members are remembered. No update older
	// than that may still be in circulation.
	Retain time.Duration
	// MaxBytes bounds an encoded message.
	MaxBytes int
}

// DefaultConfig returns the Config for the instances of one region.
func DefaultConfig() Config {
	return Config{
		TickInterval:      100 * time.Millisecond,
		MaxTickGap:        time.Second,
		ProbeInterval:     time.Second,
		ProbeTimeout:      300 * time.Millisecond,
		IndirectProbes:    3,
		SuspicionMin:      2 * time.Second,
		SuspicionMax:      6 * time.Second,
		SuspicionConfirms: 3,
		GossipInterval:    200 * time.Millisecond,
		GossipFanout:      3,
		RetransmitMult:    3,
		SyncInterval:      20 * time.Second,
		DeadProbeInterval: 5 * time.Second,
		Retain:            24 * time.Hour,
		MaxBytes:          1200,
	}
}
