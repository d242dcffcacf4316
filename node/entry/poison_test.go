package entry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/ports/rawhttp"
)

// Guards against one request that crashes target after target: its caller retries it under new IDs
// at any instance, and the instances do not know of each other's crashes.
func TestPoisonRequestIsRefusedEverywhereAfterTwoCrashes(t *testing.T) {
	Convey("two instances and a request that crashes its targets", t, func() {
		one, other := newPoisonRequests(zap.NewNop()), newPoisonRequests(zap.NewNop())
		poison := &rawhttp.Request{Method: "POST", Host: "h", Target: "/x", Body: []byte("poison")}
		innocent := &rawhttp.Request{Method: "POST", Host: "h", Target: "/x", Body: []byte("innocent")}
		one.ReportCrash(poison, "t1")
		one.ReportCrash(innocent, "t1")
		other.merge(one.takePending())
		So(other.IsPoison(poison), ShouldBeFalse)
		So(one.takePending(), ShouldBeEmpty)
		other.ReportCrash(poison, "t2")
		So(other.IsPoison(poison), ShouldBeTrue)
		one.merge(other.takePending())
		So(one.IsPoison(poison), ShouldBeTrue)
		So(one.IsPoison(innocent), ShouldBeFalse)
		So(one.IsPoison(&rawhttp.Request{Method: "GET", Host: "h", Target: "/x", Body: []byte("poison")}), ShouldBeFalse)
	})
	Convey("one that was answered is cleared everywhere", t, func() {
		one, other := newPoisonRequests(zap.NewNop()), newPoisonRequests(zap.NewNop())
		r := &rawhttp.Request{Method: "GET", Host: "h", Target: "/x"}
		one.ReportCrash(r, "t1")
		one.ReportAnswer(r, "t2")
		one.ReportCrash(r, "t3")
		So(one.IsPoison(r), ShouldBeFalse)
		other.merge(one.takePending())
		So(other.IsPoison(r), ShouldBeFalse)
	})
	Convey("entries that could not be reported are kept", t, func() {
		one := newPoisonRequests(zap.NewNop())
		one.ReportCrash(&rawhttp.Request{Method: "GET", Target: "/x"}, "t1")
		pending := one.takePending()
		So(len(pending), ShouldBeGreaterThan, 0)
		one.restorePending(pending)
		So(one.takePending(), ShouldResemble, pending)
	})
}
