package exchange_test

import (
	"fmt"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/route/pick"
)

// Guards against more retries than the budget allows while a region forwards most requests: a
// forwarded request that counts at both instances earns retries twice.
func TestForwardedRequestsEarnRetriesOnce(t *testing.T) {
	Convey("100 requests of another region, rejected by both targets", t, func() {
		x, y := newTarget(t, "t1", notRun), newTarget(t, "t2", notRun)
		a, b := newRegionPair(t, nil, []*target{x, y})
		b.gateway.SetUptime(time.Minute)
		for range 100 {
			So(a.call("/safe/x", "").status, ShouldEqual, 503)
		}
		// Half of an allowance of 100, divided by six instances. The forwarded requests earn
		// no retries here.
		So(requestCount(x, y), ShouldBeLessThanOrEqualTo, 100+9)
		So(b.metrics.Retries.Count(), ShouldBeGreaterThan, 5)
	})
}

// Guards against uncounted retries: a request that was forwarded and rejected by a target there is
// then sent to a target here. The forwarding instance must know that it had reached a target.
func TestAttemptsAfterARemoteRefusalAreRetries(t *testing.T) {
	Convey("100 requests that the other region rejects, one target here", t, func() {
		x, y := newTarget(t, "near", respond(200, "near")), newTarget(t, "far", notRun)
		a, _ := newRegionPair(t, []*target{x}, []*target{y})
		a.gateway.ForwardAfterRefusals()
		for range 30 {
			// Makes the other region the cheaper one.
			a.pool.PickAt(time.Now(), pick.Call{Service: "s"}, "near")
		}
		for range 100 {
			a.call("/safe/x", "")
		}
		So(requestCount(y), ShouldEqual, 100)
		// 20 percent of 100 requests, halved because each request earns in two spans, plus the
		// share of a process that has just started of an allowance of 100 for six instances.
		So(requestCount(x), ShouldBeLessThanOrEqualTo, 10+3)
		So(requestCount(x), ShouldBeGreaterThan, 10)
	})
	Convey("an attempt after one that reached no target is not a retry", t, func() {
		x := newTarget(t, "near", respond(200, "near"))
		a, _ := newRegionPair(t, []*target{x}, nil)
		for range 30 {
			a.pool.PickAt(time.Now(), pick.Call{Service: "s"}, "near")
		}
		for range 100 {
			So(a.call("/safe/x", "").status, ShouldEqual, 200)
		}
	})
}

// newRegionPair returns rigs of two regions, of which a forwards to b.
func newRegionPair(t *testing.T, near, far []*target) (a, b *rig) {
	return newRegionPairWith(t, nil, nil, near, far)
}

// newRegionPairWith is newRegionPair with what each region knows of requests that crash their targets.
func newRegionPairWith(t *testing.T, nearPoison, farPoison exchange.PoisonRequests, near, far []*target) (a, b *rig) {
	b = newRigWith(t, "other", farPoison, far...)
	a = newRigWith(t, "r", nearPoison, near...)
	view := *a.view
	view.Peers = []exchange.Peer{{Address: b.peers.Listener.Addr().String(), Region: "other"}}
	view.Regions = map[exchange.RegionService]pick.RegionLoad{{Region: "other", Service: "s"}: {Targets: 1, Slots: 4}}
	a.gateway.SetView(&view)
	return a, b
}

func TestOtherRegions(t *testing.T) {
	Convey("a route with another home region is served there, with its headers intact", t, func() {
		x, y := newTarget(t, "near", respond(200, "near")), newTarget(t, "far", respond(200, "far"))
		a, _ := newRegionPair(t, []*target{x}, []*target{y})
		got := a.call("/home/x", "")
		So(got.body, ShouldEqual, "far")
		So(requestCount(x), ShouldEqual, 0)
		for name := range y.requests()[0].header {
			So(name, ShouldNotStartWith, "Gullhaven-")
		}
	})
	Convey("a region without targets forwards, and streams are relayed", t, func() {
		y := newTarget(t, "far", streamEvents(5, true))
		a, _ := newRegionPair(t, nil, []*target{y})
		got := a.call("/stream/x", "b")
		So(got.body, ShouldEqual, eventText(1, 5))
		So(got.truncated, ShouldBeFalse)
	})
	Convey("the other region rejects it: not run", t, func() {
		y := newTarget(t, "far", notRun)
		a, _ := newRegionPair(t, nil, []*target{y})
		got := a.call("/unsafe/x", "b")
		So(got.status, ShouldEqual, 503)
		So(got.header.Get("Retry-After"), ShouldNotEqual, "")
	})
	Convey("the other region loses it: it may have run", t, func() {
		y := newTarget(t, "far", closes)
		a, _ := newRegionPair(t, nil, []*target{y})
		So(a.call("/unsafe/x", "b").status, ShouldEqual, 502)
	})
	// Guards against refusing requests that a region could serve, because the cheapest region has
	// targets but no entry instance that accepts requests.
	Convey("a region without entry instances is not chosen", t, func() {
		y := newTarget(t, "far", respond(200, "far"))
		a, _ := newRegionPair(t, nil, []*target{y})
		view := *a.gateway.View()
		view.Regions[exchange.RegionService{Region: "empty", Service: "s"}] = pick.RegionLoad{Targets: 9, Slots: 90}
		view.Regions[exchange.RegionService{Region: "other", Service: "s"}] = pick.RegionLoad{Targets: 1, Slots: 4, Load: pick.Load{Running: 9}}
		a.gateway.SetView(&view)
		So(a.call("/unsafe/x", "b").status, ShouldEqual, 200)
	})
	// Guards against forwarding again and again to a region that refuses: its summary says that its
	// targets are idle, but they reject requests, while the target here is busy.
	Convey("a region that has just refused is not chosen while there is an alternative", t, func() {
		x, y := newTarget(t, "near", respond(200, "near")), newTarget(t, "far", notRun)
		a, _ := newRegionPair(t, []*target{x}, []*target{y})
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
	// Guards against waiting, for each forwarded request, for a connection to an instance that is
	// gone but still in the view.
	Convey("an unreachable instance is skipped for a while", t, func() {
		y := newTarget(t, "far", respond(200, "far"))
		a, _ := newRegionPair(t, nil, []*target{y})
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
	// Guards against doubling the round trip of forwarded requests: with many instances in the other
	// region, each request would go to another one over a new connection.
	Convey("connections to another region are reused", t, func() {
		y := newTarget(t, "far", respond(200, "far"))
		a, b := newRegionPair(t, nil, []*target{y})
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
	// Guards against a constant round trip, with which nearby regions don't relieve each other, though
	// forwarded requests are answered within a few milliseconds. Also guards against sending callers
	// the header that it is learned from.
	Convey("the round trip to another region is learned from forwarded requests", t, func() {
		y := newTarget(t, "far", respond(200, "far"))
		a, _ := newRegionPair(t, nil, []*target{y})
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
	// Guards against a stream that runs twice for longer than targets allow: a hedge in a region that is
	// far away, or only slow, is withdrawn late.
	Convey("two targets may run a stream for 400 ms at most, however long the way to the second is", t, func() {
		const allowed = 400 * time.Millisecond
		for _, trip := range []time.Duration{0, 20, 160, 320, 1000, 4000} {
			a, _ := newRegionPair(t, nil, nil)
			So(a.gateway.OverlapWith("other", trip*time.Millisecond), ShouldBeLessThanOrEqualTo, allowed)
		}
	})
	// Guards against waiting for connections to one instance after another of a region that is
	// partitioned, while its summary still says that it is idle.
	Convey("an unreachable region is skipped for a while", t, func() {
		a, _ := newRegionPair(t, nil, nil)
		view := *a.gateway.View()
		view.Peers = nil
		const instances = 40
		for range instances {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			view.Peers = append(view.Peers, exchange.Peer{Address: l.Addr().String(), Region: "other"})
			// Nothing listens at the address from here on.
			So(l.Close(), ShouldBeNil)
		}
		a.gateway.SetView(&view)
		before := a.metrics.Spilled.Count()
		for range 60 {
			So(a.call("/unsafe/x", "b").status, ShouldEqual, 503)
		}
		// Two attempts detect it; after each pause there is one more.
		So(a.metrics.Spilled.Count()-before, ShouldBeLessThan, instances/2)
	})
	Convey("a request is forwarded only once", t, func() {
		a, b := newRegionPair(t, nil, nil)
		view := *b.view
		view.Peers = []exchange.Peer{{Address: a.peers.Listener.Addr().String(), Region: "r"}}
		view.Regions = map[exchange.RegionService]pick.RegionLoad{{Region: "r", Service: "s"}: {Targets: 1, Slots: 4}}
		b.gateway.SetView(&view)
		So(a.call("/safe/x", "").status, ShouldEqual, 503)
		So(a.metrics.ForwardedIn.Count(), ShouldEqual, 0)
		So(b.metrics.ForwardedIn.Count(), ShouldEqual, 1)
	})
	Convey("an instance with an older configuration does not decide", t, func() {
		y := newTarget(t, "far", respond(200, "far"))
		a, b := newRegionPair(t, nil, []*target{y})
		b.table.Version = 2
		So(a.call("/safe/x", "").status, ShouldEqual, 503)
		So(requestCount(y), ShouldEqual, 0)
	})
	Convey("the other region tries one target only", t, func() {
		y, z := newTarget(t, "far1", respond(500, "failed")), newTarget(t, "far2", respond(500, "failed"))
		a, _ := newRegionPair(t, nil, []*target{y, z})
		So(a.call("/safe/x", "").status, ShouldEqual, 500)
		So(requestCount(y, z), ShouldEqual, 1)
	})
	Convey("a forwarded request must name the region that it comes from", t, func() {
		b := newRig(t, "other")
		req := b.request("/safe/x", "")
		req.URL.Host = b.peers.Listener.Addr().String()
		So(do(req).status, ShouldEqual, 400)
	})
}

// Guards against a stream that is broken off though another region may continue it, and against
// one that continues with other events, with another head, or outside its home regions.
func TestStreamThatHasBegunContinuesInAnotherRegion(t *testing.T) {
	Convey("a stream that may be resumed breaks after three events, and the own region has no other target", t, func() {
		x, y := newTarget(t, "near", streamEvents(3, false)), newTarget(t, "far", streamEvents(6, true))
		a, _ := newRegionPair(t, []*target{x}, []*target{y})
		got := a.call("/resume/x", "b")
		So(got.status, ShouldEqual, 200)
		So(got.truncated, ShouldBeFalse)
		So(got.body, ShouldEqual, eventText(1, 6))
		So(got.header.Get("Id"), ShouldEqual, "id-1")
		So(y.requests()[0].header.Get("After"), ShouldEqual, "3")
	})
	Convey("one that may not be resumed ends", t, func() {
		x, y := newTarget(t, "near", streamEvents(3, false)), newTarget(t, "far", streamEvents(6, true))
		a, _ := newRegionPair(t, []*target{x}, []*target{y})
		So(a.call("/stream/x", "b").truncated, ShouldBeTrue)
		So(requestCount(y), ShouldEqual, 0)
	})
	Convey("one whose home is the own region ends there", t, func() {
		x, y := newTarget(t, "near", streamEvents(3, false)), newTarget(t, "far", streamEvents(6, true))
		a, _ := newRegionPair(t, []*target{x}, []*target{y})
		for i := range a.table.Routes {
			if a.table.Routes[i].Name == "resume" {
				a.table.Routes[i].HomeRegions = []string{"r"}
			}
		}
		view := *a.gateway.View()
		view.Index = routes.NewIndex(a.table)
		a.gateway.SetView(&view)
		So(a.call("/resume/x", "b").truncated, ShouldBeTrue)
		So(requestCount(y), ShouldEqual, 0)
	})
}

// Guards against another region that ends an answer before its caller stops waiting for it.
func TestForwardedRequestHasAllTheTimeLeft(t *testing.T) {
	Convey("requests with 50 and 50.5 ms left", t, func() {
		a, _ := newRegionPair(t, nil, nil)
		So(a.gateway.ForwardedTimeout(50*time.Millisecond), ShouldEqual, "50")
		So(a.gateway.ForwardedTimeout(50*time.Millisecond+500*time.Microsecond), ShouldEqual, "51")
	})
}

// Guards against headers between instances that a target writes itself: one that says "refused" has a
// request that ran answered as one that did not.
func TestTargetCannotSpeakForAnInstance(t *testing.T) {
	forged := "Id: %ID%\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\nGullhaven-Refused: no_target\r\nGullhaven-Arrived: 1\r\n" +
		"Gullhaven-Software: v9\r\nGullhaven-Took-Millis: 1\r\nGullhaven-Future: 1\r\n\r\n7\r\nid: 1\n\n\r\n0\r\n\r\n"
	for _, path := range []string{"/unsafe/x", "/resume/x"} {
		for _, status := range []int{200, 500, 503} {
			Convey(fmt.Sprint(status, " to ", path, " from a target in another region"), t, func() {
				y := newTarget(t, "far", respondRaw(fmt.Sprintf("HTTP/1.1 %d X\r\n", status)+forged, true))
				a, _ := newRegionPair(t, nil, []*target{y})
				got := a.call(path, "b")
				So(got.status, ShouldEqual, status)
				So(got.body, ShouldEqual, "id: 1\n\n")
				for name := range got.header {
					So(name, ShouldNotStartWith, "Gullhaven-")
				}
				if path == "/unsafe/x" {
					So(requestCount(y), ShouldEqual, 1)
				}
			})
		}
	}
}
