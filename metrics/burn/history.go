package burn

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxServices bounds the services of a History; a bundle has some 36.
	maxServices = 128
	// MaxWorkspaces is the number of workspaces of each service with a history of their own:
	// those with the most missed requests.
	MaxWorkspaces = 16
	// rankHalfLife makes workspaces with recent misses outrank those with earlier ones.
	rankHalfLife = time.Hour
	// maxEarlierIncarnations bounds the earlier incarnations of an instance in a snapshot. An
	// instance that restarts more often in six hours loses the oldest ones' counts.
	maxEarlierIncarnations = 8
)

// Other is the id under which services beyond the bound are counted.
const Other = "(other)"

// Event is the end of one request.
type Event struct {
	Service, Workspace string
	Cause              Cause
}

// History holds what one instance has observed, in about 12 KB for each service and 3 KB for
// each workspace in the table. It is safe for concurrent use.
type History struct {
	instance, region string
	incarnation      uint64

	mu       sync.Mutex
	services map[string]*service
	earlier  []Part
	sequence uint64
}

// service is the history of one service.
type service struct {
	fine, coarse *slots
	workspaces   map[string]*workspace
	decayedAt    time.Time
}

// workspace is the history of one workspace. rank estimates its recent misses.
type workspace struct {
	coarse *slots
	rank   float64
}

// NewHistory returns an empty History of an instance. incarnation must increase with each start
// of the instance.
func NewHistory(instance, region string, incarnation uint64) *History {
	return &History{instance: instance, region: region, incarnation: incarnation, services: map[string]*service{}}
}

// Observe records the end of one request. A request with an unknown service is not counted.
func (h *History) Observe(now time.Time, e Event) {
	if e.Service == "" || int(e.Cause) > causeCount {
		return
	}
	c := Count{Requests: 1}
	if e.Cause != Met {
		c.Missed[e.Cause-1] = 1
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(e.Service, now)
	s.fine.add(s.fine.number(now), c)
	s.coarse.add(s.coarse.number(now), c)
	if w := s.workspace(now, e); w != nil {
		w.coarse.add(w.coarse.number(now), c)
	}
}

func (h *History) service(id string, now time.Time) *service {
	s, ok := h.services[id]
	if ok {
		return s
	}
	if len(h.services) >= maxServices {
		if id = Other; h.services[id] != nil {
			return h.services[id]
		}
	}
	s = &service{
		fine:       newSlots(fineSlotDuration, fineSlotCount),
		coarse:     newSlots(coarseSlotDuration, coarseSlotCount),
		workspaces: map[string]*workspace{},
		decayedAt:  now,
	}
	h.services[id] = s
	return s
}

// workspace returns the history of a workspace, or nil if it has none.
//
// With 10,000 workspaces a history for each would take hundreds of megabytes. The table holds
// those with the most misses, by the space-saving algorithm: a new one replaces the one with the
// lowest rank and takes over its rank. A workspace with more than one in MaxWorkspaces of the
// misses is therefore in the table, whatever the number of others with occasional misses. An
// evicted workspace still counts in the service.
func (s *service) workspace(now time.Time, e Event) *workspace {
	if e.Workspace == "" {
		return nil
	}
	w := s.workspaces[e.Workspace]
	if e.Cause == Met {
		return w
	}
	s.decayRanks(now)
	if w == nil {
		w = &workspace{coarse: newSlots(coarseSlotDuration, coarseSlotCount), rank: s.evictLowest()}
		s.workspaces[e.Workspace] = w
	}
	w.rank++
	return w
}

// evictLowest removes the workspace with the lowest rank from a full table, of equal ones that
// with the smallest id. It returns that rank, or 0 if the table is not full.
func (s *service) evictLowest() float64 {
	if len(s.workspaces) < MaxWorkspaces {
		return 0
	}
	lowest := ""
	for id, w := range s.workspaces {
		l := s.workspaces[lowest]
		if l == nil || w.rank < l.rank || w.rank == l.rank && id < lowest {
			lowest = id
		}
	}
	rank := s.workspaces[lowest].rank
	delete(s.workspaces, lowest)
	return rank
}

// decayRanks halves all ranks for each half-life that has passed.
func (s *service) decayRanks(now time.Time) {
	for now.Sub(s.decayedAt) >= rankHalfLife {
		s.decayedAt = s.decayedAt.Add(rankHalfLife)
		for _, w := range s.workspaces {
			w.rank /= 2
		}
		if now.Sub(s.decayedAt) > LongestWindow {
			s.decayedAt = now
		}
	}
}

// Snapshot returns the history up to now, with that of earlier incarnations.
func (h *History) Snapshot(now time.Time) Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	own := Part{Instance: h.instance, Region: h.region, Incarnation: h.incarnation, Sequence: h.sequence, TakenMillis: now.UnixMilli()}
	for id, s := range h.services {
		own.Services = append(own.Services, s.part(id, now))
	}
	slices.SortFunc(own.Services, func(x, y ServicePart) int { return strings.Compare(x.Service, y.Service) })
	return Merge(Snapshot{Parts: []Part{own}}, Snapshot{Parts: h.earlier})
}

func (s *service) part(id string, now time.Time) ServicePart {
	p := ServicePart{Service: id, Fine: s.fine.recent(now), Coarse: s.coarse.recent(now)}
	for name, w := range s.workspaces {
		if held := w.coarse.recent(now); len(held) > 0 {
			p.Workspaces = append(p.Workspaces, WorkspacePart{Workspace: name, Slots: held})
		}
	}
	slices.SortFunc(p.Workspaces, func(x, y WorkspacePart) int { return strings.Compare(x.Workspace, y.Workspace) })
	return p
}

// Restore loads the history of earlier incarnations of this instance, from its disk or from
// other instances. Parts of other instances and of this incarnation are ignored, so that parts
// that come twice or late count once.
func (h *History) Restore(s Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	own := Snapshot{Parts: h.earlier}
	for _, p := range s.Parts {
		if p.Instance == h.instance && p.Incarnation < h.incarnation {
			own = Merge(own, Snapshot{Parts: []Part{p}})
		}
	}
	h.earlier = own.Parts
}
