// Package suspect keeps one request from killing target after target.
//
// Now and then a request crashes each target that runs it, and its caller
// sends it again under a new request id. The digest of its normalised body
// (without ids) is the same each time. A Table remembers which digests were in
// flight at a crash. Digests only: no body, caller or workspace is kept.
//
// # Rules
//
// All digests in flight at a target that crashes become suspects of that
// crash. A suspect runs alone, on a target that runs nothing else, or waits.
// A digest that is a suspect of two crashes, or was alone in one, is
// quarantined: it is refused until its entry expires.
//
//   - A digest that finishes anywhere is cleared: a killer never finishes. For
//     FinishedTTL it is not suspected of any other crash either, here or by
//     what others tell here.
//   - A crash with a quarantined digest in it is explained, and its other
//     suspects are cleared of it: they shared the batch by chance.
//   - A planned shutdown is no crash and makes no suspects.
//
// # Why at most two targets are lost
//
// After the first crash the killer is a suspect at every instance that merged
// it, so its next run is alone; if it crashes that target too it is
// quarantined everywhere that merged it. This needs three things of the host:
//
//   - It publishes the suspects of a crash to the region's instances before it
//     ends or retries the requests that were in flight. A resend comes after
//     that, so whoever takes it knows.
//   - A lone run is reserved at the one owner in the region (Reserve), so that
//     two copies of a suspect don't each kill a target. No owner, no run.
//   - It names a crash the same at all instances (Crash).
//
// # What this can't do
//
// Copies that run at several targets at the moment of the first crash can kill
// all of those. An instance that is cut off from the others of its region, but
// not from targets and callers, learns of no suspects: each such side can lose
// its own two. Two killers in one batch: the first one found explains the
// crash and clears the other, which then can kill two more; it loses three
// targets, one of them shared. Without that rule each of a batch's innocents
// would need a lone run. Innocents that were in flight at two crashes and have
// finished at no instance lately are refused until one copy finishes or the
// entry expires. Entries don't cross regions: each region can lose two.
package suspect

import (
	"cmp"
	"slices"
	"time"
)

// Digest of a normalised request body without ids: the first half of a SHA-256.
type Digest [16]byte

// Crash names the end of one life of a target, alike at all instances.
type Crash struct {
	Target string `cbor:"1,keyasint"`
	// Incarnation is the target's start as the region's poller numbers it.
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Attempt names one sending at this instance.
type Attempt uint64

// Decision is what may be done with a request.
type Decision uint8

const (
	// Run it as any other.
	Run Decision = iota
	// RunAlone on a target that runs nothing else, after Reserve.
	RunAlone
	// Refuse it: it is quarantined.
	Refuse
)

// Status is how a digest stands to a crash. It only rises.
type Status uint8

const (
	// Suspected of the crash, among others.
	Suspected Status = iota
	// Alone in the crash: it is the cause.
	Alone
	// Cleared of the crash.
	Cleared
)

// Entry is what instances tell each other about one digest and one crash.
type Entry struct {
	Digest Digest    `cbor:"1,keyasint"`
	Crash  Crash     `cbor:"2,keyasint"`
	Status Status    `cbor:"3,keyasint,omitempty"`
	Until  time.Time `cbor:"4,keyasint"`
}

// Config bounds a Table.
type Config struct {
	// Lifetime of an entry, and so of a quarantine.
	Lifetime time.Duration
	// MaxEntries held; beyond that cleared ones go first, and of equals the one
	// that expires first.
	MaxEntries int
	// FinishedTTL is how long a digest is remembered that has finished here.
	FinishedTTL time.Duration
	// MaxFinished is how many of them are remembered at least; beyond twice as
	// many the oldest are forgotten.
	MaxFinished int
}

// DefaultConfig keeps a day of entries in about a megabyte.
func DefaultConfig() Config {
	return Config{Lifetime: 24 * time.Hour, MaxEntries: 8192, FinishedTTL: 10 * time.Minute, MaxFinished: 1024}
}

// Table is one instance's knowledge of suspects. The one of the region's owner
// serves Reserve as well. It has a single owner.
type Table struct {
	cfg      Config
	inFlight map[Attempt]sent
	digests  map[Digest]map[Crash]*entry
	// crashes lists the digests that have an entry of a crash.
	crashes map[Crash][]Digest
	// reserved is until when the lone run of a digest is taken.
	reserved map[Digest]time.Time
	finished finished
	// count is the number of entries in digests.
	count   int
	evicted uint64
}

type sent struct {
	digest Digest
	target string
	alone  bool
}

type entry struct {
	standing Status
	until    time.Time
}

// New makes an empty table.
func New(cfg Config) *Table {
	return &Table{
		cfg: cfg, inFlight: make(map[Attempt]sent), digests: make(map[Digest]map[Crash]*entry),
		crashes: make(map[Crash][]Digest), reserved: make(map[Digest]time.Time),
	}
}

// Len is the number of entries held.
func (t *Table) Len() int { return t.count }

// Evicted counts entries given up for MaxEntries. Suspects among them may kill
// again, so a count that grows asks for a larger bound.
func (t *Table) Evicted() uint64 { return t.evicted }

// Decide says what may be done with a request now.
func (t *Table) Decide(d Digest) Decision {
	switch suspected, alone := t.score(d); {
	case alone || suspected >= 2:
		return Refuse
	case suspected == 1:
		return RunAlone
	}
	return Run
}

func (t *Table) score(d Digest) (suspected int, alone bool) {
	for _, e := range t.digests[d] {
		switch e.standing {
		case Suspected:
			suspected++
		case Alone:
			alone = true
		}
	}
	return suspected, alone
}

// Reserve asks the owner's table for the one lone run of a suspect in the
// region until a time at the latest; Release gives it back.
func (t *Table) Reserve(now time.Time, d Digest, until time.Time) bool {
	if t.Decide(d) != RunAlone || now.Before(t.reserved[d]) {
		return false
	}
	t.reserved[d] = until
	return true
}

// Release ends a reservation once its run has ended and, if it crashed, the
// entries of the crash were merged here.
func (t *Table) Release(d Digest) { delete(t.reserved, d) }

// Sent records a sending of this instance to a target. alone says that the
// target runs nothing else, of any instance.
func (t *Table) Sent(a Attempt, d Digest, target string, alone bool) {
	t.inFlight[a] = sent{digest: d, target: target, alone: alone}
}

// Ended records that a sending ended without a crash of its target. If it
// finished with a whole answer its digest is cleared of all it was suspected
// of. The entries returned are to be published.
func (t *Table) Ended(now time.Time, a Attempt, finished bool) []Entry {
	s, ok := t.inFlight[a]
	delete(t.inFlight, a)
	if !ok || !finished {
		return nil
	}
	return t.Finished(now, s.digest)
}

// Finished records that a digest ended with a whole answer, without a sending
// that was recorded before. The entries returned are to be published.
func (t *Table) Finished(now time.Time, d Digest) []Entry {
	t.finished.add(now, d, t.cfg.MaxFinished)
	var out []Entry
	for c, e := range t.digests[d] {
		if e.standing != Cleared {
			out = append(out, Entry{d, c, Cleared, now.Add(t.cfg.Lifetime)})
		}
	}
	return t.Merge(now, out)
}

// Crashed records that a target died unplanned. All that this instance had in
// flight there become suspects. The entries returned are to be published
// before any of those requests is ended or retried.
func (t *Table) Crashed(now time.Time, c Crash) []Entry {
	var out []Entry
	for _, s := range t.takeFrom(c.Target) {
		e := Entry{Digest: s.digest, Crash: c, Until: now.Add(t.cfg.Lifetime)}
		if s.alone {
			e.Status = Alone
		}
		out = append(out, e)
	}
	return t.Merge(now, out)
}

// Stopped records a planned shutdown of a target: nobody is suspected.
func (t *Table) Stopped(target string) { t.takeFrom(target) }

func (t *Table) takeFrom(target string) []sent {
	var out []sent
	for a, s := range t.inFlight {
		if s.target == target {
			out = append(out, s)
			delete(t.inFlight, a)
		}
	}
	return out
}

// Merge takes entries of this or another instance, in any order and any number
// of times, and returns those that told something new, together with what
// follows from them. The host publishes what is returned: a crash that is
// explained at one instance before it is at another leaves them apart until
// then. Tables that exchanged all of it decide alike.
func (t *Table) Merge(now time.Time, entries []Entry) []Entry {
	var news []Entry
	for _, e := range entries {
		if !now.Before(e.Until) || !t.raise(e) {
			continue
		}
		news = append(news, e)
		if innocent := (Entry{e.Digest, e.Crash, Cleared, e.Until}); e.Status == Suspected && t.finishedLately(now, e.Digest) && t.raise(innocent) {
			news = append(news, innocent)
		}
	}
	for _, e := range slices.Clone(news) {
		news = append(news, t.explain(now, e.Digest)...)
		// A crash that was explained before this suspect of it was heard of.
		for _, other := range slices.Clone(t.crashes[e.Crash]) {
			news = append(news, t.explain(now, other)...)
		}
	}
	t.bound()
	return news
}

// raise joins an entry with what is held and reports whether that changed.
func (t *Table) raise(e Entry) bool {
	held := t.digests[e.Digest]
	if held == nil {
		held = make(map[Crash]*entry)
		t.digests[e.Digest] = held
	}
	if old := held[e.Crash]; old != nil {
		if e.Status <= old.standing {
			return false
		}
		old.standing = e.Status
		old.until = later(old.until, e.Until)
		return true
	}
	held[e.Crash] = &entry{standing: e.Status, until: e.Until}
	t.crashes[e.Crash] = append(t.crashes[e.Crash], e.Digest)
	t.count++
	return true
}

// explain clears what shared a crash with a quarantined digest.
func (t *Table) explain(now time.Time, d Digest) []Entry {
	if t.Decide(d) != Refuse {
		return nil
	}
	var news []Entry
	for c, e := range t.digests[d] {
		if e.standing == Cleared {
			continue
		}
		for _, other := range t.crashes[c] {
			if other == d || t.Decide(other) == Refuse {
				continue
			}
			cleared := Entry{other, c, Cleared, now.Add(t.cfg.Lifetime)}
			if t.raise(cleared) {
				news = append(news, cleared)
			}
		}
	}
	return news
}

// Entries returns all that is held, sorted, for a peer that has just joined.
func (t *Table) Entries() []Entry {
	out := make([]Entry, 0, t.count)
	for d, held := range t.digests {
		for c, e := range held {
			out = append(out, Entry{d, c, e.standing, e.until})
		}
	}
	slices.SortFunc(out, compareEntries)
	return out
}

func compareEntries(a, b Entry) int {
	return cmp.Or(
		slices.Compare(a.Digest[:], b.Digest[:]),
		cmp.Compare(a.Crash.Target, b.Crash.Target),
		cmp.Compare(a.Crash.Incarnation, b.Crash.Incarnation),
	)
}

// Expire forgets entries and reservations whose time is over.
func (t *Table) Expire(now time.Time) {
	for d, held := range t.digests {
		for c, e := range held {
			if !now.Before(e.until) {
				t.forget(d, c)
			}
		}
	}
	for d, until := range t.reserved {
		if !now.Before(until) {
			delete(t.reserved, d)
		}
	}
}

// bound gives entries up until MaxEntries are left: cleared ones before
// others, then those that expire first.
func (t *Table) bound() {
	over := t.count - t.cfg.MaxEntries
	if over <= 0 {
		return
	}
	all := t.Entries()
	slices.SortStableFunc(all, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(evictionRank(a), evictionRank(b)), a.Until.Compare(b.Until))
	})
	for _, e := range all[:over] {
		t.forget(e.Digest, e.Crash)
		t.evicted++
	}
}

func evictionRank(e Entry) int {
	if e.Status == Cleared {
		return 0
	}
	return 1
}

func (t *Table) forget(d Digest, c Crash) {
	held := t.digests[d]
	delete(held, c)
	t.count--
	if len(held) == 0 {
		delete(t.digests, d)
	}
	left := slices.DeleteFunc(t.crashes[c], func(o Digest) bool { return o == d })
	t.crashes[c] = left
	if len(left) == 0 {
		delete(t.crashes, c)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
