package exchange_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/coord/endless"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/route/pick"
)

const (
	// maxWhole and maxEvent are what the gateway reads of a whole answer and of an event.
	maxWhole, maxEvent = 16 << 20, 256 << 10
	signed             = "Id: id-1\r\nSigned: yes\r\n"
)

// line is a part of a body.
var line = strings.Repeat("x", 1000)

// newEndlessRig returns a gateway that sends requests to an endless answer first, and then to another target.
func newEndlessRig(t *testing.T, a endless.Answer, answers script) (*rig, *endless.Server) {
	s := endless.Serve(t, nil, a)
	r := newRig(t, "r", &target{id: "t1", software: "v1", addr: s.Addr}, newTarget(t, "t2", answers))
	r.options.GroupOwner = newSearches(firstAt("t1"))
	r.rebuild()
	return r, s
}

// Guards against a caller that gets no answer, and an instance without memory, because of a target whose
// answer never ends.
func TestEndlessAnswersOfTargets(t *testing.T) {
	broken := slices.Concat(endless.Heads, endless.Framings)
	for _, c := range []struct {
		path    string
		answers []endless.Answer
		second  script
		bound   int
		want    reply
	}{
		{"/safe/x", broken, respond(200, "done"), http.DefaultMaxHeaderBytes, reply{status: 200, body: "done"}},
		{"/safe/x", endless.Bodies(line), respond(200, "done"), maxWhole, reply{status: 200, body: "done"}},
		{"/unsafe/x", broken, respond(200, "done"), http.DefaultMaxHeaderBytes, reply{status: 502}},
		{"/unsafe/x", endless.Bodies(line), respond(200, "done"), maxWhole, reply{status: 502}},
		{"/resume/x", broken, streamEvents(3, true), http.DefaultMaxHeaderBytes, reply{status: 200, body: eventText(1, 3)}},
		{"/resume/x", endless.Bodies(line), streamEvents(3, true), maxEvent, reply{status: 200, body: eventText(1, 3)}},
		{"/resume/x", endless.Bodies("data: x\n"), streamEvents(3, true), maxEvent, reply{status: 200, body: eventText(1, 3)}},
		{"/stream/x", broken, streamEvents(3, true), http.DefaultMaxHeaderBytes, reply{status: 502}},
		{"/stream/x", endless.Bodies(line), streamEvents(3, true), maxEvent, reply{status: 502}},
	} {
		for _, a := range c.answers {
			t.Run(c.path+" "+a.Name, func(t *testing.T) {
				r, s := newEndlessRig(t, a.With(200, signed), c.second)
				got := r.call(c.path, "b")
				if got.status != c.want.status || c.want.body != "" && got.body != c.want.body {
					t.Errorf("%d %.200q", got.status, got.body)
				}
				s.CheckClosed(t, c.bound)
			})
		}
	}
}

// Guards against a request that waits for the end of a refusal's body until its deadline, though the refusal
// says that it has not run.
func TestEndlessRefusalsAreNotReadOn(t *testing.T) {
	for _, every := range []time.Duration{0, time.Millisecond} {
		for _, a := range slices.Concat(endless.Bodies(line), endless.Framings) {
			for _, status := range []int{503, 421} {
				t.Run(a.Name, func(t *testing.T) {
					a.Every = every
					r, s := newEndlessRig(t, a.With(status, "Not-Run: 1\r\n"), respond(200, "done"))
					q := r.request("/unsafe/x", "b")
					q.Header.Set("Deadline", "5s")
					if got := do(q); got.status != 200 || got.body != "done" {
						t.Errorf("%d %q", got.status, got.body)
					}
					s.CheckClosed(t, 1<<20)
				})
			}
		}
	}
}

// Guards against a new connection after each refusal that has a body.
func TestRefusalWithABodyKeepsItsConnection(t *testing.T) {
	x := newTarget(t, "t1", respondRaw("HTTP/1.1 503 X\r\nId: id-1\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull", true))
	r := newRig(t, "r", x)
	for range 3 {
		r.call("/unsafe/x", "b")
	}
	if n := r.options.Targets.Dials(); n != 1 || requestCount(x) < 3 {
		t.Errorf("%d connections for %d requests", n, requestCount(x))
	}
}

// Guards against a target that keeps a request beyond its deadline, with an answer that comes bit by bit.
func TestSlowEndlessAnswersEndAtTheDeadline(t *testing.T) {
	for _, a := range slices.Concat(endless.Heads, endless.Framings, endless.Bodies(line)) {
		t.Run(a.Name, func(t *testing.T) {
			a.Every = time.Millisecond
			r, s := newEndlessRig(t, a.With(200, signed), respond(200, "done"))
			if got := r.call("/quick/x", "b"); got.status != 504 && got.status != 502 {
				t.Errorf("%d %q", got.status, got.body)
			}
			s.CheckClosed(t, 1<<20)
		})
	}
}

// Guards against an instance of another region whose answer never ends.
func TestEndlessAnswersOfOtherRegions(t *testing.T) {
	for _, c := range []struct {
		status, bound int
		headers       string
		answers       []endless.Answer
	}{
		{502, maxWhole, signed, slices.Concat(endless.Heads, endless.Framings, endless.Bodies(line))},
		{503, 1 << 20, "Gullhaven-Refused: overloaded\r\n", slices.Concat(endless.Framings, endless.Bodies(line))},
	} {
		for _, a := range c.answers {
			t.Run(a.Name, func(t *testing.T) {
				s := endless.Serve(t, nil, a.With(c.status, c.headers))
				r := newRig(t, "r")
				r.view.Peers = []exchange.Peer{{Address: s.Addr, Region: "other"}}
				r.view.Regions = map[exchange.RegionService]pick.RegionLoad{{Region: "other", Service: "s"}: {Targets: 1, Slots: 4}}
				if got := r.call("/unsafe/x", "b"); got.status != c.status {
					t.Errorf("%d %q", got.status, got.body)
				}
				s.CheckClosed(t, c.bound)
			})
		}
	}
}

// Guards against a caller that holds a request and its connection for ever, with a body that comes bit by bit.
func TestSlowBodyOfACallerEndsAtTheDeadline(t *testing.T) {
	for head, part := range map[string]string{"Content-Length: 1000": "x", "Transfer-Encoding: chunked": "1\r\nx\r\n"} {
		t.Run(head, func(t *testing.T) {
			x := newTarget(t, "t1", respond(200, "done"))
			c, err := net.Dial("tcp", newRig(t, "r", x).server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			if _, err := fmt.Fprintf(c, "POST /quick/x HTTP/1.1\r\nHost: %s\r\nId: id-1\r\n%s\r\n\r\n%s", host, head, part); err != nil {
				t.Fatal(err)
			}
			answer, err := io.ReadAll(c)
			if err != nil || len(answer) > 0 || requestCount(x) > 0 {
				t.Errorf("%q, %v, %d requests sent", answer, err, requestCount(x))
			}
		})
	}
}
