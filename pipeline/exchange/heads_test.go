package exchange_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/route/pick"
)

// cutAnswer is an answer of which a target sends the first bytes before it ends the connection.
type cutAnswer struct {
	head, body string
	// framed says that the end of the body can be distinguished from a lost connection.
	framed bool
}

// cutAnswers returns answers with a body, by their framing.
func cutAnswers(body string) map[string]cutAnswer {
	const head = "HTTP/1.1 200 OK\r\nId: id-1\r\nSigned: yes\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
	return map[string]cutAnswer{
		"a length":             {fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body)), body, true},
		"chunks":               {head + "Transfer-Encoding: chunked\r\n\r\n", chunk + "\r\n", true},
		"chunks and a trailer": {head + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n", chunk + "Sum: 1\r\n\r\n", true},
		"neither":              {head + "\r\n", body, false},
	}
}

// incomplete calls f with each number of bytes after which the answer is not complete, or with every step-th one and
// the length of the head, and with a script that sends so much and ends the connection in some way. It returns the
// replies that f found wrong.
func (a cutAnswer) incomplete(step int, f func(n int, cut script) (got reply, ok bool)) (wrong []string) {
	text := a.head + a.body
	for n := range len(text) + 1 {
		if n%step != 0 && n != len(a.head) {
			continue
		}
		for _, reset := range []bool{true, false} {
			if a.framed && n == len(text) || !a.framed && !reset && n > len(a.head) {
				continue
			}
			if got, ok := f(n, cutAfter(text[:n], reset)); !ok {
				wrong = append(wrong, fmt.Sprintf("after %d bytes, reset %v: %d %q, truncated %v", n, reset, got.status, got.body, got.truncated))
			}
		}
	}
	return wrong
}

// cutAfter returns a script that sends a text and closes or resets the connection.
func cutAfter(text string, reset bool) script {
	return func(c net.Conn, _ receivedRequest) bool {
		_, _ = io.WriteString(c, text)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
}

// routeAnswers are the answers of a sound target to plain requests and to streams.
var routeAnswers = []struct {
	once, again, body string
	sound             script
}{
	{"/unsafe/x", "/safe/x", "done", respond(200, "done")},
	{"/stream/x", "/resume/x", eventText(1, 2), streamEvents(2, true)},
}

// lost reports whether a reply says that the answer was lost.
func lost(got reply) bool { return got.truncated || got.status == 502 }

// whole reports whether a reply is a whole answer.
func whole(got reply, body string) bool {
	return !got.truncated && got.status == 200 && got.body == body
}

// Guards against an answer that stops in its head or later and is passed on as whole.
func TestAnswersThatStopAreNotPassedOnAsWhole(t *testing.T) {
	for _, route := range routeAnswers {
		for name, answer := range cutAnswers(route.body) {
			Convey(route.once+", "+name, t, func() {
				x := newTarget(t, "", nil)
				r := newRig(t, "r")
				So(answer.incomplete(1, func(n int, cut script) (reply, bool) {
					r.renew(cut, x)
					before := requestCount(x)
					got := r.call(route.once, "b")
					return got, lost(got) && requestCount(x) == before+1
				}), ShouldBeEmpty)
			})
			Convey(route.again+", "+name, t, func() {
				x, y := newTarget(t, "", nil), newTarget(t, "", nil)
				r := newRig(t, "r")
				// Each call is retried.
				r.options.Retries.Allowance = 1 << 20
				r.rebuild()
				So(answer.incomplete(1, func(n int, cut script) (reply, bool) {
					r.renew(sequence(cut, route.sound), x, y)
					got := r.call(route.again, "b")
					return got, whole(got, route.body)
				}), ShouldBeEmpty)
			})
		}
	}
}

// cutStep is the step of tests that do not cut an answer after each byte.
const cutStep = 7

// Guards against the same in an answer that passes through another region.
func TestForwardedAnswersThatStopAreNotPassedOnAsWhole(t *testing.T) {
	for _, route := range routeAnswers {
		for name, answer := range cutAnswers(route.body) {
			Convey(route.once+", "+name, t, func() {
				x := newTarget(t, "", nil)
				a, b := newRegionPair(t, nil, nil)
				So(answer.incomplete(cutStep, func(n int, cut script) (reply, bool) {
					b.renew(cut, x)
					got := a.call(route.once, "b")
					return got, lost(got)
				}), ShouldBeEmpty)
			})
			Convey(route.once+", between instances, "+name, t, func() {
				So(answer.incomplete(cutStep, func(n int, cut script) (reply, bool) {
					r := newRig(t, "r")
					view := *r.view
					view.Peers = []exchange.Peer{{Address: newTarget(t, "peer", cut).addr, Region: "other"}}
					view.Regions = map[exchange.RegionService]pick.RegionLoad{{Region: "other", Service: "s"}: {Targets: 1, Slots: 4}}
					r.gateway.SetView(&view)
					got := r.call(route.once, "b")
					return got, lost(got)
				}), ShouldBeEmpty)
			})
		}
	}
}

// Guards against the same in the answer of a hedge, which would end a run that brings the whole answer.
func TestHedgesThatStopAreNotPassedOn(t *testing.T) {
	for _, route := range routeAnswers {
		for name, answer := range cutAnswers(route.body) {
			Convey(route.again+", "+name, t, func() {
				So(answer.incomplete(cutStep, func(n int, cut script) (reply, bool) {
					if n > len(answer.head) && strings.Contains(answer.body[:n-len(answer.head)], "\n\n") {
						// It goes on once it has brought an event.
						return reply{}, true
					}
					began, hedged := make(chan struct{}), make(chan struct{})
					x := newTarget(t, "t1", func(c net.Conn, r receivedRequest) bool {
						close(began)
						<-hedged
						return route.sound(c, r)
					})
					y := newTarget(t, "t2", func(c net.Conn, r receivedRequest) bool {
						defer close(hedged)
						return cut(c, r)
					})
					r := newRig(t, "r", x)
					ended := make(chan reply, 1)
					go func() { ended <- r.call(route.again, "b") }()
					<-began
					r.setTargets(x, y)
					r.pool.PickAt(time.Now(), pick.Call{Service: "s"}, "t1").Done(time.Now(), pick.Unreachable)
					got := <-ended
					return got, whole(got, route.body)
				}), ShouldBeEmpty)
			})
		}
	}
}

// Guards against taking a plain answer without a length for lost that ended with its connection, or has none
// because of its status or method.
func TestAnswersThatEndWithTheirConnectionAreWhole(t *testing.T) {
	const head = "HTTP/1.1 %s\r\nId: id-1\r\nSigned: yes\r\n\r\n"
	for status, body := range map[string]string{"200 OK": "done", "204 No Content": "", "404 Not Found": ""} {
		Convey(status, t, func() {
			r := newRig(t, "r", newTarget(t, "t1", cutAfter(fmt.Sprintf(head, status)+body, false)))
			got := r.call("/unsafe/x", "b")
			So(got.truncated, ShouldBeFalse)
			So(fmt.Sprint(got.status), ShouldEqual, status[:3])
			So(got.body, ShouldEqual, body)
		})
	}
	Convey("HEAD", t, func() {
		r := newRig(t, "r", newTarget(t, "t1", cutAfter(fmt.Sprintf(head, "200 OK"), false)))
		req := r.request("/safe/x", "")
		req.Method = http.MethodHead
		got := do(req)
		So(got.truncated, ShouldBeFalse)
		So(got.status, ShouldEqual, 200)
	})
}

// renew has targets answer with a script, under new IDs, so that nothing is known of them.
func (r *rig) renew(f script, targets ...*target) {
	for _, x := range targets {
		x.mu.Lock()
		x.scripts = []script{f}
		x.mu.Unlock()
		x.id = fmt.Sprintf("t%d", lastTarget.Add(1))
	}
	r.setTargets(targets...)
}

// lastTarget numbers the IDs of renew.
var lastTarget atomic.Int64
