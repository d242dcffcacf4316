package pick_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/route/pick"
)

// regionPools returns the pools of the entry instances of a region, by instance ID, and the snapshot
// that they all got.
func regionPools(instances, n int, rules pick.ServiceRules) (pools map[string]*pick.Pool, s pick.Snapshot) {
	s = pick.Snapshot{Targets: targets(n), Rules: map[string]pick.ServiceRules{"s": rules}, PartialLoads: true}
	for k := range instances {
		s.Entries = append(s.Entries, fmt.Sprint("e", k))
	}
	pools = map[string]*pick.Pool{}
	for _, id := range s.Entries {
		pools[id] = pick.New(id)
		pools[id].Update(t0, s)
	}
	return pools, s
}

// Guards against targets whose loads are reported to no instance that chooses among them: instances
// and the reporter of loads assign groups differently, or a group has no owner.
func TestLoadsOfAllGroupsAreWatched(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances, n := rapid.IntRange(1, 60).Draw(t, "instances"), rapid.IntRange(1, 900).Draw(t, "targets")
		pools, s := regionPools(instances, n, pick.ServiceRules{Engine: true})
		watched := map[pick.Group]int{}
		for _, p := range pools {
			for _, g := range p.WatchedGroups() {
				watched[g]++
			}
		}
		var ids []string
		for _, x := range s.Targets {
			ids = append(ids, x.ID)
		}
		groupOf := pick.AssignGroups("s", ids)
		for id, g := range groupOf {
			if watched[g] != min(2, instances) {
				t.Fatalf("the loads of %s in %v are watched by %d instances", id, g, watched[g])
			}
		}
		for subject := range uint64(5) {
			c := call(subject)
			owner := pools[pools["e0"].Owner(c)]
			choice, _ := owner.Pick(t0, c)
			mine := map[pick.Group]bool{}
			for _, g := range owner.WatchedGroups() {
				mine[g] = true
			}
			if !mine[groupOf[choice.ID]] {
				t.Fatalf("chose %s of a group whose loads it does not watch", choice.ID)
			}
		}
	})
}

// Guards against one instance of three hundred at the limit of its CPU, with plain requests waiting
// for it, because it owns all requests of a plain service with a hundred targets.
func TestLargePlainServiceHasManyOwners(t *testing.T) {
	pools, _ := regionPools(300, 120, pick.ServiceRules{})
	owned, chosen := map[string]int{}, map[string]int{}
	const calls = 600
	for k := range uint64(calls) {
		c := pick.Call{Service: "s", SpreadKey: k * 0x9e3779b97f4a7c15}
		by := pools["e0"].Owner(c)
		owned[by]++
		choice, _ := pools[by].Pick(t0, c)
		chosen[choice.ID]++
	}
	if len(owned) != 6 {
		t.Errorf("%d owners", len(owned))
	}
	for id, n := range owned {
		if n > calls/3 {
			t.Errorf("%s owns %d of %d", id, n, calls)
		}
	}
	for id, n := range chosen {
		if n > 3*calls/120 {
			t.Errorf("%s gets %d of %d", id, n, calls)
		}
	}
}

// Guards against targets that look busy or idle but are not, because UpdateLoads leaves other loads
// than Update.
func TestUpdateLoadsMatchesUpdate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, alone := pick.New("e"), pick.New("e")
		s := pick.Snapshot{Targets: targets(30), Entries: []string{"e"}, Rules: engines()}
		alone.Update(t0, s)
		for step := range 5 {
			now := t0.Add(time.Duration(step) * 200 * time.Millisecond)
			s.Loads = map[string]pick.Load{}
			for range rapid.IntRange(0, 40).Draw(t, "loads") {
				id := fmt.Sprint("t", rapid.IntRange(0, 35).Draw(t, "target"))
				s.Loads[id] = pick.Load{Running: rapid.IntRange(1, 9).Draw(t, "running"), PendingPrefill: pick.QueueOf(0, 1000)}
			}
			whole.Update(now, s)
			alone.UpdateLoads(now, s.Loads)
			c := call(rapid.Uint64Range(1, 9).Draw(t, "subject"))
			x, _ := whole.Pick(now, c)
			y, _ := alone.Pick(now, c)
			if x.ID != y.ID || x.Cost != y.Cost {
				t.Fatalf("%s at %v against %s at %v", x.ID, x.Cost, y.ID, y.Cost)
			}
		}
	})
}

// Guards against many group owners that crowd one target outside their groups while others are
// idle. This happens when groups have no usable target, as after a crash, and the loads elsewhere
// are unknown: all choose the first target that looks idle.
func TestOverflowOfGroupsIsSpread(t *testing.T) {
	pools, s := regionPools(40, 400, pick.ServiceRules{Engine: true})
	chosen := map[string]int{}
	for k, id := range s.Entries {
		p := pools[id]
		c := call(uint64(k))
		c.SpreadKey = uint64(k) * 0x9e3779b97f4a7c15
		for {
			first, _ := p.Pick(t0, c)
			if len(c.Tried) == 60 {
				chosen[first.ID]++
				break
			}
			c.Tried = append(c.Tried, first.ID)
		}
	}
	for id, n := range chosen {
		if n > 3 {
			t.Errorf("%d of %d meet at %s", n, len(s.Entries), id)
		}
	}
}

func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{400, 4000, 8000} {
		s := pick.Snapshot{Targets: targets(n), Rules: engines(), PartialLoads: true, Loads: map[string]pick.Load{}}
		for k := range 300 {
			s.Entries = append(s.Entries, fmt.Sprint("e", k))
		}
		for k := range 60 {
			s.Loads[fmt.Sprint("t", k)] = pick.Load{Running: 2}
		}
		p := pick.New("e0")
		p.Update(t0, s)
		b.Run(fmt.Sprint("all/", n), func(b *testing.B) {
			for b.Loop() {
				p.Update(t0, s)
			}
		})
		b.Run(fmt.Sprint("loads/", n), func(b *testing.B) {
			for b.Loop() {
				p.UpdateLoads(t0, s.Loads)
			}
		})
	}
}
