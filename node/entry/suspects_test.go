package entry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/node/feed"
)

// Guards against a core instance that starts and gets all suspects from each entry instance of all regions.
func TestOnlyInstancesThatFollowAStartedCoreTellItAllSuspects(t *testing.T) {
	const brief, followed = true, false
	mark := func(epoch uint64) *feed.SuspectsMark { return &feed.SuspectsMark{Epoch: epoch, At: 5} }
	Convey("an entry instance", t, func() {
		var s suspectMarks
		Convey("tells all to the first core instance that it follows, once", func() {
			So(s.update("a", mark(1), followed), ShouldBeTrue)
			So(s.update("a", mark(1), followed), ShouldBeFalse)
		})
		Convey("tells nothing to one that it compares with, also if it follows that later", func() {
			So(s.update("b", mark(2), brief), ShouldBeFalse)
			So(s.update("b", mark(2), followed), ShouldBeFalse)
		})
		Convey("tells all to one that has started, once it follows that", func() {
			s.update("b", mark(2), brief)
			So(s.update("b", mark(3), brief), ShouldBeFalse)
			So(s.update("b", mark(3), brief), ShouldBeFalse)
			So(s.update("b", mark(3), followed), ShouldBeTrue)
			So(s.update("b", mark(3), followed), ShouldBeFalse)
		})
	})
	Convey("does not report what the core instance has told", t, func() {
		p := newPoisonRequests(zap.NewNop())
		entries := suspectsOf("t", 20)
		p.merge(entries)
		So(p.takePending(), ShouldBeEmpty)
		i := &Instance{poisonRequests: p}
		i.applyUpdate("a", &feed.Update{Suspected: mark(1), Suspects: entries[:15], ListAgeMillis: -1}, feed.Report{})
		So(len(p.takePending()), ShouldEqual, 5)
	})
}
