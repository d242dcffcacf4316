// Package newest accepts whole unsigned configurations of which the highest
// version wins, and the evacuations of availability zones, as a state machine for
// a replicated log.
//
// It is the ordering policy for surroundings whose operators do not sign and do
// not name a parent; package acceptance is the product's default. What goes wrong
// without an order in the log: two operators send different content under one
// version to two instances, and each keeps its own for ever. Here the first one
// in the log wins everywhere; a later one of the same or a lower version is
// acknowledged and changes nothing, as it may be a repeat whose first
// acknowledgement was lost.
package newest

import (
	"maps"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/coord/pieces"
)

// Command is one entry of the log. Exactly one of its parts is set.
type Command struct {
	Offer      *Offer      `cbor:"1,keyasint,omitempty"`
	Evacuation *Evacuation `cbor:"2,keyasint,omitempty"`
	Pieces     *Pieces     `cbor:"3,keyasint,omitempty"`
	// Holders changes no State: nothing that callers meet depends on it.
	Holders *Holders `cbor:"4,keyasint,omitempty"`
}

// Offer proposes a configuration, checked by the proposer.
type Offer struct {
	Version uint64 `cbor:"1,keyasint"`
	// Manifest lists the pieces of the configuration as the operator wrote it. All of them
	// are held already: they are in the configuration before, or came as Parts.
	Manifest *pieces.Manifest `cbor:"3,keyasint,omitempty"`
	// Document is the whole configuration, in logs that were written before there were
	// pieces.
	Document []byte `cbor:"2,keyasint,omitempty"`
}

// Parts are pieces of a configuration that will be offered. They go ahead of it, as one long
// entry would hold up the entries and heartbeats behind it, and would have to go whole again
// where its proposer's time is over.
type Pieces struct {
	Packed [][]byte `cbor:"1,keyasint"`
}

// Result is what a command comes to; nil where there is nothing to say.
type Result struct {
	// Missing are the pieces that an offer names and nobody holds: it changed nothing, and
	// may come again once they have been proposed.
	Missing []pieces.Digest `cbor:"1,keyasint,omitempty"`
}

// Zone orders an evacuation or takes it back.
type Evacuation struct {
	Zone     string `cbor:"1,keyasint"`
	Evacuate bool   `cbor:"2,keyasint"`
}

// State is what the machine holds. Values are never changed in place.
type State struct {
	// Index is the place in the log of the newest change.
	Index uint64 `cbor:"1,keyasint"`
	// Version is 0 before the first configuration.
	Version uint64 `cbor:"2,keyasint"`
	// Evacuated holds the zones that get nothing more, with the place in the log
	// of the order.
	Evacuated map[string]uint64 `cbor:"4,keyasint,omitempty"`
	// Document is the configuration, and Root its name; nil before the first.
	Document *pieces.Document `cbor:"5,keyasint,omitempty"`
	Root     pieces.Digest    `cbor:"6,keyasint"`
}

// Head is a State without its document.
type Head struct {
	Index     uint64            `cbor:"1,keyasint"`
	Version   uint64            `cbor:"2,keyasint"`
	Root      pieces.Digest     `cbor:"3,keyasint"`
	Evacuated map[string]uint64 `cbor:"4,keyasint,omitempty"`
}

// Head tells of the state in a few bytes.
func (s *State) Head() *Head {
	return &Head{Index: s.Index, Version: s.Version, Root: s.Root, Evacuated: s.Evacuated}
}

// Zones lists the evacuated zones in order.
func (s *State) Zones() []string { return s.Head().Zones() }

// Zones lists the evacuated zones in order.
func (h *Head) Zones() []string { return slices.Sorted(maps.Keys(h.Evacuated)) }

// Machine holds the state and tells of its changes.
type Machine struct {
	mu      sync.Mutex
	state   *State
	staged  staged
	holders map[string]bool
	changed func(*State)
}

// NewMachine makes an empty machine. changed, if set, is called after each change
// by the goroutine that applies; it must not block.
func NewMachine(changed func(*State)) *Machine {
	if changed == nil {
		changed = func(*State) {}
	}
	return &Machine{state: &State{}, changed: changed}
}

// State returns the state now.
func (m *Machine) State() *State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Missing lists the pieces of a configuration that have to be proposed before it.
func (m *Machine) Missing(manifest *pieces.Manifest) []pieces.Digest {
	m.mu.Lock()
	defer m.mu.Unlock()
	packed := m.pieces()
	return manifest.Missing(func(d pieces.Digest) bool { return packed[d] != nil })
}

// pieces are all that are held.
func (m *Machine) pieces() map[pieces.Digest][]byte {
	out := map[pieces.Digest][]byte{}
	if m.state.Document != nil {
		out = m.state.Document.ByDigest()
	}
	for _, p := range m.staged.list {
		out[p.digest] = p.packed
	}
	return out
}

// Encode writes a command for the log.
func Encode(c Command) ([]byte, error) { return cbor.Marshal(c) }

// DecodeResult reads what Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if len(data) == 0 {
		return r, nil
	}
	err := cbor.Unmarshal(data, &r)
	return r, errors.Annotate(err, "result of a command")
}

// Apply carries out a command and returns its encoded Result. An entry that cannot be read
// changes nothing: all members skip it alike.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return nil
	}
	m.mu.Lock()
	next, r := m.apply(index, c)
	changed := next != m.state
	m.state = next
	m.mu.Unlock()
	if changed {
		m.changed(next)
	}
	return r.encode()
}

func (r *Result) encode() []byte {
	if len(r.Missing) == 0 {
		return nil
	}
	data, err := cbor.Marshal(r)
	if err != nil {
		panic(err) // Each field has a fixed type.
	}
	return data
}

// apply returns the next state, or the present one where nothing changes.
func (m *Machine) apply(index uint64, c Command) (*State, Result) {
	s := m.state
	switch {
	case c.Pieces != nil:
		m.staged.add(c.Pieces.Packed)
	case c.Holders != nil:
		m.holders = c.Holders.change(m.holders)
	case c.Offer != nil && c.Offer.Version > s.Version:
		return m.offer(index, c.Offer)
	case c.Evacuation != nil && c.Evacuation.Evacuate != (s.Evacuated[c.Evacuation.Zone] != 0):
		return s.evacuate(index, c.Evacuation), Result{}
	}
	return s, Result{}
}

// offer puts the pieces of a configuration together.
func (m *Machine) offer(index uint64, o *Offer) (*State, Result) {
	if o.Manifest == nil {
		return m.state.with(index, o.Version, whole(o.Document)), Result{}
	}
	if o.Manifest.Check() != nil {
		return m.state, Result{}
	}
	packed := m.pieces()
	d := &pieces.Document{Manifest: *o.Manifest}
	missing := o.Manifest.Missing(func(digest pieces.Digest) bool { return packed[digest] != nil })
	if len(missing) > 0 {
		return m.state, Result{Missing: missing}
	}
	for _, digest := range o.Manifest.Digests {
		d.Packed = append(d.Packed, packed[digest])
	}
	m.staged.drop(d.Manifest.Digests)
	return m.state.with(index, o.Version, d), Result{}
}

// whole is a document in pieces that know of no elements.
func whole(document []byte) *pieces.Document {
	s, err := pieces.Cut(document, pieces.Layout{})
	if err != nil {
		panic(err) // No elements cannot be wrong.
	}
	return s.Pack()
}

func (s *State) with(index, version uint64, d *pieces.Document) *State {
	next := *s
	next.Index, next.Version, next.Document, next.Root = index, version, d, d.Manifest.Root()
	return &next
}

func (s *State) evacuate(index uint64, z *Evacuation) *State {
	next := *s
	next.Index = index
	next.Evacuated = maps.Clone(s.Evacuated)
	if next.Evacuated == nil {
		next.Evacuated = map[string]uint64{}
	}
	if z.Evacuate {
		next.Evacuated[z.Zone] = index
	} else {
		delete(next.Evacuated, z.Zone)
	}
	return &next
}

// snapshot is the machine's whole state on disks and links.
type snapshot struct {
	State
	// Before is the document of snapshots that were written before there were pieces.
	Before []byte   `cbor:"3,keyasint,omitempty"`
	Staged [][]byte `cbor:"7,keyasint,omitempty"`
	// Holders are in order.
	Holders []string `cbor:"8,keyasint,omitempty"`
}

// Snapshot returns the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	s := snapshot{State: *m.state, Staged: m.staged.packed(), Holders: slices.Sorted(maps.Keys(m.holders))}
	m.mu.Unlock()
	return cbor.Marshal(s)
}

// Restore replaces the state by that of a Snapshot.
func (m *Machine) Restore(data []byte) error {
	s, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.state, m.staged = &s.State, staged{}
	m.staged.add(s.Staged)
	m.setHolders(s.Holders)
	m.mu.Unlock()
	m.changed(&s.State)
	return nil
}

// DecodeState reads a State as it was encoded, now or before there were pieces.
func DecodeState(data []byte) (*State, error) {
	s, err := decodeSnapshot(data)
	if err != nil {
		return nil, err
	}
	return &s.State, nil
}

func decodeSnapshot(data []byte) (*snapshot, error) {
	s := &snapshot{}
	if err := cbor.Unmarshal(data, s); err != nil {
		return nil, errors.Annotate(err, "snapshot of configurations")
	}
	if s.Document == nil && s.Version > 0 {
		s.State = *s.with(s.Index, s.Version, whole(s.Before))
		s.Before = nil
	}
	return s, nil
}
