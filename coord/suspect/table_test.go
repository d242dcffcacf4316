package suspect

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

// region is several instances and targets, and poison requests that crash each target
// that runs them. Instances publish before requests end, as the package requires.
type region struct {
	t             *rapid.T
	now           time.Time
	tables        []*Table
	poisonCrashes map[Digest]int
	targets       []map[Attempt]int // attempts in flight, with the index of their instance
	digests       map[Attempt]Digest
	incarnation   uint64
	next          Attempt
	aloneAt       map[int]bool // targets with a lone run
}

func newRegion(t *rapid.T, poisons ...Digest) *region {
	r := &region{t: t, now: start, poisonCrashes: map[Digest]int{}, digests: map[Attempt]Digest{}, aloneAt: map[int]bool{}}
	for range rapid.IntRange(1, 4).Draw(t, "instances") {
		r.tables = append(r.tables, New(DefaultConfig()))
	}
	for range rapid.IntRange(2, 5).Draw(t, "targets") {
		r.targets = append(r.targets, map[Attempt]int{})
	}
	for _, k := range poisons {
		r.poisonCrashes[k] = 0
	}
	return r
}

// publish merges updates at all instances, duplicated and reordered, and then what
// follows from them.
func (r *region) publish(updates []Entry) {
	var more []Entry
	for _, t := range r.tables {
		for i := range updates {
			more = append(more, t.Merge(r.now, updates[len(updates)-1-i:])...)
		}
		more = append(more, t.Merge(r.now, updates)...)
	}
	if len(more) > 0 {
		r.publish(more)
	}
}

// send takes a request at a random instance, and runs it if allowed.
func (r *region) send(d Digest) bool {
	i := rapid.IntRange(0, len(r.tables)-1).Draw(r.t, "instance")
	target := rapid.IntRange(0, len(r.targets)-1).Draw(r.t, "target")
	alone := false
	switch r.tables[i].Decide(start, d) {
	case Refuse:
		return false
	case RunAlone:
		alone = true
		if len(r.targets[target]) > 0 || !r.tables[0].Reserve(r.now, d, r.now.Add(time.Minute)) {
			return false
		}
	}
	if r.aloneAt[target] {
		return false
	}
	r.next++
	r.aloneAt[target] = alone
	r.tables[i].Started(r.next, d, fmt.Sprint(target), alone)
	r.targets[target][r.next] = i
	r.digests[r.next] = d
	return true
}

// run ends what a target has in flight: with a crash if a poison request is among it.
func (r *region) run(target int, planned bool) {
	batch := r.targets[target]
	r.targets[target] = map[Attempt]int{}
	r.aloneAt[target] = false
	crash := false
	for a := range batch {
		if _, poison := r.poisonCrashes[r.digests[a]]; poison && !planned {
			r.poisonCrashes[r.digests[a]]++
			crash = true
		}
	}
	r.incarnation++
	if planned || crash {
		for _, t := range r.tables {
			if planned {
				t.Stopped(fmt.Sprint(target))
			} else {
				r.publish(t.Crashed(r.now, Crash{fmt.Sprint(target), r.incarnation}))
			}
		}
	}
	for a, i := range batch {
		if !planned && !crash {
			r.publish(r.tables[i].Ended(r.now, a, true))
		}
		r.tables[0].Release(r.digests[a])
	}
}

// inFlight reports whether a digest runs anywhere.
func (r *region) inFlight(d Digest) bool {
	for _, batch := range r.targets {
		for a := range batch {
			if r.digests[a] == d {
				return true
			}
		}
	}
	return false
}

func (r *region) checkDecisionsMatch() {
	for _, t := range r.tables {
		for _, e := range r.tables[0].Entries() {
			if t.Decide(start, e.Digest) != r.tables[0].Decide(start, e.Digest) {
				r.t.Fatalf("instances decide differently about %v", e.Digest)
			}
		}
	}
}

// drive sends requests in random order and ends batches, some by planned stops.
func (r *region) drive(requests []Digest) {
	for range rapid.IntRange(20, 80).Draw(r.t, "steps") {
		if rapid.IntRange(0, 3).Draw(r.t, "step") > 0 {
			d := requests[rapid.IntRange(0, len(requests)-1).Draw(r.t, "request")]
			// A caller waits for the end before it resends. Copies of a known suspect come
			// from many callers at once.
			if !r.inFlight(d) || r.tables[0].Decide(start, d) != Run {
				r.send(d)
			}
			continue
		}
		target := rapid.IntRange(0, len(r.targets)-1).Draw(r.t, "ended")
		r.run(target, rapid.IntRange(0, 4).Draw(r.t, "planned") == 0)
		r.checkDecisionsMatch()
	}
}

// Guards against targets that crash one after the other, and requests refused for good
// because they shared a batch with the cause. One request crashes each target that runs it
// and is resent under new ids through any instance, among innocent ones and planned stops.
// Causes: suspects that aren't published, run in a batch, run twice at once or are never
// cleared, or planned stops taken for crashes.
func TestPoisonRequestLosesTwoTargetsAndInnocentsAreCleared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		poison := Digest{0xff}
		r := newRegion(t, poison)
		requests := []Digest{poison}
		for i := range rapid.IntRange(0, 8).Draw(t, "innocents") {
			requests = append(requests, Digest{byte(i)})
		}
		r.drive(requests)
		if lost := r.poisonCrashes[poison]; lost > 2 {
			t.Fatalf("%d targets lost", lost)
		}
		for target := range r.targets {
			r.run(target, false)
		}
		for _, d := range requests[1:] {
			for range 200 {
				if r.send(d) {
					break
				}
			}
			for target := range r.targets {
				r.run(target, false)
			}
			if got := r.tables[0].Decide(start, d); got != Run {
				t.Fatalf("an innocent request has decision %d", got)
			}
		}
		r.checkExpiry()
	})
}

func (r *region) checkExpiry() {
	for _, t := range r.tables {
		t.Expire(r.now.Add(DefaultConfig().Lifetime))
		if t.Len() != 0 || len(t.digests) != 0 || len(t.crashes) != 0 || len(t.inFlight) != 0 {
			r.t.Fatalf("%d entries left after their lifetime", t.Len())
		}
	}
}

// Guards against more lost targets than documented with two poison requests among innocent
// ones, in one batch or apart: the first one found explains the crash that both were in.
func TestTwoPoisonRequestsLoseAtMostThreeTargetsEach(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := Digest{0xff}, Digest{0xfe}
		r := newRegion(t, one, two)
		r.drive([]Digest{one, two, {1}, {2}})
		if r.poisonCrashes[one] > 3 || r.poisonCrashes[two] > 3 {
			t.Fatalf("%d and %d targets lost", r.poisonCrashes[one], r.poisonCrashes[two])
		}
	})
}

// Guards against innocent requests of an explained crash that still wait for lone runs, and a
// request that was alone in a crash and may crash another target: a quarantine that clears
// nobody, or a lone crash that counts as shared.
func TestCrashOfLoneRunIsProof(t *testing.T) {
	table := New(DefaultConfig())
	poison, innocent, other := Digest{1}, Digest{2}, Digest{3}
	table.Started(1, poison, "a", false)
	table.Started(2, innocent, "a", false)
	table.Crashed(start, Crash{"a", 1})
	if table.Decide(start, poison) != RunAlone || table.Decide(start, innocent) != RunAlone {
		t.Fatal("a crash made no suspects")
	}
	table.Started(3, poison, "b", true)
	table.Crashed(start, Crash{"b", 1})
	if table.Decide(start, poison) != Refuse || table.Decide(start, innocent) != Run {
		t.Fatal("the second crash did not separate the poison request from the innocent one")
	}
	table.Started(4, other, "c", true)
	table.Crashed(start, Crash{"c", 1})
	if table.Decide(start, other) != Refuse {
		t.Fatal("a lone crash is no proof")
	}
}

// Guards against memory that grows with the crashes, and a suspect that is evicted while
// cleared entries are kept: more requests than the bound are in flight at a crash, one is
// cleared, and another target crashes.
func TestEntriesAreBoundedClearedOnesFirst(t *testing.T) {
	table := New(Config{Lifetime: time.Hour, MaxEntries: 10})
	for i := range 30 {
		table.Started(Attempt(i), Digest{byte(i)}, "a", false)
	}
	table.Crashed(start, Crash{"a", 1})
	if table.Len() != 10 || table.Evicted() != 20 {
		t.Fatalf("%d held, %d evicted", table.Len(), table.Evicted())
	}
	kept := table.Entries()
	table.Merge(start, []Entry{{Digest: kept[0].Digest, Crash: kept[0].Crash, Status: Cleared, Until: start.Add(time.Hour)}})
	table.Started(99, Digest{99}, "b", false)
	table.Crashed(start, Crash{"b", 1})
	if table.Decide(start, Digest{99}) != RunAlone || table.Decide(start, kept[1].Digest) != RunAlone || table.Len() != 10 {
		t.Fatal("a suspect was evicted before a cleared entry")
	}
}

// Guards against a popular request that is refused because of others' crashes: it runs at two
// targets that crash before a copy of it has finished, and none may run after that.
func TestRecentlyFinishedDigestIsNoSuspect(t *testing.T) {
	popular, crashes := Digest{1}, []Crash{{"a", 1}, {"b", 1}}
	finishedAt := func(where *Table) {
		where.Started(100, popular, "c", false)
		where.Ended(start, 100, true)
	}
	crash := func(where *Table) (updates []Entry) {
		for n, c := range crashes {
			where.Started(Attempt(n), popular, c.Target, false)
			updates = append(updates, where.Crashed(start.Add(time.Minute), c)...)
		}
		return updates
	}
	t.Run("at the instance itself", func(t *testing.T) {
		one := New(DefaultConfig())
		finishedAt(one)
		crash(one)
		if got := one.Decide(start, popular); got != Run {
			t.Errorf("decision %v", got)
		}
	})
	t.Run("at another instance", func(t *testing.T) {
		one, other := New(DefaultConfig()), New(DefaultConfig())
		finishedAt(other)
		updates := crash(one)
		if got := one.Decide(start, popular); got != Refuse {
			t.Fatalf("decision %v before the other instance's entries are merged", got)
		}
		one.Merge(start, other.Merge(start.Add(time.Minute), updates))
		if a, b := one.Decide(start, popular), other.Decide(start, popular); a != Run || b != Run {
			t.Errorf("decisions %v and %v", a, b)
		}
	})
	t.Run("too long ago", func(t *testing.T) {
		one := New(DefaultConfig())
		one.Started(100, popular, "c", false)
		one.Ended(start.Add(-DefaultConfig().FinishedTTL), 100, true)
		crash(one)
		if got := one.Decide(start, popular); got != Refuse {
			t.Errorf("decision %v", got)
		}
	})
}

// Guards against memory that grows with each request, and newer digests dropped before older
// ones.
func TestFinishedDigestsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxFinished = 8
		var f finished
		var order []Digest
		for n := range rapid.IntRange(1, 100).Draw(t, "finished") {
			d := Digest{byte(rapid.IntRange(0, 40).Draw(t, "digest"))}
			f.add(start.Add(time.Duration(n)*time.Second), d, maxFinished)
			order = append(order, d)
			if kept := len(f.newer) + len(f.older); kept > 2*maxFinished {
				t.Fatalf("%d kept", kept)
			}
			distinct := map[Digest]bool{}
			for k := len(order) - 1; k >= 0 && len(distinct) < maxFinished; k-- {
				distinct[order[k]] = true
				if _, ok := f.last(order[k]); !ok {
					t.Fatalf("one of the newest %d was dropped", maxFinished)
				}
			}
		}
	})
}

// Guards against a caller whose requests, in flight at one crash with many unlike parts, push out what has
// crashed targets before.
func TestSuspectsOfOneCrashMakeRoomForOthers(t *testing.T) {
	table := New(Config{Lifetime: time.Hour, MaxEntries: 100})
	deadly := Digest{0xff}
	for n := range 2 {
		now := start.Add(time.Duration(n) * time.Second)
		table.ReportCrash(now, Crash{fmt.Sprint("t", n), 1}, Sent{Digests: []Digest{deadly}, SentAt: now.Add(-time.Millisecond)})
	}
	for n := range 1000 {
		table.ReportCrash(start.Add(time.Minute), Crash{"x", 1}, Sent{Digests: []Digest{{byte(n), byte(n >> 8)}}, SentAt: start})
	}
	if got := table.Decide(start.Add(time.Minute), deadly); got != Refuse || table.Len() > 100 {
		t.Errorf("decision %v, %d entries", got, table.Len())
	}
}

// Guards against sound parts that are refused because they share the crashes of a deadly one, and against a
// deadly part that escapes because an innocent one was in more crashes.
func TestSuspectOfMoreCrashesExplainsThoseOfFewer(t *testing.T) {
	table := New(Config{Lifetime: time.Hour, MaxEntries: 100, FinishedTTL: time.Hour, MaxFinished: 100})
	deadly, sound, other := Digest{1}, Digest{2}, Digest{3}
	at := start
	crash := func(target string, digests ...Digest) {
		at = at.Add(time.Second)
		table.ReportCrash(at, Crash{target, 1}, Sent{Digests: digests, SentAt: at.Add(-time.Millisecond)})
	}
	refused := func(d Digest) bool { return table.Decide(at, d) == Refuse }
	crash("a", deadly, sound)
	crash("b", deadly, sound)
	if !refused(deadly) || !refused(sound) {
		t.Fatal("suspects of the same crashes are told apart")
	}
	crash("c", deadly, other)
	crash("d", other)
	if !refused(deadly) || refused(sound) || refused(other) {
		t.Fatal("three crashes do not explain two of them")
	}
	table.Finished(at, deadly)
	if refused(deadly) || !refused(sound) || !refused(other) {
		t.Fatal("an innocent suspect still explains crashes")
	}
}

// Guards against trials that tell nothing and come again and again.
func TestTrialThatTellsNothingCountsForTheNext(t *testing.T) {
	cfg := Config{Lifetime: time.Hour, MaxEntries: 100, TrialAfter: 5 * time.Second, MaxTrials: 1}
	table := New(cfg)
	d := Digest{1}
	for n := range 2 {
		now := start.Add(time.Duration(n) * time.Second)
		table.ReportCrash(now, Crash{fmt.Sprint("t", n), 1}, Sent{Digests: []Digest{d}, SentAt: now.Add(-time.Millisecond)})
	}
	at := start.Add(time.Second + cfg.TrialAfter)
	reserve := func() bool { return table.Reserve(at, d, at.Add(time.Second)) }
	if !reserve() {
		t.Fatal("no trial")
	}
	table.Withdraw(d)
	if !reserve() {
		t.Fatal("no trial after one that has not run")
	}
	table.Release(d)
	for at = at.Add(time.Second); !reserve(); at = at.Add(time.Second) {
	}
	if after := at.Sub(start); after < trialFactor*cfg.TrialAfter {
		t.Errorf("the next trial comes after %v", after)
	}
}
