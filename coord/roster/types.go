// Package roster lets regions know of each other through a few relays.
//
// Failure detection stays within a region. Its relays tell the relays of other
// regions who can be reached there, together with an opaque summary from the
// host; those pass it on to their own members. So the messages between two
// regions do not grow with their instances, and an instance that loses sight
// of another region says so after a bounded time.
//
// A Table is a state machine without input or output.
package roster

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Contact is an instance that others can reach.
type Contact struct {
	ID     string `cbor:"1,keyasint"`
	Region string `cbor:"2,keyasint"`
	Zone   string `cbor:"3,keyasint,omitempty"`
	// Address is IP:port for instances, Callers for callers.
	Address       string `cbor:"4,keyasint"`
	CallerAddress string `cbor:"5,keyasint,omitempty"`
}

// Roster is what a region tells of itself.
type Roster struct {
	Region string `cbor:"1,keyasint"`
	// Seq grows with each roster of one sender: its wall clock in milliseconds,
	// raised where that does not grow.
	Seq uint64 `cbor:"2,keyasint"`
	// Relays speak for the region, in order.
	Relays []Contact `cbor:"3,keyasint"`
	// Entries are up to MaxEntries live instances to send requests to.
	Entries []Contact `cbor:"4,keyasint"`
	// Members is the number of live instances.
	Members int `cbor:"5,keyasint"`
}

// MaxEntries bounds Roster.Entries.
const MaxEntries = 8

// Message goes from relay to relay, and from a relay to its members.
type Message struct {
	// Roster may be nil where only the summary changed.
	Roster *Roster `cbor:"1,keyasint,omitempty"`
	// Region is whose Summary it is.
	Region string `cbor:"2,keyasint"`
	// Seq is that of the summary, as of Roster.
	Seq uint64 `cbor:"3,keyasint"`
	// Summary is opaque; empty for none.
	Summary []byte `cbor:"4,keyasint,omitempty"`
	// Passed says that a relay of the receiver's region passed it on; it goes
	// no further.
	Forwarded bool `cbor:"5,keyasint,omitempty"`
}

// Out is a message to send.
type Out struct {
	To      string
	Message Message
}

// Summary is what a host of another region said last.
type Summary struct {
	Region string
	Data   []byte
	// At is when it was received here.
	At time.Time
}

// Times of the exchange.
const (
	// TickInterval is how often the host calls Tick.
	TickInterval = time.Second
	// rosterInterval is the time between repeated rosters that did not change.
	rosterInterval = 5 * time.Second
	// reachableFor is how long a region counts as reachable after it was
	// heard: three missed summaries.
	reachableFor = 3500 * time.Millisecond
	// farReachableFor is the same for regions that send rosters alone.
	farReachableFor = 3 * rosterInterval
)

// Encode returns the wire form.
func Encode(m Message) ([]byte, error) { return cbor.Marshal(m) }

// Decode reads the wire form.
func Decode(data []byte) (Message, error) {
	var m Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Message{}, fmt.Errorf("roster message: %w", err)
	}
	if m.Region == "" || m.Roster != nil && m.Roster.Region != m.Region {
		return Message{}, fmt.Errorf("roster message of region %q without its region", m.Region)
	}
	return m, nil
}
