// Package spread brings accepted bundles to every instance and tells who has
// which version in force.
//
// A bundle is accepted by the replicated log of a few voters. From there it
// goes down a tree: each voter serves the relays of some regions, relays serve
// the first instances of their region, and those serve others, so that no
// instance sends more than a few copies. What is sent is the change of a few
// hundred bytes; an instance that lacks its base pulls the changes between, or
// only the sections that differ. Losses are made good by comparing versions
// with random peers at a constant rate.
//
// A Core is a state machine without input or output. It installs a version only
// above its own, so that no peer, however far behind, can take it back.
package spread

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gullhaven/gullhaven/bundle"
)

// Peer is an instance as the host's view of the members describes it.
type Peer struct {
	ID     string
	Region string
	// Relay instances speak for their region to others.
	Relay bool
	// Voter instances learn accepted bundles from the replicated log.
	Voter bool
}

// Kind says what a Message is for.
type Kind uint8

const (
	// Have tells the version in force at the sender.
	KindAnnounce Kind = iota + 1
	// Ask asks for what follows the version in force at the sender.
	KindStepsRequest
	// Steps answers Ask with changes that lead from one version to the next.
	KindSteps
	// Whole answers Ask with the manifest of the newest bundle.
	KindManifest
	// Want asks for sections of the bundle that Whole named.
	KindSectionsRequest
	// Parts answers Want.
	KindSections
	// Applied tells a relay the version in force at an instance of its region.
	KindApplied
	// Region tells the versions in force in the sender's region.
	KindRegion
)

// Step is one accepted change with its sign-offs.
type Step struct {
	ID         bundle.Identity    `cbor:"1,keyasint"`
	Signatures []bundle.Signature `cbor:"2,keyasint"`
	// Delta leads from the parent; see bundle.Delta.
	Delta []byte `cbor:"3,keyasint"`
}

// Message goes between two instances. Hosts may lose, delay, repeat and
// reorder it.
type Message struct {
	Kind Kind `cbor:"1,keyasint"`
	// Head is the version in force at the sender; zero before the first.
	Head bundle.Identity `cbor:"2,keyasint"`
	// Steps go with Steps, oldest first.
	Steps []Step `cbor:"3,keyasint,omitempty"`
	// Manifest and Signatures go with Whole and describe Head.
	Manifest   *bundle.Manifest   `cbor:"4,keyasint,omitempty"`
	Signatures []bundle.Signature `cbor:"5,keyasint,omitempty"`
	// Digests go with Want.
	Digests []bundle.Digest `cbor:"6,keyasint,omitempty"`
	// Sections go with Parts.
	Sections [][]byte `cbor:"7,keyasint,omitempty"`
	// State goes with Region.
	State *RegionState `cbor:"8,keyasint,omitempty"`
	// MaxBytes goes with Ask and Want: how much to answer with, one item at least. 0 means
	// maxPartBytes.
	MaxBytes int `cbor:"9,keyasint,omitempty"`
}

// RegionState is what a relay tells of its region.
type RegionState struct {
	Region string `cbor:"1,keyasint" json:"region"`
	// At is when the relay made it, by its wall clock.
	At time.Time `cbor:"2,keyasint" json:"at"`
	// Members is the number of instances that the relay knows to be in the region.
	Members int `cbor:"3,keyasint" json:"members"`
	// Newest is the highest version in force at any of them; InForce of them have it.
	Newest  bundle.Identity `cbor:"4,keyasint" json:"newest"`
	InForce int             `cbor:"5,keyasint" json:"in_force"`
	// Behind lists up to MaxBehind of the others.
	Behind []Behind `cbor:"6,keyasint,omitempty" json:"behind,omitempty"`
}

// Behind is an instance that does not have its region's newest version in force.
type Behind struct {
	Instance string `cbor:"1,keyasint" json:"instance"`
	// Version in force there as last heard; 0 for none or not heard.
	Version uint64 `cbor:"2,keyasint" json:"version"`
	// Since is when the relay first found it behind.
	Since time.Time `cbor:"3,keyasint" json:"since"`
}

// Out is a message to send.
type Out struct {
	To      string
	Message Message
}

// Bounds of what is kept and sent.
const (
	// MaxBehind bounds the list of a RegionState, in instances.
	MaxBehind = 16
	// maxSteps bounds the changes kept for peers that are behind.
	maxSteps = 128
	// maxStepBytes bounds the changes in one message, in bytes of deltas.
	maxStepBytes = 256 << 10
	// maxPartBytes bounds the sections in one message, and firstPartBytes those of the first
	// answer to one that lags, in bytes. An answer in less than quickAnswer doubles it.
	maxPartBytes   = 512 << 10
	firstPartBytes = 64 << 10
	quickAnswer    = 300 * time.Millisecond
	// maxWant bounds the sections asked for at once.
	maxWant = 64
	// fanOut is how many members each instance of a region serves.
	fanOut = 3
	// comparePeers is how many random peers each Tick compares versions with.
	comparePeers = 2
	// pullTimeout is how long an unanswered pull keeps others from being asked. It doubles
	// with each pull in a row that brings nothing, maxPatience times at most.
	pullTimeout = time.Second
	maxPatience = 5
	// appliedEvery is the time between repeated Applied and Region messages.
	appliedEvery = 5 * time.Second
)

// TickInterval is how often the host calls Tick.
const TickInterval = time.Second

// Encode returns the wire form.
func Encode(m Message) ([]byte, error) { return writer.Marshal(m) }

// writer keeps microseconds. The codec's default cuts times to seconds: of two
// states that a relay tells within a second the later would be no newer, and
// be dropped, so that a region would count as behind until the next repeat.
var writer = newWriter()

func newWriter() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err) // The options are constants of this package.
	}
	return mode
}

// reader bounds what a peer can make this instance allocate.
var reader = newReader()

func newReader() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 16, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err) // The options are constants of this package.
	}
	return mode
}

// Decode reads the wire form.
func Decode(data []byte) (Message, error) {
	var m Message
	if err := reader.Unmarshal(data, &m); err != nil {
		return Message{}, fmt.Errorf("spread message: %w", err)
	}
	if m.Kind < KindAnnounce || m.Kind > KindRegion {
		return Message{}, fmt.Errorf("spread message: unknown kind %d", m.Kind)
	}
	return m, nil
}
