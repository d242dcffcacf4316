// Package newest is a state machine for a replicated log that accepts whole
// unsigned configurations, of which the highest version wins, and evacuations of
// availability zones.
//
// It is the ordering policy for environments whose operators neither sign nor name
// a parent; package acceptance is the default. Without the order of a log, two
// operators could send different content under one version to two instances, and
// each would keep its own for ever. Here the first one in the log wins everywhere.
// A later one of the same or a lower version is acknowledged and changes nothing,
// as it may be a retry whose first acknowledgement was lost.
//
// An order to evacuate a zone, or to end that, carries the log index on which it was decided.
// It is refused if another order of the zone was acknowledged since.
package newest

import (
	"maps"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/coord/pieces"
)

// Command is one entry of the log. Exactly one of its fields is set.
type Command struct {
	Offer      *Offer      `cbor:"1,keyasint,omitempty"`
	Evacuation *Evacuation `cbor:"2,keyasint,omitempty"`
	Pieces     *Pieces     `cbor:"3,keyasint,omitempty"`
	// Holders doesn't change the State, as no request of a caller depends on it.
	Holders *Holders `cbor:"4,keyasint,omitempty"`
}

// Offer proposes a configuration that the proposer has checked.
type Offer struct {
	Version uint64 `cbor:"1,keyasint"`
	// Manifest lists the pieces of the configuration as the operator wrote it. The machine
	// holds all of them already, from the current configuration or from Pieces commands.
	Manifest *pieces.Manifest `cbor:"3,keyasint,omitempty"`
	// Document is the whole configuration, in logs of releases without pieces.
	Document []byte `cbor:"2,keyasint,omitempty"`
}

// Pieces are pieces of a configuration that will be offered. They are proposed before it, as
// one long entry would delay the entries and heartbeats behind it, and would have to be sent
// again as a whole if its proposer's deadline passed.
type Pieces struct {
	Packed [][]byte `cbor:"1,keyasint"`
}

// Result is the result of a command. Its encoding is nil if it is empty.
type Result struct {
	// Missing are the pieces that an offer names and the machine doesn't hold. The offer
	// changed nothing and may be proposed again after them.
	Missing []pieces.Digest `cbor:"1,keyasint,omitempty"`
	// RefusedAt is the log index of an evacuation order that changed nothing, as another order
	// of its zone was acknowledged since it was decided; 0 if it was not refused. A new decision
	// may be made on this index.
	RefusedAt uint64 `cbor:"2,keyasint,omitempty"`
}

// Evacuation orders or cancels the evacuation of an availability zone.
type Evacuation struct {
	Zone     string `cbor:"1,keyasint"`
	Evacuate bool   `cbor:"2,keyasint"`
	// Decided is the log index up to which the deciding instance knew the orders of the zone
	// when it received this one, see Machine.OrderIndex. It is nil in orders of older releases,
	// which are not fenced.
	Decided *uint64 `cbor:"3,keyasint,omitempty"`
}

// State is the configuration and the evacuations. It is immutable.
type State struct {
	// Index is the log index of the latest change.
	Index uint64 `cbor:"1,keyasint"`
	// Version is 0 before the first configuration.
	Version uint64 `cbor:"2,keyasint"`
	// Evacuated maps each zone that gets no new work to the log index of the order.
	Evacuated map[string]uint64 `cbor:"4,keyasint,omitempty"`
	// Document is the configuration, nil before the first; Root is its digest.
	Document *pieces.Document `cbor:"5,keyasint,omitempty"`
	Root     pieces.Digest    `cbor:"6,keyasint"`
}

// Head is a State without its Document.
type Head struct {
	Index     uint64            `cbor:"1,keyasint"`
	Version   uint64            `cbor:"2,keyasint"`
	Root      pieces.Digest     `cbor:"3,keyasint"`
	Evacuated map[string]uint64 `cbor:"4,keyasint,omitempty"`
}

// Head returns the state without its document.
func (s *State) Head() *Head {
	return &Head{Index: s.Index, Version: s.Version, Root: s.Root, Evacuated: s.Evacuated}
}

// Zones returns the evacuated zones, sorted.
func (s *State) Zones() []string { return s.Head().Zones() }

// Zones returns the evacuated zones, sorted.
func (h *Head) Zones() []string { return slices.Sorted(maps.Keys(h.Evacuated)) }

// Machine applies commands to the state and reports its changes. It is safe for concurrent
// use.
type Machine struct {
	mu       sync.Mutex
	state    *State
	staged   staged
	holders  map[string]bool
	fences   fences
	onChange func(*State)
}

// NewMachine makes an empty machine. onChange, if not nil, is called after each change of
// the State by the goroutine that applies the command; it must not block.
func NewMachine(onChange func(*State)) *Machine {
	if onChange == nil {
		onChange = func(*State) {}
	}
	return &Machine{state: &State{}, onChange: onChange}
}

// State returns the current state. The caller must not change it.
func (m *Machine) State() *State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Missing lists the pieces of a configuration that have to be proposed before it: those
// that the machine doesn't hold.
func (m *Machine) Missing(manifest *pieces.Manifest) []pieces.Digest {
	m.mu.Lock()
	defer m.mu.Unlock()
	packed := m.packedPieces()
	return manifest.Missing(func(d pieces.Digest) bool { return packed[d] != nil })
}

// packedPieces returns all pieces that the machine holds. The caller must hold m.mu.
func (m *Machine) packedPieces() map[pieces.Digest][]byte {
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

// DecodeResult decodes what Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if len(data) == 0 {
		return r, nil
	}
	err := cbor.Unmarshal(data, &r)
	return r, errors.Annotate(err, "result of a command")
}

// Apply runs the command at a log index and returns its encoded Result. An entry that can't be
// decoded changes nothing; all members skip it alike.
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
		m.onChange(next)
	}
	return r.encode()
}

func (r *Result) encode() []byte {
	if len(r.Missing) == 0 && r.RefusedAt == 0 {
		return nil
	}
	data, err := cbor.Marshal(r)
	if err != nil {
		panic(err) // Each field has a fixed type.
	}
	return data
}

// apply returns the next state, or the current one if it doesn't change. The caller must hold
// m.mu.
func (m *Machine) apply(index uint64, c Command) (*State, Result) {
	s := m.state
	switch {
	case c.Pieces != nil:
		m.staged.add(c.Pieces.Packed)
	case c.Holders != nil:
		m.holders = c.Holders.applyTo(m.holders)
	case c.Offer != nil && c.Offer.Version > s.Version:
		return m.offer(index, c.Offer)
	case c.Evacuation != nil:
		return m.order(index, c.Evacuation)
	}
	return s, Result{}
}

// offer assembles a configuration from its pieces. The state stays as it is if the manifest is
// invalid or a piece is missing.
func (m *Machine) offer(index uint64, o *Offer) (*State, Result) {
	if o.Manifest == nil {
		return m.state.withDocument(index, o.Version, singlePiece(o.Document)), Result{}
	}
	if o.Manifest.Check() != nil {
		return m.state, Result{}
	}
	packed := m.packedPieces()
	d := &pieces.Document{Manifest: *o.Manifest}
	missing := o.Manifest.Missing(func(digest pieces.Digest) bool { return packed[digest] != nil })
	if len(missing) > 0 {
		return m.state, Result{Missing: missing}
	}
	for _, digest := range o.Manifest.Digests {
		d.Packed = append(d.Packed, packed[digest])
	}
	m.staged.remove(d.Manifest.Digests)
	return m.state.withDocument(index, o.Version, d), Result{}
}

// singlePiece makes a document of a configuration without a layout of elements.
func singlePiece(document []byte) *pieces.Document {
	s, err := pieces.Cut(document, pieces.Layout{})
	if err != nil {
		panic(err) // An empty layout is always valid.
	}
	return s.Pack()
}

func (s *State) withDocument(index, version uint64, d *pieces.Document) *State {
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

// snapshot is the encoded form of the machine's whole state.
type snapshot struct {
	State
	// LegacyDocument is the document in snapshots of releases without pieces.
	LegacyDocument []byte   `cbor:"3,keyasint,omitempty"`
	Staged         [][]byte `cbor:"7,keyasint,omitempty"`
	// Holders are sorted.
	Holders []string `cbor:"8,keyasint,omitempty"`
	// Fences are empty in snapshots of releases without them.
	Fences fences `cbor:"9,keyasint"`
}

// Snapshot encodes the whole state, staged pieces, holders and fences included.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	s := snapshot{State: *m.state, Staged: m.staged.packed(), Holders: slices.Sorted(maps.Keys(m.holders)), Fences: m.fences.clone()}
	m.mu.Unlock()
	return cbor.Marshal(s)
}

// Restore replaces the whole state by that of a Snapshot and reports it as a change. On an
// error nothing changes.
func (m *Machine) Restore(data []byte) error {
	s, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.state, m.staged = &s.State, staged{}
	m.staged.add(s.Staged)
	m.setHolders(s.Holders)
	m.fences = s.Fences
	m.mu.Unlock()
	m.onChange(&s.State)
	return nil
}

// DecodeState decodes the State of a snapshot, also of a release without pieces.
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
		s.State = *s.withDocument(s.Index, s.Version, singlePiece(s.LegacyDocument))
		s.LegacyDocument = nil
	}
	return s, nil
}
