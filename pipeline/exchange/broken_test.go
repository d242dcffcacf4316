package exchange_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/coord/broken"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/route/pick"
)

// brokenAnswers are answers that are not valid HTTP/1.1, by what is wrong with them.
var brokenAnswers = broken.Answers(signed, wrong)

// wrong is a body that must reach no caller.
const wrong = "wrong"

// checkClosed fails the test unless the gateway has closed the connection of a target.
func checkClosed(t *testing.T, x *target) {
	t.Helper()
	select {
	case <-x.ended:
	case <-time.After(5 * time.Second):
		t.Error("the connection is open")
	}
}

// checkBroken fails the test unless a reply says that the request may have run, and nothing else.
func checkBroken(t *testing.T, got reply) {
	t.Helper()
	if got.truncated || got.status != http.StatusBadGateway || got.header.Get("Retry-After") != "" || strings.Contains(got.body, wrong) {
		t.Errorf("%d %q, truncated %v, Retry-After %q", got.status, got.body, got.truncated, got.header.Get("Retry-After"))
	}
}

// Guards against an answer that is not valid HTTP and reaches a caller, or is read as the answer to the next
// request on its connection.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	for name, text := range brokenAnswers {
		for _, route := range routeAnswers {
			t.Run(route.once+", "+name, func(t *testing.T) {
				x := newTarget(t, "t1", respondRaw(text, true))
				r := newRig(t, "r", x)
				checkBroken(t, r.call(route.once, "b"))
				if n := requestCount(x); n != 1 {
					t.Errorf("sent %d times", n)
				}
				checkClosed(t, x)
				if n := r.metrics.BrokenAnswers.Count(); n != 1 {
					t.Errorf("%d broken answers counted", n)
				}
			})
			t.Run(route.again+", "+name, func(t *testing.T) {
				f := sequence(respondRaw(text, true), route.sound)
				r := newRig(t, "r", newTarget(t, "t1", f), newTarget(t, "t2", f))
				if got := r.call(route.again, "b"); !whole(got, route.body) {
					t.Errorf("%d %q, truncated %v", got.status, got.body, got.truncated)
				}
			})
			t.Run(route.once+", of an instance of another region, "+name, func(t *testing.T) {
				r, x := newPeerRig(t, respondRaw(text, true))
				checkBroken(t, r.call(route.once, "b"))
				checkClosed(t, x)
			})
		}
	}
}

// Guards against a stream that has begun and ends as whole though the rest of its answer is not valid.
func TestBegunStreamsThatBreakAreNotWhole(t *testing.T) {
	event := eventText(1, 1)
	begun := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", signed, len(event), event)
	for name, rest := range map[string]string{
		"a blank in a trailer": "0\r\nX Y: 1\r\n\r\n", "a size without digits": ";x\r\n\r\n", "a chunk longer than its size": "1\r\nxx\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			x := newTarget(t, "t1", respondRaw(begun+rest, true))
			if got := newRig(t, "r", x).call("/stream/x", "b"); got.status != 200 || !got.truncated || got.body != event {
				t.Errorf("%d %q, truncated %v", got.status, got.body, got.truncated)
			}
			checkClosed(t, x)
		})
		t.Run(name+", resumed", func(t *testing.T) {
			f := sequence(respondRaw(begun+rest, true), streamEvents(2, true))
			r := newRig(t, "r", newTarget(t, "t1", f), newTarget(t, "t2", f))
			if got := r.call("/resume/x", "b"); !whole(got, eventText(1, 2)) {
				t.Errorf("%d %q, truncated %v", got.status, got.body, got.truncated)
			}
		})
	}
}

// newPeerRig returns a gateway without targets and an instance of another region.
func newPeerRig(t *testing.T, f script) (*rig, *target) {
	x := newTarget(t, "peer", f)
	r := newRig(t, "r")
	view := *r.view
	view.Peers = []exchange.Peer{{Address: x.addr, Region: "other"}}
	view.Regions = map[exchange.RegionService]pick.RegionLoad{{Region: "other", Service: "s"}: {Targets: 1, Slots: 4}}
	r.gateway.SetView(&view)
	return r, x
}

// Guards against refusing an answer that is unusual and valid.
func TestUnusualAnswersReachTheirCaller(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n" + signed
	for name, text := range map[string]string{
		"interim answers":        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\nLink: b\r\n\r\n" + ok + "Content-Length: 4\r\n\r\ndone",
		"a trailer":              ok + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n4;ext=\"a b\"\r\ndone\r\n0\r\nSum: 1\r\n\r\n",
		"an unannounced trailer": ok + "Transfer-Encoding: chunked\r\n\r\n2\r\ndo\r\n02\r\nne\r\n000\r\nSum: 1\r\nSum: 2\r\n\r\n",
		"a folded line":          ok + "X: 1\r\n 2\r\n\t3\r\nContent-Length:\r\n 4\r\n\r\ndone",
		"an empty folded line":   ok + "Content-Length: 4\r\n \r\nX: 1\r\n\r\ndone",
		"repeated fields":        ok + "X: 1\r\nX: 2\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\ndone",
		"an empty value":         ok + "X:\r\nContent-Length: 4\r\n\r\ndone",
		"every name byte":        ok + "!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 4\r\n\r\ndone",
		"bytes above ASCII":      ok + "X: \xc3\xa9\xff\r\nContent-Length: 4\r\n\r\ndone",
		"no reason":              "HTTP/1.1 200\r\n" + signed + "Content-Length: 4\r\n\r\ndone",
		"bare line feeds":        "HTTP/1.1 200 OK\n" + strings.ReplaceAll(signed, "\r", "") + "Content-Length: 4\n\ndone",
		"both framings":          ok + "Content-Length: 40\r\nTransfer-Encoding: Chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
		"HTTP/1.0":               "HTTP/1.0 200 OK\r\n" + signed + "\r\ndone",
		"no length":              ok + "\r\ndone",
	} {
		t.Run(name, func(t *testing.T) {
			// The connection is closed in order.
			r := newRig(t, "r", newTarget(t, "t1", cutAfter(text, false)))
			if got := r.call("/unsafe/x", "b"); !whole(got, "done") {
				t.Errorf("%d %q, truncated %v", got.status, got.body, got.truncated)
			}
		})
	}
}

// uploadBytes is the length of a body that the sockets of both ends do not hold.
const uploadBytes = 6 << 20

// newUploadTarget returns a target that answers each request after its head and ends the connection while the body
// is being written.
func newUploadTarget(t *testing.T, id, text string, reset bool) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	x := &target{id: id, software: "v1", addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go x.answerEarly(c.(*net.TCPConn), text, reset)
		}
	}()
	return x
}

func (x *target) answerEarly(c *net.TCPConn, text string, reset bool) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	r, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	x.mu.Lock()
	x.received = append(x.received, receivedRequest{r.Method, r.RequestURI, "", r.Header})
	x.mu.Unlock()
	_, _ = io.WriteString(c, text)
	if reset {
		_ = c.SetLinger(0)
		return
	}
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, br)
}

// newUploadRig returns a gateway that takes long bodies.
func newUploadRig(t *testing.T, targets ...*target) *rig {
	r := newRig(t, "r", targets...)
	r.table.Limits.MaxBodyBytes = 2 * uploadBytes
	r.view.Index = routes.NewIndex(r.table)
	r.options.Retries.Allowance = 1 << 20
	r.rebuild()
	return r
}

// Guards against a part of an answer that goes out as whole: the write of the request takes the reset of the
// connection, and the reader of the answer finds the end of the stream.
func TestPartsOfEarlyAnswersAreNotPassedOnAsWhole(t *testing.T) {
	const rounds = 16
	upload := strings.Repeat("x", uploadBytes)
	for _, route := range routeAnswers {
		text := "HTTP/1.1 200 OK\r\n" + signed + "\r\n" + route.body
		t.Run(route.once, func(t *testing.T) {
			for range rounds {
				x := newUploadTarget(t, "t1", text, true)
				r := newUploadRig(t, x)
				if got := r.call(route.once, upload); !lost(got) || requestCount(x) != 1 {
					t.Errorf("%d %q, truncated %v, sent %d times", got.status, got.body, got.truncated, requestCount(x))
				}
			}
		})
		t.Run(route.again, func(t *testing.T) {
			for range rounds {
				x, y := newUploadTarget(t, "t1", text, true), newUploadTarget(t, "t2", text, true)
				if got := newUploadRig(t, x, y).call(route.again, upload); !lost(got) {
					t.Errorf("%d %q, truncated %v", got.status, got.body, got.truncated)
				}
			}
		})
	}
}

// Guards against refusing an early answer without a length whose connection is closed in order.
func TestEarlyAnswersThatEndInOrderAreWhole(t *testing.T) {
	x := newUploadTarget(t, "t1", "HTTP/1.1 200 OK\r\n"+signed+"\r\ndone", false)
	if got := newUploadRig(t, x).call("/unsafe/x", strings.Repeat("x", uploadBytes)); !whole(got, "done") {
		t.Errorf("%d %q, truncated %v", got.status, got.body, got.truncated)
	}
}

// Guards against a target whose answers are all broken and that gets requests as before: one on a connection that
// had carried others, like the end of such a connection, told nothing of its target.
func TestTargetOfBrokenAnswersBacksOff(t *testing.T) {
	for name, text := range map[string]string{
		"a broken head":    brokenAnswers["status 000"],
		"a broken trailer": brokenAnswers["a blank in a trailer"],
	} {
		t.Run(name, func(t *testing.T) {
			x := newTarget(t, "t1", respond(200, "done"), respondRaw(text, true))
			r := newRig(t, "r", x)
			if got := r.call("/unsafe/x", "b"); !whole(got, "done") {
				t.Fatalf("%d %q", got.status, got.body)
			}
			checkBroken(t, r.call("/unsafe/x", "b"))
			if n := r.pool.Count(time.Now()).BackingOff; n != 1 {
				t.Errorf("%d targets back off", n)
			}
		})
	}
}

// Guards against a target that gets no requests as an answer was longer than the gateway holds.
func TestTargetOfATooLongAnswerDoesNotBackOff(t *testing.T) {
	r := newRig(t, "r", newTarget(t, "t1", respond(200, strings.Repeat("x", maxWhole+1))))
	checkBroken(t, r.call("/unsafe/x", "b"))
	if n := r.pool.Count(time.Now()).BackingOff; n != 0 {
		t.Errorf("%d targets back off", n)
	}
}

// Guards against an answer that was refused for a reason which its request's log lines do not name.
func TestLogSaysWhyAnAnswerIsBroken(t *testing.T) {
	for name, want := range map[string]string{
		"status 000":             `status code "000"`,
		`name "X Y"`:             `field name "X "`,
		"a blank in a trailer":   `field name "X "`,
		"101 without an upgrade": "101",
	} {
		t.Run(name, func(t *testing.T) {
			core, logs := observer.New(zapcore.InfoLevel)
			r := newRig(t, "r", newTarget(t, "t1", respondRaw(brokenAnswers[name], true)))
			r.options.Log = zap.New(core)
			r.rebuild()
			r.call("/unsafe/x", "b")
			for _, line := range logs.All() {
				fields := line.ContextMap()
				if fields["id"] == "id-1" && fields["target"] == "t1" && strings.Contains(fmt.Sprint(fields["error"]), want) {
					return
				}
			}
			t.Errorf("%v", logs.All())
		})
	}
}
