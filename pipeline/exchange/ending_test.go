package exchange_test

import (
	"net"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/route/pick"
)

// peerRefusals are answers of an instance of another region that refuses a forwarded request for good.
var peerRefusals = map[string]script{
	"poison":     peerRefusal("503 X", "request_crashes_targets", "Retry-After: 1\r\n"),
	"over limit": peerRefusal("429 X", "workspace_over_limit", "Retry-After: 1\r\n"),
	"revoked":    peerRefusal("401 X", "unknown_key", "Www-Authenticate: Bearer\r\n"),
	"no route":   peerRefusal("404 X", "no_route", ""),
}

func peerRefusal(status, code, headers string) script {
	return respondRaw("HTTP/1.1 "+status+"\r\nGullhaven-Refused: "+code+"\r\nId: %ID%\r\n"+headers+"Content-Length: 4\r\n\r\nno.\n", true)
}

// newRigWithPeer returns a rig whose only other region is an instance that answers with the scripts.
func newRigWithPeer(t testing.TB, near []*target, scripts ...script) (*rig, *target) {
	peer := newTarget(t, "peer", scripts...)
	a := newRig(t, "r", near...)
	view := *a.view
	view.Peers = []exchange.Peer{{Address: peer.addr, Region: "other"}}
	view.Regions = map[exchange.RegionService]pick.RegionLoad{{Region: "other", Service: "s"}: {Targets: 1, Slots: 4}}
	a.gateway.SetView(&view)
	return a, peer
}

// Guards against an answer that looks complete though events are missing: the refusal of another region
// must not be written into a stream that has begun.
func TestStreamThatHasBegunIsNotEndedByARefusal(t *testing.T) {
	for name, refusal := range peerRefusals {
		Convey("the next region refuses: "+name, t, func() {
			a, peer := newRigWithPeer(t, []*target{newTarget(t, "near", streamEvents(3, false))}, refusal)
			got := a.call("/resume/x", "b")
			So(got.truncated, ShouldBeTrue)
			So(strings.TrimPrefix(got.body, eventText(1, 3)), ShouldBeEmpty)
			So(requestCount(peer), ShouldEqual, 1)
		})
	}
	for name, answer := range map[string]script{"404": respond(404, "no"), "500": respond(500, "failed"), "201": respond(201, "other")} {
		Convey("the next target answers with "+name, t, func() {
			// The first target is asked again once it may be.
			inTurn := sequence(streamEvents(3, false), answer, answer)
			a := newRig(t, "r", newTarget(t, "t1", inTurn), newTarget(t, "t2", inTurn))
			got := a.call("/resume/x", "b")
			So(got.truncated, ShouldBeTrue)
			So(got.body, ShouldEqual, eventText(1, 3))
		})
	}
}

// Guards against 429 and 503 for a request whose first attempt may have run: these statuses promise that
// it has not, and its caller sends it again.
func TestRequestThatMayHaveRunIsNotRefusedAsNotRun(t *testing.T) {
	for name, refusal := range peerRefusals {
		for path, forwarded := range map[string]int{"/safe/x": 1, "/aimed/x": 0, "/unsafe/x": 0, "/resume/x": 1} {
			Convey(path+", the next region refuses: "+name, t, func() {
				a, peer := newRigWithPeer(t, []*target{newTarget(t, "near", closes)}, refusal)
				// The own target goes first.
				view := *a.gateway.View()
				view.Regions = map[exchange.RegionService]pick.RegionLoad{{Region: "other", Service: "s"}: {Targets: 1, Slots: 4, Load: pick.Load{Running: 40}}}
				a.gateway.SetView(&view)
				got := a.call(path, "b")
				So(got.status, ShouldEqual, 502)
				So(got.header.Get("Retry-After"), ShouldBeEmpty)
				So(requestCount(peer), ShouldEqual, forwarded)
			})
		}
	}
	Convey("a refusal of a request that has begun nowhere is passed on", t, func() {
		for name, status := range map[string]int{"poison": 503, "over limit": 429, "revoked": 401, "no route": 404} {
			a, _ := newRigWithPeer(t, nil, peerRefusals[name])
			So(a.call("/unsafe/x", "b").status, ShouldEqual, status)
		}
	})
	Convey("a forwarded request that may have run is not marked as refused", t, func() {
		_, b := newRegionPair(t, nil, []*target{newTarget(t, "far", closes)})
		req := b.request("/unsafe/x", "b")
		req.URL.Host = b.peers.Listener.Addr().String()
		for name, value := range map[string]string{"From": "r", "Version": "3", "Left-Millis": "5000", "Attempts": "1"} {
			req.Header.Set("Gullhaven-"+name, value)
		}
		got := do(req)
		So(got.status, ShouldEqual, 502)
		So(got.header.Get("Gullhaven-Refused"), ShouldBeEmpty)
	})
}

// Guards against what callers must never see, whatever order attempts end in: a success that is not whole,
// "not run" for a request that has run, a second run of an unsafe request, two answers in one.
func TestCallersSeeWhatHasRun(t *testing.T) {
	const last = 4
	rapid.Check(t, func(rt *rapid.T) {
		path := rapid.SampledFrom([]string{"/unsafe/x", "/safe/x", "/stream/x", "/resume/x"}).Draw(rt, "route")
		stream := path == "/stream/x" || path == "/resume/x"
		whole, want := respond(200, "whole"), "whole"
		if stream {
			whole, want = streamEvents(last, true), eventText(1, last)
		}
		runs := map[string]script{
			"whole": whole, "closes": closes, "truncated": streamEvents(2, false), "failed": respond(500, "failed"), "no answer": respondRaw("nonsense\r\n", false),
		}
		var mu sync.Mutex
		var ran, attempts []string
		counted := func(at, name string, s script) script {
			return func(c net.Conn, r receivedRequest) bool {
				mu.Lock()
				attempts = append(attempts, at+": "+name)
				if runs[name] != nil {
					ran = append(ran, at)
				}
				mu.Unlock()
				return s(c, r)
			}
		}
		scripts := map[string]script{"rejects": notRun, "gone": gone}
		for name, s := range runs {
			scripts[name] = s
		}
		names := []string{"whole", "closes", "truncated", "failed", "no answer", "rejects", "gone"}
		var near []*target
		for _, id := range []string{"t1", "t2"}[:rapid.IntRange(0, 2).Draw(rt, "targets")] {
			name := rapid.SampledFrom(names).Draw(rt, id)
			near = append(near, newTarget(t, id, counted(id, name, scripts[name])))
		}
		for name, s := range peerRefusals {
			scripts[name], names = s, append(names, name)
		}
		far := rapid.SampledFrom([]string{"whole", "closes", "truncated", "failed", "poison", "over limit", "revoked", "no route"}).Draw(rt, "region")
		a, _ := newRigWithPeer(t, near, counted("region", far, scripts[far]))
		defer a.server.Close()
		got := a.call(path, "b")
		mu.Lock()
		defer mu.Unlock()
		checkCallerView(rt, got, path, want, ran, attempts)
	})
}

func checkCallerView(rt *rapid.T, got reply, path, want string, ran, attempts []string) {
	switch {
	case got.truncated && !strings.HasPrefix(want, got.body):
		rt.Fatalf("%s %v: broken off after %q", path, attempts, got.body)
	case !got.truncated && got.status == 200 && got.body != want:
		rt.Fatalf("%s %v: complete with %q", path, attempts, got.body)
	case (got.status == 429 || got.status == 503) && len(ran) > 0:
		rt.Fatalf("%s %v: %d though it may have run at %v", path, attempts, got.status, ran)
	}
	if (path == "/unsafe/x" || path == "/stream/x") && len(ran) > 1 {
		rt.Fatalf("%s %v: run at %v", path, attempts, ran)
	}
}
