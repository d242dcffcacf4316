package exchange_test

import (
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/pipeline/exchange"
)

// newStartingRig returns a rig whose gateway has no view yet.
func newStartingRig(t *testing.T, targets ...*target) (*rig, *exchange.Gateway) {
	t.Helper()
	r := newRig(t, "r", targets...)
	g := exchange.New(r.options)
	r.server = httptest.NewServer(g)
	t.Cleanup(r.server.Close)
	return r, g
}

// Guards against refusing requests that could be served half a second later: after all instances
// are killed, callers retry once and at once, at instances that have no configuration yet. Refused
// at once, half of all requests of two seconds failed, as their callers had no attempt left.
func TestRequestsWaitForTheFirstView(t *testing.T) {
	Convey("an instance that has just started", t, func() {
		x := newTarget(t, "near", respond(200, "near"))
		r, g := newStartingRig(t, x)
		Convey("serves requests that arrived before its first view", func() {
			g.SetStartWait(time.Minute)
			answers := make(chan int, 20)
			for range cap(answers) {
				go func() { answers <- r.call("/unsafe/x", "b").status }()
			}
			for g.InFlight() < int64(cap(answers)) {
				time.Sleep(time.Millisecond)
			}
			So(requestCount(x), ShouldEqual, 0)
			g.SetView(r.view)
			for range cap(answers) {
				So(<-answers, ShouldEqual, 200)
			}
		})
		Convey("refuses requests that have waited too long, with Retry-After", func() {
			g.SetStartWait(time.Millisecond)
			got := r.call("/unsafe/x", "b")
			So(got.status, ShouldEqual, 503)
			So(got.header.Get("Retry-After"), ShouldNotEqual, "")
			So(requestCount(x), ShouldEqual, 0)
		})
	})
}
