package feed

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/gullhaven/gullhaven/coord/suspect"
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
	// suspectLife is how long suspects are told again: several reports and gossips, so
	// that a lost message matters to nobody.
	suspectLife = 3 * time.Second
	// maxSuspects bounds them, 60 bytes each.
	maxSuspects = 512
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
	// older are lists before it, newest last; differences are told from them.
	older []List
	// told keeps the differences from each of them, by region.
	told     map[listKey]toldNews
	suspects []heardSuspect
	// own says that list was read by this instance.
	own     bool
	changed chan struct{}
}

// toldNews are encoded news and when they were.
type toldNews struct {
	data cbor.RawMessage
	at   time.Time
}

// toldLife is how long encoded news are told again: what is left of cold times is that
// much too long, which is the safe side.
const toldLife = 200 * time.Millisecond

type listKey struct {
	from   uint64
	region string
}

type heardCore struct {
	core Core
	at   time.Time
	// loads are those of the entry instances that report there; of the own region only.
	loads []Load
}

type heardEntry struct {
	entry Entry
	at    time.Time
	// direct says that the instance itself reported here.
	direct bool
}

// heardSuspect is told again for suspectLife; those that were told by entry instances
// here go to other core instances too.
type heardSuspect struct {
	entry  suspect.Entry
	at     time.Time
	direct bool
}

// Suspected takes in requests that may crash their targets.
func (b *Board) Suspected(now time.Time, entries []suspect.Entry, direct bool) {
	if len(entries) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range entries {
		known := slices.ContainsFunc(b.suspects, func(h heardSuspect) bool { return h.entry == e })
		if !known && len(b.suspects) < maxSuspects {
			b.suspects = append(b.suspects, heardSuspect{entry: e, at: now, direct: direct})
		}
	}
	b.wake()
}

// lateSuspects are those that were heard within suspectLife.
func (b *Board) lateSuspects(now time.Time, directOnly bool) []suspect.Entry {
	b.suspects = slices.DeleteFunc(b.suspects, func(h heardSuspect) bool { return now.Sub(h.at) > suspectLife })
	var out []suspect.Entry
	for _, h := range b.suspects {
		if h.direct || !directOnly {
			out = append(out, h.entry)
		}
	}
	return out
}

type heardSums struct {
	sums []Summary
	at   time.Time
}

// NewBoard makes an empty board.
func NewBoard(self Core) *Board {
	return &Board{
		self: self, cores: map[string]heardCore{}, entries: map[string]heardEntry{},
		sums: map[string]heardSums{}, changed: make(chan struct{}), told: map[listKey]toldNews{},
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
	b.cores[g.From.ID] = heardCore{core: g.From, at: now, loads: g.Loads}
	for _, e := range g.Entries {
		at := now.Add(-time.Duration(e.AgeMillis) * time.Millisecond)
		old, known := b.entries[e.ID]
		if known && !at.After(old.at) {
			continue
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
	if l.Digest == b.list.Digest {
		b.list.ReadAt, b.own = l.ReadAt, own
		return
	}
	b.older = append(b.older, b.list)
	b.older = b.older[max(0, len(b.older)-keptLists):]
	b.list, b.own, b.told = l, own, map[listKey]toldNews{}
	b.wake()
}

// News tells what an instance that knows the list of a digest lacks, in one region or in
// all, as encoded ListNews; nil if it lacks nothing.
func (b *Board) News(now time.Time, known uint64, region string) cbor.RawMessage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.news(now, known, region)
}

func (b *Board) news(now time.Time, known uint64, region string) cbor.RawMessage {
	if b.list.Digest == 0 || known == b.list.Digest {
		return nil
	}
	from := List{}
	for _, l := range b.older {
		if l.Digest == known {
			from = l
		}
	}
	key := listKey{from.Digest, region}
	told, ok := b.told[key]
	if ok && now.Sub(told.at) < toldLife {
		return told.data
	}
	data, err := cbor.Marshal(news(from, b.list, region).sent(now))
	if err != nil {
		// Each field has a fixed type.
		panic("feed: news of a list cannot be encoded: " + err.Error())
	}
	b.told[key] = toldNews{data: data, at: now}
	return data
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

// Fill completes the answer to a report. evacuated are the zones that get nothing.
func (b *Board) Fill(now time.Time, r Report, evacuated map[string]uint64, u *Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u.ListAgeMillis = -1
	if !b.list.ReadAt.IsZero() {
		u.ListAgeMillis = now.Sub(b.list.ReadAt).Milliseconds()
		u.List = b.news(now, r.Digest, r.Self.Region)
	}
	u.Suspects = b.lateSuspects(now, false)
	u.Cores = b.liveCores(now)
	if entries, digest := b.others(now, r.Self.ID); digest != r.Entries {
		u.Entries, u.EntriesDigest = entries, digest
	}
	if r.Self.Region == b.self.Region {
		u.Near, u.Loads = true, b.sumLoads(now, r.Self.ID, true)
	}
	u.Regions = b.otherRegions(now, r.Self.Region, evacuated)
}

// otherRegions sums up what other regions than one have and do.
func (b *Board) otherRegions(now time.Time, but string, evacuated map[string]uint64) []Summary {
	type key struct{ region, service string }
	sums := map[key]Summary{}
	for _, t := range b.list.Targets {
		if t.Region == but || t.Draining || evacuated[t.Zone] != 0 || now.Before(t.ColdUntil) {
			continue
		}
		k := key{t.Region, t.Service}
		sum := sums[k]
		sums[k] = Summary{Region: t.Region, Service: t.Service, Targets: sum.Targets + 1, Slots: sum.Slots + t.Slots}
	}
	add := func(loads []Summary) {
		for _, l := range loads {
			k := key{l.Region, l.Service}
			if sum, ok := sums[k]; ok {
				sum.Running, sum.Unread = sum.Running+l.Running, sum.Unread+l.Unread
				sums[k] = sum
			}
		}
	}
	for _, h := range b.sums {
		if now.Sub(h.at) < CoreLife {
			add(h.sums)
		}
	}
	add(b.summarize(now))
	out := make([]Summary, 0, len(sums))
	for _, s := range sums {
		out = append(out, s)
	}
	slices.SortFunc(out, func(x, y Summary) int { return strings.Compare(x.Region+x.Service, y.Region+y.Service) })
	return out
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

// others are the entry instances but one, without loads, and their digest.
func (b *Board) others(now time.Time, but string) ([]Entry, uint64) {
	var out []Entry
	d := xxhash.New()
	for _, h := range b.liveEntries(now) {
		e := h.entry
		if e.ID == but {
			continue
		}
		e.Loads, e.AgeMillis = nil, 0
		out = append(out, e)
		for _, part := range []string{e.ID, e.Region, e.Zone, e.Callers, strconv.FormatBool(e.Ready)} {
			_, _ = d.WriteString(part)
			_, _ = d.Write([]byte{0})
		}
	}
	// 0 means that the asker knows none.
	return out, max(1, d.Sum64())
}

// sumLoads sums up what the entry instances of the own region have under way, but one:
// of those that report here, and with all of those that report to others too.
func (b *Board) sumLoads(now time.Time, but string, all bool) []Load {
	sums := map[string]Load{}
	add := func(loads []Load) {
		for _, l := range loads {
			sum := sums[l.Target]
			sums[l.Target] = Load{Target: l.Target, Running: sum.Running + l.Running, Unread: sum.Unread + l.Unread}
		}
	}
	for _, h := range b.liveEntries(now) {
		if h.direct && h.entry.Region == b.self.Region && h.entry.ID != but {
			add(h.entry.Loads)
		}
	}
	for _, h := range b.cores {
		if all && now.Sub(h.at) < CoreLife {
			add(h.loads)
		}
	}
	out := make([]Load, 0, len(sums))
	for _, l := range sums {
		out = append(out, l)
	}
	slices.SortFunc(out, func(x, y Load) int { return strings.Compare(x.Target, y.Target) })
	return out
}

// summarize sums up the loads of the own region by service.
func (b *Board) summarize(now time.Time) []Summary {
	services := map[string]string{}
	for _, t := range b.list.Targets {
		if t.Region == b.self.Region {
			services[t.ID] = t.Service
		}
	}
	sums := map[string]Summary{}
	for _, l := range b.sumLoads(now, "", true) {
		if name := services[l.Target]; name != "" {
			sum := sums[name]
			sums[name] = Summary{
				Region: b.self.Region, Service: name, Running: sum.Running + l.Running, Unread: sum.Unread + l.Unread,
			}
		}
	}
	var out []Summary
	for _, s := range sums {
		out = append(out, s)
	}
	slices.SortFunc(out, func(x, y Summary) int { return strings.Compare(x.Service, y.Service) })
	return out
}

// Gossip is what this instance tells another one: the entry instances that report
// here, inside the region their loads, and its own reading of the list.
func (b *Board) Gossip(now time.Time, to Core) Gossip {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := Gossip{From: b.self, Regions: b.summarize(now), Suspects: b.lateSuspects(now, true)}
	for _, h := range b.liveEntries(now) {
		if !h.direct {
			continue
		}
		e := h.entry
		e.Loads, e.AgeMillis = nil, now.Sub(h.at).Milliseconds()
		g.Entries = append(g.Entries, e)
	}
	if to.Region == b.self.Region {
		g.Loads = b.sumLoads(now, "", false)
	}
	if b.own {
		g.Digest, g.ListAgeMillis = b.list.Digest, now.Sub(b.list.ReadAt).Milliseconds()
	}
	return g
}

// maxAddresses bounds the addresses named to one caller.
const maxAddresses = 64

// CallerAddresses are those of the ready entries of a region, as a region serves its
// own callers. Where it has none they are those of the region of the largest weight, or
// of several of the same: a caller's requests may be bound to a few regions, and what
// comes to another one crosses for nothing.
func CallerAddresses(entries []Entry, region string, weight func(region string) int) []string {
	var own, others []string
	most := -1
	for _, e := range entries {
		if !e.Ready {
			continue
		}
		if e.Region == region {
			own = append(own, e.Callers)
			continue
		}
		w := weight(e.Region)
		if w > most {
			most, others = w, nil
		}
		if w == most {
			others = append(others, e.Callers)
		}
	}
	if len(own) > 0 {
		others = own
	}
	return others[:min(len(others), maxAddresses)]
}
