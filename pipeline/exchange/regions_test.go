package exchange_test

import (
	"net"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/route/pick"
)

// Symptom: while a region passes most requests on, a service gets more repeats from all
// instances together than its budget allows.
// Events: requests are passed on to another region, whose targets turn them away.
// Cause: a request that was passed on counted as a first sending at both instances, and so
// allowed repeats twice.
func TestRequestsPassedOnAllowRepeatsOnce(t *testing.T) {
	Convey("100 requests of another region, each turned away by two targets", t, func() {
		x, y := newTarget(t, "t1", notRun), newTarget(t, "t2", notRun)
		a, b := pair(t, nil, []*target{x, y})
		b.gateway.SetUptime(time.Minute)
		for range 100 {
			So(a.call("/safe/x", "").status, ShouldEqual, 503)
		}
		// Half of an allowance of 100 shared by six at the instance that was passed them,
		// which took none of them from its own callers.
		So(sent(x, y), ShouldBeLessThanOrEqualTo, 100+9)
		So(b.metrics.Retries.Count(), ShouldBeGreaterThan, 5)
	})
}

// Symptom: the same, where the other region refuses what its targets have turned away.
// Events: requests are passed on, turned away there, and sent to a target here.
// Cause: the instance that passed them on did not know that they had reached a target.
func TestSendingsAfterARefusalElsewhereAreRepeats(t *testing.T) {
	Convey("100 requests that the other region turns away, one target here", t, func() {
		x, y := newTarget(t, "near", whole(200, "near")), newTarget(t, "far", notRun)
		a, _ := pair(t, []*target{x}, []*target{y})
		a.gateway.ForwardAfterRefusals()
		for range 30 {
			// The other region looks better.
			a.pool.PickAt(time.Now(), pick.Call{Service: "s"}, "near")
		}
		for range 100 {
			a.call("/safe/x", "")
		}
		So(sent(y), ShouldEqual, 100)
		// Half of 20 of 100, as each request earns in two spans, and the part of a process that
		// has just started of an allowance of 100 for six.
		So(sent(x), ShouldBeLessThanOrEqualTo, 10+3)
		So(sent(x), ShouldBeGreaterThan, 10)
	})
	Convey("what has reached no target there is no repeat", t, func() {
		x := newTarget(t, "near", whole(200, "near"))
		a, _ := pair(t, []*target{x}, nil)
		for range 30 {
			a.pool.PickAt(time.Now(), pick.Call{Service: "s"}, "near")
		}
		for range 100 {
			So(a.call("/safe/x", "").status, ShouldEqual, 200)
		}
	})
}

// pair are two regions; near passes on to far.
func pair(t *testing.T, near, far []*target) (a, b *rig) {
	b = newRig(t, "other", far...)
	a = newRig(t, "r", near...)
	view := *a.view
	view.Peers = []exchange.Peer{{Address: b.peers.Listener.Addr().String(), Region: "other"}}
	view.Regions = map[exchange.RegionService]pick.RegionLoad{{Region: "other", Service: "s"}: {Targets: 1, Slots: 4}}
	a.gateway.SetView(&view)
	return a, b
}

func TestOtherRegions(t *testing.T) {
	Convey("a route with a home elsewhere is served there, with its headers intact", t, func() {
		x, y := newTarget(t, "near", whole(200, "near")), newTarget(t, "far", whole(200, "far"))
		a, _ := pair(t, []*target{x}, []*target{y})
		got := a.call("/home/x", "")
		So(got.body, ShouldEqual, "far")
		So(sent(x), ShouldEqual, 0)
		for name := range y.requests()[0].header {
			So(name, ShouldNotStartWith, "Gullhaven-")
		}
	})
	Convey("a region without targets passes on, and streams come through", t, func() {
		y := newTarget(t, "far", events(5, true))
		a, _ := pair(t, nil, []*target{y})
		got := a.call("/stream/x", "b")
		So(got.body, ShouldEqual, pieces(1, 5))
		So(got.torn, ShouldBeFalse)
	})
	Convey("the other region turns it away: not run", t, func() {
		y := newTarget(t, "far", notRun)
		a, _ := pair(t, nil, []*target{y})
		got := a.call("/unsafe/x", "b")
		So(got.status, ShouldEqual, 503)
		So(got.header.Get("Retry-After"), ShouldNotEqual, "")
	})
	Convey("the other region has lost it: it may have run", t, func() {
		y := newTarget(t, "far", closes)
		a, _ := pair(t, nil, []*target{y})
		So(a.call("/unsafe/x", "b").status, ShouldEqual, 502)
	})
	// Symptom: requests are refused while a region could serve them.
	// Events: the region that looks best has targets and no entry instance that takes
	// requests; another one has both.
	// Cause: the region was chosen before its instances were looked at.
	Convey("a region without instances is no place", t, func() {
		y := newTarget(t, "far", whole(200, "far"))
		a, _ := pair(t, nil, []*target{y})
		view := *a.gateway.View()
		view.Regions[exchange.RegionService{Region: "empty", Service: "s"}] = pick.RegionLoad{Targets: 9, Slots: 90}
		view.Regions[exchange.RegionService{Region: "other", Service: "s"}] = pick.RegionLoad{Targets: 1, Slots: 4, Load: pick.Load{Running: 9}}
		a.gateway.SetView(&view)
		So(a.call("/unsafe/x", "b").status, ShouldEqual, 200)
	})
	// Symptom: requests cross the wide area to be refused, again and again.
	// Events: all targets of the other region turn requests away, though its summary says
	// that they are idle; the own target is busy.
	// Cause: nobody remembers that the region has refused.
	Convey("a region that has just refused is left alone while there is another place", t, func() {
		x, y := newTarget(t, "near", whole(200, "near")), newTarget(t, "far", notRun)
		a, _ := pair(t, []*target{x}, []*target{y})
		view := *a.gateway.View()
		view.Regions[exchange.RegionService{Region: "other", Service: "s"}] = pick.RegionLoad{Targets: 1, Slots: 4}
		a.gateway.SetView(&view)
		crossed := a.metrics.Spilled.Count()
		for range 20 {
			busy, _ := a.pool.Pick(time.Now(), pick.Call{Service: "s"})
			So(busy, ShouldNotBeNil)
		}
		for range 5 {
			So(a.call("/unsafe/x", "b").body, ShouldEqual, "near")
		}
		So(a.metrics.Spilled.Count()-crossed, ShouldEqual, 1)
	})
	// Symptom: each request that crosses waits for a connection that cannot be made.
	// Events: one of two instances of the other region is gone and is still named.
	// Cause: nobody remembers that it could not be reached.
	Convey("an instance that cannot be reached is left out for a while", t, func() {
		y := newTarget(t, "far", whole(200, "far"))
		a, _ := pair(t, nil, []*target{y})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		So(l.Close(), ShouldBeNil)
		view := *a.gateway.View()
		for range 9 {
			view.Peers = append(view.Peers, exchange.Peer{Address: l.Addr().String(), Region: "other"})
		}
		a.gateway.SetView(&view)
		before := a.metrics.Attempts.Count()
		for range 20 {
			So(a.call("/unsafe/x", "b").status, ShouldEqual, 200)
		}
		So(a.metrics.Attempts.Count()-before, ShouldBeLessThanOrEqualTo, 21)
	})
	// Symptom: what crosses takes twice as long as the way there and back.
	// Events: one request after another is passed on to a region of many instances.
	// Cause: each went to another instance, over a new connection.
	Convey("connections to another region are used again", t, func() {
		y := newTarget(t, "far", whole(200, "far"))
		a, b := pair(t, nil, []*target{y})
		view := *a.gateway.View()
		view.Peers = nil
		for range 30 {
			l := httptest.NewServer(b.gateway.ForwardedHandler())
			t.Cleanup(l.Close)
			view.Peers = append(view.Peers, exchange.Peer{Address: l.Listener.Addr().String(), Region: "other"})
		}
		a.gateway.SetView(&view)
		for range 50 {
			So(a.call("/unsafe/x", "b").status, ShouldEqual, 200)
		}
		So(a.options.Peers.Dials(), ShouldBeLessThanOrEqualTo, 4)
	})
	// Symptom: regions near each other leave each other alone while one is crowded.
	// Events: requests are passed on and answered within a few milliseconds.
	// Cause: the way between regions was a constant; or what the caller gets tells of it.
	Convey("the way to another region is learned from what crosses", t, func() {
		y := newTarget(t, "far", whole(200, "far"))
		a, _ := pair(t, nil, []*target{y})
		before := a.gateway.TripMillis("other")
		for range 50 {
			got := a.call("/unsafe/x", "b")
			So(got.status, ShouldEqual, 200)
			for name := range got.header {
				So(name, ShouldNotStartWith, "Gullhaven-")
			}
		}
		So(a.gateway.TripMillis("other"), ShouldBeLessThan, before)
		So(a.gateway.TripMillis("elsewhere"), ShouldEqual, before)
	})
	// Symptom: requests wait for connections to one instance after the other of a region.
	// Events: a region is cut off; its summary still says that it is idle.
	// Cause: that one of its instances is out of reach told nothing of the others.
	Convey("a region that cannot be reached is left out for a while", t, func() {
		a, _ := pair(t, nil, nil)
		view := *a.gateway.View()
		view.Peers = nil
		const instances = 40
		for range instances {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			view.Peers = append(view.Peers, exchange.Peer{Address: l.Addr().String(), Region: "other"})
			// Nothing listens there then.
			So(l.Close(), ShouldBeNil)
		}
		a.gateway.SetView(&view)
		before := a.metrics.Spilled.Count()
		for range 60 {
			So(a.call("/unsafe/x", "b").status, ShouldEqual, 503)
		}
		// Two find it out; one is tried again after each pause.
		So(a.metrics.Spilled.Count()-before, ShouldBeLessThan, instances/2)
	})
	Convey("a request crosses once only", t, func() {
		a, b := pair(t, nil, nil)
		view := *b.view
		view.Peers = []exchange.Peer{{Address: a.peers.Listener.Addr().String(), Region: "r"}}
		view.Regions = map[exchange.RegionService]pick.RegionLoad{{Region: "r", Service: "s"}: {Targets: 1, Slots: 4}}
		b.gateway.SetView(&view)
		So(a.call("/safe/x", "").status, ShouldEqual, 503)
		So(a.metrics.PassedOn.Count(), ShouldEqual, 0)
		So(b.metrics.PassedOn.Count(), ShouldEqual, 1)
	})
	Convey("an instance with an older configuration does not decide", t, func() {
		y := newTarget(t, "far", whole(200, "far"))
		a, b := pair(t, nil, []*target{y})
		b.table.Version = 2
		So(a.call("/safe/x", "").status, ShouldEqual, 503)
		So(sent(y), ShouldEqual, 0)
	})
	Convey("the other region tries one target only", t, func() {
		y, z := newTarget(t, "far1", whole(500, "failed")), newTarget(t, "far2", whole(500, "failed"))
		a, _ := pair(t, nil, []*target{y, z})
		So(a.call("/safe/x", "").status, ShouldEqual, 500)
		So(sent(y, z), ShouldEqual, 1)
	})
	Convey("a request of another instance must say where from", t, func() {
		b := newRig(t, "other")
		req := b.request("/safe/x", "")
		req.URL.Host = b.peers.Listener.Addr().String()
		So(do(req).status, ShouldEqual, 400)
	})
}
