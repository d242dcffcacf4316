package feed_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/coord/suspect"
	"github.com/gullhaven/gullhaven/node/feed"
)

func suspectOf(n int, status suspect.Status) suspect.Entry {
	return suspect.Entry{Digest: suspect.Digest{byte(n), byte(n >> 8)}, Crash: suspect.Crash{Target: "t"}, Status: status, Until: t0.Add(10 * time.Minute)}
}

// Guards against instances that send a poison request on to targets because they never hear of its
// crashes: they start after these, or were partitioned while the others were told.
func TestInstancesThatStartOrReturnLaterGetSuspects(t *testing.T) {
	update := func(st *feed.Store, now time.Time, m feed.SuspectsMark) *feed.Update {
		u := &feed.Update{}
		r := feed.Report{Self: feed.Entry{ID: "e", Region: "r"}, Brief: true, Suspected: &m}
		_, misses := st.SuspectsWait(&r)
		So(misses, ShouldEqual, len(st.Suspects(now)) > 0 && m.At < uint64(len(st.Suspects(now))))
		st.FillUpdate(now, r, nil, u)
		return u
	}
	Convey("a core instance with suspects", t, func() {
		a := feed.NewStore(feed.Core{ID: "1", Region: "r", Zone: "z"}, 7)
		So(a.AddSuspects(t0, []suspect.Entry{suspectOf(1, suspect.Suspected)}, true), ShouldBeTrue)
		So(a.AddSuspects(t0, []suspect.Entry{suspectOf(1, suspect.Suspected)}, true), ShouldBeFalse)
		later := t0.Add(5 * time.Minute)
		Convey("sends them to an entry instance that starts later, and once", func() {
			u := update(a, later, feed.SuspectsMark{})
			So(len(u.Suspects), ShouldEqual, 1)
			So(update(a, later, *u.Suspected).Suspects, ShouldBeEmpty)
			a.AddSuspects(later, []suspect.Entry{suspectOf(2, suspect.Suspected)}, true)
			u = update(a, later, *u.Suspected)
			So(u.Suspects, ShouldResemble, []suspect.Entry{suspectOf(2, suspect.Suspected)})
		})
		Convey("sends one again that was cleared", func() {
			u := update(a, t0, feed.SuspectsMark{})
			a.AddSuspects(later, []suspect.Entry{suspectOf(1, suspect.Cleared)}, true)
			So(a.AddSuspects(later, []suspect.Entry{suspectOf(1, suspect.Suspected)}, true), ShouldBeFalse)
			r := feed.Report{Self: feed.Entry{ID: "e", Region: "r"}, Suspected: u.Suspected}
			next := &feed.Update{}
			a.FillUpdate(later, r, nil, next)
			So(next.Suspects, ShouldResemble, []suspect.Entry{suspectOf(1, suspect.Cleared)})
		})
		Convey("finds that another one that was partitioned holds others, until both have exchanged all", func() {
			b := feed.NewStore(feed.Core{ID: "2", Region: "q", Zone: "y"}, 8)
			b.AddSuspects(t0, []suspect.Entry{suspectOf(3, suspect.Suspected)}, true)
			g := a.Gossip(later, false, false)
			So(g.Suspects, ShouldBeEmpty)
			So(b.SuspectsDiffer(later, g.SuspectsDigest), ShouldBeTrue)
			b.AddSuspects(later, a.SuspectsBeside(later, feed.SuspectsQuery{}.WithDigests(later, b)), false)
			a.AddSuspects(later, b.SuspectsBeside(later, feed.SuspectsQuery{}.WithDigests(later, a)), false)
			So(b.SuspectsDiffer(later, a.Gossip(later, false, false).SuspectsDigest), ShouldBeFalse)
			So(len(update(b, later, feed.SuspectsMark{}).Suspects), ShouldEqual, 2)
		})
		Convey("names those of two crashes as quarantined, with all their entries", func() {
			So(a.QuarantinedSuspects(t0), ShouldBeEmpty)
			again, cleared := suspectOf(1, suspect.Suspected), suspectOf(1, suspect.Cleared)
			again.Crash.Target, cleared.Crash.Target = "u", "v"
			a.AddSuspects(t0, []suspect.Entry{again, cleared, suspectOf(2, suspect.Suspected)}, true)
			So(len(a.QuarantinedSuspects(t0)), ShouldEqual, 3)
		})
		Convey("forgets them when they expire", func() {
			So(a.Suspects(t0.Add(10*time.Minute)), ShouldBeEmpty)
			So(a.Gossip(t0.Add(10*time.Minute), false, false).SuspectsDigest, ShouldEqual, 0)
		})
		Convey("an instance of an older version gets the recent ones", func() {
			u := &feed.Update{}
			a.FillUpdate(t0.Add(time.Second), feed.Report{Self: feed.Entry{ID: "e", Region: "r"}}, nil, u)
			So(len(u.Suspects), ShouldEqual, 1)
			u = &feed.Update{}
			a.FillUpdate(later, feed.Report{Self: feed.Entry{ID: "e", Region: "r"}}, nil, u)
			So(u.Suspects, ShouldBeEmpty)
		})
	})
}

// Guards against core instances that do nothing but spread suspects after the end of many targets.
func TestSuspectsOfManyCrashesAreSpreadInBoundedMessages(t *testing.T) {
	const crashes, inFlight, pageLimit = 20, 96, 256
	var wave []suspect.Entry
	for n := range crashes * inFlight {
		e := suspectOf(n%inFlight, suspect.Suspected)
		e.Crash.Target = fmt.Sprint(n / inFlight)
		wave = append(wave, e)
	}
	Convey("a core instance that hears of many crashes", t, func() {
		a := feed.NewStore(feed.Core{ID: "1", Region: "r", Zone: "z"}, 7)
		wakesInASecond := func(wave []suspect.Entry) (wakes int) {
			const second, step = 100, 10 * time.Millisecond
			for n := range second {
				now, changed := t0.Add(time.Duration(n)*step), a.Changed()
				a.AddSuspects(now, wave[n*len(wave)/second:(n+1)*len(wave)/second], true)
				a.WakeIfDue(now)
				select {
				case <-changed:
					wakes++
				default:
				}
			}
			return wakes
		}
		Convey("wakes waiting reports a few times a second", func() {
			So(wakesInASecond(wave), ShouldBeBetweenOrEqual, 1, 7)
		})
		Convey("also if the same requests crash one target after the other", func() {
			again := slices.Clone(wave)
			for n := range again {
				again[n].Round = suspect.QuarantineAfter
			}
			So(wakesInASecond(again), ShouldBeBetweenOrEqual, 1, 13)
		})
		Convey("but at once for a request that is refused after its second crash within a moment", func() {
			one := suspectOf(1, suspect.Suspected)
			for n := range 2 {
				one.Crash.Target, one.Round = fmt.Sprint("u", n), uint32(n+1)
				a.AddSuspects(t0, []suspect.Entry{one}, true)
				at, due := a.SuspectsRoundAt()
				So(due, ShouldBeTrue)
				So(at, ShouldHappenOnOrBefore, t0)
				So(a.NextSuspectsRound(t0), ShouldNotBeEmpty)
			}
		})
		Convey("also after gossip that had no new suspects", func() {
			for range 10 {
				a.NextSuspectsRound(t0)
			}
			one := suspectOf(1, suspect.Suspected)
			one.Round = suspect.QuarantineAfter
			a.AddSuspects(t0, []suspect.Entry{one}, true)
			at, due := a.SuspectsRoundAt()
			So(due, ShouldBeTrue)
			So(at, ShouldHappenOnOrBefore, t0)
		})
		Convey("and within 50 ms for each request that is refused from now on", func() {
			refused := suspectOf(1, suspect.Suspected)
			for n := range 4 {
				now, changed := t0.Add(time.Duration(n)*50*time.Millisecond), a.Changed()
				refused.Crash.Target, refused.Round = fmt.Sprint(n), suspect.QuarantineAfter+uint32(n)
				a.AddSuspects(now, []suspect.Entry{refused}, true)
				So(func() bool {
					select {
					case <-changed:
						return true
					default:
						return false
					}
				}(), ShouldBeTrue)
			}
		})
		a.AddSuspects(t0, wave, true)
		Convey("sends them in pages, each entry once", func() {
			var got []suspect.Entry
			mark := &feed.SuspectsMark{}
			for range len(wave)/pageLimit + 1 {
				u := &feed.Update{}
				a.FillUpdate(t0, feed.Report{Self: feed.Entry{ID: "e", Region: "r"}, Suspected: mark}, nil, u)
				So(len(u.Suspects), ShouldBeLessThanOrEqualTo, pageLimit)
				got, mark = append(got, u.Suspects...), u.Suspected
			}
			So(got, ShouldResemble, wave)
		})
		Convey("gossips each twice, in bounded rounds", func() {
			sent := map[suspect.Entry]int{}
			now := t0
			round := func() {
				entries := a.NextSuspectsRound(now)
				So(len(entries), ShouldBeLessThanOrEqualTo, 2*pageLimit)
				for _, e := range entries {
					sent[e]++
				}
			}
			for at, due := a.SuspectsRoundAt(); due; at, due = a.SuspectsRoundAt() {
				now = at
				round()
			}
			So(now, ShouldHappenBefore, t0.Add(2*time.Second))
			round()
			So(len(sent), ShouldEqual, len(wave))
			for _, times := range sent {
				So(times, ShouldEqual, 2)
			}
			So(a.NextSuspectsRound(now), ShouldBeEmpty)
		})
		Convey("takes clearances by many instances within a second for one", func() {
			cleared := suspectOf(1, suspect.Cleared)
			So(a.AddSuspects(t0, []suspect.Entry{cleared}, true), ShouldBeTrue)
			for n := range 200 {
				cleared.Until = cleared.Until.Add(5 * time.Millisecond)
				So(a.AddSuspects(t0.Add(time.Duration(n)*5*time.Millisecond), []suspect.Entry{cleared}, true), ShouldBeFalse)
			}
		})
		Convey("repairs a small difference with few entries", func() {
			b := feed.NewStore(feed.Core{ID: "2", Region: "q", Zone: "y"}, 8)
			b.AddSuspects(t0, wave[10:], false)
			repair := a.SuspectsBeside(t0, feed.SuspectsQuery{}.WithDigests(t0, b))
			So(len(repair), ShouldBeLessThan, len(wave)/4)
			b.AddSuspects(t0, repair, false)
			So(b.SuspectsDiffer(t0, a.Gossip(t0, false, false).SuspectsDigest), ShouldBeFalse)
		})
	})
}

// Guards against a clearance, or a crash of a later round, that stays with the core instance to which it was
// reported, as another one told of the same crash before the next gossip.
func TestSuspectReportedBeforeGossipOfItsCrashIsGossiped(t *testing.T) {
	for name, reported := range map[string]suspect.Entry{"cleared": suspectOf(1, suspect.Cleared), "alone": suspectOf(1, suspect.Alone)} {
		t.Run(name, func(t *testing.T) {
			a := feed.NewStore(feed.Core{ID: "1", Region: "r", Zone: "z"}, 7)
			a.AddSuspects(t0, []suspect.Entry{reported}, true)
			told := suspectOf(1, suspect.Suspected)
			told.Round = 2
			a.AddSuspects(t0, []suspect.Entry{told}, false)
			for _, e := range a.NextSuspectsRound(t0) {
				if e.Status == reported.Status && e.Round == told.Round {
					return
				}
			}
			t.Error("it is in no gossip")
		})
	}
}

// Guards against core instances that differ for as long as their suspects live, and exchange the same ones again
// and again, because what one of them lacks does not fit the first message.
func TestManySuspectsThatDifferAreExchangedToTheEnd(t *testing.T) {
	const common, own, rounds, messageLimit = 4000, 1500, 16, 1024
	some := func(first, n int) (out []suspect.Entry) {
		for k := range n {
			out = append(out, suspectOf(first+k, suspect.Suspected))
		}
		return out
	}
	Convey("two core instances that were partitioned while many targets crashed", t, func() {
		a := feed.NewStore(feed.Core{ID: "1", Region: "r", Zone: "z"}, 7)
		b := feed.NewStore(feed.Core{ID: "2", Region: "q", Zone: "y"}, 8)
		a.AddSuspects(t0, some(0, common+own), true)
		b.AddSuspects(t0, some(0, common), true)
		b.AddSuspects(t0, some(common+own, own), true)
		repair := func(to, from *feed.Store, q *feed.SuspectsQuery) {
			answer := from.SuspectsBeside(t0, q.WithDigests(t0, to))
			So(len(answer), ShouldBeLessThanOrEqualTo, messageLimit)
			to.AddSuspects(t0, answer, false)
			*q = q.NextQuery(answer)
		}
		var ofA, ofB feed.SuspectsQuery
		differ := func() bool { return a.SuspectsDiffer(t0, b.Gossip(t0, false, false).SuspectsDigest) }
		Convey("hold the same after some exchanges", func() {
			for range rounds {
				repair(a, b, &ofA)
				repair(b, a, &ofB)
			}
			So(differ(), ShouldBeFalse)
		})
		Convey("and one of them gets all if the other one gets none", func() {
			for range rounds {
				repair(a, b, &ofA)
			}
			So(len(a.Suspects(t0)), ShouldEqual, common+2*own)
		})
	})
}

// Guards against memory that grows with crashes, and suspects that make room for cleared ones.
func TestSuspectsAreBoundedClearedOnesFirst(t *testing.T) {
	const many = 10_000
	a := feed.NewStore(feed.Core{ID: "1", Region: "r", Zone: "z"}, 7)
	a.AddSuspects(t0, []suspect.Entry{suspectOf(0, suspect.Suspected)}, true)
	for n := range many {
		a.AddSuspects(t0, []suspect.Entry{suspectOf(n+1, suspect.Cleared)}, true)
	}
	held := a.Suspects(t0)
	if len(held) >= many || fmt.Sprint(held[0]) != fmt.Sprint(suspectOf(0, suspect.Suspected)) {
		t.Errorf("%d held, the first %v", len(held), held[0])
	}
}

// Guards against a caller whose requests, in flight at one crash with many unlike parts, push out what has
// crashed targets before.
func TestSuspectsOfOneCrashMakeRoomForOthers(t *testing.T) {
	a := feed.NewStore(feed.Core{ID: "1", Region: "r", Zone: "z"}, 7)
	deadly := suspectOf(0, suspect.Suspected)
	again := deadly
	again.Crash.Target = "u"
	a.AddSuspects(t0, []suspect.Entry{deadly, again}, true)
	for n := range 20_000 {
		a.AddSuspects(t0, []suspect.Entry{suspectOf(n+1, suspect.Suspected)}, true)
	}
	if got := len(a.QuarantinedSuspects(t0)); got != 2 {
		t.Errorf("%d entries of it are held", got)
	}
}
