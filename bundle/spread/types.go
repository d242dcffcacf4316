// Package spread distributes accepted bundles to every instance and reports
// which version each instance has in force.
//
// A bundle is accepted by the replicated log of a few voters. From there it is
// sent down a tree: each voter serves the relays of some regions, relays serve
// the first instances of their region, and those serve others, so that no
// instance sends more than a few copies. A change takes a few hundred bytes. An
// instance that lacks its base pulls the changes between, or only the sections
// that differ. Lost messages are repaired by comparing versions with random
// peers at a constant rate.
//
// A Core is a state machine without input or output. It installs only versions
// above its own, so that no peer that is behind can roll it back.
package spread

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gullhaven/gullhaven/bundle"
)

// Peer is an instance in the host's view of the members.
type Peer struct {
	ID     string
	Region string
	// Relay instances represent their region to others.
	Relay bool
	// Voter instances learn accepted bundles from the replicated log.
	Voter bool
}

// Kind is the kind of a Message.
type Kind uint8

const (
	// KindAnnounce reports the version in force at the sender.
	KindAnnounce Kind = iota + 1
	// KindStepsRequest requests what follows the version in force at the sender.
	KindStepsRequest
	// KindSteps answers KindStepsRequest with the changes from each version to the next.
	KindSteps
	// KindManifest answers KindStepsRequest with the manifest of the newest bundle.
	KindManifest
	// KindSectionsRequest requests sections of the bundle that KindManifest described.
	KindSectionsRequest
	// KindSections answers KindSectionsRequest.
	KindSections
	// KindApplied reports to a relay the version in force at an instance of its region.
	KindApplied
	// KindRegion reports the versions in force in the sender's region.
	KindRegion
)

// Step is one accepted change with its sign-offs.
type Step struct {
	ID         bundle.Identity    `cbor:"1,keyasint"`
	Signatures []bundle.Signature `cbor:"2,keyasint"`
	// Delta turns the parent into this version; see bundle.Delta.
	Delta []byte `cbor:"3,keyasint"`
}

// Message is sent from one instance to another. Hosts may lose, delay, duplicate
// and reorder messages.
type Message struct {
	Kind Kind `cbor:"1,keyasint"`
	// Head is the version in force at the sender; zero before the first.
	Head bundle.Identity `cbor:"2,keyasint"`
	// Steps belong to KindSteps, oldest first.
	Steps []Step `cbor:"3,keyasint,omitempty"`
	// Manifest and Signatures belong to KindManifest and describe Head.
	Manifest   *bundle.Manifest   `cbor:"4,keyasint,omitempty"`
	Signatures []bundle.Signature `cbor:"5,keyasint,omitempty"`
	// Digests belong to KindSectionsRequest.
	Digests []bundle.Digest `cbor:"6,keyasint,omitempty"`
	// Sections belong to KindSections.
	Sections [][]byte `cbor:"7,keyasint,omitempty"`
	// State belongs to KindRegion.
	State *RegionState `cbor:"8,keyasint,omitempty"`
	// MaxBytes belongs to KindStepsRequest and KindSectionsRequest. It bounds the answer, which
	// has at least one item. 0 means the answerer's limit: maxStepBytes or maxSectionBytes.
	MaxBytes int `cbor:"9,keyasint,omitempty"`
}

// RegionState is a relay's report on its region.
type RegionState struct {
	Region string `cbor:"1,keyasint" json:"region"`
	// At is the time of the report by the relay's wall clock.
	At time.Time `cbor:"2,keyasint" json:"at"`
	// Members is the number of instances that the relay knows to be in the region.
	Members int `cbor:"3,keyasint" json:"members"`
	// Newest is the version in force at the relay, which fetches a newer one as soon as a member
	// reports it. InForce members have Newest or a newer one.
	Newest  bundle.Identity `cbor:"4,keyasint" json:"newest"`
	InForce int             `cbor:"5,keyasint" json:"in_force"`
	// Behind lists up to MaxBehind of the other members.
	Behind []Behind `cbor:"6,keyasint,omitempty" json:"behind,omitempty"`
}

// Behind is an instance that does not have its region's newest version in force.
type Behind struct {
	Instance string `cbor:"1,keyasint" json:"instance"`
	// Version is the last one reported as in force there; 0 for none or no report.
	Version uint64 `cbor:"2,keyasint" json:"version"`
	// Since is the time at which the relay first found it behind.
	Since time.Time `cbor:"3,keyasint" json:"since"`
}

// Out is a message to send.
type Out struct {
	To      string
	Message Message
}

// Bounds of memory and messages.
const (
	// MaxBehind bounds the list of a RegionState, in instances.
	MaxBehind = 16
	// maxSteps bounds the number of changes kept for peers that are behind.
	maxSteps = 128
	// maxStepBytes bounds the changes in one message, in bytes of deltas.
	maxStepBytes = 256 << 10
	// maxSectionBytes bounds the sections in one message, in bytes. firstSectionBytes is the
	// bound that an instance requests first. An answer within fastResponse doubles its bound.
	maxSectionBytes   = 512 << 10
	firstSectionBytes = 64 << 10
	fastResponse      = 300 * time.Millisecond
	// maxSectionsRequested bounds the number of sections in one request.
	maxSectionsRequested = 64
	// fanOut is the number of members that each instance of a region serves.
	fanOut = 3
	// comparePeers is the number of random peers that each Tick compares versions with.
	comparePeers = 2
	// pullTimeout is the time without progress after which another peer may be pulled from.
	// It doubles with each consecutive pull without progress, at most maxTimeoutDoublings
	// times.
	pullTimeout         = time.Second
	maxTimeoutDoublings = 5
	// appliedInterval is the time between repeated KindApplied and KindRegion messages.
	appliedInterval = 5 * time.Second
)

// TickInterval is the time between the host's calls of Tick.
const TickInterval = time.Second

// Encode encodes a message for the wire.
func Encode(m Message) ([]byte, error) { return writer.Marshal(m) }

// writer encodes times in microseconds. The codec's default truncates them to
// seconds: of two states that a relay reports within a second the later one would
// be no newer and be dropped, so that a region would count as behind until the
// next repeated report.
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

// Decode decodes a message of the wire. It returns an error for an unknown kind.
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
