package deciding_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/route/pick"
)

// waitForLeaving waits up to 20 s until the instance knows n leaving targets, and returns how many
// it knows.
func (i *instance) waitForLeaving(n int) int {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if len(i.pool.KnownLeaving("s")) == n {
			break
		}
	}
	return len(i.pool.KnownLeaving("s"))
}

// Guards against a leaving target that only the instance which received the response knows of, and
// not the group owner, which chooses the targets.
func TestLeavingTargetIsToldToTheGroupOwner(t *testing.T) {
	Convey("a target says that it is leaving in a response to another instance", t, func() {
		owner, other := split(start(t, 2))
		d := other.ask(t, call(1))
		other.s.ReportLeaving(d)
		So(owner.waitForLeaving(1), ShouldEqual, 1)
		So(other.ask(t, call(1)).Target, ShouldNotEqual, d.Target)
	})
}

// Guards against a new group owner that chooses targets of which the instance knows that they are
// leaving, and against an instance that chooses one after the owner found none.
func TestLeavingTargetsAreKnownOnBothSidesAfterAChoice(t *testing.T) {
	Convey("all targets are leaving, as the instance knows", t, func() {
		owner, other := split(start(t, 2))
		other.ask(t, call(1))
		leaveAll(other)
		_, ok := other.s.Choose(context.Background(), call(1), "id", time.Minute, nil)
		So(ok, ShouldBeFalse)
		So(len(owner.pool.KnownLeaving("s")), ShouldEqual, 5)
	})
	Convey("all targets are leaving, as the owner knows", t, func() {
		owner, other := split(start(t, 2))
		other.ask(t, call(1))
		leaveAll(owner)
		_, ok := other.s.Choose(context.Background(), call(1), "id", time.Minute, nil)
		So(ok, ShouldBeFalse)
		So(len(other.pool.KnownLeaving("s")), ShouldEqual, 5)
	})
}

// leaveAll has all targets say that they are leaving.
func leaveAll(i *instance) {
	for {
		c, _ := i.pool.Pick(time.Now(), call(1))
		if c == nil {
			return
		}
		c.Leaving()
	}
}

// Guards against a group owner that chooses a target that rests for the asking instance.
func TestGroupOwnerChoosesNoTargetThatRestsForTheInstance(t *testing.T) {
	Convey("four of five targets rest for the instance", t, func() {
		_, other := split(start(t, 2))
		var tried []string
		for range 4 {
			c, _ := other.pool.Pick(time.Now(), pick.Call{Service: "s", Tried: tried})
			c.Rest(time.Now(), time.Hour)
			c.Done(time.Now(), pick.Rested)
			tried = append(tried, c.ID)
		}
		for n := range uint64(20) {
			d := other.ask(t, call(n%2+1))
			So(tried, ShouldNotContain, d.Target)
		}
	})
}
