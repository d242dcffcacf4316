package pick_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/route/pick"
)

// Guards against a restarted target that gets no requests any more, or keeps the load and failures
// of its predecessor, because targets are known by ID alone. It drains, or crashes with requests in
// flight, and restarts under its ID.
func TestRestartedTargetStartsWithoutState(t *testing.T) {
	list := func(change func(*pick.Target)) pick.Snapshot {
		one := pick.Target{ID: "t0", Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 4, StartMillis: 1000}
		change(&one)
		return pick.Snapshot{Targets: []pick.Target{one}, Entries: []string{"e"}, Rules: engines()}
	}
	same := func(*pick.Target) {}
	drained := func(x *pick.Target) { x.Draining = true }
	Convey("a target with state", t, func() {
		p := pick.New("e")
		p.Update(t0, list(same))
		running, _ := p.Pick(t0, call(1))
		lost, _ := p.Pick(t0, call(1))
		lost.Done(t0, pick.Lost)
		So(p.PrefixCount(), ShouldEqual, 0)
		Convey("keeps it when listed again", func() {
			p.Update(t0, list(same))
			none, _ := p.Pick(t0, call(1))
			So(none, ShouldBeNil)
			So(p.Loads(t0)["t0"].Running, ShouldEqual, 1)
		})
		Convey("loses it on a later start", func() {
			p.Update(t0, list(func(x *pick.Target) { x.StartMillis = 1001 }))
			So(p.Loads(t0), ShouldBeEmpty)
			got, _ := p.Pick(t0, call(1))
			So(got, ShouldNotBeNil)
			Convey("and requests that end at the old one do not count", func() {
				running.Done(t0, pick.Lost)
				So(p.Loads(t0)["t0"].Running, ShouldEqual, 1)
				again, _ := p.Pick(t0, call(1))
				So(again, ShouldNotBeNil)
			})
		})
		Convey("keeps it on an earlier start, which is an old list", func() {
			p.Update(t0, list(func(x *pick.Target) { x.StartMillis = 999 }))
			So(p.Loads(t0)["t0"].Running, ShouldEqual, 1)
		})
	})
	Convey("a drained target", t, func() {
		p := pick.New("e")
		open := func() bool {
			c, _ := p.Pick(t0, call(1))
			return c != nil
		}
		withoutStart := func(x *pick.Target) { x.StartMillis = 0 }
		p.Update(t0, list(func(x *pick.Target) { drained(x); withoutStart(x) }))
		Convey("does not return with an older list", func() {
			p.Update(t0, list(withoutStart))
			So(open(), ShouldBeFalse)
		})
		Convey("returns when it is listed as newly cold", func() {
			p.Update(t0, list(func(x *pick.Target) { withoutStart(x); x.ColdUntil, x.ColdEpoch = t0.Add(3*time.Second), 7 }))
			So(open(), ShouldBeTrue)
		})
		Convey("returns at another address", func() {
			p.Update(t0, list(func(x *pick.Target) { withoutStart(x); x.Address = "10.0.0.2:1" }))
			So(open(), ShouldBeTrue)
		})
		Convey("returns after it was off the list", func() {
			s := list(withoutStart)
			p.Update(t0, pick.Snapshot{Entries: s.Entries, Rules: s.Rules})
			p.Update(t0, s)
			So(open(), ShouldBeTrue)
		})
	})
}
