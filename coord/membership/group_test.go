package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/gullhaven/gullhaven/coord/fixedseed"
)

// convergeTime is the time within which views must converge after the last
// fault: detection of a death, a probe of each dead member, refutation and a few
// comparisons.
const convergeTime = 90 * time.Second

// Guards against views that stay wrong after faults: a running instance is never
// used again, a crashed one gets requests forever, or one that left comes back,
// if a state goes back, isn't refuted or isn't probed again. Faults are loss,
// delay, duplicates, partitions, crashes, restarts with a lagging clock, freezes
// and leaving, in any order, before the network heals.
func TestViewsConvergeAfterAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 8).Draw(t, "members")
		sim := newSimulation(t, n, rapid.Uint64().Draw(t, "seed"))
		sim.run(10 * time.Second)
		for range rapid.IntRange(1, 10).Draw(t, "faults") {
			sim.fault(t)
			sim.run(time.Duration(rapid.IntRange(0, 15000).Draw(t, "ms")) * time.Millisecond)
		}
		sim.loss, sim.duplicate, sim.blocked = 0, 0, nil
		sim.delay = 500 * time.Microsecond
		for _, h := range sim.hosts {
			h.frozenUntil = time.Time{}
		}
		sim.run(convergeTime)
		sim.checkConverged()
	})
}

func (sim *simulation) fault(t *rapid.T) {
	h := sim.hosts[rapid.SampledFrom(sim.ids).Draw(t, "member")]
	switch rapid.SampledFrom([]string{"crash", "restart", "freeze", "leave", "cut", "one way", "noise", "heal"}).Draw(t, "fault") {
	case "crash":
		h.running = false
	case "restart":
		lag := time.Duration(rapid.IntRange(-10, 3600).Draw(t, "clock lag")) * time.Second
		incarnation := uint64(sim.now.Add(-lag).UnixMilli())
		if rapid.Bool().Draw(t, "clock at the first start") {
			incarnation = uint64(sim.epoch.UnixMilli())
		}
		sim.start(h.id, incarnation)
	case "freeze":
		h.frozenUntil = sim.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "frozen for")) * time.Second)
	case "leave":
		if h.running && !h.left && !sim.now.Before(h.frozenUntil) {
			sim.send(h.id, h.Leave(sim.now))
			h.left = true
		}
	case "cut":
		side := map[string]bool{}
		for _, id := range sim.ids {
			side[id] = rapid.Bool().Draw(t, "side")
		}
		sim.blocked = func(from, to string) bool { return side[from] != side[to] }
	case "one way":
		sim.blocked = func(from, to string) bool { return from == h.id }
	case "noise":
		sim.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
		sim.duplicate = rapid.Float64Range(0, 0.5).Draw(t, "duplicates")
		sim.delay = time.Duration(rapid.IntRange(1, 400).Draw(t, "delay")) * time.Millisecond
	case "heal":
		sim.loss, sim.duplicate, sim.blocked = 0, 0, nil
	}
}

// Guards against requests to an instance long after it crashed without leaving,
// if a suspicion does not end or an update does not reach all, in groups of
// several sizes.
func TestCrashIsDetectedByAllInTime(t *testing.T) {
	cfg := DefaultConfig()
	for _, n := range []int{2, 3, 9, 40} {
		sim := newSimulation(t, n, uint64(n))
		sim.run(30 * time.Second)
		sim.checkConverged()
		sim.hosts[sim.ids[0]].running = false
		// Up to two rounds of probes until some member probes the crashed one,
		// then the probe, the suspicion and the spreading of the update.
		sim.run(time.Duration(min(2*n, 10))*cfg.ProbeInterval + 2*cfg.ProbeInterval + cfg.SuspicionMax)
		sim.checkConverged()
	}
}

// Guards against healthy members being declared dead by a process that was
// frozen for half a minute during probes and suspicions: when it goes on, all
// its timers have expired and the answers are unread.
func TestFrozenProcessDeclaresNobodyDead(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulation(t, 5, seed)
		sim.run(20 * time.Second)
		// Loss leaves probes and suspicions in progress.
		sim.loss = 0.4
		sim.run(3 * time.Second)
		sim.loss = 0
		frozen := sim.hosts[sim.ids[0]]
		frozen.frozenUntil = sim.now.Add(30 * time.Second)
		sim.run(30*time.Second - time.Millisecond)
		for _, h := range sim.hosts {
			h.events = nil
		}
		frozen.Tick(frozen.frozenUntil)
		if frozen.Fresh() {
			t.Fatal("a resumed process takes its view for fresh")
		}
		if e := frozen.Events(); len(e) > 0 {
			t.Fatalf("seed %d: a resumed process at once holds %s for %v", seed, e[0].Member.ID, e[0].State)
		}
		sim.run(convergeTime)
		for _, h := range sim.hosts {
			for _, e := range h.events {
				if e.State == Dead && e.Member.ID != frozen.id {
					t.Fatalf("seed %d: %s held %s for dead", seed, h.id, e.Member.ID)
				}
			}
		}
		sim.checkConverged()
	}
}

// Guards against live members being declared dead when a partition heals: each
// side has declared the other dead, and a comparison of views passes that state
// to members that could reach them all the time, without time to refute.
func TestHealedPartitionDeclaresNobodyDead(t *testing.T) {
	for seed := range uint64(10) {
		sim := newSimulation(t, 8, seed)
		side := func(id string) bool { return id < sim.ids[4] }
		sim.run(20 * time.Second)
		sim.blocked = func(from, to string) bool { return side(from) != side(to) }
		sim.run(convergeTime)
		sim.blocked = nil
		for _, h := range sim.hosts {
			h.events = nil
		}
		sim.run(convergeTime)
		for _, h := range sim.hosts {
			for _, e := range h.events {
				if e.State == Dead && side(e.Member.ID) == side(h.id) {
					t.Fatalf("seed %d: %s held %s of its own side for dead", seed, h.id, e.Member.ID)
				}
			}
		}
		sim.checkConverged()
	}
}

// Guards against an instance that left and restarted staying out for long: its
// clock lags, so its incarnation is below the one it left with, and its updates
// are dropped without an answer that lets it raise the incarnation.
func TestOutdatedUpdateIsAnsweredAtOnce(t *testing.T) {
	sim := newSimulation(t, 2, 5)
	now, g := sim.now, sim.hosts[sim.ids[0]].Group
	left := Update{State: Left, ID: "x", Incarnation: 10}
	g.Step(now, "y", Message{Kind: Gossip, Updates: []Update{left}})
	alive := Update{ID: "x", Incarnation: 5, Info: &Info{}}
	for _, kind := range []Kind{Ping, Gossip} {
		out := g.Step(now, "x", Message{Kind: kind, Updates: []Update{alive}})
		if len(out) != 1 || out[0].To != "x" || !slices.Contains(out[0].Message.Updates, left) {
			t.Fatalf("answer to an outdated update: %+v", out)
		}
	}
}

// Guards against a process that acts on its old view right after a freeze,
// because answers from before the freeze, still unread in its sockets, count as
// a sign that the view is current.
func TestAnswersFromBeforeAFreezeDoNotMakeAViewFresh(t *testing.T) {
	sim := newSimulation(t, 3, 1)
	sim.run(10 * time.Second)
	h := sim.hosts[sim.ids[0]]
	later := sim.now.Add(time.Minute)
	seq := h.syncer.seq
	h.Tick(later)
	h.Step(later, sim.ids[1], Message{Kind: SyncReply, Seq: seq})
	for s := range h.prober.seq {
		h.Step(later, sim.ids[1], Message{Kind: Ack, Seq: s})
	}
	if h.Fresh() {
		t.Fatal("fresh by answers from before the freeze")
	}
}

// Guards against the last instance of a region staying without a fresh view
// after a freeze: the other one crashed meanwhile, so no answer can come.
func TestLastInstanceIsFreshAgainAfterAFreeze(t *testing.T) {
	sim := newSimulation(t, 2, 3)
	sim.run(10 * time.Second)
	sim.hosts[sim.ids[1]].running = false
	sim.hosts[sim.ids[0]].frozenUntil = sim.now.Add(20 * time.Second)
	sim.run(20*time.Second + 3*DefaultConfig().SuspicionMax + 10*time.Second)
	sim.checkConverged()
}

// Guards against an outdated platform list changing the state of live members.
// The list marks one as leaving, lacks two others and names one that does not
// exist.
func TestPlatformListIsOnlyAHint(t *testing.T) {
	sim := newSimulation(t, 4, 7)
	sim.run(20 * time.Second)
	h := sim.hosts[sim.ids[0]]
	h.Hint(sim.now, []Hint{{ID: sim.ids[1], Leaving: true}, {ID: "ghost"}})
	for _, v := range h.Members() {
		if v.State != Alive || v.Leaving != (v.ID == sim.ids[1]) {
			t.Fatalf("%+v", v)
		}
	}
	sim.run(20 * time.Second)
	if len(h.Members()) != 4 {
		t.Fatalf("a name on the list became a member: %+v", h.Members())
	}
	sim.checkConverged()
}

func anyUpdate(t *rapid.T) Update {
	text := rapid.StringMatching(`[a-z0-9-]{1,40}`)
	u := Update{State: rapid.SampledFrom([]State{Alive, Suspect, Dead, Left}).Draw(t, "state"), ID: text.Draw(t, "id")}
	u.Incarnation = rapid.OneOf(rapid.Uint64(), rapid.Uint64Range(0, 300)).Draw(t, "incarnation")
	if u.State == Suspect {
		u.By = text.Draw(t, "by")
	}
	if u.State == Alive {
		u.Info = &Info{
			Region: text.Draw(t, "region"), Zone: text.Draw(t, "zone"), Address: text.Draw(t, "address"),
			Roles: rapid.SliceOfN(text, 0, 2).Draw(t, "roles"), Meta: rapid.SliceOfN(rapid.Byte(), 0, MaxMeta).Draw(t, "meta"),
		}
	}
	return u
}

// Guards against views that differ permanently because the result of merging
// updates depends on their order or on duplicates.
func TestViewDoesNotDependOnUpdateOrder(t *testing.T) {
	now := time.Unix(0, 0)
	rapid.Check(t, func(t *rapid.T) {
		var updates []Update
		for range rapid.IntRange(1, 12).Draw(t, "updates") {
			u := anyUpdate(t)
			u.ID, u.Incarnation = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "who"), u.Incarnation%4
			if u.State == Suspect {
				// A suspicion of an unknown member is dropped by design.
				u.State, u.By = Dead, ""
			}
			updates = append(updates, u)
		}
		shuffled := rapid.Permutation(append(updates, updates...)).Draw(t, "other order")
		var views [2]string
		for i, us := range [][]Update{updates, shuffled} {
			g, err := New(DefaultConfig(), Member{ID: "self"}, rand.New(rand.NewPCG(1, 1)))
			if err != nil {
				t.Fatal(err)
			}
			for _, u := range us {
				g.Step(now, "y", Message{Kind: Gossip, Updates: []Update{u}})
			}
			for _, v := range g.Members() {
				views[i] += fmt.Sprintln(v.ID, v.Incarnation, v.State)
			}
		}
		if views[0] != views[1] {
			t.Fatalf("%s\n%s", views[0], views[1])
		}
	})
}

// Guards against messages that are truncated if updateSize is wrong, and against
// malformed messages or noise that Decode accepts or panics on.
func TestMessagesKeepTheirWireForm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := anyUpdate(t)
		b, err := encoder.Marshal(&u)
		if err != nil || len(b) != updateSize(&u) {
			t.Fatalf("%d bytes counted as %d, %v", len(b), updateSize(&u), err)
		}
		m := Message{Kind: Ack, Seq: u.Incarnation, Target: u.By, Updates: []Update{u}}
		b, err = Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(b)
		if checkUpdate(u) != nil {
			if err == nil {
				t.Fatalf("read an update over the bounds: %+v", u)
			}
			return
		}
		if err != nil || fmt.Sprintf("%+v", got.Updates[0].Info) != fmt.Sprintf("%+v", m.Updates[0].Info) || got.Seq != m.Seq {
			t.Fatalf("%+v came back as %+v, %v", m, got, err)
		}
	})
	for name, m := range map[string]Message{
		"unknown kind":  {Kind: SyncPush + 1},
		"unknown state": {Updates: []Update{{ID: "a", State: Left + 1}}},
		"no id":         {Updates: []Update{{State: Dead}}},
		"no info":       {Updates: []Update{{ID: "a"}}},
		"few digests":   {Digests: []uint32{1}},
		"long meta":     {Updates: []Update{{ID: "a", Info: &Info{Meta: make([]byte, MaxMeta+1)}}}},
	} {
		b, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(b); err == nil {
			t.Errorf("%s: read", name)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		_, _ = Decode(rapid.SliceOf(rapid.Byte()).Draw(t, "noise"))
	})
}

// Guards against relays that change whenever any member leaves, if the choice
// depends on the order or number of members, and against losing both relays with
// one zone.
func TestRelaysAreStableAndInTwoZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var view []View
		zones := map[string]bool{}
		for i := range rapid.IntRange(0, 12).Draw(t, "members") {
			v := View{Member: Member{ID: fmt.Sprint(i), Region: "r", Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")}}
			v.State = rapid.SampledFrom([]State{Alive, Alive, Suspect, Dead, Left}).Draw(t, "state")
			if v.State <= Suspect {
				zones[v.Zone] = true
			}
			view = append(view, v)
		}
		usable, byID := 0, map[string]View{}
		for _, v := range view {
			byID[v.ID] = v
			if v.State <= Suspect {
				usable++
			}
		}
		r := Relays("r", view)
		if (r[0] != "") != (usable > 0) || (r[1] != "") != (usable > 1) || r[0] != "" && r[0] == r[1] {
			t.Fatalf("%d usable members, relays %q", usable, r)
		}
		for _, id := range r {
			if id != "" && byID[id].State > Suspect {
				t.Fatalf("relay %s is %v", id, byID[id].State)
			}
		}
		if len(zones) > 1 && byID[r[0]].Zone == byID[r[1]].Zone {
			t.Fatalf("both relays in zone %s", byID[r[0]].Zone)
		}
		if len(view) == 0 {
			return
		}
		i := rapid.IntRange(0, len(view)-1).Draw(t, "gone")
		gone := view[i].ID
		rest := rapid.Permutation(append(append([]View(nil), view[:i]...), view[i+1:]...)).Draw(t, "order")
		if after := Relays("r", rest); gone != r[0] && gone != r[1] && after != r {
			t.Fatalf("without %s, which was no relay, relays %q became %q", gone, r, after)
		}
	})
	leaving := []View{
		{Member: Member{ID: "a", Region: "r", Zone: "z"}, Leaving: true},
		{Member: Member{ID: "b", Region: "r", Zone: "z"}},
		{Member: Member{ID: "c", Region: "r", Zone: "z"}},
	}
	if r := Relays("r", leaving); r[0] == "a" || r[1] == "a" {
		t.Fatalf("a leaving relay: %q", r)
	}
}
