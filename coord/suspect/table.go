// Package suspect keeps a poison request from crashing target after target.
//
// A poison request crashes each target that runs it, and its caller sends it again
// under a new request id. The digest of its normalised body (without ids) is the same
// each time. A Table remembers which digests were in flight at a crash. It stores
// digests only: no body, caller or workspace.
//
// # Rules
//
// All digests in flight at a target that crashes become suspects of that
// crash. A suspect runs alone, on a target that runs nothing else, or waits.
// A digest that is a suspect of two crashes, or was alone in one, is
// quarantined: it is refused until its entry expires, or until a trial (below).
//
//   - A digest that finishes anywhere is cleared: a poison request never finishes.
//     It is not suspected of a later crash for FinishedTTL either, whether
//     recorded here or reported by others (of a few rounds, if the host reports them).
//   - A crash in which a digest was alone proves that it is the cause. It explains
//     the other crashes that the digest was in, and their other suspects are cleared
//     of these. A suspect of two crashes explains none: it may be innocent itself,
//     and would clear the cause.
//   - A planned shutdown is no crash and makes no suspects.
//
// # Requests of several parts
//
// What crashes a target may be a part that unlike requests share. A host names each request by several
// digests, its own and one of each part that others may share, and reports all of them. A complete
// answer proves all of them innocent. A digest that crashes targets is in each of its crashes, while
// the parts around it change: a suspect of more crashes that is quarantined explains the crashes that
// it shares with suspects of fewer, and these do not count against the others. The explanation holds only
// while it is quarantined, so nothing is lost if it turns out to be innocent. Suspects of as many
// crashes explain nothing of each other.
//
// # Hosts without lone runs
//
// A host whose targets cannot be held free reports crashes with the time at which the attempt was sent
// (ReportCrash). Crashes count by rounds: a crash is one round later than the crashes of the digest that
// its instance knew of when it sent the attempt. So copies that run at the same time, at targets which
// all lose power, count once, and no clocks are compared. With QuarantineAfter rounds a digest is
// quarantined. A poison digest crashes in each round as many targets as run it until all instances know
// of the round before, and not more than QuarantineAfter rounds that no other digest explains.
//
// # Trials
//
// Without lone runs an innocent digest can be quarantined by chance, and cannot finish any more. So
// after Config.TrialAfter one request may run (Trial, then ReserveAll). If it finishes, all its digests
// are cleared; if it crashes its target, the next trial of its quarantined digests is trialFactor times
// later. A request with several quarantined digests waits twice as long, so that a sound one with one of
// them comes first. While callers send a quarantined digest, Renew keeps its entries. So in a time T a
// poison digest gets at most one trial more than log(T/TrialAfter)/log(trialFactor), and an innocent
// one waits for TrialAfter if its trial ends well.
//
// # Why at most two targets are lost
//
// After the first crash the poison request is a suspect at every instance that
// merged it, so its next run is alone; if it crashes that target too it is
// quarantined everywhere that merged it. This needs three things of the host:
//
//   - It publishes the suspects of a crash to the region's instances before it
//     ends or retries the requests that were in flight. A resend comes after
//     that, so the instance that receives it knows.
//   - A lone run is reserved at the one owner in the region (Reserve), so that
//     two copies of a suspect don't each crash a target. No owner, no run.
//   - It names a crash the same at all instances (Crash).
//
// # Limits
//
// Copies that run at several targets at the moment of the first crash can crash
// all of those. An instance that is partitioned from the others of its region, but
// not from targets and callers, learns of no suspects: each such side can lose
// its own two. With two poison requests in one batch, the first one that is alone in
// a crash explains that of the batch and clears the other, which then can crash two
// more; it loses three targets, one of them shared. Without that rule each innocent
// request of a batch would need a lone run. Without trials, innocent requests that
// were in flight at two crashes and have finished at no instance recently are refused
// until one copy finishes or the entry expires. Entries don't cross regions: each region can lose two targets.
package suspect

import (
	"cmp"
	"encoding/hex"
	"maps"
	"slices"
	"time"
)

// Digest identifies a normalised request body without ids, by the first half of its SHA-256, or a part
// that requests may share.
type Digest [16]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Crash identifies the end of one incarnation of a target, the same at all instances.
type Crash struct {
	Target string `cbor:"1,keyasint"`
	// Incarnation is the number that the region's poller gives to this start of the target.
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Attempt identifies one attempt at this instance.
type Attempt uint64

// Decision says how a request may run.
type Decision uint8

const (
	// Run without restrictions.
	Run Decision = iota
	// RunAlone on a target that runs nothing else, after Reserve.
	RunAlone
	// Refuse: the digest is quarantined.
	Refuse
	// Trial: the digest is quarantined, and one copy may run after Reserve.
	Trial
)

// Status is the relation of a digest to a crash. It only rises.
type Status uint8

const (
	// Suspected: it was in flight at the crash together with others.
	Suspected Status = iota
	// Alone: nothing else was in flight at the crash, so it is the cause.
	Alone
	// Cleared: it is not the cause of the crash.
	Cleared
)

// Entry is the status of one digest for one crash, as instances exchange it.
type Entry struct {
	Digest Digest `cbor:"1,keyasint"`
	Crash  Crash  `cbor:"2,keyasint"`
	Status Status `cbor:"3,keyasint,omitempty"`
	// Until is when the entry expires.
	Until time.Time `cbor:"4,keyasint"`
	// SentAt is when the attempt was sent, and CrashedAt when its target was found to have
	// crashed, both by the clock of the instance that reports them; zero if the host does not.
	SentAt    Instant `cbor:"5,keyasint,omitempty"`
	CrashedAt Instant `cbor:"6,keyasint,omitempty"`
	// Round is one more than that of the crashes of the digest that the instance knew of when it sent
	// the attempt; 0 if the host does not report it, and then each crash counts.
	Round uint32 `cbor:"7,keyasint,omitempty"`
	// Trial says that the attempt was a trial of the digest.
	Trial bool `cbor:"8,keyasint,omitempty"`
}

// Instant is a Unix time in microseconds; 0 if it is not known.
type Instant int64

// InstantOf returns the instant of a time.
func InstantOf(t time.Time) Instant { return Instant(t.UnixMicro()) }

// Time returns the time of an instant; the zero time if it is not known.
func (i Instant) Time() time.Time {
	if i == 0 {
		return time.Time{}
	}
	return time.UnixMicro(int64(i))
}

// Config bounds a Table.
type Config struct {
	// Lifetime of an entry, and so of a quarantine that is not renewed.
	Lifetime time.Duration
	// TrialAfter is how long after its last crash a quarantined digest may have its first trial;
	// 0 for no trials.
	TrialAfter time.Duration
	// MaxTrials bounds the trials that are reserved at the same time: two of them at one target
	// would not tell which one crashed it.
	MaxTrials int
	// MaxEntries in the table; beyond that cleared ones are evicted first, then those of digests
	// with a single crash, and of these the ones that expire first.
	MaxEntries int
	// FinishedTTL is how long a digest that has finished here is remembered.
	FinishedTTL time.Duration
	// MaxFinished is how many of them are remembered at least; beyond twice as
	// many the oldest are dropped.
	MaxFinished int
}

// DefaultConfig keeps entries for a day in about a megabyte.
func DefaultConfig() Config {
	return Config{Lifetime: 24 * time.Hour, MaxEntries: 8192, FinishedTTL: 10 * time.Minute, MaxFinished: 1024}
}

// Table holds the suspects that one instance knows. The table of the region's owner
// also serves Reserve. It is not safe for concurrent use.
type Table struct {
	cfg      Config
	inFlight map[Attempt]sentAttempt
	digests  map[Digest]map[Crash]*entry
	// crashes lists the digests that have an entry for a crash.
	crashes map[Crash][]Digest
	// reserved has the reservation of a digest's lone run or trial.
	reserved map[Digest]*reservation
	// granted has the trials that this table has granted, of digests that were not cleared since.
	granted  map[Digest]grant
	finished finished
	// alone is the number of entries of status Alone, of each digest that has any.
	alone map[Digest]int
	// candidates are the digests whose entries may be enough for a quarantine, with their suspicions as
	// long as no other digest explains any; nil after a change.
	candidates map[Digest]*suspicion
	// suspicions are those of the candidates that are quarantined unless others explain them; nil after
	// a change.
	suspicions map[Digest]suspicion
	// firstFound is when each crash was first found. found are these times as of the last updateFound.
	firstFound   map[Crash]Instant
	found        foundTimes
	foundChanged bool
	// weighed is the number of entries weighed so far.
	weighed int
	// entryCount is the number of entries in digests.
	entryCount int
	evicted    uint64
}

type sentAttempt struct {
	digest Digest
	target string
	alone  bool
}

type entry struct {
	status            Status
	until             time.Time
	sentAt, crashedAt Instant
	round             uint32
	trial             bool
	// learnedAt is when this instance learned of the round, by its own clock.
	learnedAt time.Time
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		cfg: cfg, inFlight: make(map[Attempt]sentAttempt), digests: make(map[Digest]map[Crash]*entry),
		crashes: make(map[Crash][]Digest), reserved: make(map[Digest]*reservation), granted: make(map[Digest]grant),
		alone: make(map[Digest]int), candidates: make(map[Digest]*suspicion), firstFound: make(map[Crash]Instant),
	}
}

// Len returns the number of entries.
func (t *Table) Len() int { return t.entryCount }

// Evicted returns how many entries were evicted for MaxEntries. Suspects among them may
// crash targets again, so a growing count calls for a larger bound.
func (t *Table) Evicted() uint64 { return t.evicted }

// Decide returns how a request with these digests may run now.
func (t *Table) Decide(now time.Time, digests ...Digest) Decision {
	quarantined := t.Quarantined(digests...)
	switch {
	case len(quarantined) > 0 && t.trialDue(now, quarantined):
		return Trial
	case len(quarantined) > 0:
		return Refuse
	case slices.ContainsFunc(digests, func(d Digest) bool { return t.suspicion(d).rounds == 1 }):
		return RunAlone
	}
	return Run
}

// Started records an attempt sent from this instance to a target. alone says that the
// target runs nothing else, from any instance.
func (t *Table) Started(a Attempt, d Digest, target string, alone bool) {
	t.inFlight[a] = sentAttempt{digest: d, target: target, alone: alone}
}

// Ended records that an attempt ended without a crash of its target. If it finished
// with a complete answer its digest is cleared of all crashes. The host must publish the
// entries returned.
func (t *Table) Ended(now time.Time, a Attempt, finished bool) []Entry {
	s, ok := t.inFlight[a]
	delete(t.inFlight, a)
	if !ok || !finished {
		return nil
	}
	return t.Finished(now, s.digest)
}

// Finished records that a request with these digests finished with a complete answer,
// whether or not its attempt was recorded by Started, and clears the digests of all crashes.
// The host must publish the entries returned.
func (t *Table) Finished(now time.Time, digests ...Digest) []Entry {
	var out []Entry
	for _, d := range digests {
		t.finished.add(now, d, t.cfg.MaxFinished)
		delete(t.granted, d)
		for c, e := range t.digests[d] {
			if e.status != Cleared {
				out = append(out, e.withStatus(d, c, Cleared, now.Add(t.cfg.Lifetime)))
			}
		}
	}
	return t.Merge(now, out)
}

// Crashed records an unplanned end of a target. All digests that this instance had in
// flight there become suspects, or the cause if they ran alone. The host must publish
// the entries returned before it ends or retries any of those requests.
func (t *Table) Crashed(now time.Time, c Crash) []Entry {
	var out []Entry
	for _, s := range t.removeAttempts(c.Target) {
		e := Entry{Digest: s.digest, Crash: c, Until: now.Add(t.cfg.Lifetime)}
		if s.alone {
			e.Status = Alone
		}
		out = append(out, e)
	}
	return t.Merge(now, out)
}

// Stopped records a planned shutdown of a target: its attempts are dropped and make no
// suspects.
func (t *Table) Stopped(target string) { t.removeAttempts(target) }

func (t *Table) removeAttempts(target string) []sentAttempt {
	var out []sentAttempt
	for a, s := range t.inFlight {
		if s.target == target {
			out = append(out, s)
			delete(t.inFlight, a)
		}
	}
	return out
}

// Merge takes entries of this or another instance, in any order and any number
// of times, and returns those that changed something, together with what
// follows from them. The host must publish what is returned: until then a crash may
// be explained at one instance and not at another. Tables that have exchanged all of
// it decide alike.
func (t *Table) Merge(now time.Time, entries []Entry) []Entry {
	var updates []Entry
	for _, e := range entries {
		if !now.Before(e.Until) || !t.join(now, e) {
			continue
		}
		updates = append(updates, e)
		innocent := e
		innocent.Status = Cleared
		if e.Status == Suspected && t.excuses(now, e) && t.join(now, innocent) {
			updates = append(updates, innocent)
		}
	}
	for _, d := range t.causes(updates) {
		updates = append(updates, t.clearInnocents(now, d)...)
	}
	t.evictExcess()
	return updates
}

// join joins an entry with the stored one and reports whether that changed anything.
func (t *Table) join(now time.Time, e Entry) bool {
	entries := t.digests[e.Digest]
	if entries == nil {
		entries = make(map[Crash]*entry)
		t.digests[e.Digest] = entries
	}
	old := entries[e.Crash]
	if old == nil {
		entries[e.Crash] = &entry{status: e.Status, until: e.Until, sentAt: e.SentAt, crashedAt: e.CrashedAt, round: e.Round, trial: e.Trial, learnedAt: now}
		t.crashes[e.Crash] = append(t.crashes[e.Crash], e.Digest)
		t.entryCount++
		t.countAlone(e.Digest, Cleared, e.Status)
		t.recordFound(e.Crash, e.CrashedAt)
		t.markChanged(e.Digest)
		return true
	}
	renewed := e.Status == old.status && e.Until.Sub(old.until) >= t.renewAfter()
	later := e.Round > old.round || e.Trial && !old.trial
	if e.Status <= old.status && !renewed && !later {
		return false
	}
	if e.Round > old.round {
		before := old.crashedAt
		old.round, old.learnedAt, old.crashedAt = e.Round, now, e.CrashedAt
		t.forgetFound(e.Crash, before)
		t.recordFound(e.Crash, e.CrashedAt)
	}
	if e.Status > old.status {
		t.countAlone(e.Digest, old.status, e.Status)
	}
	old.status, old.trial = max(old.status, e.Status), old.trial || e.Trial
	if e.Until.After(old.until) {
		old.until = e.Until
	}
	t.markChanged(e.Digest)
	return true
}

// countAlone counts the change of an entry's status.
func (t *Table) countAlone(d Digest, before, after Status) {
	if before == Alone {
		t.alone[d]--
	}
	if after == Alone {
		t.alone[d]++
	}
	if t.alone[d] == 0 {
		delete(t.alone, d)
	}
}

// causes returns the digests that were alone in a crash, among those of changed entries and the other
// suspects of their crashes: a crash may have been explained before a suspect of it was received.
func (t *Table) causes(changed []Entry) []Digest {
	if len(t.alone) == 0 {
		return nil
	}
	var out []Digest
	crashes := map[Crash]bool{}
	for _, e := range changed {
		if crashes[e.Crash] {
			continue
		}
		crashes[e.Crash] = true
		for _, d := range t.crashes[e.Crash] {
			if t.alone[d] > 0 && !slices.Contains(out, d) {
				out = append(out, d)
			}
		}
	}
	return out
}

// clearInnocents clears the other suspects of the crashes of a digest that was alone in one.
func (t *Table) clearInnocents(now time.Time, d Digest) []Entry {
	var updates []Entry
	for c, e := range t.digests[d] {
		if e.status == Cleared {
			continue
		}
		for _, other := range t.crashes[c] {
			if other == d || t.alone[other] > 0 {
				continue
			}
			cleared := t.digests[other][c].withStatus(other, c, Cleared, now.Add(t.cfg.Lifetime))
			if t.join(now, cleared) {
				updates = append(updates, cleared)
			}
		}
	}
	return updates
}

// Entries returns all entries, sorted, for a peer that has just joined.
func (t *Table) Entries() []Entry {
	out := make([]Entry, 0, t.entryCount)
	for d, entries := range t.digests {
		for c, e := range entries {
			out = append(out, e.withStatus(d, c, e.status, e.until))
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

// Expire removes entries and reservations that have ended by now.
func (t *Table) Expire(now time.Time) {
	for d, entries := range t.digests {
		for c, e := range entries {
			if !now.Before(e.until) {
				t.removeEntry(d, c)
			}
		}
	}
	maps.DeleteFunc(t.granted, func(d Digest, _ grant) bool { return !t.suspicion(d).quarantined() && t.reserved[d] == nil })
	maps.DeleteFunc(t.reserved, func(_ Digest, r *reservation) bool { return !now.Before(r.until) })
}
