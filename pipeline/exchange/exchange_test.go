package exchange_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/route/pick"
)

// sent is how often the targets were sent a request.
func sent(targets ...*target) int {
	n := 0
	for _, x := range targets {
		n += len(x.requests())
	}
	return n
}

func TestAnswersAreRelayedUnchanged(t *testing.T) {
	Convey("a sound target", t, func() {
		x := newTarget(t, "t1", whole(201, "body"))
		r := newRig(t, "r", x)
		req := r.request("/unsafe/a%2Fb?c=%20d", "question")
		req.Header.Set("Own", "kept")
		req.Header.Set("Connection", "Dropped")
		req.Header.Set("Dropped", "x")
		got := do(req)
		So(got.status, ShouldEqual, 201)
		So(got.body, ShouldEqual, "body")
		So(got.header.Get("Kind"), ShouldEqual, "k")
		So(got.header.Get("Signed"), ShouldEqual, "yes")
		s := x.requests()[0]
		So(s.method+" "+s.uri+" "+s.body, ShouldEqual, "POST /unsafe/a%2Fb?c=%20d question")
		So(s.header.Get("Own"), ShouldEqual, "kept")
		So(s.header.Get("Dropped"), ShouldEqual, "")
		So(s.header.Get("Meant"), ShouldEqual, "t1")
	})
}

// Symptom: a booking is made twice, or a caller is told "not run" of one that ran.
// Events: the first target fails in each way that there is.
// Cause: a failure after the request was sent was taken for "not run".
func TestUnsafeRequestsRunAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		first  script
		status int
		sent   int
	}{
		{"turned away", notRun, 200, 2},
		{"another target at the address", gone, 200, 2},
		{"closed without an answer", closes, 502, 1},
		{"a failure of its own", whole(500, "failed"), 500, 1},
		{"the answer to another request", raw("HTTP/1.1 200 X\r\nId: other\r\nSigned: yes\r\nContent-Length: 1\r\n\r\nx", true), 502, 1},
		{"an answer that nobody signed", raw("HTTP/1.1 200 X\r\nId: %ID%\r\nContent-Length: 1\r\n\r\nx", true), 502, 1},
		{"a success that breaks off", raw("HTTP/1.1 200 X\r\nId: %ID%\r\nSigned: yes\r\nContent-Length: 9\r\n\r\nx", false), 502, 1},
		{"bytes that are no answer", raw("garbage\r\n\r\n", true), 502, 1},
		{"an encoded body", raw("HTTP/1.1 200 X\r\nId: %ID%\r\nSigned: yes\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx", true), 502, 1},
	} {
		Convey(c.name, t, func() {
			// Either target may be the first: both fail once.
			x, y := newTarget(t, "t1", c.first, whole(200, "done")), newTarget(t, "t2", c.first, whole(200, "done"))
			if c.sent == 2 {
				y.scripts = []script{whole(200, "done")}
				x.scripts = []script{c.first}
				y.id = "t2"
			}
			r := newRig(t, "r", x, y)
			got := r.call("/unsafe/x", "book")
			So(got.torn, ShouldBeFalse)
			if c.sent == 2 {
				// The sound one may have been chosen at once.
				So(got.status, ShouldEqual, 200)
				So(len(y.requests()), ShouldEqual, 1)
				return
			}
			So(got.status, ShouldEqual, c.status)
			So(sent(x, y), ShouldEqual, c.sent)
			So(got.header.Get("Signed") != "", ShouldEqual, c.status == 500)
		})
	}
}

func TestSafeRequestsAreRepeatedWithinTheirAttempts(t *testing.T) {
	for name, first := range map[string]script{
		"closed":       closes,
		"broke off":    raw("HTTP/1.1 200 X\r\nId: %ID%\r\nSigned: yes\r\nContent-Length: 9\r\n\r\nx", false),
		"failed":       whole(500, "failed"),
		"other's":      raw("HTTP/1.1 200 X\r\nId: other\r\nSigned: yes\r\nContent-Length: 1\r\n\r\nx", true),
		"nothing sent": raw("HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nx", true),
	} {
		Convey("first "+name, t, func() {
			x, y := newTarget(t, "t1", first, whole(200, "done")), newTarget(t, "t2", whole(200, "done"))
			r := newRig(t, "r", x, y)
			// Repeated so that both have been first.
			for range 4 {
				got := r.call("/safe/x", "")
				So(got.status, ShouldEqual, 200)
				So(got.body, ShouldEqual, "done")
			}
		})
	}
	Convey("both fail: the last target's own failure is relayed, and no third is asked", t, func() {
		x, y, z := newTarget(t, "t1", whole(500, "one")), newTarget(t, "t2", whole(500, "one")), newTarget(t, "t3", whole(500, "one"))
		r := newRig(t, "r", x, y, z)
		got := r.call("/safe/x", "")
		So(got.status, ShouldEqual, 500)
		So(got.body, ShouldEqual, "one")
		So(sent(x, y, z), ShouldEqual, 2)
	})
}

// Symptom: a service under failure gets many times its requests.
// Events: all targets fail all requests.
// Cause: each request is repeated as its route allows.
func TestRepeatsKeepTheBudget(t *testing.T) {
	Convey("100 requests whose every answer fails", t, func() {
		x, y := newTarget(t, "t1", whole(500, "one")), newTarget(t, "t2", whole(500, "one"))
		r := newRig(t, "r", x, y)
		for range 100 {
			So(r.call("/safe/x", "").status, ShouldEqual, 500)
		}
		// Half of 20 of 100, as each request earns in two spans, and the part of a process that
		// has just started of an allowance of 100 for six.
		So(sent(x, y), ShouldBeLessThanOrEqualTo, 100+10+3)
		So(sent(x, y), ShouldBeGreaterThan, 105)
	})
}

func TestRefusals(t *testing.T) {
	Convey("before a configuration", t, func() {
		r := newRig(t, "r")
		r.gateway.SetView(nil)
		got := r.call("/safe/x", "")
		So(got.status, ShouldEqual, 503)
		So(got.header.Get("Retry-After"), ShouldNotEqual, "")
	})
	Convey("without a target", t, func() {
		r := newRig(t, "r")
		got := r.call("/unsafe/x", "b")
		So(got.status, ShouldEqual, 503)
		So(got.header.Get("Retry-After"), ShouldNotEqual, "")
	})
	Convey("without a route", t, func() { So(newRig(t, "r").call("/none/x", "").status, ShouldEqual, 404) })
	Convey("without an id", t, func() {
		r := newRig(t, "r")
		req := r.request("/safe/x", "")
		req.Header.Del("Id")
		So(do(req).status, ShouldEqual, 400)
	})
	Convey("a body over the limit", t, func() {
		x := newTarget(t, "t1", whole(200, "done"))
		r := newRig(t, "r", x)
		So(r.call("/unsafe/x", strings.Repeat("b", 1001)).status, ShouldEqual, 413)
		So(r.call("/unsafe/x", strings.Repeat("b", 1000)).status, ShouldEqual, 200)
		req := r.request("/unsafe/x", strings.Repeat("b", 1001))
		req.ContentLength = -1
		So(do(req).status, ShouldEqual, 413)
		So(sent(x), ShouldEqual, 1)
	})
	Convey("a target that does not answer within the route's timeout", t, func() {
		hold := make(chan struct{})
		x := newTarget(t, "t1", func(net.Conn, seen) bool { <-hold; return false })
		r := newRig(t, "r", x)
		got := r.call("/quick/x", "b")
		close(hold)
		So(got.status, ShouldEqual, 504)
		So(got.header.Get("Retry-After"), ShouldEqual, "")
	})
}

// Symptom: a request runs that no caller has sent.
// Events: a body in chunks comes with a length too, and another request hides between
// the two ends.
// Cause: what follows the chunks is read as the next request.
func TestNothingIsReadAfterABodyInChunks(t *testing.T) {
	Convey("a hidden request", t, func() {
		x := newTarget(t, "t1", whole(200, "done"))
		r := newRig(t, "r", x)
		c, err := net.Dial("tcp", r.server.Listener.Addr().String())
		So(err, ShouldBeNil)
		hidden := "GET /safe/hidden HTTP/1.1\r\nHost: h.example\r\nId: id-2\r\n\r\n"
		text := "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nId: id-1\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s"
		_, err = fmt.Fprintf(c, text, len(hidden)+5, hidden)
		So(err, ShouldBeNil)
		answer, err := io.ReadAll(c)
		So(err == nil || strings.Contains(err.Error(), "reset"), ShouldBeTrue)
		So(strings.Count(string(answer), "HTTP/1.1"), ShouldEqual, 1)
		So(string(answer), ShouldContainSubstring, "Connection: close")
		for _, s := range x.requests() {
			So(s.uri, ShouldEqual, "/unsafe/x")
		}
	})
}

func TestStreams(t *testing.T) {
	Convey("a whole stream", t, func() {
		x := newTarget(t, "t1", events(5, true))
		r := newRig(t, "r", x)
		got := r.call("/stream/x", "b")
		So(got.status, ShouldEqual, 200)
		So(got.torn, ShouldBeFalse)
		So(got.body, ShouldEqual, pieces(1, 5))
		So(got.header.Get("Signed"), ShouldEqual, "yes")
	})
	Convey("a stream that breaks off and may not be resumed does not look complete", t, func() {
		x, y := newTarget(t, "t1", events(3, false)), newTarget(t, "t2", events(3, false))
		r := newRig(t, "r", x, y)
		got := r.call("/stream/x", "b")
		So(got.torn, ShouldBeTrue)
		So(got.body, ShouldEqual, pieces(1, 3))
		So(sent(x, y), ShouldEqual, 1)
	})
	Convey("a stream that breaks off and may be resumed goes on, each event once", t, func() {
		first := inTurn(events(3, false), events(7, true))
		x, y := newTarget(t, "t1", first), newTarget(t, "t2", first)
		got := newRig(t, "r", x, y).call("/resume/x", "b")
		So(got.torn, ShouldBeFalse)
		So(sent(x, y), ShouldEqual, 2)
		So(got.body, ShouldEqual, pieces(1, 7))
	})
	Convey("without a target left to go on at it does not look complete", t, func() {
		x := newTarget(t, "t1", events(3, false))
		got := newRig(t, "r", x).call("/resume/x", "b")
		So(got.torn, ShouldBeTrue)
		So(got.body, ShouldEqual, pieces(1, 3))
	})
	Convey("a target that goes on before the asked event repeats nothing to the caller", t, func() {
		back := func(c net.Conn, s seen) bool {
			s.header.Set("After", "1")
			return events(6, true)(c, s)
		}
		first := inTurn(events(3, false), back)
		got := newRig(t, "r", newTarget(t, "t1", first), newTarget(t, "t2", first)).call("/resume/x", "b")
		So(got.torn, ShouldBeFalse)
		So(got.body, ShouldEqual, pieces(1, 6))
	})
	Convey("a caller's own resumption is passed on", t, func() {
		x := newTarget(t, "t1", events(5, true))
		r := newRig(t, "r", x)
		req := r.request("/resume/x", "b")
		req.Header.Set("After", "3")
		So(do(req).body, ShouldEqual, pieces(4, 5))
	})
	Convey("a failure in place of a stream is relayed", t, func() {
		x := newTarget(t, "t1", whole(500, "failed"))
		got := newRig(t, "r", x).call("/stream/x", "b")
		So(got.status, ShouldEqual, 500)
		So(got.body, ShouldEqual, "failed")
	})
}

// Symptom: targets work on requests whose callers have left.
// Events: a caller closes its connection while the target works.
// Cause: the connection to the target stays open.
func TestLeavingCallerIsCancelledAtTheTarget(t *testing.T) {
	Convey("the caller leaves", t, func() {
		began := make(chan struct{})
		x := newTarget(t, "t1", func(c net.Conn, s seen) bool {
			close(began)
			_, _ = c.Read(make([]byte, 1))
			return false
		})
		r := newRig(t, "r", x)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan reply)
		go func() { ended <- do(r.request("/unsafe/x", "b").WithContext(ctx)) }()
		<-began
		cancel()
		So((<-ended).torn, ShouldBeTrue)
		// The target's read ends: the connection was closed.
		So(sent(x), ShouldEqual, 1)
	})
}

func TestDrainingAnswersCloseTheirConnections(t *testing.T) {
	Convey("an instance that leaves", t, func() {
		x := newTarget(t, "t1", whole(200, "done"))
		r := newRig(t, "r", x)
		r.gateway.Drain()
		res, err := http.DefaultTransport.RoundTrip(r.request("/safe/x", ""))
		So(err, ShouldBeNil)
		defer func() { _ = res.Body.Close() }()
		So(res.StatusCode, ShouldEqual, 200)
		So(res.Close, ShouldBeTrue)

		// Symptom: streams are cut off by the end of an instance that was told to
		// leave seconds before they came. Cause: it took them in.
		Convey("refuses streams at last, and takes what is short", func() {
			r.gateway.RefuseStreams(time.Now())
			got := r.call("/stream/x", "b")
			So(got.status, ShouldEqual, 503)
			So(got.header.Get("Retry-After"), ShouldNotEqual, "")
			So(r.call("/safe/x", "").status, ShouldEqual, 200)
		})
	})
}

// crashes notes what the gateway tells.
type crashes struct {
	crashed, answered []string
	refuse            bool
}

func (c *crashes) IsPoison(*rawhttp.Request) bool { return c.refuse }

func (c *crashes) ReportCrash(_ *rawhttp.Request, target string) {
	c.crashed = append(c.crashed, target)
}

func (c *crashes) ReportAnswer(_ *rawhttp.Request, place string) {
	c.answered = append(c.answered, place)
}

// Symptom: a request that crashes its targets is sent on and on, or an innocent one is
// taken for such.
// Events: a target ends the connection; one fails; one is not there.
// Cause: all of these were taken alike.
func TestCrashesAreTold(t *testing.T) {
	for name, c := range map[string]struct {
		first script
		want  int
	}{
		"ends the connection": {closes, 1},
		"fails":               {whole(500, "failed"), 0},
		"turns away":          {notRun, 0},
		"breaks off midway":   {raw("HTTP/1.1 200 X\r\nId: %ID%\r\nSigned: yes\r\nContent-Length: 9\r\n\r\nx", false), 0},
	} {
		Convey("a target that "+name, t, func() {
			k := &crashes{}
			r := newRigWith(t, "r", k, newTarget(t, "t1", c.first))
			r.call("/unsafe/x", "b")
			So(len(k.crashed), ShouldEqual, c.want)
		})
	}
	Convey("an answer clears, a refused one is not sent", t, func() {
		k := &crashes{}
		x := newTarget(t, "t1", whole(200, "done"))
		r := newRigWith(t, "r", k, x)
		So(r.call("/unsafe/x", "b").status, ShouldEqual, 200)
		So(k.answered, ShouldResemble, []string{"t1"})
		k.refuse = true
		got := r.call("/unsafe/x", "b")
		So(got.status, ShouldEqual, 503)
		So(got.header.Get("Retry-After"), ShouldNotEqual, "")
		So(sent(x), ShouldEqual, 1)
	})
}

// Symptom: requests that could run elsewhere wait seconds for a target that fell silent.
// Events: a target has requests under way and falls silent; a new connection to it fails.
// Cause: only the kernel's timeout ends the open connections.
func TestRequestsLeaveATargetThatIsOutOfReach(t *testing.T) {
	for path, again := range map[string]bool{"/safe/x": true, "/resume/x": true, "/unsafe/x": false} {
		Convey(path, t, func() {
			began, hold := make(chan string, 2), make(chan struct{})
			silent := func(id string) script {
				return func(net.Conn, seen) bool { began <- id; <-hold; return false }
			}
			answers := whole(200, "done")
			if path == "/resume/x" {
				answers = events(3, true)
			}
			x, y := newTarget(t, "t1", silent("t1"), answers), newTarget(t, "t2", silent("t2"), answers)
			r := newRig(t, "r", x, y)
			ended := make(chan reply, 1)
			go func() { ended <- r.call(path, "b") }()
			first := <-began
			// The other one answers the next request.
			other := x
			if first == "t1" {
				other = y
			}
			other.next(seen{})
			r.pool.PickAt(time.Now(), pick.Call{Service: "s"}, first).Done(time.Now(), pick.Unreachable)
			if !again {
				close(hold)
			}
			got := <-ended
			if again {
				close(hold)
			}
			So(got.status == 200, ShouldEqual, again)
		})
	}
}
