package exchange_test

import (
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/pipeline/exchange"
)

// starting is a rig whose gateway has no view yet.
func starting(t *testing.T, targets ...*target) (*rig, *exchange.Gateway) {
	t.Helper()
	r := newRig(t, "r", targets...)
	g := exchange.New(r.options)
	r.server = httptest.NewServer(g)
	t.Cleanup(r.server.Close)
	return r, g
}

// Symptom: half of all requests of two seconds are refused, though the instances could have
// served them half a second later.
// Events: all instances are killed; their callers try again at once, each once, and meet
// instances that have started and know no configuration yet.
// Cause: these refused at once, and the callers had no attempt left.
func TestRequestsWaitForTheFirstView(t *testing.T) {
	Convey("an instance that has started", t, func() {
		x := newTarget(t, "near", whole(200, "near"))
		r, g := starting(t, x)
		Convey("serves what came before its first view", func() {
			g.SetStartWait(time.Minute)
			answers := make(chan int, 20)
			for range cap(answers) {
				go func() { answers <- r.call("/unsafe/x", "b").status }()
			}
			for g.InFlight() < int64(cap(answers)) {
				time.Sleep(time.Millisecond)
			}
			So(sent(x), ShouldEqual, 0)
			g.SetView(r.view)
			for range cap(answers) {
				So(<-answers, ShouldEqual, 200)
			}
		})
		Convey("refuses what has waited for too long, and says when to come back", func() {
			g.SetStartWait(time.Millisecond)
			got := r.call("/unsafe/x", "b")
			So(got.status, ShouldEqual, 503)
			So(got.header.Get("Retry-After"), ShouldNotEqual, "")
			So(sent(x), ShouldEqual, 0)
		})
	})
}
