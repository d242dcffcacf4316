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
	// MaxWorkspaces is how many workspaces of each service have a history of
	// their own: those with the most missed requests.
	MaxWorkspaces = 16
	// rankHalfLife makes the workspaces that miss now outrank those of before.
	rankHalfLife = time.Hour
	// maxLives is how many earlier lives of an instance are kept. An instance
	// that restarts more often in six hours loses the oldest ones' counts.
	maxLives = 8
)

// Other stands for the services beyond the bound.
const Other = "(other)"

// Event is the end of one request.
type Event struct {
	Service, Workspace string
	Cause              Cause
}

// History is what one instance has seen: about 12 KB for each service and 3 KB
// for each of its workspaces in the table. It is safe for several goroutines.
type History struct {
	instance, region string
	life             uint64

	mu       sync.Mutex
	services map[string]*service
	earlier  []Part
	taken    uint64
}

// service is the history of one service.
type service struct {
	fine, coarse *slots
	workspaces   map[string]*workspace
	aged         time.Time
}

// workspace is the history of one workspace. rank estimates its misses.
type workspace struct {
	coarse *slots
	rank   float64
}

// NewHistory makes an empty History of an instance. life numbers the starts of
// the instance; it rises with each.
func NewHistory(instance, region string, life uint64) *History {
	return &History{instance: instance, region: region, life: life, services: map[string]*service{}}
}

// Observe takes the end of one request. A request whose service is not known
// says nothing of a service.
func (h *History) Observe(now time.Time, e Event) {
	if e.Service == "" || int(e.Cause) > misses {
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
		fine:       newSlots(fineSlot, fineSlots),
		coarse:     newSlots(coarseSlot, coarseSlots),
		workspaces: map[string]*workspace{},
		aged:       now,
	}
	h.services[id] = s
	return s
}

// workspace finds the history of a workspace, or nil if it has none.
//
// With 10,000 workspaces a history for each would take hundreds of megabytes.
// The table holds those that miss most, by the space-saving algorithm: a
// newcomer takes the place and the rank of the least. So a workspace with more
// than one in MaxWorkspaces of the misses is in the table, however many others
// miss now and then. What leaves the table stays in the service's counts.
func (s *service) workspace(now time.Time, e Event) *workspace {
	if e.Workspace == "" {
		return nil
	}
	w := s.workspaces[e.Workspace]
	if e.Cause == Met {
		return w
	}
	s.age(now)
	if w == nil {
		w = &workspace{coarse: newSlots(coarseSlot, coarseSlots), rank: s.makeRoom()}
		s.workspaces[e.Workspace] = w
	}
	w.rank++
	return w
}

// makeRoom removes the workspace of the least rank from a full table; of equal
// ones that with the smallest id. It returns that rank.
func (s *service) makeRoom() float64 {
	if len(s.workspaces) < MaxWorkspaces {
		return 0
	}
	least := ""
	for id, w := range s.workspaces {
		l := s.workspaces[least]
		if l == nil || w.rank < l.rank || w.rank == l.rank && id < least {
			least = id
		}
	}
	rank := s.workspaces[least].rank
	delete(s.workspaces, least)
	return rank
}

// age halves all ranks for each half-life that passed.
func (s *service) age(now time.Time) {
	for now.Sub(s.aged) >= rankHalfLife {
		s.aged = s.aged.Add(rankHalfLife)
		for _, w := range s.workspaces {
			w.rank /= 2
		}
		if now.Sub(s.aged) > LongestWindow {
			s.aged = now
		}
	}
}

// Snapshot is the history now, with that of earlier lives.
func (h *History) Snapshot(now time.Time) Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.taken++
	own := Part{Instance: h.instance, Region: h.region, Incarnation: h.life, Sequence: h.taken, TakenMillis: now.UnixMilli()}
	for id, s := range h.services {
		own.Services = append(own.Services, s.part(id, now))
	}
	slices.SortFunc(own.Services, func(x, y ServicePart) int { return strings.Compare(x.Service, y.Service) })
	return Merge(Snapshot{Parts: []Part{own}}, Snapshot{Parts: h.earlier})
}

func (s *service) part(id string, now time.Time) ServicePart {
	p := ServicePart{Service: id, Fine: s.fine.held(now), Coarse: s.coarse.held(now)}
	for name, w := range s.workspaces {
		if held := w.coarse.held(now); len(held) > 0 {
			p.Workspaces = append(p.Workspaces, WorkspacePart{Workspace: name, Slots: held})
		}
	}
	slices.SortFunc(p.Workspaces, func(x, y WorkspacePart) int { return strings.Compare(x.Workspace, y.Workspace) })
	return p
}

// Restore takes back what earlier lives of this instance have seen, from a disk
// or from others that were handed it. Parts of other instances and of this life
// are left out, so that what comes back twice, or late, counts once.
func (h *History) Restore(s Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	mine := Snapshot{Parts: h.earlier}
	for _, p := range s.Parts {
		if p.Instance == h.instance && p.Incarnation < h.life {
			mine = Merge(mine, Snapshot{Parts: []Part{p}})
		}
	}
	h.earlier = mine.Parts
}
