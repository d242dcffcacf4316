package entry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/ports/rawhttp"
)

// Symptom: one request takes down target after target.
// Events: its caller sends it again under new ids at any instance; each target that runs
// it crashes.
// Cause: the instances do not know of each other's crashes.
func TestKillerIsRefusedEverywhereAfterTwoCrashes(t *testing.T) {
	Convey("two instances and a request that crashes its targets", t, func() {
		one, other := newKillers(zap.NewNop()), newKillers(zap.NewNop())
		killer := &rawhttp.Request{Method: "POST", Host: "h", Target: "/x", Body: []byte("killer")}
		innocent := &rawhttp.Request{Method: "POST", Host: "h", Target: "/x", Body: []byte("innocent")}
		one.ReportCrash(killer, "t1")
		one.ReportCrash(innocent, "t1")
		other.learn(one.takeNews())
		So(other.IsPoison(killer), ShouldBeFalse)
		So(one.takeNews(), ShouldBeEmpty)
		other.ReportCrash(killer, "t2")
		So(other.IsPoison(killer), ShouldBeTrue)
		one.learn(other.takeNews())
		So(one.IsPoison(killer), ShouldBeTrue)
		So(one.IsPoison(innocent), ShouldBeFalse)
		So(one.IsPoison(&rawhttp.Request{Method: "GET", Host: "h", Target: "/x", Body: []byte("killer")}), ShouldBeFalse)
	})
	Convey("one that was answered is cleared everywhere", t, func() {
		one, other := newKillers(zap.NewNop()), newKillers(zap.NewNop())
		r := &rawhttp.Request{Method: "GET", Host: "h", Target: "/x"}
		one.ReportCrash(r, "t1")
		one.ReportAnswer(r, "t2")
		one.ReportCrash(r, "t3")
		So(one.IsPoison(r), ShouldBeFalse)
		other.learn(one.takeNews())
		So(other.IsPoison(r), ShouldBeFalse)
	})
	Convey("news that could not be told are kept", t, func() {
		one := newKillers(zap.NewNop())
		one.ReportCrash(&rawhttp.Request{Method: "GET", Target: "/x"}, "t1")
		news := one.takeNews()
		So(len(news), ShouldBeGreaterThan, 0)
		one.putBack(news)
		So(one.takeNews(), ShouldResemble, news)
	})
}
