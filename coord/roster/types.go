// Package roster exchanges the instances of regions through a few relays.
//
// Failure detection stays within a region. Its relays send the relays of other
// regions a list of reachable instances, together with an opaque summary from
// the host; those forward it to their own members. So the messages between two
// regions do not grow with their instances, and an instance that receives
// nothing more from another region reports it as unreachable after a bounded
// time.
//
// A Table is a state machine without I/O.
package roster

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Contact describes how to reach an instance.
type Contact struct {
	ID     string `cbor:"1,keyasint"`
	Region string `cbor:"2,keyasint"`
	Zone   string `cbor:"3,keyasint,omitempty"`
	// Address is the IP:port for other instances, CallerAddress the one for
	// callers.
	Address       string `cbor:"4,keyasint"`
	CallerAddress string `cbor:"5,keyasint,omitempty"`
}

// Roster lists the instances by which a region can be reached.
type Roster struct {
	Region string `cbor:"1,keyasint"`
	// Seq grows with each roster of one sender: its wall clock in milliseconds,
	// or the last number plus one if the clock does not advance.
	Seq uint64 `cbor:"2,keyasint"`
	// Relays represent the region, first relay first.
	Relays []Contact `cbor:"3,keyasint"`
	// Entries are up to MaxEntries live instances that take requests.
	Entries []Contact `cbor:"4,keyasint"`
	// Members is the number of live instances.
	Members int `cbor:"5,keyasint"`
}

// MaxEntries bounds the length of Roster.Entries.
const MaxEntries = 8

// Message is sent from relay to relay, and from a relay to its members.
type Message struct {
	// Roster is nil in messages that carry only a summary.
	Roster *Roster `cbor:"1,keyasint,omitempty"`
	// Region is the region that the message describes.
	Region string `cbor:"2,keyasint"`
	// Seq is the number of the message, as Roster.Seq.
	Seq uint64 `cbor:"3,keyasint"`
	// Summary is opaque; empty for none.
	Summary []byte `cbor:"4,keyasint,omitempty"`
	// Forwarded is set if a relay of the receiver's region forwarded the
	// message; relays do not send it to other relays again.
	Forwarded bool `cbor:"5,keyasint,omitempty"`
}

// Out is a message to send.
type Out struct {
	To      string
	Message Message
}

// Summary is the last summary of another region.
type Summary struct {
	Region string
	Data   []byte
	// At is when this instance received it.
	At time.Time
}

// Intervals and timeouts of the exchange.
const (
	// TickInterval is how often the host calls Tick.
	TickInterval = time.Second
	// rosterInterval is the time between repetitions of an unchanged roster.
	rosterInterval = 5 * time.Second
	// reachableTimeout is how long a region counts as reachable after its last
	// message: three missed summaries.
	reachableTimeout = 3500 * time.Millisecond
	// rosterOnlyTimeout is the same for regions that send rosters without
	// summaries.
	rosterOnlyTimeout = 3 * rosterInterval
)

// Encode returns the wire form (CBOR) of a message.
func Encode(m Message) ([]byte, error) { return cbor.Marshal(m) }

// Decode reads the wire form. It returns an error for malformed input and for a
// message without a region or with the roster of another one.
func Decode(data []byte) (Message, error) {
	var m Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Message{}, fmt.Errorf("roster message: %w", err)
	}
	if m.Region == "" || m.Roster != nil && m.Roster.Region != m.Region {
		return Message{}, fmt.Errorf("roster message of region %q: region empty or other than its roster's", m.Region)
	}
	return m, nil
}
