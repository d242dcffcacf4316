package deciding_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/route/pick"
)

// waitForLimits waits up to 20 s until the instance knows n limits, and returns how many it knows.
func (i *instance) waitForLimits(n int) int {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if len(i.pool.KnownLimits(time.Now(), "s")) == n {
			break
		}
	}
	return len(i.pool.KnownLimits(time.Now(), "s"))
}

// Guards against a limit that only the instance which received the response learns, and not the
// group owner, which chooses the targets.
func TestTargetLimitReachesTheGroupOwner(t *testing.T) {
	Convey("a target reports a limit in a response to another instance", t, func() {
		owner, other := split(start(t, 2))
		d := other.ask(t, call(1))
		So(d.Limit, ShouldResemble, pick.TargetLimit{})
		other.s.ReportLimit(d, pick.TargetLimit{Limited: true, PerSecond: 2})
		So(owner.waitForLimits(1), ShouldEqual, 1)
		Convey("and reports none in a later one", func() {
			other.s.ReportLimit(d, pick.TargetLimit{})
			So(owner.waitForLimits(0), ShouldEqual, 0)
		})
	})
}

// Guards against a new group owner that knows no limits and gives a limited target its full share.
func TestNewGroupOwnerLearnsLimitsFromRequests(t *testing.T) {
	Convey("an instance that knows limits of all targets asks a group owner that knows none", t, func() {
		owner, other := split(start(t, 2))
		for {
			c, _ := other.pool.Pick(time.Now(), call(1))
			if c == nil {
				break
			}
			c.LearnLimit(time.Now(), pick.TargetLimit{Limited: true, PerSecond: 0})
		}
		known := len(other.pool.KnownLimits(time.Now(), "s"))
		So(known, ShouldBeGreaterThan, 0)
		other.ask(t, call(1))
		So(len(owner.pool.KnownLimits(time.Now(), "s")), ShouldEqual, known)
	})
}

// Guards against an instance that sends a request by its own choice after the group owner withheld it.
func TestInstanceLearnsWhyThereIsNoTarget(t *testing.T) {
	Convey("no target's limit allows a request now", t, func() {
		owner, other := split(start(t, 2))
		other.ask(t, call(1))
		now := time.Now()
		for range 50 {
			c, _ := owner.pool.Pick(now, call(1))
			if c == nil {
				break
			}
			c.LearnLimit(now, pick.TargetLimit{Limited: true, PerSecond: 0})
		}
		_, ok := other.s.Choose(context.Background(), call(1), "id", time.Minute, nil)
		So(ok, ShouldBeFalse)
		So(len(other.pool.KnownLimits(time.Now(), "s")), ShouldEqual, 5)
	})
}
