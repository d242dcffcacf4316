package newest

import (
	"maps"
	"slices"
)

// Holders changes the set of instances that may hold shares of workspaces' limits. An instance
// is added before it is granted its first share, so that the next leader knows which instances
// to wait for reports from.
type Holders struct {
	Add    []string `cbor:"1,keyasint,omitempty"`
	Remove []string `cbor:"2,keyasint,omitempty"`
}

// applyTo returns the holders after the change, in a new map.
func (h *Holders) applyTo(holders map[string]bool) map[string]bool {
	next := maps.Clone(holders)
	if next == nil {
		next = map[string]bool{}
	}
	for _, id := range h.Remove {
		delete(next, id)
	}
	for _, id := range h.Add {
		next[id] = true
	}
	return next
}

// Holders returns the ids of the instances that may hold shares, sorted.
func (m *Machine) Holders() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.holders))
}

// IsHolder reports whether an instance may hold shares.
func (m *Machine) IsHolder(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holders[id]
}

func (m *Machine) setHolders(ids []string) {
	m.holders = make(map[string]bool, len(ids))
	for _, id := range ids {
		m.holders[id] = true
	}
}
