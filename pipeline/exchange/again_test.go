package exchange_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
)

// sendHome makes the other region the only home of a route.
func (r *rig) sendHome(route string) {
	for i := range r.table.Routes {
		if r.table.Routes[i].Name == route {
			r.table.Routes[i].HomeRegions = []string{"other"}
		}
	}
	view := *r.gateway.View()
	view.Index = routes.NewIndex(r.table)
	r.gateway.SetView(&view)
}

// Guards against giving up a request that has an attempt left, because every place that may serve it has been
// tried, though those have not answered it.
func TestRequestGoesOnAtATriedPlace(t *testing.T) {
	Convey("the only target closes a kept connection instead of answering", t, func() {
		x := newTarget(t, "t1", respond(200, "one"), closes, respond(200, "two"))
		r := newRig(t, "r", x)
		So(r.call("/safe/x", "b").body, ShouldEqual, "one")
		got := r.call("/safe/x", "b")
		So(got.status, ShouldEqual, 200)
		So(got.body, ShouldEqual, "two")
	})
	Convey("the only target answers another request", t, func() {
		other := respondRaw("HTTP/1.1 200 X\r\nId: other\r\nSigned: yes\r\nContent-Length: 1\r\n\r\nx", true)
		x := newTarget(t, "t1", other, respond(200, "done"))
		got := newRig(t, "r", x).call("/safe/x", "b")
		So(got.status, ShouldEqual, 200)
		So(got.body, ShouldEqual, "done")
	})
	Convey("the only region that may serve it loses a whole answer", t, func() {
		first := sequence(closes, respond(200, "done"))
		y, z := newTarget(t, "far1", first), newTarget(t, "far2", first)
		a, _ := newRegionPair(t, nil, []*target{y, z})
		got := a.call("/home/x", "b")
		So(got.status, ShouldEqual, 200)
		So(got.body, ShouldEqual, "done")
	})
	Convey("the only region that may serve it loses a stream", t, func() {
		first := sequence(streamEvents(3, false), streamEvents(5, true))
		y, z := newTarget(t, "far1", first), newTarget(t, "far2", first)
		a, _ := newRegionPair(t, nil, []*target{y, z})
		a.sendHome("twice")
		got := a.call("/twice/x", "b")
		So(got.truncated, ShouldBeFalse)
		So(got.body, ShouldEqual, eventText(1, 5))
		So(requestCount(y), ShouldEqual, 1)
		So(requestCount(z), ShouldEqual, 1)
	})
}

// Guards against repeating a request where that is of no use or not allowed.
func TestRequestDoesNotGoOnWhereItWasAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		first  script
		status int
	}{
		"a target that fails":                          {"/safe/x", respond(500, "failed"), 500},
		"a target that rejects":                        {"/safe/x", notRun, 503},
		"another target at the address":                {"/safe/x", gone, 503},
		"a request that may run once, without answer":  {"/unsafe/x", closes, 502},
		"a request that may run once, and is rejected": {"/unsafe/x", notRun, 503},
	} {
		Convey(name, t, func() {
			x := newTarget(t, "t1", c.first, respond(200, "done"))
			So(newRig(t, "r", x).call(c.path, "b").status, ShouldEqual, c.status)
			So(requestCount(x), ShouldEqual, 1)
		})
		Convey(name+" in the only region that may serve it", t, func() {
			x := newTarget(t, "far", c.first, respond(200, "done"))
			a, _ := newRegionPair(t, nil, []*target{x})
			So(a.call(c.path, "b").status, ShouldEqual, c.status)
			So(requestCount(x), ShouldEqual, 1)
		})
	}
	Convey("no more runs than the route has attempts", t, func() {
		other := respondRaw("HTTP/1.1 200 X\r\nId: other\r\nSigned: yes\r\nContent-Length: 1\r\n\r\nx", true)
		x := newTarget(t, "t1", other)
		So(newRig(t, "r", x).call("/safe/x", "b").status, ShouldEqual, 502)
		So(requestCount(x), ShouldEqual, 2)
	})
	Convey("no retry budget", t, func() {
		other := respondRaw("HTTP/1.1 200 X\r\nId: other\r\nSigned: yes\r\nContent-Length: 1\r\n\r\nx", true)
		x := newTarget(t, "t1", other)
		r := newRig(t, "r", x)
		r.options.Retries.Share, r.options.Retries.Allowance = 0, 0
		r.rebuild()
		So(r.call("/safe/x", "b").status, ShouldEqual, 502)
		So(requestCount(x), ShouldEqual, 1)
	})
}

// Guards against breaking off a stream at once, because no place is free for a moment.
func TestStreamThatHasBegunWaitsForAPlace(t *testing.T) {
	Convey("the only target is in a backoff", t, func() {
		x := newTarget(t, "t1", streamEvents(3, false), streamEvents(5, true))
		got := newRig(t, "r", x).call("/twice/x", "b")
		So(got.truncated, ShouldBeFalse)
		So(got.body, ShouldEqual, eventText(1, 5))
		So(x.requests()[1].header.Get("After"), ShouldEqual, "3")
	})
	Convey("both targets break off", t, func() {
		first := sequence(streamEvents(3, false), streamEvents(4, false), streamEvents(6, true))
		x, y := newTarget(t, "t1", first), newTarget(t, "t2", first)
		got := newRig(t, "r", x, y).call("/resume/x", "b")
		So(got.truncated, ShouldBeFalse)
		So(got.body, ShouldEqual, eventText(1, 6))
	})
	Convey("the other target is full", t, func() {
		x, y := newTarget(t, "t1", streamEvents(3, false)), newTarget(t, "t2", notRun, streamEvents(5, true))
		r := newRig(t, "r", x, y)
		r.options.GroupOwner = newSearches(firstAt("t1"))
		r.rebuild()
		got := r.call("/resume/x", "b")
		So(got.truncated, ShouldBeFalse)
		So(got.body, ShouldEqual, eventText(1, 5))
	})
	Convey("a target of the same software version appears", t, func() {
		x, y := newTarget(t, "t1", streamEvents(3, false)), newTarget(t, "t2", streamEvents(5, true))
		r := newRig(t, "r", x)
		r.options.GroupOwner = newSearches(func(n int64) exchange.Decision {
			if n == 5 {
				r.setTargets(y)
			}
			return exchange.Decision{}
		})
		r.rebuild()
		got := r.call("/resume/x", "b")
		So(got.truncated, ShouldBeFalse)
		So(got.body, ShouldEqual, eventText(1, 5))
	})
	Convey("until its deadline", t, func() {
		x := newTarget(t, "t1", streamEvents(3, false), streamEvents(5, true))
		req := newRig(t, "r", x).request("/twice/x", "b")
		req.Header.Set("Deadline", "50ms")
		So(do(req).truncated, ShouldBeTrue)
		So(requestCount(x), ShouldEqual, 1)
	})
	Convey("not one that has not begun", t, func() {
		x := newTarget(t, "t1", closes, streamEvents(5, true))
		So(newRig(t, "r", x).call("/twice/x", "b").status, ShouldEqual, 502)
		So(requestCount(x), ShouldEqual, 1)
	})
}

// Guards against refusing requests that a region would serve, because one of its instances does not have the
// sender's configuration yet.
func TestInstanceThatLagsSaysNothingOfItsRegion(t *testing.T) {
	const calls = 20
	for name, lags := range map[string]func(r *rig){
		"an older configuration":  func(r *rig) { r.table.Version = 2 },
		"no configuration at all": func(r *rig) { r.gateway.SetView(&exchange.View{}) },
	} {
		Convey(name, t, func() {
			x := newTarget(t, "far", respond(200, "done"))
			a, _ := newRegionPair(t, nil, []*target{x})
			second := newRig(t, "other", x)
			lags(second)
			view := *a.gateway.View()
			view.Peers[0].Capacity = 1
			view.Peers = append(view.Peers, exchange.Peer{Address: second.peers.Listener.Addr().String(), Region: "other", Capacity: 1000})
			a.gateway.SetView(&view)
			for range calls {
				So(a.call("/safe/x", "b").status, ShouldEqual, 200)
			}
			So(requestCount(x), ShouldEqual, calls)
			So(second.metrics.ForwardedIn.Count(), ShouldBeGreaterThan, 0)
		})
	}
	Convey("all instances of the region lag", t, func() {
		x := newTarget(t, "far", respond(200, "done"))
		a, b := newRegionPair(t, nil, []*target{x})
		b.table.Version = 2
		for range 3 {
			So(a.call("/safe/x", "b").status, ShouldEqual, 503)
		}
		So(b.metrics.ForwardedIn.Count(), ShouldEqual, 3)
	})
}
