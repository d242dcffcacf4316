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
		one.Crashed(killer, "t1")
		one.Crashed(innocent, "t1")
		other.learn(one.takeNews())
		So(other.Refused(killer), ShouldBeFalse)
		So(one.takeNews(), ShouldBeEmpty)
		other.Crashed(killer, "t2")
		So(other.Refused(killer), ShouldBeTrue)
		one.learn(other.takeNews())
		So(one.Refused(killer), ShouldBeTrue)
		So(one.Refused(innocent), ShouldBeFalse)
		So(one.Refused(&rawhttp.Request{Method: "GET", Host: "h", Target: "/x", Body: []byte("killer")}), ShouldBeFalse)
	})
	Convey("one that was answered is cleared everywhere", t, func() {
		one, other := newKillers(zap.NewNop()), newKillers(zap.NewNop())
		r := &rawhttp.Request{Method: "GET", Host: "h", Target: "/x"}
		one.Crashed(r, "t1")
		one.Answered(r, "t2")
		one.Crashed(r, "t3")
		So(one.Refused(r), ShouldBeFalse)
		other.learn(one.takeNews())
		So(other.Refused(r), ShouldBeFalse)
	})
	Convey("news that could not be told are kept", t, func() {
		one := newKillers(zap.NewNop())
		one.Crashed(&rawhttp.Request{Method: "GET", Target: "/x"}, "t1")
		news := one.takeNews()
		So(len(news), ShouldBeGreaterThan, 0)
		one.putBack(news)
		So(one.takeNews(), ShouldResemble, news)
	})
}
