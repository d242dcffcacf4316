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
		c, all := feed.NewChooser(), []string{"near1", "near2", "far1", "far2", "far3"}
		c.Answered("near1", false)
		c.Answered("near2", false)
		for _, id := range []string{"far1", "far2", "far3"} {
			c.Failed(t0, id)
		}
		So(c.Follow(t0.Add(time.Second), all), ShouldEqual, "near1")

		Convey("a led one is preferred, be it farther", func() {
			c.Answered("far2", true)
			So(c.Follow(t0.Add(time.Second), all), ShouldEqual, "far2")
		})
		Convey("without any answer the one that failed longest ago is tried", func() {
			c.Failed(t0.Add(time.Second), "near1")
			c.Failed(t0.Add(time.Second), "near2")
			So(c.Follow(t0.Add(1500*time.Millisecond), all), ShouldEqual, "far1")
		})
		Convey("one that failed is tried again after a while", func() {
			c.Answered("near1", true)
			c.Failed(t0.Add(time.Second), "near1")
			So(c.Follow(t0.Add(2*time.Second), all), ShouldNotEqual, "near1")
			c.Answered("near2", false)
			So(c.Follow(t0.Add(5*time.Second), all), ShouldEqual, "near1")
		})
	})
	Convey("comparing asks another one", t, func() {
		c := feed.NewChooser()
		So(c.Compare(0, "a", []string{"a", "b"}), ShouldEqual, "b")
		So(c.Compare(1, "a", []string{"a", "b"}), ShouldEqual, "b")
		So(c.Compare(5, "a", []string{"a"}), ShouldEqual, "")
	})
}

// Symptom: a drained target comes back into the list.
// Events: lists of several readings arrive in any order.
// Cause: the list that came last was taken for the newest.
func TestListNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := feed.NewBoard(me, 1)
		var newest time.Time
		for range rapid.IntRange(1, 30).Draw(t, "lists") {
			at := t0.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "at")) * time.Second)
			digest := uint64(at.Unix())
			b.Listed(feed.List{Digest: digest, ReadAt: at}, false)
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
		{Region: "a", Callers: "a1"}, {Region: "b", Callers: "b1", Ready: true}, {Region: "c", Callers: "c1", Ready: true},
		{Region: "d", Callers: "d1", Ready: true},
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
		return feed.Entry{Region: region, Callers: callers, Leaving: true}
	}
	ready := func(region, callers string) feed.Entry {
		return feed.Entry{Region: region, Callers: callers, Ready: true}
	}
	gone := feed.Entry{Region: "a", Callers: "a9"}
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
				e.Callers = "for callers " + e.ID
				zones[e.Callers] = e.Zone
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
		b := feed.NewBoard(me, 1)
		b.Reported(t0, feed.Entry{ID: "e1", Region: "r", Callers: "c1", Ready: true})
		b.Gossiped(t0, feed.Gossip{
			From:    feed.Core{ID: "0", Region: "q"},
			Entries: []feed.Entry{{ID: "e2", Region: "q", Callers: "c2", Ready: true, AgeMillis: 1000}},
		})
		So(len(b.Entries(t0)), ShouldEqual, 2)
		So(b.Rank(t0), ShouldEqual, 1)
		So(feed.CallerAddresses(b.Entries(t0), "r", alike), ShouldResemble, []string{"c1"})
		So(feed.CallerAddresses(b.Entries(t0), "nowhere", alike), ShouldResemble, []string{"c1", "c2"})

		Convey("an age that was handed on counts", func() {
			So(len(b.Entries(t0.Add(feed.EntryLife-time.Second/2))), ShouldEqual, 1)
		})
		Convey("after their lives both are gone", func() {
			So(b.Entries(t0.Add(feed.EntryLife)), ShouldBeEmpty)
			So(b.Rank(t0.Add(feed.CoreLife)), ShouldEqual, 0)
		})
		Convey("one that leaves is not named and wakes who waits", func() {
			changed := b.Changed()
			b.Reported(t0, feed.Entry{ID: "e1", Region: "r", Callers: "c1"})
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
	b := feed.NewBoard(me, 1)
	for n := range reporters {
		b.Reported(t0, entry(n, true))
	}
	b.Fill(t0, feed.Report{}, nil, &feed.Update{})
	wakes, now := 0, t0
	for n := range restarts {
		now = now.Add(10 * time.Millisecond)
		changed := b.Changed()
		b.Reported(now, entry(n, false))
		b.WakeDue(now)
		select {
		case <-changed:
			wakes++
		default:
		}
		// The others go on to report.
		b.Reported(now, entry(reporters-1, true))
	}
	if wakes < 2 || wakes > 4 {
		t.Errorf("%d wakes for %d reporters in %v", wakes, reporters, now.Sub(t0))
	}
	changed := b.Changed()
	b.Reported(now, entry(restarts, false))
	b.WakeDue(now.Add(time.Second))
	select {
	case <-changed:
	default:
		t.Error("nobody hears of the last that left")
	}
	if got := b.ReportWait(200 * time.Millisecond); got != 400*time.Millisecond {
		t.Errorf("reports wait %v", got)
	}
	if got := feed.NewBoard(me, 1).ReportWait(200 * time.Millisecond); got != 200*time.Millisecond {
		t.Errorf("reports of a small site wait %v", got)
	}
}

// Symptom: the gossip of core instances grows with the square of their number.
// Events: entry instances follow one core instance and compare with each of the others in turn.
// Cause: each core instance told all others of each instance that had compared with it.
func TestWhoComparesIsToldByTheFollowedOne(t *testing.T) {
	Convey("an entry instance that follows another core instance", t, func() {
		e := feed.Entry{ID: "e1", Region: "r", Callers: "c1", Ready: true}
		b := feed.NewBoard(me, 1)
		b.Gossiped(t0, feed.Gossip{From: feed.Core{ID: "2", Region: "r"}, Entries: []feed.Entry{e}})
		told := func(at time.Time) []feed.Entry { return b.Gossip(at, false, false).Entries }
		later := t0.Add(time.Second)
		b.Compared(later, e)
		So(told(later), ShouldBeEmpty)
		Convey("is told of here when the other one falls silent", func() {
			later = t0.Add(2 * time.Second)
			b.Compared(later, e)
			So(len(told(later)), ShouldEqual, 1)
		})
		Convey("is told of here when it leaves", func() {
			e.Ready = false
			b.Compared(later, e)
			So(len(told(later)), ShouldEqual, 1)
			So(told(later)[0].Ready, ShouldBeFalse)
		})
		Convey("is told of here when it turns to this one", func() {
			b.Reported(later, e)
			So(len(told(later)), ShouldEqual, 1)
			b.Compared(later.Add(time.Second), e)
			So(len(told(later.Add(time.Second))), ShouldEqual, 1)
		})
	})
}

func TestGossipCarriesOwnReadingsAndSums(t *testing.T) {
	Convey("a core instance that has read the list", t, func() {
		b := feed.NewBoard(me, 1)
		b.Listed(feed.List{
			Digest: 9, ReadAt: t0,
			Targets: []feed.Target{{ID: "x", Service: "s", Region: "r"}, {ID: "y", Service: "s", Region: "q"}},
		}, true)
		b.Reported(t0, feed.Entry{ID: "e1", Region: "r", Ready: true, Loads: []feed.Load{{Target: "x", Running: 2, Unread: []int{50}}}})
		b.Reported(t0, feed.Entry{ID: "e2", Region: "r", Ready: true, Loads: []feed.Load{{Target: "x", Running: 1, Unread: []int{5}}}})
		near := b.Gossip(t0.Add(time.Second), true, false)
		far := b.Gossip(t0.Add(time.Second), false, false)
		So(near.Digest, ShouldEqual, 9)
		So(near.ListAgeMillis, ShouldEqual, 1000)
		So(near.Loads, ShouldResemble, []feed.Load{{Target: "x", Running: 3, Unread: []int{55}}})
		So(far.Loads, ShouldBeEmpty)
		So(near.Entries[0].Loads, ShouldBeEmpty)
		So(far.Regions, ShouldResemble, []feed.Summary{{Region: "r", Service: "s", Running: 3, Unread: []int{55}}})

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
				b.Fill(at, feed.Report{Self: feed.Entry{ID: "e1", Region: "r"}}, nil, &u)
				return u.Regions[0]
			}
			b.Gossiped(t0.Add(time.Second), feed.Gossip{From: feed.Core{ID: "4", Region: "q"}, Regions: []feed.Summary{{Region: "q", Service: "s", Running: 7}}})
			told := regions(t0.Add(2 * time.Second))
			So(told.Untold, ShouldBeFalse)
			So(told.Running, ShouldEqual, 7)
			So(regions(t0.Add(5*time.Second)).Untold, ShouldBeTrue)
			// An idle region tells nothing of any service.
			b.Gossiped(t0.Add(6*time.Second), feed.Gossip{From: feed.Core{ID: "4", Region: "q"}})
			So(regions(t0.Add(7*time.Second)).Untold, ShouldBeFalse)
		})
		Convey("and tells how fast the engines of the region read", func() {
			// Answers of one moment have their sums in common.
			later := t0.Add(1500 * time.Millisecond)
			read := func(tokens, millis int64) []feed.Read {
				return []feed.Read{{Service: "s", Tokens: tokens, Millis: millis}}
			}
			b.Reported(t0, feed.Entry{ID: "e1", Region: "r", Ready: true, Read: read(1000, 30)})
			b.Reported(t0, feed.Entry{ID: "e3", Region: "q", Ready: true, Read: read(7000, 7000)})
			b.Gossiped(t0, feed.Gossip{From: feed.Core{ID: "2", Region: "r"}, Read: read(2000, 50)})
			told := b.Gossip(later, true, false)
			So(told.Read, ShouldResemble, read(1000, 30))
			So(told.Entries[0].Read, ShouldBeEmpty)
			So(b.Gossip(later, false, false).Read, ShouldBeEmpty)
			So(told.Regions[0].ReadTokens, ShouldEqual, 3000)
			So(told.Regions[0].ReadMillis, ShouldEqual, 80)

			other := feed.NewBoard(feed.Core{ID: "3", Region: "q"}, 1)
			other.Listed(b.List(), false)
			other.Gossiped(later, told)
			var u feed.Update
			other.Fill(later, feed.Report{Self: feed.Entry{Region: "q"}}, nil, &u)
			So(u.Regions[0].ReadTokens, ShouldEqual, 3000)
			So(u.Regions[0].ReadMillis, ShouldEqual, 80)
		})
		Convey("another one learns that it has to fetch", func() {
			other := feed.NewBoard(feed.Core{ID: "3", Region: "q"}, 1)
			So(other.Gossiped(t0, far), ShouldBeTrue)
			var u feed.Update
			other.Fill(t0, feed.Report{Self: feed.Entry{Region: "q"}}, nil, &u)
			So(u.ListAgeMillis, ShouldEqual, -1)
			So(u.List, ShouldBeNil)
		})
		Convey("and adds the loads that others of the region told", func() {
			b.Gossiped(t0, feed.Gossip{From: feed.Core{ID: "2", Region: "r"}, Loads: []feed.Load{{Target: "x", Running: 10, Unread: []int{1}}}})
			var u feed.Update
			b.Fill(t0, feed.Report{Self: feed.Entry{ID: "e1", Region: "r"}}, nil, &u)
			So(u.Loads, ShouldResemble, []feed.Load{{Target: "x", Running: 11, Unread: []int{6}}})
		})
		Convey("and sends targets only where the digest differs", func() {
			var known, unknown feed.Update
			b.Fill(t0, feed.Report{Digest: 9, Self: feed.Entry{ID: "e1", Region: "r"}}, nil, &known)
			b.Fill(t0, feed.Report{Self: feed.Entry{ID: "e1", Region: "r"}}, nil, &unknown)
			So(known.List, ShouldBeNil)
			var list feed.ListNews
			So(cbor.Unmarshal(unknown.List, &list), ShouldBeNil)
			// The other target stands in another region.
			So(len(list.Targets), ShouldEqual, 1)
			So(list.Base, ShouldEqual, 0)
			So(known.Regions, ShouldResemble, []feed.Summary{{Region: "q", Service: "s", Targets: 1, Untold: true}})
			// The asker leaves itself out.
			So(len(known.Entries.Entries), ShouldEqual, 2)
			others := feed.Known{Self: "e1"}
			So(others.Apply(known.Entries), ShouldBeTrue)
			So(len(others.Entries), ShouldEqual, 1)
			// The asker's own load is not among those of the others.
			So(known.Loads, ShouldResemble, []feed.Load{{Target: "x", Running: 1, Unread: []int{5}}})
			asker := feed.Report{EntriesEpoch: known.Entries.Epoch, EntriesAt: known.Entries.At, Cores: known.CoresDigest, Self: feed.Entry{ID: "e1", Region: "r"}}
			var again feed.Update
			b.Fill(t0, asker, nil, &again)
			So(again.Entries, ShouldBeNil)
			So(again.Cores, ShouldBeEmpty)
			So(again.CoresDigest, ShouldEqual, 0)
			b.Reported(t0, feed.Entry{ID: "e2", Region: "r"})
			b.Fill(t0, asker, nil, &again)
			So(len(again.Entries.Entries), ShouldEqual, 1)
			So(again.Entries.Base, ShouldEqual, asker.EntriesAt)
			var brief feed.Update
			asker.Brief, asker.EntriesAt = true, 0
			b.Fill(t0, asker, nil, &brief)
			So(brief, ShouldResemble, feed.Update{ListAgeMillis: 0, List: brief.List})
		})
	})
}
