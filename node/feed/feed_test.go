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

// Symptom: while the regions are cut from each other an entry instance hears nothing
// of its own region for seconds, and sends at the full rate to a cold target.
// Events: no core instance hears from a leader; those of other regions do not answer.
// Cause: it went on to the next core instance in search of a leader.
func TestFollowsOneThatAnswersWhileNoneIsLed(t *testing.T) {
	Convey("two near core instances without a leader, three out of reach", t, func() {
		c, all := feed.NewCoreChooser(), []string{"near1", "near2", "far1", "far2", "far3"}
		c.RecordAnswer("near1", false)
		c.RecordAnswer("near2", false)
		for _, id := range []string{"far1", "far2", "far3"} {
			c.RecordFailure(t0, id)
		}
		So(c.Choose(t0.Add(time.Second), all), ShouldEqual, "near1")

		Convey("a led one is preferred, be it farther", func() {
			c.RecordAnswer("far2", true)
			So(c.Choose(t0.Add(time.Second), all), ShouldEqual, "far2")
		})
		Convey("without any answer the one that failed longest ago is tried", func() {
			c.RecordFailure(t0.Add(time.Second), "near1")
			c.RecordFailure(t0.Add(time.Second), "near2")
			So(c.Choose(t0.Add(1500*time.Millisecond), all), ShouldEqual, "far1")
		})
		Convey("one that failed is tried again after a while", func() {
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

// Symptom: a drained target comes back into the list.
// Events: lists of several readings arrive in any order.
// Cause: the list that came last was taken for the newest.
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
				t.Fatalf("list of %v while one of %v is known", got.ReadAt, newest)
			}
		}
	})
}

func alike(string) int { return 0 }

// Symptom: requests that are bound to two regions are sent to the third one, which
// has to pass all of them on.
// Events: all entry instances of a region are leaving at once; its callers ask the
// directory, for a host of which some route that nobody uses is bound elsewhere.
// Cause: the directory named all other regions alike, or only one that all routes allow.
func TestDirectoryPrefersHomesWhereTheRegionHasNone(t *testing.T) {
	entries := []feed.Entry{
		{Region: "a", CallerAddress: "a1"}, {Region: "b", CallerAddress: "b1", Ready: true}, {Region: "c", CallerAddress: "c1", Ready: true},
		{Region: "d", CallerAddress: "d1", Ready: true},
	}
	weights := map[string]int{"b": 1, "c": 40, "d": 40}
	weight := func(region string) int { return weights[region] }
	Convey("the largest weights, the own region before all", t, func() {
		So(feed.CallerAddresses(entries, "a", weight), ShouldResemble, []string{"c1", "d1"})
		So(feed.CallerAddresses(entries, "b", weight), ShouldResemble, []string{"b1"})
		So(feed.CallerAddresses(entries, "a", alike), ShouldResemble, []string{"b1", "c1", "d1"})
		So(feed.CallerAddresses(nil, "a", weight), ShouldBeEmpty)
	})
}

// Symptom: a tenth of the requests of a route with homes are refused during a planned
// restart of all entry instances, two seconds apart.
// Events: the instances of both home regions leave at the same time; the third region's
// are back. The directory names these to all callers.
// Cause: an instance that leaves was taken for gone, though it takes requests for 3 s.
func TestDirectoryNamesLeavingInstancesWhereNoReadyOneServesAll(t *testing.T) {
	leaving := func(region, callers string) feed.Entry {
		return feed.Entry{Region: region, CallerAddress: callers, Leaving: true}
	}
	ready := func(region, callers string) feed.Entry {
		return feed.Entry{Region: region, CallerAddress: callers, Ready: true}
	}
	gone := feed.Entry{Region: "a", CallerAddress: "a9"}
	weights := map[string]int{"a": 40, "b": 40, "c": 30}
	weight := func(region string) int { return weights[region] }
	Convey("homes a and b are restarted, c may not serve all", t, func() {
		entries := []feed.Entry{gone, leaving("a", "a1"), leaving("b", "b1"), ready("c", "c1")}
		So(feed.CallerAddresses(entries, "a", weight), ShouldResemble, []string{"a1"})
		So(feed.CallerAddresses(entries, "b", weight), ShouldResemble, []string{"b1"})
		So(feed.CallerAddresses(entries, "c", weight), ShouldResemble, []string{"c1"})
		Convey("a home that is back serves the others", func() {
			So(feed.CallerAddresses(append(entries, ready("b", "b2")), "a", weight), ShouldResemble, []string{"b2"})
		})
		Convey("without one of the own region any home will do", func() {
			So(feed.CallerAddresses(entries[2:], "a", weight), ShouldResemble, []string{"b1"})
		})
	})
	Convey("where all regions serve all, a ready one is better", t, func() {
		entries := []feed.Entry{leaving("a", "a1"), ready("c", "c1")}
		So(feed.CallerAddresses(entries, "a", alike), ShouldResemble, []string{"c1"})
		So(feed.CallerAddresses(entries[:1], "a", alike), ShouldResemble, []string{"a1"})
	})
}

// Symptom: after the loss of a zone the callers of its region are served by nobody for as long
// as they believe the directory's answers.
// Events: a region has more instances than the directory names to a caller.
// Cause: those named were the first by address, which are all of one zone.
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
		got := feed.CallerAddresses(entries, "r", alike)
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

func TestBoardForgetsWhoIsSilent(t *testing.T) {
	Convey("an entry instance and a core instance were heard", t, func() {
		b := feed.NewStore(me, 1)
		b.AddReport(t0, feed.Entry{ID: "e1", Region: "r", CallerAddress: "c1", Ready: true})
		b.MergeGossip(t0, feed.Gossip{
			From:    feed.Core{ID: "0", Region: "q"},
			Entries: []feed.Entry{{ID: "e2", Region: "q", CallerAddress: "c2", Ready: true, AgeMillis: 1000}},
		})
		So(len(b.Entries(t0)), ShouldEqual, 2)
		So(b.Rank(t0), ShouldEqual, 1)
		So(feed.CallerAddresses(b.Entries(t0), "r", alike), ShouldResemble, []string{"c1"})
		So(feed.CallerAddresses(b.Entries(t0), "nowhere", alike), ShouldResemble, []string{"c1", "c2"})

		Convey("an age that was handed on counts", func() {
			So(len(b.Entries(t0.Add(feed.EntryTTL-time.Second/2))), ShouldEqual, 1)
		})
		Convey("after their lives both are gone", func() {
			So(b.Entries(t0.Add(feed.EntryTTL)), ShouldBeEmpty)
			So(b.Rank(t0.Add(feed.CoreTTL)), ShouldEqual, 0)
		})
		Convey("one that leaves is not named and wakes who waits", func() {
			changed := b.Changed()
			b.AddReport(t0, feed.Entry{ID: "e1", Region: "r", CallerAddress: "c1"})
			woken := false
			select {
			case <-changed:
				woken = true
			default:
			}
			So(woken, ShouldBeTrue)
			So(feed.CallerAddresses(b.Entries(t0), "r", alike), ShouldResemble, []string{"c2"})
		})
	})
}

// Symptom: core instances are at the end of their processor while a planned restart goes on.
// Events: a sixth of a thousand entry instances restart within some seconds.
// Cause: each that left was a reason to answer all others at once; and the others reported as
// often as where there are few.
func TestManyReportersAreAnsweredSeldomer(t *testing.T) {
	const reporters, restarts = 400, 100
	entry := func(n int, ready bool) feed.Entry {
		return feed.Entry{ID: fmt.Sprint("e", n), Region: "r", Ready: ready}
	}
	b := feed.NewStore(me, 1)
	for n := range reporters {
		b.AddReport(t0, entry(n, true))
	}
	b.FillUpdate(t0, feed.Report{}, nil, &feed.Update{})
	wakes, now := 0, t0
	for n := range restarts {
		now = now.Add(10 * time.Millisecond)
		changed := b.Changed()
		b.AddReport(now, entry(n, false))
		b.WakeIfDue(now)
		select {
		case <-changed:
			wakes++
		default:
		}
		// The others go on to report.
		b.AddReport(now, entry(reporters-1, true))
	}
	if wakes < 2 || wakes > 4 {
		t.Errorf("%d wakes for %d reporters in %v", wakes, reporters, now.Sub(t0))
	}
	changed := b.Changed()
	b.AddReport(now, entry(restarts, false))
	b.WakeIfDue(now.Add(time.Second))
	select {
	case <-changed:
	default:
		t.Error("nobody hears of the last that left")
	}
	if got := b.ReportWait(200 * time.Millisecond); got != 400*time.Millisecond {
		t.Errorf("reports wait %v", got)
	}
	if got := feed.NewStore(me, 1).ReportWait(200 * time.Millisecond); got != 200*time.Millisecond {
		t.Errorf("reports of a small site wait %v", got)
	}
}

// Symptom: the gossip of core instances grows with the square of their number.
// Events: entry instances follow one core instance and compare with each of the others in turn.
// Cause: each core instance told all others of each instance that had compared with it.
func TestWhoComparesIsToldByTheFollowedOne(t *testing.T) {
	Convey("an entry instance that follows another core instance", t, func() {
		e := feed.Entry{ID: "e1", Region: "r", CallerAddress: "c1", Ready: true}
		b := feed.NewStore(me, 1)
		b.MergeGossip(t0, feed.Gossip{From: feed.Core{ID: "2", Region: "r"}, Entries: []feed.Entry{e}})
		told := func(at time.Time) []feed.Entry { return b.Gossip(at, false, false).Entries }
		later := t0.Add(time.Second)
		b.AddComparison(later, e)
		So(told(later), ShouldBeEmpty)
		Convey("is told of here when the other one falls silent", func() {
			later = t0.Add(2 * time.Second)
			b.AddComparison(later, e)
			So(len(told(later)), ShouldEqual, 1)
		})
		Convey("is told of here when it leaves", func() {
			e.Ready = false
			b.AddComparison(later, e)
			So(len(told(later)), ShouldEqual, 1)
			So(told(later)[0].Ready, ShouldBeFalse)
		})
		Convey("is told of here when it turns to this one", func() {
			b.AddReport(later, e)
			So(len(told(later)), ShouldEqual, 1)
			b.AddComparison(later.Add(time.Second), e)
			So(len(told(later.Add(time.Second))), ShouldEqual, 1)
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

		// Symptom: instances of other regions judge this one by a pace that is not its own.
		// Events: entry instances that report to two core instances of the region tell how
		// fast engines read.
		// Cause: the sums of one core instance only were told, or none.
		// Symptom: all regions pass on to one that is crowded.
		// Events: the core instances of a region are cut off for three seconds.
		// Cause: its targets were listed, and a load that nobody told counted as none.
		Convey("and says where the load of a region is not known", func() {
			regions := func(at time.Time) feed.Summary {
				var u feed.Update
				b.FillUpdate(at, feed.Report{Self: feed.Entry{ID: "e1", Region: "r"}}, nil, &u)
				return u.Regions[0]
			}
			b.MergeGossip(t0.Add(time.Second), feed.Gossip{From: feed.Core{ID: "4", Region: "q"}, Regions: []feed.Summary{{Region: "q", Service: "s", Running: 7}}})
			told := regions(t0.Add(2 * time.Second))
			So(told.LoadUnknown, ShouldBeFalse)
			So(told.Running, ShouldEqual, 7)
			So(regions(t0.Add(5*time.Second)).LoadUnknown, ShouldBeTrue)
			// An idle region tells nothing of any service.
			b.MergeGossip(t0.Add(6*time.Second), feed.Gossip{From: feed.Core{ID: "4", Region: "q"}})
			So(regions(t0.Add(7*time.Second)).LoadUnknown, ShouldBeFalse)
		})
		Convey("and tells how fast the engines of the region read", func() {
			// Answers of one moment have their sums in common.
			later := t0.Add(1500 * time.Millisecond)
			read := func(tokens, millis int64) []feed.PrefillSums {
				return []feed.PrefillSums{{Service: "s", Tokens: tokens, Millis: millis}}
			}
			b.AddReport(t0, feed.Entry{ID: "e1", Region: "r", Ready: true, PrefillSums: read(1000, 30)})
			b.AddReport(t0, feed.Entry{ID: "e3", Region: "q", Ready: true, PrefillSums: read(7000, 7000)})
			b.MergeGossip(t0, feed.Gossip{From: feed.Core{ID: "2", Region: "r"}, PrefillSums: read(2000, 50)})
			told := b.Gossip(later, true, false)
			So(told.PrefillSums, ShouldResemble, read(1000, 30))
			So(told.Entries[0].PrefillSums, ShouldBeEmpty)
			So(b.Gossip(later, false, false).PrefillSums, ShouldBeEmpty)
			So(told.Regions[0].PrefillSumTokens, ShouldEqual, 3000)
			So(told.Regions[0].PrefillSumMillis, ShouldEqual, 80)

			other := feed.NewStore(feed.Core{ID: "3", Region: "q"}, 1)
			other.SetList(b.List(), false)
			other.MergeGossip(later, told)
			var u feed.Update
			other.FillUpdate(later, feed.Report{Self: feed.Entry{Region: "q"}}, nil, &u)
			So(u.Regions[0].PrefillSumTokens, ShouldEqual, 3000)
			So(u.Regions[0].PrefillSumMillis, ShouldEqual, 80)
		})
		Convey("another one learns that it has to fetch", func() {
			other := feed.NewStore(feed.Core{ID: "3", Region: "q"}, 1)
			So(other.MergeGossip(t0, far), ShouldBeTrue)
			var u feed.Update
			other.FillUpdate(t0, feed.Report{Self: feed.Entry{Region: "q"}}, nil, &u)
			So(u.ListAgeMillis, ShouldEqual, -1)
			So(u.List, ShouldBeNil)
		})
		Convey("and adds the loads that others of the region told", func() {
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
			// The other target stands in another region.
			So(len(list.Targets), ShouldEqual, 1)
			So(list.Base, ShouldEqual, 0)
			So(known.Regions, ShouldResemble, []feed.Summary{{Region: "q", Service: "s", Targets: 1, LoadUnknown: true}})
			// The asker leaves itself out.
			So(len(known.Entries.Entries), ShouldEqual, 2)
			others := feed.Known{Self: "e1"}
			So(others.Apply(known.Entries), ShouldBeTrue)
			So(len(others.Entries), ShouldEqual, 1)
			// The asker's own load is not among those of the others.
			So(known.Loads, ShouldResemble, []feed.Load{{Target: "x", Running: 1, PendingPrefill: []int{5}}})
			asker := feed.Report{EntriesEpoch: known.Entries.Epoch, EntriesAt: known.Entries.At, CoresDigest: known.CoresDigest, Self: feed.Entry{ID: "e1", Region: "r"}}
			var again feed.Update
			b.FillUpdate(t0, asker, nil, &again)
			So(again.Entries, ShouldBeNil)
			So(again.Cores, ShouldBeEmpty)
			So(again.CoresDigest, ShouldEqual, 0)
			b.AddReport(t0, feed.Entry{ID: "e2", Region: "r"})
			b.FillUpdate(t0, asker, nil, &again)
			So(len(again.Entries.Entries), ShouldEqual, 1)
			So(again.Entries.Base, ShouldEqual, asker.EntriesAt)
			var brief feed.Update
			asker.Brief, asker.EntriesAt = true, 0
			b.FillUpdate(t0, asker, nil, &brief)
			So(brief, ShouldResemble, feed.Update{ListAgeMillis: 0, List: brief.List})
		})
	})
}
