package entry

import (
	"encoding/binary"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/suspect"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
)

// suspectsOf returns suspects of one crash.
func suspectsOf(target string, count int) (out []suspect.Entry) {
	now := time.Now()
	for n := range count {
		var d suspect.Digest
		binary.BigEndian.PutUint64(d[:], uint64(n+1))
		out = append(out, suspect.Entry{
			Digest: d, Crash: suspect.Crash{Target: target}, Until: now.Add(poisonTTL), SentAt: suspect.InstantOf(now), CrashedAt: suspect.InstantOf(now), Round: 1,
		})
	}
	return out
}

// Guards against reports of thousands of suspects, each failed one of which is sent again with all that is new,
// until the core instances do nothing else than read them.
func TestReportsOfManySuspectsAreBounded(t *testing.T) {
	Convey("an instance that has finished thousands of requests, whose parts are then suspects elsewhere", t, func() {
		p := newPoisonRequests(zap.NewNop())
		entries := suspectsOf("t", 3000)
		for _, e := range entries {
			// Eight finishes excuse a round of crashes.
			for range 8 {
				p.table.Finished(time.Now(), e.Digest)
			}
		}
		p.merge(entries)
		Convey("reports a part of them at a time, and after a failure no more", func() {
			first := p.takePending()
			So(len(first), ShouldBeBetween, 0, maxReportedSuspects+1)
			p.restorePending(first)
			reported := map[suspectKey]bool{}
			for range 1 + len(entries)/maxReportedSuspects {
				some := p.takePending()
				So(len(some), ShouldBeLessThanOrEqualTo, maxReportedSuspects)
				for _, e := range some {
					So(e.Status, ShouldEqual, suspect.Cleared)
					reported[suspectKey{e.Digest, e.Crash}] = true
				}
			}
			So(len(reported), ShouldEqual, len(entries))
			So(len(p.takePending()), ShouldEqual, 0)
		})
		Convey("reports the suspects of a new crash before them", func() {
			p.crash(exchange.Content{Method: "GET", Target: "/x"}, "t2")
			So(p.takePending()[0].Crash.Target, ShouldEqual, "t2")
		})
		Convey("reports none that a core instance has told meanwhile", func() {
			for n := range entries {
				entries[n].Status = suspect.Cleared
			}
			p.mergeTold(entries)
			So(len(p.takePending()), ShouldEqual, 0)
		})
	})
}

// Guards against a crash whose suspects are all sent again for each request that it broke off.
func TestSuspectsAreSentAheadOfTheirReportOnce(t *testing.T) {
	Convey("an instance under two of whose requests a target crashes", t, func() {
		p := newPoisonRequests(zap.NewNop())
		p.crash(exchange.Content{Method: "GET", Target: "/x"}, "t")
		So(len(p.takeUnpublished()), ShouldEqual, 1)
		p.crash(exchange.Content{Method: "GET", Target: "/y"}, "t")
		So(len(p.takeUnpublished()), ShouldEqual, 1)
		So(p.takeUnpublished(), ShouldBeEmpty)
		So(len(p.takePending()), ShouldEqual, 2)
	})
}

// Guards against a request that is refused here only until the next report, as what was sent ahead of it was an
// earlier round of the same crash.
func TestLaterRoundOfAnUnreportedCrashIsSentAheadToo(t *testing.T) {
	var p pendingSuspects
	first := suspectsOf("t", 1)[0]
	p.add([]suspect.Entry{first})
	p.takeUnpublished()
	later := first
	later.Round++
	p.add([]suspect.Entry{later})
	if got := p.takeUnpublished(); len(got) != 1 || got[0] != later {
		t.Errorf("sent ahead: %v", got)
	}
	p.restore([]suspect.Entry{first})
	p.add([]suspect.Entry{first})
	if got := p.takeUnpublished(); len(got) != 0 {
		t.Errorf("sent ahead again: %v", got)
	}
}

// Guards against a renewal or a further crash that nobody else hears of, as an older entry was told.
func TestOlderEntriesKeepNewOnesPending(t *testing.T) {
	Convey("entries that wait for a report, and what a core instance tells of them", t, func() {
		told := suspectsOf("t", 1)[0]
		for name, change := range map[string]func(e *suspect.Entry){
			"a renewal":       func(e *suspect.Entry) { e.Until = e.Until.Add(poisonTTL / 4) },
			"a clearance":     func(e *suspect.Entry) { e.Status = suspect.Cleared },
			"a later round":   func(e *suspect.Entry) { e.Round++ },
			"a trial's crash": func(e *suspect.Entry) { e.Trial = true },
		} {
			Convey(name, func() {
				own := told
				change(&own)
				var p pendingSuspects
				p.add([]suspect.Entry{own})
				p.removeTold([]suspect.Entry{told})
				So(p.take(), ShouldResemble, []suspect.Entry{own})
				p.add([]suspect.Entry{told, own})
				So(p.take(), ShouldResemble, []suspect.Entry{own})
			})
		}
	})
}
