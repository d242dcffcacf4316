package newest

import (
	"maps"
	"slices"
)

// Holders changes who may hold shares of workspaces' limits. An instance is added before it is
// granted the first one, so that a leader that follows knows of whom to wait for news.
type Holders struct {
	Add    []string `cbor:"1,keyasint,omitempty"`
	Remove []string `cbor:"2,keyasint,omitempty"`
}

// change returns the holders after a change, in a new map.
func (h *Holders) change(now map[string]bool) map[string]bool {
	next := maps.Clone(now)
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

// Holders lists who may hold shares, in order.
func (m *Machine) Holders() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.holders))
}

// MayHold reports whether an instance may hold shares.
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
