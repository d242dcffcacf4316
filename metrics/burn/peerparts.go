package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Bounds of the handover between instances. An instance sends its own parts to HandoverPeers
// others of its region, at most HandoverBytes each HandoverInterval: 213 bytes a second to each.
const (
	HandoverInterval = 5 * time.Minute
	HandoverBytes    = 64_000
	HandoverPeers    = 2
	// maxPeerParts bounds the parts of others that one instance keeps. With peers chosen by
	// rendezvous hashing, an instance gets the parts of some two instances. A part takes at
	// most some 400 KB in memory.
	maxPeerParts = 24
)

// PeerParts keeps the parts that other instances have handed over, for their restart without a
// disk. It is safe for concurrent use.
type PeerParts struct {
	mu    sync.Mutex
	parts Snapshot
}

// Add keeps the parts that another instance handed over. Beyond the bound the parts with the
// oldest time are removed.
func (s *PeerParts) Add(now time.Time, received Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parts = Merge(s.parts, received).Since(now)
	if len(s.parts.Parts) <= maxPeerParts {
		return
	}
	parts := slices.Clone(s.parts.Parts)
	slices.SortStableFunc(parts, func(x, y Part) int { return cmp.Compare(y.TakenMillis, x.TakenMillis) })
	s.parts = Merge(Snapshot{}, Snapshot{Parts: parts[:maxPeerParts]})
}

// ForInstance returns the kept parts of an instance, for its Restore.
func (s *PeerParts) ForInstance(instance string) Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out Snapshot
	for _, p := range s.parts.Parts {
		if p.Instance == instance {
			out.Parts = append(out.Parts, p)
		}
	}
	return out
}

// All returns all kept parts, to be merged into a report.
func (s *PeerParts) All() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{Parts: slices.Clone(s.parts.Parts)}
}
