package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Bounds of what instances hand to each other. An instance hands its own parts
// to HandoverPeers others of its region, at most HandoverBytes each
// HandoverInterval: 213 bytes a second to each.
const (
	HandoverInterval = 5 * time.Minute
	HandoverBytes    = 64_000
	HandoverPeers    = 2
	// maxShelf bounds the parts of others that one instance keeps. Peers chosen
	// by rendezvous hashing are handed the parts of some two instances. A part is
	// some 400 KB in memory at most.
	maxShelf = 24
)

// Shelf keeps what other instances have handed over, until they ask for it after
// a restart without a disk. It is safe for several goroutines.
type PeerParts struct {
	mu   sync.Mutex
	kept Snapshot
}

// Keep takes in what another instance handed over. Beyond the bound the parts
// that were taken longest ago go.
func (s *PeerParts) Add(now time.Time, handed Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = Merge(s.kept, handed).Since(now)
	if len(s.kept.Parts) <= maxShelf {
		return
	}
	parts := slices.Clone(s.kept.Parts)
	slices.SortStableFunc(parts, func(x, y Part) int { return cmp.Compare(y.TakenMillis, x.TakenMillis) })
	s.kept = Merge(Snapshot{}, Snapshot{Parts: parts[:maxShelf]})
}

// Of is what is kept of an instance, for its Restore.
func (s *PeerParts) ForInstance(instance string) Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out Snapshot
	for _, p := range s.kept.Parts {
		if p.Instance == instance {
			out.Parts = append(out.Parts, p)
		}
	}
	return out
}

// All is what is kept of all, to be merged into a report.
func (s *PeerParts) All() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{Parts: slices.Clone(s.kept.Parts)}
}
