package feed_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/node/feed"
)

// readyIn returns the n-th ready entry of region r, in one of some zones.
func readyIn(n, zones int, capacity float64) feed.Entry {
	return feed.Entry{ID: fmt.Sprint("10.0.0.", n), Region: "r", Zone: fmt.Sprint("z", n%zones), CallerAddress: fmt.Sprint("c", n), Ready: true, Capacity: capacity}
}

// Guards against small instances that run out of processor time while large ones idle: callers are not
// divided in proportion to capacity, by instance and by zone.
func TestDirectoryFollowsCapacity(t *testing.T) {
	for large := 1; large < 20; large++ {
		var entries []feed.Entry
		for n := range 20 {
			entries = append(entries, readyIn(n, 3, 144))
			if n < large {
				entries[n].Capacity *= 3
			}
		}
		list := feed.CallerAddresses(entries, "r", equalWeight)
		capacity, copies, total := map[string]float64{}, map[string]float64{}, 0.0
		for _, e := range entries {
			listed := float64(len(slices.DeleteFunc(slices.Clone(list), func(a string) bool { return a != e.CallerAddress })))
			for _, name := range []string{e.ID, e.Zone} {
				capacity[name] += e.Capacity
				copies[name] += listed
			}
			total += e.Capacity
		}
		for name, c := range capacity {
			if ratio := copies[name] / float64(len(list)) * total / c; math.Abs(ratio-1) > 0.1 {
				t.Errorf("%d large: %s gets %.2f of what its capacity allows", large, name, ratio)
			}
		}
	}
}

// Guards against connections that callers close for no reason: instances name different lists, or one
// that joins removes others.
func TestWeightedListsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Two that differ, so that the list is weighted.
		entries := []feed.Entry{readyIn(0, 3, 600), readyIn(1, 3, 700)}
		for n := range rapid.IntRange(0, 300).Draw(t, "entries") {
			entries = append(entries, readyIn(n+2, 3, float64(rapid.IntRange(0, 10).Draw(t, "capacity"))*50))
		}
		list := feed.CallerAddresses(entries, "r", equalWeight)
		if other := feed.CallerAddresses(rapid.Permutation(entries).Draw(t, "order"), "r", equalWeight); !slices.Equal(list, other) {
			t.Fatalf("two instances name\n%v\n%v", list, other)
		}
		if names := slices.Compact(slices.Sorted(slices.Values(list))); len(list) > 64 || len(names) != min(64, len(entries)) {
			t.Fatalf("%d addresses of %d of %d instances", len(list), len(names), len(entries))
		}
		for _, address := range feed.CallerAddresses(entries[:len(entries)-1], "r", equalWeight) {
			if len(entries) <= 64 && !slices.Contains(list, address) {
				t.Fatalf("%s is gone after another one has joined", address)
			}
		}
	})
}

// Guards against a list that changes where capacities are equal, unknown or invalid.
func TestEqualCapacitiesChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var entries, equal []feed.Entry
		for n := range rapid.IntRange(0, 300).Draw(t, "entries") {
			entries = append(entries, readyIn(n, 4, 0))
			equal = append(equal, readyIn(n, 4, rapid.SampledFrom([]float64{0, 250, 250, -1, math.NaN(), math.Inf(1), 1e300}).Draw(t, "capacity")))
		}
		want, got := feed.CallerAddresses(entries, "r", equalWeight), feed.CallerAddresses(equal, "r", equalWeight)
		if !slices.Equal(want, got) {
			t.Fatalf("named %v, without capacities %v", got, want)
		}
	})
}

// Guards against callers that lose most instances with one zone, as the largest of 300 are in it.
func TestZonesAreBalancedInCapacity(t *testing.T) {
	var entries []feed.Entry
	for n := range 300 {
		entries = append(entries, readyIn(n, 3, 144))
		if n%3 == 0 {
			entries[n].Capacity *= 3
		}
	}
	list, zones := feed.CallerAddresses(entries, "r", equalWeight), map[string]float64{}
	for _, e := range entries {
		if slices.Contains(list, e.CallerAddress) {
			zones[e.Zone] += e.Capacity
		}
	}
	all := slices.Sorted(maps.Values(zones))
	// They cannot differ by less than one instance.
	if len(list) != 64 || len(all) != 3 || all[2]-all[0] > 3*144 {
		t.Errorf("%d addresses, capacities by zone %v", len(list), zones)
	}
}

func TestUnknownCapacities(t *testing.T) {
	Convey("they count as the median of their region, or of all", t, func() {
		of := func(region string, capacity float64) feed.Entry {
			return feed.Entry{Region: region, Capacity: capacity}
		}
		So(feed.Capacities([]feed.Entry{
			of("a", 100), of("a", 0), of("a", 300), of("a", 200), of("b", 700), of("b", math.Inf(1)), of("c", -1), of("c", math.NaN()),
		}), ShouldResemble, []float64{100, 200, 300, 200, 700, 700, 250, 250})
		So(feed.Capacities([]feed.Entry{of("a", 50), of("b", 0), of("b", 50)}), ShouldBeNil)
		So(feed.Capacities(nil), ShouldBeNil)
	})
	// Guards against an entry that is sent to all others again and again, as a capacity that is not a
	// number differs from itself, and against one that is lost on the way to other regions.
	Convey("changes reach others, also through another core instance; invalid ones are counted", t, func() {
		near, far := feed.NewStore(me, 1), feed.NewStore(feed.Core{ID: "2", Region: "q"}, 2)
		known, now := feed.Known{Self: "receiver"}, t0
		for _, capacity := range []float64{192, math.NaN(), 480} {
			now = now.Add(feed.EntryTTL / 2)
			near.AddReport(now, feed.Entry{ID: "e", Region: "r", Ready: true, Capacity: capacity})
			far.MergeGossip(now, near.Gossip(now, false, false))
			var u feed.Update
			far.FillUpdate(now, feed.Report{Self: feed.Entry{ID: known.Self, Region: "q"}, EntriesEpoch: known.Epoch, EntriesAt: known.At}, nil, &u)
			So(u.Entries, ShouldNotBeNil)
			So(known.Apply(u.Entries), ShouldBeTrue)
			So(known.Entries[0].Capacity, ShouldEqual, map[bool]float64{true: capacity}[feed.ValidCapacity(capacity)])
		}
		So([]int{near.InvalidCapacities(), far.InvalidCapacities()}, ShouldResemble, []int{1, 0})
	})
}
