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

	"github.com/gullhaven/gullhaven/coord/drain"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/route/pick"
)

// requestCount returns how many requests the targets have received.
func requestCount(targets ...*target) int {
	n := 0
	for _, x := range targets {
		n += len(x.requests())
	}
	return n
}

func TestAnswersAreRelayedUnchanged(t *testing.T) {
	Convey("a target without faults", t, func() {
		x := newTarget(t, "t1", respond(201, "body"))
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

// Guards against running an unsafe request twice, and against telling a caller "not run" for one
// that ran: a failure after the request was sent must not count as "not run".
func TestUnsafeRequestsRunAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		first  script
		status int
		sent   int
	}{
		{"rejected", notRun, 200, 2},
		{"another target at the address", gone, 200, 2},
		{"connection closed without an answer", closes, 502, 1},
		{"a failure by the target itself", respond(500, "failed"), 500, 1},
		{"the answer to another request", respondRaw("HTTP/1.1 200 X\r\nId: other\r\nSigned: yes\r\nContent-Length: 1\r\n\r\nx", true), 502, 1},
		{"an unsigned answer", respondRaw("HTTP/1.1 200 X\r\nId: %ID%\r\nContent-Length: 1\r\n\r\nx", true), 502, 1},
		{"a truncated success", respondRaw("HTTP/1.1 200 X\r\nId: %ID%\r\nSigned: yes\r\nContent-Length: 9\r\n\r\nx", false), 502, 1},
		{"bytes that are not an answer", respondRaw("garbage\r\n\r\n", true), 502, 1},
		{"an encoded body", respondRaw("HTTP/1.1 200 X\r\nId: %ID%\r\nSigned: yes\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx", true), 502, 1},
	} {
		Convey(c.name, t, func() {
			// Either target may be tried first: both fail once.
			x, y := newTarget(t, "t1", c.first, respond(200, "done")), newTarget(t, "t2", c.first, respond(200, "done"))
			if c.sent == 2 {
				y.scripts = []script{respond(200, "done")}
				x.scripts = []script{c.first}
				y.id = "t2"
			}
			r := newRig(t, "r", x, y)
			got := r.call("/unsafe/x", "book")
			So(got.truncated, ShouldBeFalse)
			if c.sent == 2 {
				// The good target may have been chosen first.
				So(got.status, ShouldEqual, 200)
				So(len(y.requests()), ShouldEqual, 1)
				return
			}
			So(got.status, ShouldEqual, c.status)
			So(requestCount(x, y), ShouldEqual, c.sent)
			So(got.header.Get("Signed") != "", ShouldEqual, c.status == 500)
		})
	}
}

func TestSafeRequestsAreRetriedWithinTheirAttempts(t *testing.T) {
	for name, first := range map[string]script{
		"closed":       closes,
		"truncated":    respondRaw("HTTP/1.1 200 X\r\nId: %ID%\r\nSigned: yes\r\nContent-Length: 9\r\n\r\nx", false),
		"failed":       respond(500, "failed"),
		"another's":    respondRaw("HTTP/1.1 200 X\r\nId: other\r\nSigned: yes\r\nContent-Length: 1\r\n\r\nx", true),
		"nothing sent": respondRaw("HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nx", true),
	} {
		Convey("first "+name, t, func() {
			x, y := newTarget(t, "t1", first, respond(200, "done")), newTarget(t, "t2", respond(200, "done"))
			r := newRig(t, "r", x, y)
			// Several calls, so that each target is tried first.
			for range 4 {
				got := r.call("/safe/x", "")
				So(got.status, ShouldEqual, 200)
				So(got.body, ShouldEqual, "done")
			}
		})
	}
	Convey("both fail: the last target's failure is relayed, and no third target is tried", t, func() {
		x, y, z := newTarget(t, "t1", respond(500, "one")), newTarget(t, "t2", respond(500, "one")), newTarget(t, "t3", respond(500, "one"))
		r := newRig(t, "r", x, y, z)
		got := r.call("/safe/x", "")
		So(got.status, ShouldEqual, 500)
		So(got.body, ShouldEqual, "one")
		So(requestCount(x, y, z), ShouldEqual, 2)
	})
}

// Guards against retry storms: if all targets fail all requests, retries must stay within the
// budget, even if the route allows more.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	Convey("100 requests whose every answer fails", t, func() {
		x, y := newTarget(t, "t1", respond(500, "one")), newTarget(t, "t2", respond(500, "one"))
		r := newRig(t, "r", x, y)
		for range 100 {
			So(r.call("/safe/x", "").status, ShouldEqual, 500)
		}
		// 20 percent of 100 requests, halved because each request earns in two spans, plus the
		// share of a process that has just started of an allowance of 100 for six instances.
		So(requestCount(x, y), ShouldBeLessThanOrEqualTo, 100+10+3)
		So(requestCount(x, y), ShouldBeGreaterThan, 105)
	})
}

func TestRefusals(t *testing.T) {
	Convey("without a configuration", t, func() {
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
		x := newTarget(t, "t1", respond(200, "done"))
		r := newRig(t, "r", x)
		So(r.call("/unsafe/x", strings.Repeat("b", 1001)).status, ShouldEqual, 413)
		So(r.call("/unsafe/x", strings.Repeat("b", 1000)).status, ShouldEqual, 200)
		req := r.request("/unsafe/x", strings.Repeat("b", 1001))
		req.ContentLength = -1
		So(do(req).status, ShouldEqual, 413)
		So(requestCount(x), ShouldEqual, 1)
	})
	Convey("a target that does not answer within the route's timeout", t, func() {
		hold := make(chan struct{})
		x := newTarget(t, "t1", func(net.Conn, receivedRequest) bool { <-hold; return false })
		r := newRig(t, "r", x)
		got := r.call("/quick/x", "b")
		close(hold)
		So(got.status, ShouldEqual, 504)
		So(got.header.Get("Retry-After"), ShouldEqual, "")
	})
}

// Guards against request smuggling: a request has both a chunked body and a Content-Length, and
// the bytes between the two ends must not be read as another request.
func TestNothingIsReadAfterABodyInChunks(t *testing.T) {
	Convey("a smuggled request", t, func() {
		x := newTarget(t, "t1", respond(200, "done"))
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
		x := newTarget(t, "t1", streamEvents(5, true))
		r := newRig(t, "r", x)
		got := r.call("/stream/x", "b")
		So(got.status, ShouldEqual, 200)
		So(got.truncated, ShouldBeFalse)
		So(got.body, ShouldEqual, eventText(1, 5))
		So(got.header.Get("Signed"), ShouldEqual, "yes")
	})
	Convey("a truncated stream that may not be resumed does not look complete", t, func() {
		x, y := newTarget(t, "t1", streamEvents(3, false)), newTarget(t, "t2", streamEvents(3, false))
		r := newRig(t, "r", x, y)
		got := r.call("/stream/x", "b")
		So(got.truncated, ShouldBeTrue)
		So(got.body, ShouldEqual, eventText(1, 3))
		So(requestCount(x, y), ShouldEqual, 1)
	})
	Convey("a truncated stream that may be resumed continues, with each event once", t, func() {
		first := sequence(streamEvents(3, false), streamEvents(7, true))
		x, y := newTarget(t, "t1", first), newTarget(t, "t2", first)
		got := newRig(t, "r", x, y).call("/resume/x", "b")
		So(got.truncated, ShouldBeFalse)
		So(requestCount(x, y), ShouldEqual, 2)
		So(got.body, ShouldEqual, eventText(1, 7))
	})
	Convey("a truncated stream without another target does not look complete", t, func() {
		x := newTarget(t, "t1", streamEvents(3, false))
		got := newRig(t, "r", x).call("/resume/x", "b")
		So(got.truncated, ShouldBeTrue)
		So(got.body, ShouldEqual, eventText(1, 3))
	})
	Convey("a target that resumes before the requested event causes no duplicate events", t, func() {
		back := func(c net.Conn, s receivedRequest) bool {
			s.header.Set("After", "1")
			return streamEvents(6, true)(c, s)
		}
		first := sequence(streamEvents(3, false), back)
		got := newRig(t, "r", newTarget(t, "t1", first), newTarget(t, "t2", first)).call("/resume/x", "b")
		So(got.truncated, ShouldBeFalse)
		So(got.body, ShouldEqual, eventText(1, 6))
	})
	Convey("a caller's own resumption is forwarded to the target", t, func() {
		x := newTarget(t, "t1", streamEvents(5, true))
		r := newRig(t, "r", x)
		r.streams.Began("first", exchange.Origin{Service: "s", Software: "v1"})
		req := r.request("/resume/x", "b")
		req.Header.Set("After", "3")
		req.Header.Set("Resumes", "first")
		So(do(req).body, ShouldEqual, eventText(4, 5))
	})
	Convey("a failure instead of a stream is relayed", t, func() {
		x := newTarget(t, "t1", respond(500, "failed"))
		got := newRig(t, "r", x).call("/stream/x", "b")
		So(got.status, ShouldEqual, 500)
		So(got.body, ShouldEqual, "failed")
	})
}

// Guards against requests that are sent to targets although their callers left before they were read.
func TestRequestsOfCallersThatLeftAreNotSent(t *testing.T) {
	const callers = 100
	x := newTarget(t, "t1", respond(200, "ok"))
	r := newRig(t, "r", x)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	for n := range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Fprintf(c, "POST /safe/x HTTP/1.1\r\nHost: %s\r\nId: %d\r\nContent-Length: 1\r\n\r\nb", host, n); err != nil {
			t.Fatal(err)
		}
		if err := c.Close(); err != nil {
			t.Fatal(err)
		}
	}
	ended := make(chan struct{}, callers)
	server := &http.Server{ConnContext: exchange.WithCallerConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		defer func() { ended <- struct{}{} }()
		r.gateway.ServeHTTP(w, q)
	})}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	for range callers {
		<-ended
	}
	if got := requestCount(x); got > 0 {
		t.Errorf("%d of %d requests were sent", got, callers)
	}
	if gone := r.metrics.CallersGone.Count(); gone != callers {
		t.Errorf("%d of %d callers counted as gone", gone, callers)
	}
}

// Guards against targets that work on requests whose callers have left: when a caller closes its
// connection, the connection to the target must be closed.
func TestLeavingCallerIsCancelledAtTheTarget(t *testing.T) {
	Convey("the caller leaves", t, func() {
		began := make(chan struct{})
		x := newTarget(t, "t1", func(c net.Conn, s receivedRequest) bool {
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
		So((<-ended).truncated, ShouldBeTrue)
		// The target's read has ended, so its connection was closed.
		So(requestCount(x), ShouldEqual, 1)
	})
}

func TestDrainingAnswersCloseTheirConnections(t *testing.T) {
	Convey("an instance that is leaving", t, func() {
		x := newTarget(t, "t1", respond(200, "done"))
		r := newRig(t, "r", x)
		r.gateway.Drain(drain.NewPlan(time.Now(), time.Hour, time.Hour))
		res, err := http.DefaultTransport.RoundTrip(r.request("/safe/x", ""))
		So(err, ShouldBeNil)
		defer func() { _ = res.Body.Close() }()
		So(res.StatusCode, ShouldEqual, 200)
		So(res.Close, ShouldBeTrue)
	})
}

// fakePoison records what the gateway reports.
type fakePoison struct {
	crashed, finished, notRun []string
	// whole and left are the targets of unsettled ends: whole answers, and attempts whose caller left.
	whole, left, unreachable []string
	poison                   bool
	// crashesAllowed is how many crashes make a poison request; 0 if none do.
	crashesAllowed int
}

func (c *fakePoison) Admit(context.Context, exchange.Content, exchange.Sender) exchange.Admission {
	return exchange.Admission{Admitted: !c.poison}
}

func (c *fakePoison) MayRetry(exchange.Content) bool { return !c.poison }

func (c *fakePoison) ReportCrash(_ exchange.Content, s exchange.Sending) {
	c.crashed = append(c.crashed, s.Target)
	c.poison = c.poison || len(c.crashed) == c.crashesAllowed
}

func (c *fakePoison) ReportUnsettled(_ exchange.Content, s exchange.Sending, whole bool) {
	if whole {
		c.whole = append(c.whole, s.Target)
	} else {
		c.left = append(c.left, s.Target)
	}
}

func (c *fakePoison) ReportAlive(string) {}

func (c *fakePoison) ReportUnreachable(target string) { c.unreachable = append(c.unreachable, target) }

func (c *fakePoison) ReportNotRun(r exchange.Content) { c.notRun = append(c.notRun, r.Target) }

func (c *fakePoison) ReportFinished(r exchange.Content) { c.finished = append(c.finished, r.Target) }

// Guards against retrying a poison request without end, and against taking an innocent request
// for one: only a connection that the target closes before or within its answer counts as a crash.
func TestCrashesAreReported(t *testing.T) {
	const head = "HTTP/1.1 200 X\r\nId: %ID%\r\nSigned: yes\r\n"
	for name, c := range map[string]struct {
		first script
		path  string
		want  int
	}{
		"ends the connection":                 {closes, "/unsafe/x", 1},
		"fails":                               {respond(500, "failed"), "/unsafe/x", 0},
		"rejects":                             {notRun, "/unsafe/x", 0},
		"sends what is no answer":             {respondRaw("no answer at all\r\n\r\n", true), "/unsafe/x", 0},
		"sends a malformed chunk":             {respondRaw(head+"Transfer-Encoding: chunked\r\n\r\nxyz\r\n", true), "/unsafe/x", 0},
		"ends after its head":                 {respondRaw(head+"Content-Length: 9\r\n\r\n", false), "/unsafe/x", 1},
		"truncates its answer":                {respondRaw(head+"Content-Length: 9\r\n\r\nx", false), "/unsafe/x", 1},
		"truncates a chunk":                   {respondRaw(head+"Transfer-Encoding: chunked\r\n\r\n9\r\nx", false), "/unsafe/x", 1},
		"ends a stream before its events":     {respondRaw(head+"Transfer-Encoding: chunked\r\n\r\n", false), "/stream/x", 1},
		"ends a stream in an event":           {streamEvents(3, false), "/stream/x", 1},
		"ends an unframed stream in an event": {respondRaw(head+"\r\nid: 1\nda", false), "/stream/x", 1},
	} {
		Convey("a target that "+name, t, func() {
			k := &fakePoison{}
			r := newRigWith(t, "r", k, newTarget(t, "t1", c.first))
			r.call(c.path, "b")
			// The handler has returned then.
			r.server.Close()
			So(len(k.crashed), ShouldEqual, c.want)
			So(len(k.notRun) == 1, ShouldEqual, name == "rejects")
		})
	}
	for name, c := range map[string]struct {
		first       script
		path        string
		want, whole int
	}{
		"answers":                          {respond(200, "done"), "/unsafe/x", 1, 0},
		"answers in chunks":                {respondRaw(head+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", false), "/unsafe/x", 1, 0},
		"fails":                            {respond(500, "failed"), "/unsafe/x", 0, 0},
		"says that the request is wrong":   {respond(400, "wrong"), "/unsafe/x", 0, 0},
		"answers without a length":         {respondRaw(head+"\r\nx", false), "/unsafe/x", 0, 1},
		"answers without a length or body": {respondRaw(head+"\r\n", false), "/unsafe/x", 0, 1},
		"sends no event and no length":     {respondRaw(head+"\r\n", false), "/stream/x", 0, 1},
	} {
		Convey("a target that "+name+" proves nothing or that the request is innocent", t, func() {
			k := &fakePoison{}
			r := newRigWith(t, "r", k, newTarget(t, "t1", c.first))
			r.call(c.path, "b")
			// The handler has returned then.
			r.server.Close()
			So(len(k.finished), ShouldEqual, c.want)
			So(len(k.whole), ShouldEqual, c.whole)
			So(k.crashed, ShouldBeEmpty)
		})
	}
	Convey("a request whose crash makes it a poison request is not sent to another target", t, func() {
		k := &fakePoison{crashesAllowed: 1}
		x, y := newTarget(t, "t1", closes), newTarget(t, "t2", closes)
		r := newRigWith(t, "r", k, x, y)
		So(r.call("/safe/x", "b").status, ShouldEqual, 502)
		So(requestCount(x)+requestCount(y), ShouldEqual, 1)
	})
	Convey("an answer is reported, and a poison request is not sent", t, func() {
		k := &fakePoison{}
		x := newTarget(t, "t1", respond(200, "done"))
		r := newRigWith(t, "r", k, x)
		So(r.call("/unsafe/x", "b").status, ShouldEqual, 200)
		So(k.finished, ShouldResemble, []string{"/unsafe/x"})
		k.poison = true
		got := r.call("/unsafe/x", "b")
		So(got.status, ShouldEqual, 503)
		So(got.header.Get("Retry-After"), ShouldNotEqual, "")
		So(requestCount(x), ShouldEqual, 1)
	})
}

// Guards against a crash that looks like a proof of innocence: another region frames the answer that its
// target sent without a length. Only the instance that sent a request tells of its end.
func TestAnswersOfOtherRegionsProveNothingHere(t *testing.T) {
	const head = "HTTP/1.1 200 X\r\nId: %ID%\r\nSigned: yes\r\n"
	for answer, want := range map[string][2]int{head + "\r\nx": {0, 1}, head + "Content-Length: 1\r\n\r\nx": {1, 0}} {
		Convey(answer, t, func() {
			near, far := &fakePoison{}, &fakePoison{}
			a, b := newRegionPairWith(t, near, far, nil, []*target{newTarget(t, "far", respondRaw(answer, false))})
			So(a.call("/unsafe/x", "b").body, ShouldEqual, "x")
			// The handlers have returned then.
			a.server.Close()
			b.peers.Close()
			So([2]int{len(far.finished), len(far.whole)}, ShouldEqual, want)
			So(len(near.finished)+len(near.whole), ShouldEqual, 0)
		})
	}
}

// Guards against a region that counts as refusing work because it refused a request that crashes targets.
func TestRefusalOfAPoisonRequestSaysNothingOfItsRegion(t *testing.T) {
	Convey("the other region knows that a request crashes targets", t, func() {
		far := &fakePoison{poison: true}
		y := newTarget(t, "far", respond(200, "far"))
		a, _ := newRegionPairWith(t, nil, far, nil, []*target{y})
		got := a.call("/safe/x", "b")
		So(got.status, ShouldEqual, 503)
		So(got.body, ShouldEqual, "request_crashes_targets\n")
		So(got.header.Get("Retry-After"), ShouldNotEqual, "")
		far.poison = false
		So(a.call("/safe/x", "c").body, ShouldEqual, "far")
	})
}

// Guards against waiting seconds for a target that no longer responds. When a new connection to it
// fails, requests in flight there that may be retried must move to another target; otherwise only
// the kernel's timeout ends their connections.
func TestRequestsLeaveAnUnreachableTarget(t *testing.T) {
	for path, again := range map[string]bool{"/safe/x": true, "/resume/x": true, "/unsafe/x": false} {
		Convey(path, t, func() {
			began, hold := make(chan string, 2), make(chan struct{})
			silent := func(id string) script {
				return func(net.Conn, receivedRequest) bool { began <- id; <-hold; return false }
			}
			answers := respond(200, "done")
			if path == "/resume/x" {
				answers = streamEvents(3, true)
			}
			x, y := newTarget(t, "t1", silent("t1"), answers), newTarget(t, "t2", silent("t2"), answers)
			r := newRig(t, "r", x, y)
			ended := make(chan reply, 1)
			go func() { ended <- r.call(path, "b") }()
			first := <-began
			// The other target answers the next request.
			other := x
			if first == "t1" {
				other = y
			}
			other.next(receivedRequest{})
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
