package feed

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gullhaven/gullhaven/route/pick"
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
	// newcomerGap is the least time between two wakes for entry instances that come:
	// hundreds come within a second of a start, and each wake is an answer to each of
	// them. A report ends by itself within 200 ms, so that nobody hears of one much later.
	newcomerGap = 200 * time.Millisecond
	// answerGap is the time between two answers of a core instance that reports and wakes for
	// entry instances are spread by: 1,000 answers a second take some tenth of a core.
	answerGap = time.Millisecond
	// mostWait bounds ReportWait: an entry instance must be heard well within EntryLife.
	mostWait = time.Second
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
	// divided are the groups of the own region's targets; nil until they are asked for.
	divided map[string]pick.Group
	// own says that list was read by this instance.
	own bool
	// calls is how many calls of the platform the newest reading took.
	calls   int
	changed chan struct{}
	// newcomerAt is when entry instances that came last ended the waits.
	newcomerAt time.Time
	// wokenAt is when the waits were ended last. wakeDue says that an entry instance has
	// left or begun to leave since, of which nobody was woken to hear yet.
	wokenAt time.Time
	wakeDue bool
	// reporters is how many entry instances reported here lately.
	reporters int
	// round is what the answers of a moment have in common; nil if something changed.
	round *round
	// changes of the entry instances, as told.
	changes changes
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
	read  []Read
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

// NewBoard makes an empty board. epoch is another one at each start of the instance.
func NewBoard(self Core, epoch uint64) *Board {
	return &Board{
		self: self, cores: map[string]heardCore{}, entries: map[string]heardEntry{},
		sums: map[string]heardSums{}, changed: make(chan struct{}), told: map[listKey]toldNews{},
		changes: changes{epoch: epoch, shown: map[string]shownEntry{}},
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
	b.changed, b.round, b.wakeDue = make(chan struct{}), nil, false
}

// WakeDue ends the waits where an entry instance has left and the last wake is long enough
// ago for the answers to it to have been given. Call it every few milliseconds.
//
// What goes wrong where each of them ends the waits at once: when a sixth of a thousand
// instances restart within seconds, each of their ends and begins is a thousand answers.
func (b *Board) WakeDue(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wakeIfDue(now)
}

func (b *Board) wakeIfDue(now time.Time) {
	if b.wakeDue && now.Sub(b.wokenAt) >= b.spread() {
		b.wokenAt = now
		b.wake()
	}
}

// spread is how long answers to all that report here take.
func (b *Board) spread() time.Duration { return time.Duration(b.reporters) * answerGap }

// ReportWait is how long a report may be held back, of which least was asked for: the more
// report here, the longer.
func (b *Board) ReportWait(least time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(least, min(mostWait, b.spread()))
}

// wakeFor ends the waits where an entry instance has changed: one that leaves must not
// be named any more.
func (b *Board) wakeFor(now time.Time, old Entry, known bool, e Entry) {
	switch {
	case known && old.Ready == e.Ready && old.Leaving == e.Leaving:
		return
	case known && (old.Ready || old.Leaving):
	case now.Sub(b.newcomerAt) < newcomerGap:
		return
	default:
		b.newcomerAt = now
	}
	b.wakeDue, b.round = true, nil
	b.wakeIfDue(now)
}

// Reported takes in the report of an entry instance.
func (b *Board) Reported(now time.Time, e Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, known := b.entries[e.ID]
	b.entries[e.ID] = heardEntry{entry: e, at: now, direct: true}
	b.wakeFor(now, old.entry, known, e)
}

// comparedAfter is how old the news of an entry instance must be for its brief report to a
// core instance that it does not follow to be handed on by that: the followed one may be cut
// off from the others.
const comparedAfter = 1500 * time.Millisecond

// Compared takes in the brief report of an entry instance that follows another core instance,
// which tells of it as a rule.
//
// What goes wrong where each of them is handed on: an instance asks all core instances in
// turn, so each core instance tells all others of most entry instances, again and again.
func (b *Board) Compared(now time.Time, e Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, known := b.entries[e.ID]
	if known && now.Sub(old.at) < comparedAfter && old.entry.same(&e) {
		return
	}
	b.entries[e.ID] = heardEntry{entry: e, at: now, direct: true}
	b.wakeFor(now, old.entry, known, e)
}

// Gossiped takes in what another core instance tells, and reports whether its
// list is newer than the one held and has to be taken from its news or fetched.
func (b *Board) Gossiped(now time.Time, g Gossip) (fetch bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cores[g.From.ID] = heardCore{core: g.From, at: now, loads: g.Loads, read: g.Read}
	for _, e := range g.Entries {
		at := now.Add(-time.Duration(e.AgeMillis) * time.Millisecond)
		old, known := b.entries[e.ID]
		if known && !at.After(old.at) {
			continue
		}
		b.entries[e.ID] = heardEntry{entry: e, at: at}
		b.wakeFor(now, old.entry, known, e)
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
	b.calls = g.Calls
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
	b.list, b.own, b.told, b.divided = l, own, map[listKey]toldNews{}, nil
	b.wake()
}

// division tells the groups of the own region's targets.
func (b *Board) division() map[string]pick.Group {
	if b.divided != nil {
		return b.divided
	}
	ids := map[string][]string{}
	for _, t := range b.list.Targets {
		if t.Region == b.self.Region {
			ids[t.Service] = append(ids[t.Service], t.ID)
		}
	}
	b.divided = map[string]pick.Group{}
	for service, of := range ids {
		maps.Copy(b.divided, pick.AssignGroups(service, of))
	}
	return b.divided
}

// ReadTook notes how many calls the last reading of this instance took.
func (b *Board) ReadTook(calls int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = calls
}

// Calls is how many calls the newest reading took, here or at another core instance.
func (b *Board) Calls() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.calls
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
