// Package membership tells which instances of a region are alive, at a cost
// per instance that does not grow with their number.
//
// It follows SWIM (Das, Gupta, Motivala, 2002) with the suspicion and
// local-health rules of Lifeguard (Dadgar, Phillips, Currey, 2018): each
// instance probes one member per period, asks a few others to probe for it
// when no answer comes, and spreads what it finds on the probes themselves. A
// member is suspected before it is declared dead, and refutes by raising its
// incarnation. A digest compared with one random member from time to time
// finds what the spreading missed.
//
// A Group is a state machine without input or output: the host steps it with
// messages and ticks, sends what it returns and passes in time and randomness.
package membership

import (
	"fmt"
	"time"
)

// State is what is believed of a member. At one incarnation a higher state
// replaces a lower one; any state of a higher incarnation replaces all.
type State uint8

const (
	// Alive members answer.
	Alive State = iota
	// Suspect members missed a probe and have time to refute.
	Suspect
	// Dead members did not refute in time. They are still probed now and then
	// and come back by a higher incarnation.
	Dead
	// Left members said that they leave.
	Left
)

var stateNames = [...]string{Alive: "alive", Suspect: "suspect", Dead: "dead", Left: "left"}

// String returns the state in lower case.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// Member describes an instance. All but ID and Incarnation are opaque to the
// protocol, and only the instance itself changes them.
type Member struct {
	ID      string
	Region  string
	Zone    string
	Address string
	// Incarnation grows with every start and refutation of the instance. A
	// host without a disk passes its wall clock in milliseconds at the start;
	// when that is too low, the Group raises it above what others remember.
	Incarnation uint64
	Roles       []string
	// Meta is up to MaxMeta bytes for the host.
	Meta []byte
}

// View is a member as one instance sees it.
type View struct {
	Member
	State State
	// Since is when this instance saw the member enter the state.
	Since time.Time
	// Leaving is set while the platform's list says so. It is a hint: the
	// member keeps its state as long as it answers.
	Leaving bool
}

// Event is one change of a member's state, as this instance sees it.
type Event struct {
	At     time.Time
	State  State
	Member Member
}

// Hint is one line of the platform's list of instances, which lags.
type Hint struct {
	ID      string
	Leaving bool
}

// Update is one belief on the wire.
type Update struct {
	_           struct{} `cbor:",toarray"`
	State       State
	Incarnation uint64
	ID          string
	// By is who suspects, for Suspect; empty otherwise.
	By string
	// Info describes the member, for Alive; nil otherwise.
	Info *Info
}

// Info is what an Alive update tells besides id and incarnation.
type Info struct {
	_       struct{} `cbor:",toarray"`
	Region  string
	Zone    string
	Address string
	Roles   []string
	Meta    []byte
}

// Kind says what a Message is for.
type Kind uint8

const (
	// Ping asks for an Ack with the same Seq.
	Ping Kind = iota
	// Ack answers a Ping, for Target.
	Ack
	// PingReq asks to ping Target and to pass its Ack on.
	PingReq
	// Gossip only carries updates.
	Gossip
	// Sync carries bucket digests of the sender's view.
	Sync
	// SyncReply carries entries of the buckets in Want that differ and asks
	// for the same buckets of the receiver.
	SyncReply
	// SyncPush carries entries that a SyncReply asked for.
	SyncPush
)

// Message is what instances send each other; at most Config.MaxBytes long when
// encoded.
type Message struct {
	_       struct{} `cbor:",toarray"`
	Kind    Kind
	Seq     uint64
	Target  string
	Updates []Update
	// Digests holds one digest per bucket, for Sync.
	Digests []uint32
	// Want is a set of buckets, for SyncReply.
	Want uint64
}

// Out is a message to send, without an order among them and without a promise
// that it arrives.
type Out struct {
	To      string
	Message Message
}

// MaxMeta bounds Member.Meta, in bytes.
const MaxMeta = 64

// Config holds the times and bounds of a Group. All members use the same.
type Config struct {
	// TickInterval is how often the host calls Tick.
	TickInterval time.Duration
	// MaxTickGap is the longest time between two calls after which the Group
	// takes its process to have been frozen.
	MaxTickGap time.Duration
	// ProbeInterval is the time between two probes.
	ProbeInterval time.Duration
	// ProbeTimeout is when indirect probes start; at the end of the
	// ProbeInterval the probed member is suspected.
	ProbeTimeout time.Duration
	// IndirectProbes is how many members are asked to probe for this one.
	IndirectProbes int
	// SuspicionMin and SuspicionMax bound the time from suspicion to death: it
	// starts at the maximum and shrinks with each further member that
	// suspects, down to the minimum after SuspicionConfirms of them.
	SuspicionMin, SuspicionMax time.Duration
	SuspicionConfirms          int
	// GossipInterval and GossipFanout: while there is something to spread, it
	// is also sent to so many random members at this interval.
	GossipInterval time.Duration
	GossipFanout   int
	// RetransmitMult times log2 of the number of members is how often an
	// update is sent by each instance.
	RetransmitMult int
	// SyncInterval is the time between two comparisons with a random member.
	SyncInterval time.Duration
	// DeadProbeInterval is the time between two probes of some dead member.
	DeadProbeInterval time.Duration
	// Retain is how long dead and left members are remembered. Beliefs older
	// than that must not be in circulation any more.
	Retain time.Duration
	// MaxBytes bounds an encoded message.
	MaxBytes int
}

// DefaultConfig returns the settings for a region.
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
