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
)

// Command is one entry of the log. Exactly one of its parts is set.
type Command struct {
	Offer *Offer `cbor:"1,keyasint,omitempty"`
	Zone  *Zone  `cbor:"2,keyasint,omitempty"`
}

// Offer proposes a configuration, checked by the proposer.
type Offer struct {
	Version uint64 `cbor:"1,keyasint"`
	// Document is the configuration as the operator wrote it.
	Document []byte `cbor:"2,keyasint"`
}

// Zone orders an evacuation or takes it back.
type Zone struct {
	Name     string `cbor:"1,keyasint"`
	Evacuate bool   `cbor:"2,keyasint"`
}

// State is what the machine holds. Values are never changed in place.
type State struct {
	// Index is the place in the log of the newest change.
	Index uint64 `cbor:"1,keyasint"`
	// Version is 0 before the first configuration.
	Version  uint64 `cbor:"2,keyasint"`
	Document []byte `cbor:"3,keyasint"`
	// Evacuated holds the zones that get nothing more, with the place in the log
	// of the order.
	Evacuated map[string]uint64 `cbor:"4,keyasint,omitempty"`
}

// Zones lists the evacuated zones in order.
func (s *State) Zones() []string { return slices.Sorted(maps.Keys(s.Evacuated)) }

// Machine holds the state and tells of its changes.
type Machine struct {
	mu      sync.Mutex
	state   *State
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

// Encode writes a command for the log.
func Encode(c Command) ([]byte, error) { return cbor.Marshal(c) }

// Apply carries out a command. An entry that cannot be read changes nothing: all
// members skip it alike.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return nil
	}
	m.mu.Lock()
	next := m.state.apply(index, c)
	changed := next != m.state
	m.state = next
	m.mu.Unlock()
	if changed {
		m.changed(next)
	}
	return nil
}

// apply returns the next state, or s itself where nothing changes.
func (s *State) apply(index uint64, c Command) *State {
	next := *s
	next.Index = index
	switch {
	case c.Offer != nil && c.Offer.Version > s.Version:
		next.Version, next.Document = c.Offer.Version, c.Offer.Document
	case c.Zone != nil && c.Zone.Evacuate != (s.Evacuated[c.Zone.Name] != 0):
		next.Evacuated = maps.Clone(s.Evacuated)
		if next.Evacuated == nil {
			next.Evacuated = map[string]uint64{}
		}
		if c.Zone.Evacuate {
			next.Evacuated[c.Zone.Name] = index
		} else {
			delete(next.Evacuated, c.Zone.Name)
		}
	default:
		return s
	}
	return &next
}

// Snapshot returns the whole state.
func (m *Machine) Snapshot() ([]byte, error) { return cbor.Marshal(m.State()) }

// Restore replaces the state by that of a Snapshot.
func (m *Machine) Restore(data []byte) error {
	s := &State{}
	if err := cbor.Unmarshal(data, s); err != nil {
		return errors.Annotate(err, "snapshot of configurations")
	}
	m.mu.Lock()
	m.state = s
	m.mu.Unlock()
	m.changed(s)
	return nil
}
