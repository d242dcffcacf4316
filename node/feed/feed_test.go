package feed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/node/feed"
)

var (
	t0 = time.Unix(1000, 0)
	me = feed.Core{ID: "1", Region: "r", Zone: "z"}
)

// Guards against an entry instance that gets no update of its own region for seconds, and sends at
// the full rate to a cold target: the regions are partitioned, no core instance has a leader,
// those of other regions do not answer, and it moves on to them in search of a leader.
func TestFollowsAnsweringCoreWithoutLeader(t *testing.T) {
	Convey("two near core instances without a leader, three unreachable ones", t, func() {
		c, all := feed.NewCoreChooser(), []string{"near1", "near2", "far1", "far2", "far3"}
		c.RecordAnswer("near1", false)
		c.RecordAnswer("near2", false)
		for _, id := range []string{"far1", "far2", "far3"} {
			c.RecordFailure(t0, id)
		}
		So(c.Choose(t0.Add(time.Second), all), ShouldEqual, "near1")

		Convey("one with a leader is preferred, even if farther", func() {
			c.RecordAnswer("far2", true)
			So(c.Choose(t0.Add(time.Second), all), ShouldEqual, "far2")
		})
		Convey("without any answer the one that failed longest ago is tried", func() {
			c.RecordFailure(t0.Add(time.Second), "near1")
			c.RecordFailure(t0.Add(time.Second), "near2")
			So(c.Choose(t0.Add(1500*time.Millisecond), all), ShouldEqual, "far1")
		})
		Convey("one that failed is retried later", func() {
			c.RecordAnswer("near1", true)
			c.RecordFailure(t0.Add(time.Second), "near1")
			So(c.Choose(t0.Add(2*time.Second), all), ShouldNotEqual, "near1")
			c.RecordAnswer("near2", false)
			So(c.Choose(t0.Add(5*time.Second), all), ShouldEqual, "near1")
		})
	})
	Convey("comparing asks another one", t, func() {
		c := feed.NewCoreChooser()
		So(c.ChooseOther(0, "a", []string{"a", "b"}), ShouldEqual, "b")
		So(c.ChooseOther(1, "a", []string{"a", "b"}), ShouldEqual, "b")
		So(c.ChooseOther(5, "a", []string{"a"}), ShouldEqual, "")
	})
}

// Guards against a drained target that returns to the list: lists of several readings arrive in any
// order, and the last one to arrive is taken for the newest.
func TestListNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := feed.NewStore(me, 1)
		var newest time.Time
		for range rapid.IntRange(1, 30).Draw(t, "lists") {
			at := t0.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "at")) * time.Second)
			digest := uint64(at.Unix())
			b.SetList(feed.List{Digest: digest, ReadAt: at}, false)
			if at.After(newest) {
				newest = at
			}
			if got := b.List(); got.Digest != uint64(newest.Unix()) {
				t.Fatalf("list of %v, but one of %v is known", got.ReadAt, newest)
			}
		}
	})
}

func equalWeight(string) int { return 0 }

// Guards against requests with two home regions that are sent to the third one, which must forward
// all of them: all entry instances of a region leave at once, its callers ask the directory, and it
// names all other regions equally, or only one that all routes allow, because some unused route of
// the host is bound elsewhere.
func TestDirectoryPrefersHomeRegions(t *testing.T) {
	entries := []feed.Entry{
		{Region: "a", CallerAddress: "a1"}, {Region: "b", CallerAddress: "b1", Ready: true}, {Region: "c", CallerAddress: "c1", Ready: true},
		{Region: "d", CallerAddress: "d1", Ready: true},
	}
	weights := map[string]int{"b": 1, "c": 40, "d": 40}
	weight := func(region string) int { return weights[region] }
	Convey("the largest weights, the own region first", t, func() {
		So(feed.CallerAddresses(entries, "a", weight), ShouldResemble, []string{"c1", "d1"})
		So(feed.CallerAddresses(entries, "b", weight), ShouldResemble, []string{"b1"})
		So(feed.CallerAddresses(entries, "a", equalWeight), ShouldResemble, []string{"b1", "c1", "d1"})
		So(feed.CallerAddresses(nil, "a", weight), ShouldBeEmpty)
	})
}

// Guards against refusing a tenth of the requests of a route with home regions during a planned
// restart of all entry instances, two seconds apart: those of both home regions leave at the same
// time, those of the third region are back, and the directory gives these to all callers,
// because it treats a leaving instance as removed, though it accepts requests for 3 s.
func TestDirectoryNamesLeavingInstances(t *testing.T) {
	leaving := func(region, callers string) feed.Entry {
		return feed.Entry{Region: region, CallerAddress: callers, Leaving: true}
	}
	ready := func(region, callers string) feed.Entry {
		return feed.Entry{Region: region, CallerAddress: callers, Ready: true}
	}
	gone := feed.Entry{Region: "a", CallerAddress: "a9"}
	weights := map[string]int{"a": 40, "b": 40, "c": 30}
	weight := func(region string) int { return weights[region] }
	Convey("home regions a and b are restarted, c may not serve all", t, func() {
		entries := []feed.Entry{gone, leaving("a", "a1"), leaving("b", "b1"), ready("c", "c1")}
		So(feed.CallerAddresses(entries, "a", weight), ShouldResemble, []string{"a1"})
		So(feed.CallerAddresses(entries, "b", weight), ShouldResemble, []string{"b1"})
		So(feed.CallerAddresses(entries, "c", weight), ShouldResemble, []string{"c1"})
		Convey("a home region that is back serves the others", func() {
			So(feed.CallerAddresses(append(entries, ready("b", "b2")), "a", weight), ShouldResemble, []string{"b2"})
		})
		Convey("without one of the own region any home region is used", func() {
			So(feed.CallerAddresses(entries[2:], "a", weight), ShouldResemble, []string{"b1"})
		})
	})
	Convey("where all regions serve all, a ready one is better", t, func() {
		entries := []feed.Entry{leaving("a", "a1"), ready("c", "c1")}
		So(feed.CallerAddresses(entries, "a", equalWeight), ShouldResemble, []string{"c1"})
		So(feed.CallerAddresses(entries[:1], "a", equalWeight), ShouldResemble, []string{"a1"})
	})
}

// Guards against callers that no instance serves after the loss of a zone, for as long as they use
// the directory's answers: a region has more instances than the directory names, and it names the
// first by address, which are all of one zone.
func TestDirectoryNamesInstancesOfAllZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := map[string]string{}
		var entries []feed.Entry
		counts := []int{rapid.IntRange(0, 300).Draw(t, "a"), rapid.IntRange(0, 300).Draw(t, "b"), rapid.IntRange(0, 30).Draw(t, "c")}
		for z, n := range counts {
			for k := range n {
				e := feed.Entry{ID: fmt.Sprintf("10.%d.0.%d", z, k), Region: "r", Zone: fmt.Sprint("z", z), Ready: true}
				e.CallerAddress = "for callers " + e.ID
				zones[e.CallerAddress] = e.Zone
				entries = append(entries, e)
			}
		}
		got := feed.CallerAddresses(entries, "r", equalWeight)
		if len(got) != min(64, len(entries)) {
			t.Fatalf("%d of %d named", len(got), len(entries))
		}
		of := map[string]int{}
		for _, address := range got {
			of[zones[address]]++
		}
		for z, n := range counts {
			if here := of[fmt.Sprint("z", z)]; here < min(n, 64/len(counts)) {
				t.Fatalf("%d named of the %d of a zone: %v", here, n, of)
			}
		}
	})
}

func TestStoreExpiresSilentInstances(t *testing.T) {
	Convey("an entry instance and a core instance have reported", t, func() {
		b := feed.NewStore(me, 1)
		b.AddReport(t0, feed.Entry{ID: "e1", Region: "r", CallerAddress: "c1", Ready: true})
		b.MergeGossip(t0, feed.Gossip{
			From:    feed.Core{ID: "0", Region: "q"},
			Entries: []feed.Entry{{ID: "e2", Region: "q", CallerAddress: "c2", Ready: true, AgeMillis: 1000}},
		})
		So(len(b.Entries(t0)), ShouldEqual, 2)
		So(b.Rank(t0), ShouldEqual, 1)
		So(feed.CallerAddresses(b.Entries(t0), "r", equalWeight), ShouldResemble, []string{"c1"})
		So(feed.CallerAddresses(b.Entries(t0), "nowhere", equalWeight), ShouldResemble, []string{"c1", "c2"})

		Convey("the age in gossip counts", func() {
			So(len(b.Entries(t0.Add(feed.EntryTTL-time.Second/2))), ShouldEqual, 1)
		})
		Convey("both expire", func() {
			So(b.Entries(t0.Add(feed.EntryTTL)), ShouldBeEmpty)
			So(b.Rank(t0.Add(feed.CoreTTL)), ShouldEqual, 0)
		})
		Convey("one that leaves is not named and wakes waiting reports", func() {
			changed := b.Changed()
			b.AddReport(t0, feed.Entry{ID: "e1", Region: "r", CallerAddress: "c1"})
			woken := false
			select {
			case <-changed:
				woken = true
			default:
			}
			So(woken, ShouldBeTrue)
			So(feed.CallerAddresses(b.Entries(t0), "r", equalWeight), ShouldResemble, []string{"c2"})
		})
	})
}

// Guards against core instances that run out of processor time during a planned restart: a sixth of
// a thousand entry instances restart within seconds, each departure causes answers to all others at
// once, and the others report as often as if there were few.
func TestManyReportersAreAnsweredLessOften(t *testing.T) {
	const reporters, restarts = 400, 100
	entry := func(n int, ready bool) feed.Entry {
		return feed.Entry{ID: fmt.Sprint("e", n), Region: "r", Ready: ready}
	}
	b := feed.NewStore(me, 1)
	for n := range reporters {
		b.AddReport(t0, entry(n, true))
	}
	b.FillUpdate(t0, feed.Report{}, nil, &feed.Update{})
	wakeUps, now := 0, t0
	for n := range restarts {
		now = now.Add(10 * time.Millisecond)
		changed := b.Changed()
		b.AddReport(now, entry(n, false))
		b.WakeIfDue(now)
		select {
		case <-changed:
			wakeUps++
		default:
		}
		// The others continue to report.
		b.AddReport(now, entry(reporters-1, true))
	}
	if wakeUps < 2 || wakeUps > 4 {
		t.Errorf("%d wake-ups for %d reporters in %v", wakeUps, reporters, now.Sub(t0))
	}
	changed := b.Changed()
	b.AddReport(now, entry(restarts, false))
	b.WakeIfDue(now.Add(time.Second))
	select {
	case <-changed:
	default:
		t.Error("the last departure wakes no report")
	}
	if got := b.ReportWait(200 * time.Millisecond); got != 400*time.Millisecond {
		t.Errorf("reports wait %v", got)
	}
	if got := feed.NewStore(me, 1).ReportWait(200 * time.Millisecond); got != 200*time.Millisecond {
		t.Errorf("reports of a small site wait %v", got)
	}
}

// Guards against gossip that grows with the square of the number of core instances: entry instances
// follow one and compare with each of the others in turn, and each core instance forwards each
// instance that has compared with it.
func TestComparisonsAreNotForwarded(t *testing.T) {
	Convey("an entry instance that follows another core instance", t, func() {
		e := feed.Entry{ID: "e1", Region: "r", CallerAddress: "c1", Ready: true}
		b := feed.NewStore(me, 1)
		b.MergeGossip(t0, feed.Gossip{From: feed.Core{ID: "2", Region: "r"}, Entries: []feed.Entry{e}})
		received := func(at time.Time) []feed.Entry { return b.Gossip(at, false, false).Entries }
		later := t0.Add(time.Second)
		b.AddComparison(later, e)
		So(received(later), ShouldBeEmpty)
		Convey("is forwarded when the other one is silent", func() {
			later = t0.Add(2 * time.Second)
			b.AddComparison(later, e)
			So(len(received(later)), ShouldEqual, 1)
		})
		Convey("is forwarded when it leaves", func() {
			e.Ready = false
			b.AddComparison(later, e)
			So(len(received(later)), ShouldEqual, 1)
			So(received(later)[0].Ready, ShouldBeFalse)
		})
		Convey("is forwarded when it follows this one", func() {
			b.AddReport(later, e)
			So(len(received(later)), ShouldEqual, 1)
			b.AddComparison(later.Add(time.Second), e)
			So(len(received(later.Add(time.Second))), ShouldEqual, 1)
		})
	})
}

func TestGossipCarriesOwnReadingsAndSums(t *testing.T) {
	Convey("a core instance that has read the list", t, func() {
		b := feed.NewStore(me, 1)
		b.SetList(feed.List{
			Digest: 9, ReadAt: t0,
			Targets: []feed.Target{{ID: "x", Service: "s", Region: "r"}, {ID: "y", Service: "s", Region: "q"}},
		}, true)
		b.AddReport(t0, feed.Entry{ID: "e1", Region: "r", Ready: true, Loads: []feed.Load{{Target: "x", Running: 2, PendingPrefill: []int{50}}}})
		b.AddReport(t0, feed.Entry{ID: "e2", Region: "r", Ready: true, Loads: []feed.Load{{Target: "x", Running: 1, PendingPrefill: []int{5}}}})
		near := b.Gossip(t0.Add(time.Second), true, false)
		far := b.Gossip(t0.Add(time.Second), false, false)
		So(near.ListDigest, ShouldEqual, 9)
		So(near.ListAgeMillis, ShouldEqual, 1000)
		So(near.Loads, ShouldResemble, []feed.Load{{Target: "x", Running: 3, PendingPrefill: []int{55}}})
		So(far.Loads, ShouldBeEmpty)
		So(near.Entries[0].Loads, ShouldBeEmpty)
		So(far.Regions, ShouldResemble, []feed.Summary{{Region: "r", Service: "s", Running: 3, PendingPrefill: []int{55}}})

		// Guards against all regions forwarding to an overloaded one: its core instances are cut
		// off for three seconds, its targets are listed, and an unreported load counts as none.
		Convey("and marks regions of unknown load", func() {
			regions := func(at time.Time) feed.Summary {
				var u feed.Update
				b.FillUpdate(at, feed.Report{Self: feed.Entry{ID: "e1", Region: "r"}}, nil, &u)
				return u.Regions[0]
			}
			b.MergeGossip(t0.Add(time.Second), feed.Gossip{From: feed.Core{ID: "4", Region: "q"}, Regions: []feed.Summary{{Region: "q", Service: "s", Running: 7}}})
			received := regions(t0.Add(2 * time.Second))
			So(received.LoadUnknown, ShouldBeFalse)
			So(received.Running, ShouldEqual, 7)
			So(regions(t0.Add(5*time.Second)).LoadUnknown, ShouldBeTrue)
			// An idle region reports no service.
			b.MergeGossip(t0.Add(6*time.Second), feed.Gossip{From: feed.Core{ID: "4", Region: "q"}})
			So(regions(t0.Add(7*time.Second)).LoadUnknown, ShouldBeFalse)
		})
		Convey("and forwards the prefill speed of the region", func() {
			// Guards against judging this region by a prefill speed that is not its own: its entry
			// instances report to two core instances, and the sums of only one of them are passed
			// on, or none.
			//
			// The time is later as answers of the same moment share an aggregate.
			later := t0.Add(1500 * time.Millisecond)
			read := func(tokens, millis int64) []feed.PrefillSums {
				return []feed.PrefillSums{{Service: "s", Tokens: tokens, Millis: millis}}
			}
			b.AddReport(t0, feed.Entry{ID: "e1", Region: "r", Ready: true, PrefillSums: read(1000, 30)})
			b.AddReport(t0, feed.Entry{ID: "e3", Region: "q", Ready: true, PrefillSums: read(7000, 7000)})
			b.MergeGossip(t0, feed.Gossip{From: feed.Core{ID: "2", Region: "r"}, PrefillSums: read(2000, 50)})
			received := b.Gossip(later, true, false)
			So(received.PrefillSums, ShouldResemble, read(1000, 30))
			So(received.Entries[0].PrefillSums, ShouldBeEmpty)
			So(b.Gossip(later, false, false).PrefillSums, ShouldBeEmpty)
			So(received.Regions[0].PrefillSumTokens, ShouldEqual, 3000)
			So(received.Regions[0].PrefillSumMillis, ShouldEqual, 80)

			other := feed.NewStore(feed.Core{ID: "3", Region: "q"}, 1)
			other.SetList(b.List(), false)
			other.MergeGossip(later, received)
			var u feed.Update
			other.FillUpdate(later, feed.Report{Self: feed.Entry{Region: "q"}}, nil, &u)
			So(u.Regions[0].PrefillSumTokens, ShouldEqual, 3000)
			So(u.Regions[0].PrefillSumMillis, ShouldEqual, 80)
		})
		Convey("another one has to fetch the list", func() {
			other := feed.NewStore(feed.Core{ID: "3", Region: "q"}, 1)
			So(other.MergeGossip(t0, far), ShouldBeTrue)
			var u feed.Update
			other.FillUpdate(t0, feed.Report{Self: feed.Entry{Region: "q"}}, nil, &u)
			So(u.ListAgeMillis, ShouldEqual, -1)
			So(u.List, ShouldBeNil)
		})
		Convey("and adds the loads that others of the region report", func() {
			b.MergeGossip(t0, feed.Gossip{From: feed.Core{ID: "2", Region: "r"}, Loads: []feed.Load{{Target: "x", Running: 10, PendingPrefill: []int{1}}}})
			var u feed.Update
			b.FillUpdate(t0, feed.Report{Self: feed.Entry{ID: "e1", Region: "r"}}, nil, &u)
			So(u.Loads, ShouldResemble, []feed.Load{{Target: "x", Running: 11, PendingPrefill: []int{6}}})
		})
		Convey("and sends targets only where the digest differs", func() {
			var known, unknown feed.Update
			b.FillUpdate(t0, feed.Report{ListDigest: 9, Self: feed.Entry{ID: "e1", Region: "r"}}, nil, &known)
			b.FillUpdate(t0, feed.Report{Self: feed.Entry{ID: "e1", Region: "r"}}, nil, &unknown)
			So(known.List, ShouldBeNil)
			var list feed.ListUpdate
			So(cbor.Unmarshal(unknown.List, &list), ShouldBeNil)
			// The other target is in another region.
			So(len(list.Targets), ShouldEqual, 1)
			So(list.Base, ShouldEqual, 0)
			So(known.Regions, ShouldResemble, []feed.Summary{{Region: "q", Service: "s", Targets: 1, LoadUnknown: true}})
			// The receiver removes itself.
			So(len(known.Entries.Entries), ShouldEqual, 2)
			others := feed.Known{Self: "e1"}
			So(others.Apply(known.Entries), ShouldBeTrue)
			So(len(others.Entries), ShouldEqual, 1)
			// The receiver's own load is not among those of the others.
			So(known.Loads, ShouldResemble, []feed.Load{{Target: "x", Running: 1, PendingPrefill: []int{5}}})
			report := feed.Report{EntriesEpoch: known.Entries.Epoch, EntriesAt: known.Entries.At, CoresDigest: known.CoresDigest, Self: feed.Entry{ID: "e1", Region: "r"}}
			var again feed.Update
			b.FillUpdate(t0, report, nil, &again)
			So(again.Entries, ShouldBeNil)
			So(again.Cores, ShouldBeEmpty)
			So(again.CoresDigest, ShouldEqual, 0)
			b.AddReport(t0, feed.Entry{ID: "e2", Region: "r"})
			b.FillUpdate(t0, report, nil, &again)
			So(len(again.Entries.Entries), ShouldEqual, 1)
			So(again.Entries.Base, ShouldEqual, report.EntriesAt)
			var brief feed.Update
			report.Brief, report.EntriesAt = true, 0
			b.FillUpdate(t0, report, nil, &brief)
			So(brief, ShouldResemble, feed.Update{ListAgeMillis: 0, List: brief.List})
		})
	})
}
