package feed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/node/feed"
)

// drawTargets draws a reading of up to six targets in two regions.
func drawTargets(t *rapid.T) []feed.Target {
	var out []feed.Target
	for k := range 6 {
		if !rapid.Bool().Draw(t, "listed") {
			continue
		}
		out = append(out, feed.Target{
			ID: fmt.Sprint("t", k), Service: "s", Region: []string{"r", "q"}[k%2], Slots: rapid.IntRange(1, 2).Draw(t, "slots"),
			Draining: rapid.Bool().Draw(t, "draining"), ColdMillis: int64(rapid.SampledFrom([]int{0, 0, 900, 2500}).Draw(t, "cold")),
		})
	}
	return out
}

// Guards against an instance that sends to removed targets, or misses new ones: readings differ in
// any way, the instance receives some or none of them, for its region only, and the update is based
// on another list than the one that it holds.
func TestListUpdatesMatchList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := feed.NewStore(me, 1)
		now := t0
		held, last := feed.List{}, feed.List{}
		for range rapid.IntRange(1, 15).Draw(t, "readings") {
			now = now.Add(time.Duration(rapid.IntRange(100, 2000).Draw(t, "pause")) * time.Millisecond)
			last = feed.NewList(drawTargets(t), now, last)
			b.SetList(last, true)
			if !rapid.Bool().Draw(t, "received") {
				continue
			}
			n := b.EncodeListUpdate(now, held.Digest, "r")
			if n == nil {
				if held.Digest != last.Digest {
					t.Fatal("no update for another list")
				}
				continue
			}
			var update feed.ListUpdate
			if err := cbor.Unmarshal(n, &update); err != nil {
				t.Fatal(err)
			}
			next, ok := held.Apply(&update, now, now)
			if !ok {
				t.Fatal("update of another list")
			}
			held = next
			var want []feed.Target
			for _, x := range last.Targets {
				if x.Region == "r" {
					want = append(want, x)
				}
			}
			if len(want) != len(held.Targets) {
				t.Fatalf("%d targets, want %d", len(held.Targets), len(want))
			}
			for k, x := range held.Targets {
				late := x.ColdUntil.Sub(want[k].ColdUntil)
				if x.ID != want[k].ID || x.Slots != want[k].Slots || x.Draining != want[k].Draining || x.Cold() != want[k].Cold() ||
					late > 2*time.Second || late < -2*time.Second {
					t.Fatalf("%+v, want %+v", x, want[k])
				}
			}
		}
	})
}

// Guards against sending the whole list to all instances several times a second: targets are cold,
// each reading has another remaining time, and this counts as a change.
func TestColdTargetsDoNotChangeTheList(t *testing.T) {
	at := func(ms int, cold int64, before feed.List) feed.List {
		return feed.NewList([]feed.Target{{ID: "x", ColdMillis: cold}}, t0.Add(time.Duration(ms)*time.Millisecond), before)
	}
	first := at(0, 3000, feed.List{})
	second := at(700, 2310, first)
	if first.Digest != second.Digest || second.Targets[0].ColdUntil != first.Targets[0].ColdUntil {
		t.Fatal("list differs during the same cold time")
	}
	again := at(1400, 3000, second)
	if again.Digest == second.Digest {
		t.Fatal("list is equal in another cold time")
	}
	if warm := at(5000, 0, again); warm.Digest == again.Digest {
		t.Fatal("list is equal for a warm target")
	}
}

func TestUpdateOfAnotherListIsRejected(t *testing.T) {
	l := feed.List{Digest: 5}
	if _, ok := l.Apply(&feed.ListUpdate{Base: 4, Digest: 6}, t0, t0); ok {
		t.Fatal("update was applied")
	}
}

// Guards against core instances of other regions that get a list of targets 0.3 s late: gossip only
// says that there is one, fetching it takes a round trip, and after a power loss of all instances
// their callers are refused meanwhile. Gossip carries the update to the previous list; instances
// with another list fetch it.
func TestGossipCarriesListUpdate(t *testing.T) {
	now := time.Unix(1000, 0)
	reader := feed.NewStore(feed.Core{ID: "1", Region: "r"}, 1)
	listed := func(at time.Time, ids ...string) {
		var targets []feed.Target
		for _, id := range ids {
			targets = append(targets, feed.Target{ID: id, Service: "s", Region: "q"})
		}
		reader.SetList(feed.NewList(targets, at, reader.List()), true)
	}
	take := func(held feed.List, g feed.Gossip) (feed.List, bool) {
		var n feed.ListUpdate
		if err := cbor.Unmarshal(g.List, &n); err != nil {
			t.Fatal(err)
		}
		return held.Apply(&n, now, now)
	}
	listed(now, "a", "b")
	first, ok := take(feed.List{}, reader.Gossip(now, false, true))
	if !ok || first.Digest != reader.List().Digest || len(first.Targets) != 2 {
		t.Fatalf("%v %+v", ok, first)
	}
	listed(now.Add(time.Second), "a", "c")
	g := reader.Gossip(now.Add(time.Second), true, true)
	second, ok := take(first, g)
	if !ok || second.Digest != reader.List().Digest || len(second.Targets) != 2 || second.Targets[1].ID != "c" {
		t.Fatalf("%v %+v", ok, second)
	}
	if _, ok := take(feed.List{Digest: 7}, g); ok {
		t.Error("an update was applied to another list")
	}
	if g := reader.Gossip(now.Add(time.Second), false, false); g.List != nil || g.ListDigest == 0 {
		t.Errorf("gossip between readings: %+v", g)
	}
	var many []string
	for k := range 2000 {
		many = append(many, fmt.Sprint("target ", k))
	}
	listed(now.Add(2*time.Second), many...)
	if g := reader.Gossip(now.Add(2*time.Second), false, true); g.List != nil {
		t.Errorf("gossip carries a list update of %d bytes", len(g.List))
	}
}

// Guards against lists of targets being most of the traffic between regions of a large site: an
// entry instance whose list has just changed compares with a core instance of another region that
// gets the change a moment later, and the unknown digest is answered with all targets.
func TestOlderListIsNotSent(t *testing.T) {
	b := feed.NewStore(me, 1)
	list := func(n int, at time.Time) feed.List {
		var targets []feed.Target
		for k := range n {
			targets = append(targets, feed.Target{ID: fmt.Sprint("t", k), Service: "s", Region: "q"})
		}
		return feed.NewList(targets, at, feed.List{})
	}
	older, newer := list(1000, t0), list(1001, t0.Add(time.Second))
	now := t0.Add(1200 * time.Millisecond)
	ask := func(digest uint64, age int64) *feed.Update {
		u := &feed.Update{}
		r := feed.Report{Self: feed.Entry{ID: "e", Region: "q"}, Brief: true, ListDigest: digest, ListAgeMillis: age}
		b.FillUpdate(now, r, nil, u)
		return u
	}
	b.SetList(older, false)
	if b.HasListFor(now, &feed.Report{ListDigest: newer.Digest, ListAgeMillis: 200}) {
		t.Error("an answer without a list is not held back")
	}
	if u := ask(newer.Digest, 200); u.List != nil || u.ListAgeMillis != 1200 {
		t.Errorf("%d bytes of a list of %d ms", len(u.List), u.ListAgeMillis)
	}
	if u := ask(0, 0); u.List == nil {
		t.Error("an instance without a list gets none")
	}
	b.SetList(newer, false)
	if !b.HasListFor(now, &feed.Report{ListDigest: older.Digest, ListAgeMillis: 1200}) {
		t.Error("an answer with a list is held back")
	}
	if u := ask(older.Digest, 1200); len(u.List) == 0 || len(u.List) > 200 {
		t.Errorf("%d bytes of changes", len(u.List))
	}
}
