package suspect

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

// region is a few instances before targets of which one request kills each
// that runs it. Instances publish before requests end, as the package asks.
type region struct {
	t       *rapid.T
	now     time.Time
	tables  []*Table
	killers map[Digest]int
	targets []map[Attempt]int
	digest  map[Attempt]Digest
	life    uint64
	next    Attempt
	aloneAt map[int]bool
}

func newRegion(t *rapid.T, killers ...Digest) *region {
	r := &region{t: t, now: start, killers: map[Digest]int{}, digest: map[Attempt]Digest{}, aloneAt: map[int]bool{}}
	for range rapid.IntRange(1, 4).Draw(t, "instances") {
		r.tables = append(r.tables, New(DefaultConfig()))
	}
	for range rapid.IntRange(2, 5).Draw(t, "targets") {
		r.targets = append(r.targets, map[Attempt]int{})
	}
	for _, k := range killers {
		r.killers[k] = 0
	}
	return r
}

// publish merges news at all instances, doubled and in an order of its own, and what
// follows from them after that.
func (r *region) publish(news []Entry) {
	var more []Entry
	for _, t := range r.tables {
		for i := range news {
			more = append(more, t.Merge(r.now, news[len(news)-1-i:])...)
		}
		more = append(more, t.Merge(r.now, news)...)
	}
	if len(more) > 0 {
		r.publish(more)
	}
}

// send takes a request at a random instance, and runs it if it may.
func (r *region) send(d Digest) bool {
	i := rapid.IntRange(0, len(r.tables)-1).Draw(r.t, "instance")
	target := rapid.IntRange(0, len(r.targets)-1).Draw(r.t, "target")
	alone := false
	switch r.tables[i].Decide(d) {
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
	r.tables[i].Sent(r.next, d, fmt.Sprint(target), alone)
	r.targets[target][r.next] = i
	r.digest[r.next] = d
	return true
}

// run ends what a target has: by a crash if a killer is among it.
func (r *region) run(target int, planned bool) {
	batch := r.targets[target]
	r.targets[target] = map[Attempt]int{}
	r.aloneAt[target] = false
	crash := false
	for a := range batch {
		if _, killer := r.killers[r.digest[a]]; killer && !planned {
			r.killers[r.digest[a]]++
			crash = true
		}
	}
	r.life++
	if planned || crash {
		for _, t := range r.tables {
			if planned {
				t.Stopped(fmt.Sprint(target))
			} else {
				r.publish(t.Crashed(r.now, Crash{fmt.Sprint(target), r.life}))
			}
		}
	}
	for a, i := range batch {
		if !planned && !crash {
			r.publish(r.tables[i].Ended(r.now, a, true))
		}
		r.tables[0].Release(r.digest[a])
	}
}

// inFlight says whether a digest runs anywhere.
func (r *region) inFlight(d Digest) bool {
	for _, batch := range r.targets {
		for a := range batch {
			if r.digest[a] == d {
				return true
			}
		}
	}
	return false
}

func (r *region) checkAlike() {
	for _, t := range r.tables {
		for _, e := range r.tables[0].Entries() {
			if t.Decide(e.Digest) != r.tables[0].Decide(e.Digest) {
				r.t.Fatalf("instances decide differently about %v", e.Digest)
			}
		}
	}
}

// drive sends requests in random order and ends batches, with planned stops.
func (r *region) drive(requests []Digest) {
	for range rapid.IntRange(20, 80).Draw(r.t, "steps") {
		if rapid.IntRange(0, 3).Draw(r.t, "step") > 0 {
			d := requests[rapid.IntRange(0, len(requests)-1).Draw(r.t, "request")]
			// A caller waits for the end before it sends again. Copies of a
			// known suspect come from many callers at once.
			if !r.inFlight(d) || r.tables[0].Decide(d) != Run {
				r.send(d)
			}
			continue
		}
		target := rapid.IntRange(0, len(r.targets)-1).Draw(r.t, "ended")
		r.run(target, rapid.IntRange(0, 4).Draw(r.t, "planned") == 0)
		r.checkAlike()
	}
}

// Symptom: target after target dies, or requests that only shared a batch with
// the cause are refused for good.
// Events: one request crashes each target that runs it and is sent again under
// new ids through any instance, among innocent ones; planned stops between.
// Cause: suspects that aren't told on, run in a batch, run twice at once, or
// are never cleared; planned stops taken for crashes.
func TestOneKillerLosesTwoTargetsAndInnocentsAreCleared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		killer := Digest{0xff}
		r := newRegion(t, killer)
		requests := []Digest{killer}
		for i := range rapid.IntRange(0, 8).Draw(t, "innocents") {
			requests = append(requests, Digest{byte(i)})
		}
		r.drive(requests)
		if lost := r.killers[killer]; lost > 2 {
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
			if got := r.tables[0].Decide(d); got != Run {
				t.Fatalf("an innocent request stands at %d", got)
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

// Symptom: with two killers more targets are lost than the package says.
// Events: two killers among innocent requests, in one batch or apart.
// Cause: the first one found explains the crash that both were in.
func TestTwoKillersLoseAtMostThreeTargetsEach(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := Digest{0xff}, Digest{0xfe}
		r := newRegion(t, one, two)
		r.drive([]Digest{one, two, {1}, {2}})
		if r.killers[one] > 3 || r.killers[two] > 3 {
			t.Fatalf("%d and %d targets lost", r.killers[one], r.killers[two])
		}
	})
}

// Symptom: innocents of an explained crash go on waiting for lone runs; a
// request that was alone in a crash may kill once more.
// Events: a batch crashes, then one of it alone; another crashes alone at once.
// Cause: a quarantine that clears nobody, a lone crash that counts as shared.
func TestLoneCrashIsProof(t *testing.T) {
	table := New(DefaultConfig())
	killer, innocent, other := Digest{1}, Digest{2}, Digest{3}
	table.Sent(1, killer, "a", false)
	table.Sent(2, innocent, "a", false)
	table.Crashed(start, Crash{"a", 1})
	if table.Decide(killer) != RunAlone || table.Decide(innocent) != RunAlone {
		t.Fatal("a crash made no suspects")
	}
	table.Sent(3, killer, "b", true)
	table.Crashed(start, Crash{"b", 1})
	if table.Decide(killer) != Refuse || table.Decide(innocent) != Run {
		t.Fatal("the second crash did not tell the killer from the innocent")
	}
	table.Sent(4, other, "c", true)
	table.Crashed(start, Crash{"c", 1})
	if table.Decide(other) != Refuse {
		t.Fatal("a lone crash is no proof")
	}
}

// Symptom: memory grows with the crashes, or a suspect is forgotten while
// entries that say nothing any more are kept.
// Events: more requests than the bound are in flight at a crash; one is cleared;
// another target crashes.
// Cause: no bound, or entries given up whatever their standing.
func TestEntriesAreBoundedClearedOnesFirst(t *testing.T) {
	table := New(Config{Lifetime: time.Hour, MaxEntries: 10})
	for i := range 30 {
		table.Sent(Attempt(i), Digest{byte(i)}, "a", false)
	}
	table.Crashed(start, Crash{"a", 1})
	if table.Len() != 10 || table.Evicted() != 20 {
		t.Fatalf("%d held, %d evicted", table.Len(), table.Evicted())
	}
	kept := table.Entries()
	table.Merge(start, []Entry{{kept[0].Digest, kept[0].Crash, Cleared, start.Add(time.Hour)}})
	table.Sent(99, Digest{99}, "b", false)
	table.Crashed(start, Crash{"b", 1})
	if table.Decide(Digest{99}) != RunAlone || table.Decide(kept[1].Digest) != RunAlone || table.Len() != 10 {
		t.Fatal("a suspect went before a cleared entry")
	}
}

// Guards against a popular request that is refused for the crashes of others: it runs at two
// targets that crash before a copy of it has finished, and none may run after that.
func TestWhatHasFinishedLatelyIsNoSuspect(t *testing.T) {
	popular, crashes := Digest{1}, []Crash{{"a", 1}, {"b", 1}}
	finishedAt := func(where *Table) {
		where.Sent(100, popular, "c", false)
		where.Ended(start, 100, true)
	}
	crash := func(where *Table) (news []Entry) {
		for n, c := range crashes {
			where.Sent(Attempt(n), popular, c.Target, false)
			news = append(news, where.Crashed(start.Add(time.Minute), c)...)
		}
		return news
	}
	t.Run("at the instance itself", func(t *testing.T) {
		one := New(DefaultConfig())
		finishedAt(one)
		crash(one)
		if got := one.Decide(popular); got != Run {
			t.Errorf("decision %v", got)
		}
	})
	t.Run("at another instance", func(t *testing.T) {
		one, other := New(DefaultConfig()), New(DefaultConfig())
		finishedAt(other)
		news := crash(one)
		if got := one.Decide(popular); got != Refuse {
			t.Fatalf("decision %v before the other instance is heard", got)
		}
		one.Merge(start, other.Merge(start.Add(time.Minute), news))
		if a, b := one.Decide(popular), other.Decide(popular); a != Run || b != Run {
			t.Errorf("decisions %v and %v", a, b)
		}
	})
	t.Run("too long ago", func(t *testing.T) {
		one := New(DefaultConfig())
		one.Sent(100, popular, "c", false)
		one.Ended(start.Add(-DefaultConfig().FinishedTTL), 100, true)
		crash(one)
		if got := one.Decide(popular); got != Refuse {
			t.Errorf("decision %v", got)
		}
	})
}

// Guards against memory that grows with each request, and against newer digests forgotten
// before older ones.
func TestFinishedDigestsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 8
		var f finished
		var order []Digest
		for n := range rapid.IntRange(1, 100).Draw(t, "finished") {
			d := Digest{byte(rapid.IntRange(0, 40).Draw(t, "digest"))}
			f.add(start.Add(time.Duration(n)*time.Second), d, most)
			order = append(order, d)
			if kept := len(f.newer) + len(f.older); kept > 2*most {
				t.Fatalf("%d kept", kept)
			}
			distinct := map[Digest]bool{}
			for k := len(order) - 1; k >= 0 && len(distinct) < most; k-- {
				distinct[order[k]] = true
				if _, ok := f.at(order[k]); !ok {
					t.Fatalf("one of the newest %d is forgotten", most)
				}
			}
		}
	})
}
