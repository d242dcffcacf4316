package deciding_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/route/pick"
)

// knows waits until an instance knows so many limits.
func (i *instance) knows(n int) int {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if len(i.pool.KnownLimits(time.Now(), "s")) == n {
			break
		}
	}
	return len(i.pool.KnownLimits(time.Now(), "s"))
}

// Guards against a limit that stays with the instance that got the answer, while another one
// decides.
func TestNamedLimitReachesTheDecider(t *testing.T) {
	Convey("a target names a limit in an answer to another instance", t, func() {
		decider, other := split(start(t, 2))
		d := other.ask(t, call(1))
		So(d.Limit, ShouldResemble, pick.TargetLimit{})
		other.s.ReportLimit(d, pick.TargetLimit{Limited: true, PerSecond: 2})
		So(decider.knows(1), ShouldEqual, 1)
		Convey("and names none in a later one", func() {
			other.s.ReportLimit(d, pick.TargetLimit{})
			So(decider.knows(0), ShouldEqual, 0)
		})
	})
}

// Guards against a decider that begins at nothing and gives a target in need its full share.
func TestDeciderThatBeginsLearnsLimitsFromAskers(t *testing.T) {
	Convey("an instance that knows of limits at all targets asks a decider that knows none", t, func() {
		decider, other := split(start(t, 2))
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
		So(len(decider.pool.KnownLimits(time.Now(), "s")), ShouldEqual, known)
	})
}

// Guards against an instance that sends by itself what its decider has withheld.
func TestAskerLearnsWhyThereIsNoTarget(t *testing.T) {
	Convey("all targets are in need and not due", t, func() {
		decider, other := split(start(t, 2))
		other.ask(t, call(1))
		now := time.Now()
		for range 50 {
			c, _ := decider.pool.Pick(now, call(1))
			if c == nil {
				break
			}
			c.LearnLimit(now, pick.TargetLimit{Limited: true, PerSecond: 0})
		}
		_, ok := other.s.Choose(context.Background(), call(1), "id", time.Minute)
		So(ok, ShouldBeFalse)
		So(len(other.pool.KnownLimits(time.Now(), "s")), ShouldEqual, 5)
	})
}
