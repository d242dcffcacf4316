package exchange_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/gullhaven/gullhaven/route/pick"
)

// Guards against answers whose malformed headers fail the request, or are ignored unnoticed.
func TestMalformedHeadersAreCountedAndLogged(t *testing.T) {
	Convey("an answer with two malformed headers", t, func() {
		x := newTarget(t, "t1", respondRaw("HTTP/1.1 200 X\r\nId: %ID%\r\nSigned: yes\r\nMalformed: a\r\nMalformed: b\r\nContent-Length: 2\r\n\r\nok", true))
		r := newRig(t, "r", x)
		core, logs := observer.New(zap.InfoLevel)
		r.setAccessLog(zap.New(core))
		So(r.call("/safe/x", "").body, ShouldEqual, "ok")
		So(r.metrics.MalformedHeaders.Count(), ShouldEqual, 2)
		So(logs.FilterMessage("malformed header of a target").Len(), ShouldEqual, 1)
	})
}

// asksForRest returns a script that turns requests away and asks for rest.
func asksForRest(rest time.Duration) script {
	return respondRaw(fmt.Sprintf("HTTP/1.1 503 X\r\nNot-Run: 1\r\nRest: %v\r\nContent-Length: 0\r\n\r\n", rest), true)
}

// answersTo returns a script that answers requests for a path well, with more headers.
func answersTo(path, headers string) script {
	if path == "/safe/x" || path == "/unsafe/x" {
		return respondRaw("HTTP/1.1 200 X\r\nId: %ID%\r\nSigned: yes\r\n"+headers+"Content-Length: 4\r\n\r\nwell", true)
	}
	return respondRaw("HTTP/1.1 200 X\r\nId: %ID%\r\nSigned: yes\r\n"+headers+"Content-Type: text/event-stream\r\nContent-Length: 18\r\n\r\nid: 1\ndata: well\n\n", true)
}

// Guards against requests to a target that has turned one away and asked for rest: such a target
// is idle, so it looks cheaper than a busy one.
func TestRestingTargetGetsNoRequests(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/resume/x"} {
		Convey("100 requests for "+path+", a busy target and one that asks for rest", t, func() {
			x, y := newTarget(t, "t2", asksForRest(time.Minute)), newTarget(t, "t1", answersTo(path, ""))
			r := newRig(t, "r", x, y)
			for range 100 {
				r.pool.PickAt(time.Now(), pick.Call{Service: "s"}, "t1")
			}
			for range 100 {
				So(r.call(path, "").status, ShouldEqual, 200)
			}
			So(requestCount(x), ShouldEqual, 1)
			So(requestCount(y), ShouldEqual, 100)
		})
	}
}

// Guards against requests to a target that has said that it is leaving.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/resume/x"} {
		Convey("100 requests for "+path+" and two targets, one of which is leaving", t, func() {
			x, y := newTarget(t, "t2", answersTo(path, "Leaving: 1\r\n")), newTarget(t, "t1", answersTo(path, ""))
			r := newRig(t, "r", x, y)
			for range 100 {
				So(r.call(path, "").status, ShouldEqual, 200)
			}
			So(requestCount(x), ShouldEqual, 1)
		})
	}
}

// Guards against requests that are tried, or told to come back too early, while no target wants
// any.
func TestRequestsAreRefusedWhileAllTargetsRest(t *testing.T) {
	const rest = 20 * time.Second
	Convey("two targets that ask for 20 s of rest", t, func() {
		x, y := newTarget(t, "t2", asksForRest(rest)), newTarget(t, "t1", asksForRest(rest))
		r := newRig(t, "r", x, y)
		began := time.Now()
		for range 10 {
			r.call("/safe/x", "")
		}
		different := map[string]bool{}
		for range 20 {
			got := r.call("/safe/x", "")
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			So(err, ShouldBeNil)
			So(after, ShouldBeGreaterThanOrEqualTo, (rest - time.Since(began)).Seconds())
			different[got.header.Get("Retry-After")] = true
		}
		So(requestCount(x), ShouldBeLessThanOrEqualTo, 1)
		So(requestCount(y), ShouldBeLessThanOrEqualTo, 1)
		// Callers that come back together would be turned away together.
		So(len(different), ShouldBeGreaterThan, 10)
	})
}

// retryAfter returns the Retry-After of an answer.
func retryAfter(got reply) time.Duration {
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	So(err, ShouldBeNil)
	return time.Duration(seconds * float64(time.Second))
}

// Guards against requests that other regions try at resting targets, and against callers that are
// told another time than the end of the first rest in any region.
func TestRestsOfOtherRegionsAreKnown(t *testing.T) {
	const rest = 20 * time.Second
	Convey("targets here rest for 20 s and those of the other region for 10 s", t, func() {
		x, y := newTarget(t, "near", asksForRest(rest)), newTarget(t, "far", asksForRest(rest/2))
		a, b := newRegionPair(t, []*target{x}, []*target{y})
		for range 10 {
			a.call("/safe/x", "")
		}
		for range 10 {
			got := a.call("/safe/x", "")
			So(got.body, ShouldEqual, "targets_resting\n")
			So(retryAfter(got), ShouldBeBetween, rest/2-5*time.Second, rest)
		}
		So(requestCount(x), ShouldEqual, 1)
		So(requestCount(y), ShouldEqual, 1)
		// The other region is not asked while it rests.
		So(b.metrics.ForwardedIn.Count(), ShouldEqual, 1)
	})
	Convey("targets here rest, the other region has room", t, func() {
		x, y := newTarget(t, "near", asksForRest(rest)), newTarget(t, "far", respond(200, "far"))
		a, _ := newRegionPair(t, []*target{x}, []*target{y})
		for range 10 {
			So(a.call("/safe/x", "").body, ShouldEqual, "far")
		}
	})
	Convey("targets here rest, the other region is busy and may have room soon", t, func() {
		x, y := newTarget(t, "near", asksForRest(rest)), newTarget(t, "far", notRun)
		a, _ := newRegionPair(t, []*target{x}, []*target{y})
		So(retryAfter(a.call("/safe/x", "")), ShouldBeLessThan, time.Second)
	})
	Convey("a route that may only be served in the other region, whose targets rest", t, func() {
		x, y := newTarget(t, "near", respond(200, "near")), newTarget(t, "far", asksForRest(rest))
		a, _ := newRegionPair(t, []*target{x}, []*target{y})
		a.call("/home/x", "")
		different := map[string]bool{}
		for range 20 {
			got := a.call("/home/x", "")
			So(got.body, ShouldEqual, "targets_resting\n")
			So(retryAfter(got), ShouldBeGreaterThan, rest-5*time.Second)
			different[got.header.Get("Retry-After")] = true
		}
		// Callers that come back together would be turned away together.
		So(len(different), ShouldBeGreaterThan, 10)
		So(requestCount(x), ShouldEqual, 0)
		So(requestCount(y), ShouldEqual, 1)
	})
}

// Guards against a region that is skipped for longer than its targets rest: its instance told the end
// of the rest with the spread of its own callers.
func TestOtherRegionsAreToldTheEndOfARest(t *testing.T) {
	const rest = 20 * time.Second
	Convey("an instance of another region forwards requests to one whose targets rest", t, func() {
		_, b := newRegionPair(t, nil, []*target{newTarget(t, "far", asksForRest(rest))})
		for range 20 {
			req := b.request("/safe/x", "")
			req.URL.Host = b.peers.Listener.Addr().String()
			for name, value := range map[string]string{"From": "r", "Version": "3", "Left-Millis": "60000", "Attempts": "1"} {
				req.Header.Set("Gullhaven-"+name, value)
			}
			got := do(req)
			So(got.body, ShouldEqual, "targets_resting\n")
			So(retryAfter(got), ShouldBeBetween, rest-5*time.Second, rest+10*time.Millisecond)
		}
	})
}

// Guards against callers that are told to come back at once while all targets are about to end.
func TestCallersComeBackLaterWhileAllTargetsAreLeaving(t *testing.T) {
	Convey("the only target is leaving", t, func() {
		x := newTarget(t, "t1", answersTo("/safe/x", "Leaving: 1\r\n"))
		r := newRig(t, "r", x)
		So(r.call("/safe/x", "").status, ShouldEqual, 200)
		got := r.call("/safe/x", "")
		So(got.body, ShouldEqual, "targets_draining\n")
		So(retryAfter(got), ShouldEqual, time.Second)
		So(requestCount(x), ShouldEqual, 1)
	})
}

// Guards against a rest or a leaving target that is missed because the answer belongs to no request:
// it tells of the target all the same, unless another one has its address.
func TestAnswersThatBelongToNoRequestTellOfTheirTarget(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 503 X\r\nRest: 1m", "HTTP/1.1 503 X\r\nId: other\r\nSigned: yes\r\nRest: 1m",
		"HTTP/1.1 200 X\r\nId: other\r\nSigned: yes\r\nLeaving: 1", "HTTP/1.1 500 X\r\nLeaving: 1",
	} {
		Convey(head, t, func() {
			x, y := newTarget(t, "t2", respondRaw(head+"\r\nContent-Length: 0\r\n\r\n", true)), newTarget(t, "t1", respond(200, "well"))
			r := newRig(t, "r", x, y)
			for range 100 {
				r.pool.PickAt(time.Now(), pick.Call{Service: "s"}, "t1")
			}
			for range 20 {
				r.call("/safe/x", "")
			}
			So(requestCount(x), ShouldEqual, 1)
		})
	}
}
