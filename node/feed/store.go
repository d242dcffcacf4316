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

// Lifetimes of reported state, and intervals of updates.
const (
	// EntryTTL is how long an entry instance counts as alive after its last report, beyond the time
	// by which reports are held back longer: a lost report or a slow core instance removes none. It
	// is well under the 9 s for which a dead instance may still be given to callers.
	EntryTTL = 2500 * time.Millisecond
	// CoreTTL is the same for core instances.
	CoreTTL = 3 * time.Second
	// joinWakeInterval is the minimum time between two wake-ups for joining entry instances:
	// hundreds may join within a second of a start, and each wake-up is an answer to each of them.
	// A report ends by itself within 200 ms, so that none learns of a new one much later.
	joinWakeInterval = 200 * time.Millisecond
	// answerInterval is the time that a core instance allows for each answer when it spreads
	// reports and wake-ups: 1,000 answers a second take about a tenth of a core.
	answerInterval = time.Millisecond
	// usualReportWait is how long the answer to a report usually waits.
	usualReportWait = 200 * time.Millisecond
	// maxReportWait bounds ReportWait: entry instances must report well within EntryTTL.
	maxReportWait = time.Second
)

// Store is the state that a core instance holds and that expires. It is safe for concurrent use;
// the time is passed in.
type Store struct {
	self Core

	mu         sync.Mutex
	cores      map[string]coreRecord
	entries    map[string]entryRecord
	regionSums map[string]regionRecord
	list       List
	// olderLists are the lists before list, newest last; updates may be based on them.
	olderLists []List
	// encodedUpdates caches the updates from each of them to list, by region.
	encodedUpdates map[updateKey]encodedUpdate
	suspects       suspectLog
	// groups are those of the targets in the own region; nil until they are needed.
	groups map[string]pick.Group
	// software counts the listed targets by version; nil until it is needed.
	software map[regionService]map[string]int
	// listReadHere says that this instance has read list from the platform.
	listReadHere bool
	// readCalls is the number of platform calls that the newest reading took.
	readCalls int
	changed   chan struct{}
	// lastJoinWake is when joining entry instances last caused a wake-up.
	lastJoinWake time.Time
	// lastWake is when an entry instance last caused a wake-up. wakePending says that since then
	// one has left or begun to leave, and that no waiting report was woken for it yet.
	lastWake    time.Time
	wakePending bool
	// reporters is the number of entry instances that recently reported here.
	reporters int
	// invalidCapacities is the number of reports whose capacity was ignored.
	invalidCapacities int
	// aggregate holds the common parts of current answers; nil if something changed.
	aggregate *aggregate
	// changes are those of the entry instances.
	changes changeLog
}

// encodedUpdate is an encoded ListUpdate and when it was encoded.
type encodedUpdate struct {
	data      cbor.RawMessage
	encodedAt time.Time
}

// encodedUpdateTTL is how long an encoded update is reused: the remaining cold times in it are too
// long by up to that much, which is the safe side.
const encodedUpdateTTL = 200 * time.Millisecond

type updateKey struct {
	from   uint64
	region string
}

type coreRecord struct {
	core       Core
	receivedAt time.Time
	// loads are those of the entry instances that report there, if it is in the own region.
	loads       []Load
	prefillSums []PrefillSums
}

type entryRecord struct {
	entry      Entry
	reportedAt time.Time
	// direct says that the instance itself reported here.
	direct bool
}

type regionRecord struct {
	sums       []Summary
	receivedAt time.Time
}

// NewStore returns an empty store. epoch must differ at each start of the instance.
func NewStore(self Core, epoch uint64) *Store {
	return &Store{
		self: self, cores: map[string]coreRecord{}, entries: map[string]entryRecord{},
		regionSums: map[string]regionRecord{}, changed: make(chan struct{}), encodedUpdates: map[updateKey]encodedUpdate{},
		changes: changeLog{epoch: epoch, published: map[string]publishedEntry{}},
	}
}

// Changed returns a channel that is closed at the next change that entry instances should learn of
// at once.
func (st *Store) Changed() <-chan struct{} {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.changed
}

// Wake closes the channel that Changed returned.
func (st *Store) Wake() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.wake()
}

func (st *Store) wake() {
	close(st.changed)
	st.changed, st.aggregate, st.wakePending = make(chan struct{}), nil, false
}

// WakeIfDue wakes waiting reports if an entry instance has left, or there are new suspects, and the last wake-up is long enough
// ago for all answers to it to be sent. Call it every few milliseconds.
//
// If each departure woke them at once, when a sixth of a thousand instances restart within seconds
// each of their stops and starts would cause a thousand answers.
func (st *Store) WakeIfDue(now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.wakeIfPending(now)
}

func (st *Store) wakeIfPending(now time.Time) {
	if st.wakePending && now.Sub(st.lastWake) >= st.answerTime() {
		st.lastWake = now
		st.wake()
	}
	if st.suspects.wakeDue(now, st.answerTime()) {
		st.wake()
	}
}

// answerTime is how long answers to all entry instances that report here take.
func (st *Store) answerTime() time.Duration { return time.Duration(st.reporters) * answerInterval }

// ReportWait returns how long a report may be held back: as long as its sender asked for, or longer
// the more instances report here, up to maxReportWait.
func (st *Store) ReportWait(asked time.Duration) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return max(asked, min(maxReportWait, st.answerTime()))
}

// wakeForChange wakes waiting reports if an entry instance has changed: one that is leaving must no
// longer be given to callers.
func (st *Store) wakeForChange(now time.Time, old Entry, known bool, e Entry) {
	switch {
	case known && old.Ready == e.Ready && old.Leaving == e.Leaving:
		return
	case known && (old.Ready || old.Leaving):
	case now.Sub(st.lastJoinWake) < joinWakeInterval:
		return
	default:
		st.lastJoinWake = now
	}
	st.wakePending, st.aggregate = true, nil
	st.wakeIfPending(now)
}

// AddReport stores the report of an entry instance that follows this core instance.
func (st *Store) AddReport(now time.Time, e Entry) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.checkCapacity(&e)
	old, known := st.entries[e.ID]
	st.entries[e.ID] = entryRecord{entry: e, reportedAt: now, direct: true}
	st.wakeForChange(now, old.entry, known, e)
}

// checkCapacity makes an invalid capacity unknown.
//
// A stored value that is not a number would differ from itself in each comparison: the entry would
// be sent to all others as changed, again for each answer.
func (st *Store) checkCapacity(e *Entry) {
	if !ValidCapacity(e.Capacity) {
		e.Capacity = 0
		st.invalidCapacities++
	}
}

// InvalidCapacities returns the number of reports whose capacity was ignored as invalid.
func (st *Store) InvalidCapacities() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.invalidCapacities
}

// comparisonMinAge is how old the last report of an entry instance must be for a core instance that
// it does not follow to forward its brief report: the followed one may be partitioned from the
// others.
const comparisonMinAge = 1500 * time.Millisecond

// AddComparison stores the brief report of an entry instance that follows another core instance,
// which usually forwards its reports.
//
// If each of them were forwarded, since an instance compares with all core instances in turn, each
// core instance would repeatedly send most entry instances to all others.
func (st *Store) AddComparison(now time.Time, e Entry) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.checkCapacity(&e)
	old, known := st.entries[e.ID]
	if known && now.Sub(old.reportedAt) < comparisonMinAge && old.entry.samePublished(&e) {
		return
	}
	st.entries[e.ID] = entryRecord{entry: e, reportedAt: now, direct: true}
	st.wakeForChange(now, old.entry, known, e)
}

// MergeGossip merges the message of another core instance. It reports whether that one's list is
// newer than the one held, so that the caller must take it from the message's update or fetch it.
func (st *Store) MergeGossip(now time.Time, g Gossip) (fetch bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.cores[g.From.ID] = coreRecord{core: g.From, receivedAt: now, loads: g.Loads, prefillSums: g.PrefillSums}
	for _, e := range g.Entries {
		at := now.Add(-time.Duration(e.AgeMillis) * time.Millisecond)
		old, known := st.entries[e.ID]
		if known && !at.After(old.reportedAt) {
			continue
		}
		st.checkCapacity(&e)
		st.entries[e.ID] = entryRecord{entry: e, reportedAt: at}
		st.wakeForChange(now, old.entry, known, e)
	}
	if g.From.Region != st.self.Region {
		st.regionSums[g.From.Region] = regionRecord{sums: g.Regions, receivedAt: now}
	}
	if g.ListDigest == 0 {
		return false
	}
	at := now.Add(-time.Duration(g.ListAgeMillis) * time.Millisecond)
	if !at.After(st.list.ReadAt) {
		return false
	}
	st.readCalls = g.ReadCalls
	if g.ListDigest == st.list.Digest {
		st.list.ReadAt, st.listReadHere = at, false
		return false
	}
	return true
}

// SetList stores a reading of the platform's list unless a newer one is held, and wakes waiting
// reports if the targets differ. readHere says that this instance has read it.
func (st *Store) SetList(l List, readHere bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if !l.ReadAt.After(st.list.ReadAt) {
		return
	}
	if l.Digest == st.list.Digest {
		st.list.ReadAt, st.listReadHere = l.ReadAt, readHere
		return
	}
	st.olderLists = append(st.olderLists, st.list)
	st.olderLists = st.olderLists[max(0, len(st.olderLists)-maxOlderLists):]
	st.list, st.listReadHere, st.encodedUpdates, st.groups, st.software = l, readHere, map[updateKey]encodedUpdate{}, nil, nil
	st.wake()
}

// targetGroups returns the groups of the targets in the own region by target ID.
func (st *Store) targetGroups() map[string]pick.Group {
	if st.groups != nil {
		return st.groups
	}
	byService := map[string][]string{}
	for _, t := range st.list.Targets {
		if t.Region == st.self.Region {
			byService[t.Service] = append(byService[t.Service], t.ID)
		}
	}
	st.groups = map[string]pick.Group{}
	for service, ids := range byService {
		maps.Copy(st.groups, pick.AssignGroups(service, ids))
	}
	return st.groups
}

// SetReadCalls stores the number of platform calls that the last reading of this instance took.
func (st *Store) SetReadCalls(calls int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.readCalls = calls
}

// ReadCalls returns the number of platform calls that the newest reading took, here or at another
// core instance.
func (st *Store) ReadCalls() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.readCalls
}

// List returns the newest reading. Do not change it.
func (st *Store) List() List {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.list
}

// Cores returns the core instances that are alive, this one included, in the order of their IDs.
func (st *Store) Cores(now time.Time) []Core {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.liveCores(now)
}

func (st *Store) liveCores(now time.Time) []Core {
	out := []Core{st.self}
	for id, h := range st.cores {
		if now.Sub(h.receivedAt) < CoreTTL {
			out = append(out, h.core)
		} else {
			delete(st.cores, id)
		}
	}
	slices.SortFunc(out, func(x, y Core) int { return strings.Compare(x.ID, y.ID) })
	return out
}

// Rank returns the index of this instance among the live core instances, from 0.
func (st *Store) Rank(now time.Time) int {
	return slices.IndexFunc(st.Cores(now), func(c Core) bool { return c.ID == st.self.ID })
}

// Entries returns the entry instances that are alive, in the order of their IDs.
func (st *Store) Entries(now time.Time) []Entry {
	st.mu.Lock()
	defer st.mu.Unlock()
	var out []Entry
	for _, e := range st.liveEntries(now) {
		out = append(out, e.entry)
	}
	return out
}

// entryTTL is EntryTTL, and longer while reports are held back longer than usual: one that is lost is
// followed by another one that is held back.
func (st *Store) entryTTL() time.Duration {
	return EntryTTL + 2*max(0, min(maxReportWait, st.answerTime())-usualReportWait)
}

func (st *Store) liveEntries(now time.Time) []entryRecord {
	var out []entryRecord
	ttl := st.entryTTL()
	for id, e := range st.entries {
		if now.Sub(e.reportedAt) < ttl {
			out = append(out, e)
		} else {
			delete(st.entries, id)
		}
	}
	slices.SortFunc(out, func(x, y entryRecord) int { return strings.Compare(x.entry.ID, y.entry.ID) })
	return out
}
