package feed

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Times after which soft state is void.
const (
	// EntryLife is how long an entry instance counts as there after its last
	// report: five report intervals, so that a lost report or a slow core
	// instance takes nobody out, and well under the 9 s within which a dead
	// instance may still be named to callers.
	EntryLife = 2500 * time.Millisecond
	// CoreLife is the same for core instances.
	CoreLife = 3 * time.Second
)

// Board is the soft state that a core instance holds. It is safe for several
// goroutines; the time is passed in.
type Board struct {
	self Core

	mu      sync.Mutex
	cores   map[string]heardCore
	entries map[string]heardEntry
	sums    map[string]heardSums
	list    List
	// own says that list was read by this instance.
	own     bool
	changed chan struct{}
}

type heardCore struct {
	core Core
	at   time.Time
}

type heardEntry struct {
	entry Entry
	at    time.Time
	// direct says that the instance itself reported here.
	direct bool
}

type heardSums struct {
	sums []Summary
	at   time.Time
}

// NewBoard makes an empty board.
func NewBoard(self Core) *Board {
	return &Board{
		self: self, cores: map[string]heardCore{}, entries: map[string]heardEntry{},
		sums: map[string]heardSums{}, changed: make(chan struct{}),
	}
}

// Changed returns a channel that is closed at the next change that entry
// instances should hear of at once.
func (b *Board) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Wake ends the waits on Changed.
func (b *Board) Wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wake()
}

func (b *Board) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Reported takes in the report of an entry instance.
func (b *Board) Reported(now time.Time, e Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, known := b.entries[e.ID]
	b.entries[e.ID] = heardEntry{entry: e, at: now, direct: true}
	if !known || old.entry.Ready != e.Ready {
		b.wake()
	}
}

// Gossiped takes in what another core instance tells, and reports whether its
// list is newer than the one held and has to be fetched.
func (b *Board) Gossiped(now time.Time, g Gossip) (fetch bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cores[g.From.ID] = heardCore{core: g.From, at: now}
	for _, e := range g.Entries {
		at := now.Add(-time.Duration(e.AgeMillis) * time.Millisecond)
		old, known := b.entries[e.ID]
		if known && !at.After(old.at) {
			continue
		}
		if e.Region != b.self.Region {
			e.Loads = nil
		}
		b.entries[e.ID] = heardEntry{entry: e, at: at}
		if !known || old.entry.Ready != e.Ready {
			b.wake()
		}
	}
	if g.From.Region != b.self.Region {
		b.sums[g.From.Region] = heardSums{sums: g.Regions, at: now}
	}
	if g.Digest == 0 {
		return false
	}
	at := now.Add(-time.Duration(g.ListAgeMillis) * time.Millisecond)
	if !at.After(b.list.ReadAt) {
		return false
	}
	if g.Digest == b.list.Digest {
		b.list.ReadAt, b.own = at, false
		return false
	}
	return true
}

// Listed takes in a reading of the platform's list; own says that this instance
// has read it.
func (b *Board) Listed(l List, own bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !l.ReadAt.After(b.list.ReadAt) {
		return
	}
	differs := l.Digest != b.list.Digest
	b.list, b.own = l, own
	if differs {
		b.wake()
	}
}

// List returns the newest reading.
func (b *Board) List() List {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list
}

// Cores lists the core instances that were heard lately, this one included, in
// the order of their ids.
func (b *Board) Cores(now time.Time) []Core {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.liveCores(now)
}

func (b *Board) liveCores(now time.Time) []Core {
	out := []Core{b.self}
	for id, h := range b.cores {
		if now.Sub(h.at) < CoreLife {
			out = append(out, h.core)
		} else {
			delete(b.cores, id)
		}
	}
	slices.SortFunc(out, func(x, y Core) int { return strings.Compare(x.ID, y.ID) })
	return out
}

// Rank is the place of this instance among the live core instances, 0 first.
func (b *Board) Rank(now time.Time) int {
	return slices.IndexFunc(b.Cores(now), func(c Core) bool { return c.ID == b.self.ID })
}

// Fill completes the answer to a report.
func (b *Board) Fill(now time.Time, r Report, u *Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u.ListAgeMillis = -1
	if !b.list.ReadAt.IsZero() {
		u.ListAgeMillis, u.Digest = now.Sub(b.list.ReadAt).Milliseconds(), b.list.Digest
		if u.Digest != r.Digest {
			u.Targets = b.list.Targets
		}
	}
	u.Cores = b.liveCores(now)
	for _, e := range b.liveEntries(now) {
		if e.entry.ID != r.Self.ID {
			u.Entries = append(u.Entries, e.entry)
		}
	}
	for region, h := range b.sums {
		if now.Sub(h.at) < CoreLife && region != r.Self.Region {
			u.Regions = append(u.Regions, h.sums...)
		}
	}
	if r.Self.Region != b.self.Region {
		u.Regions = append(u.Regions, b.summarize(now)...)
	}
}

// Entries lists the entry instances that were heard lately.
func (b *Board) Entries(now time.Time) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Entry
	for _, e := range b.liveEntries(now) {
		out = append(out, e.entry)
	}
	return out
}

func (b *Board) liveEntries(now time.Time) []heardEntry {
	var out []heardEntry
	for id, e := range b.entries {
		if now.Sub(e.at) < EntryLife {
			out = append(out, e)
		} else {
			delete(b.entries, id)
		}
	}
	slices.SortFunc(out, func(x, y heardEntry) int { return strings.Compare(x.entry.ID, y.entry.ID) })
	return out
}

// summarize sums up the loads of the entry instances of the own region.
func (b *Board) summarize(now time.Time) []Summary {
	services := map[string]string{}
	for _, t := range b.list.Targets {
		if t.Region == b.self.Region {
			services[t.ID] = t.Service
		}
	}
	sums := map[string]*Summary{}
	for _, e := range b.liveEntries(now) {
		if e.entry.Region != b.self.Region {
			continue
		}
		for _, l := range e.entry.Loads {
			name := services[l.Target]
			if name == "" {
				continue
			}
			if sums[name] == nil {
				sums[name] = &Summary{Region: b.self.Region, Service: name}
			}
			sums[name].Running += l.Running
			sums[name].Unread += l.Unread
		}
	}
	var out []Summary
	for _, s := range sums {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(x, y Summary) int { return strings.Compare(x.Service, y.Service) })
	return out
}

// Gossip is what this instance tells another one: the entry instances that report
// here, with their loads only inside the region, and its own reading of the list.
func (b *Board) Gossip(now time.Time, to Core) Gossip {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := Gossip{From: b.self, Regions: b.summarize(now)}
	for _, h := range b.liveEntries(now) {
		if !h.direct {
			continue
		}
		e := h.entry
		e.AgeMillis = now.Sub(h.at).Milliseconds()
		if to.Region != b.self.Region {
			e.Loads = nil
		}
		g.Entries = append(g.Entries, e)
	}
	if b.own {
		g.Digest, g.ListAgeMillis = b.list.Digest, now.Sub(b.list.ReadAt).Milliseconds()
	}
	return g
}

// maxAddresses bounds the addresses named to one caller.
const maxAddresses = 64

// CallerAddresses are those of the ready entries of a region, as a region serves its
// own callers. Where it has none they are those of the regions that allowed accepts,
// and else of all: the requests of a caller may be bound to a few regions, and what
// crosses to another one crosses for nothing.
func CallerAddresses(entries []Entry, region string, allowed func(region string) bool) []string {
	var own, home, all []string
	for _, e := range entries {
		if !e.Ready {
			continue
		}
		all = append(all, e.Callers)
		if e.Region == region {
			own = append(own, e.Callers)
		}
		if allowed(e.Region) {
			home = append(home, e.Callers)
		}
	}
	for _, list := range [][]string{own, home, all} {
		if len(list) > 0 {
			return list[:min(len(list), maxAddresses)]
		}
	}
	return nil
}
