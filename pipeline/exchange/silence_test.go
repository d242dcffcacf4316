package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/route/pick"
)

// searches is a group owner that has choose decide, with the number of the choice. The first is that of
// the request, later ones are for its silent stream.
type searches struct {
	exchange.GroupOwner
	n      atomic.Int64
	choose func(n int64) exchange.Decision
	ended  chan pick.Result
}

func newSearches(choose func(n int64) exchange.Decision) *searches {
	return &searches{choose: choose, ended: make(chan pick.Result, 100)}
}

func (s *searches) Choose(context.Context, pick.Call, string, time.Duration, *exchange.AdmissionRequest) (exchange.Decision, bool) {
	d := s.choose(s.n.Add(1))
	return d, d.Target != ""
}

func (s *searches) ReportFirstEvent(exchange.Decision) {}

func (s *searches) ReportEnd(_ exchange.Decision, r pick.Result) { s.ended <- r }

// silentTarget is a target that streams two events, and two more at a value or the end of goOn each. conns
// gets its connection, and ended is closed when the other end has closed that.
func silentTarget(t *testing.T, id string) (x *target, goOn, ended chan struct{}, conns chan net.Conn) {
	goOn, ended, conns = make(chan struct{}), make(chan struct{}), make(chan net.Conn, 1)
	return newTarget(t, id, func(c net.Conn, r receivedRequest) bool {
		conns <- c
		text := fmt.Sprintf("HTTP/1.1 200 X\r\nId: %s\r\nSigned: yes\r\nContent-Length: %d\r\n\r\n%s", r.header.Get("Id"), len(eventText(1, 4)), eventText(1, 2))
		_, _ = io.WriteString(c, text)
		go func() { _, _ = io.Copy(io.Discard, c); close(ended) }()
		for id := int64(3); id <= 4; id++ {
			select {
			case <-goOn:
				_, _ = io.WriteString(c, eventText(id, id))
			case <-ended:
			}
		}
		return false
	}), goOn, ended, conns
}

// firstAt has the request sent to a target first, and leaves later choices to the instance.
func firstAt(target string) func(n int64) exchange.Decision {
	return func(n int64) exchange.Decision {
		if n == 1 {
			return exchange.Decision{Target: target}
		}
		return exchange.Decision{}
	}
}

// late is the choice of a target that would begin after the deadline.
var late = exchange.Decision{Target: "t2", Wait: float64(time.Hour.Milliseconds())}

// searchSilent sets the owner of the rig's groups, and has it look for a place after a millisecond.
func (r *rig) searchSilent(owner exchange.GroupOwner) {
	view := r.gateway.View()
	r.options.GroupOwner = owner
	r.rebuild()
	r.gateway.SetView(view)
	r.gateway.SetStreamIdle(time.Millisecond)
	r.peers.Config.Handler = r.gateway.ForwardedHandler()
}

// Guards against cutting a stream that its silent target would have finished, while nothing else can go
// on with it.
func TestSilentStreamIsReadOnWithoutAnotherPlace(t *testing.T) {
	Convey("another region that has just refused", t, func() {
		x, goOn, _, _ := silentTarget(t, "t1")
		y := newTarget(t, "t2", notRun)
		r, _ := newRegionPair(t, nil, []*target{y})
		r.searchSilent(newSearches(func(n int64) exchange.Decision {
			if n == 4 {
				close(goOn)
			}
			return exchange.Decision{}
		}))
		r.gateway.KeepRefusals(time.Hour)
		So(r.call("/safe/x", "").status, ShouldEqual, 503)
		r.setTargets(x)
		So(r.call("/resume/x", "b").body, ShouldEqual, eventText(1, 4))
		So(requestCount(y), ShouldEqual, 1)
	})
	for _, c := range []struct {
		name, software string
		retries        float64
		later          exchange.Decision
	}{
		{name: "another software version", software: "v2", retries: 100},
		{name: "no retry budget", software: "v1"},
		{name: "a target that would begin after the deadline", software: "v1", retries: 100, later: late},
	} {
		Convey(c.name, t, func() {
			x, goOn, _, _ := silentTarget(t, "t1")
			y := newTarget(t, "t2", streamEvents(4, true))
			y.software = c.software
			r := newRig(t, "r", x, y)
			r.options.Retries.Allowance, r.options.Retries.Share = c.retries, 0
			r.searchSilent(newSearches(func(n int64) exchange.Decision {
				if n == 1 {
					return exchange.Decision{Target: "t1"}
				}
				if n == 4 {
					close(goOn)
				}
				return c.later
			}))
			got := r.call("/resume/x", "b")
			So(got.truncated, ShouldBeFalse)
			So(got.body, ShouldEqual, eventText(1, 4))
			So(requestCount(y), ShouldEqual, 0)
		})
	}
}

// streamOnceEnded returns a script that streams the events after the requested id up to last: the first at
// once, the others when ended is closed.
func streamOnceEnded(last int64, ended <-chan struct{}) script {
	return func(c net.Conn, r receivedRequest) bool {
		after, _ := strconv.ParseInt(r.header.Get("After"), 10, 64)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSigned: yes\r\nContent-Length: %d\r\n\r\n%s", r.header.Get("Id"),
			len(eventText(after+1, last)), eventText(after+1, after+1))
		<-ended
		_, err := io.WriteString(c, eventText(after+2, last))
		return err == nil
	}
}

// Guards against a silent run that goes on once another place has answered, and against events that are
// lost or repeated then.
func TestSilentStreamGoesOnElsewhere(t *testing.T) {
	for name, elsewhere := range map[string]string{"a target of the region": "r", "another region": "other"} {
		Convey(name, t, func() {
			x, _, ended, _ := silentTarget(t, "t1")
			y := newTarget(t, "t2", streamOnceEnded(4, ended))
			r, _ := newRegionPair(t, []*target{x}, []*target{y})
			if elsewhere == "r" {
				r = newRig(t, "r", x, y)
			}
			// One retry: the share of a process that has just started is 1.25.
			r.options.Retries.Share, r.options.Retries.Allowance = 0, 60
			r.searchSilent(newSearches(firstAt("t1")))
			got := r.call("/resume/x", "b")
			So(got.truncated, ShouldBeFalse)
			So(got.body, ShouldEqual, eventText(1, 4))
			So(y.requests()[0].header.Get("After"), ShouldEqual, "2")
			So(requestCount(x, y), ShouldEqual, 2)
			So(r.metrics.Retries.Count(), ShouldEqual, 1)
		})
	}
}

// Guards against losing a stream that its silent target would have finished, because the place that was to
// go on with it came to nothing.
func TestSilentStreamOutlivesTheNextPlace(t *testing.T) {
	// Each script ends the way of its name; then the silent target goes on.
	head := "HTTP/1.1 200 X\r\nId: %ID%\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n"
	ways := map[string]script{
		"rejects the request":                 notRun,
		"is another target":                   gone,
		"closes the connection":               closes,
		"breaks off before its first event":   respondRaw(head, false),
		"breaks off within its first event":   respondRaw(head+"5\r\nid: 3", false),
		"ends without an event and no length": respondRaw("HTTP/1.1 200 X\r\nId: %ID%\r\nSigned: yes\r\n\r\n", false),
		"answers with a failure":              respond(500, "failed"),
		"answers another request":             respondRaw("HTTP/1.1 200 X\r\nId: other\r\nSigned: yes\r\nContent-Length: 0\r\n\r\n", true),
		"never answers":                       untilEnded,
		"never brings an event": func(c net.Conn, r receivedRequest) bool {
			return respondRaw(head, true)(c, r) && untilEnded(c, r)
		},
	}
	for name, way := range ways {
		for _, elsewhere := range []string{"r", "other"} {
			Convey(name+" in region "+elsewhere, t, func() {
				x, goOn, _, _ := silentTarget(t, "t1")
				var once sync.Once
				y := newTarget(t, "t2", func(c net.Conn, r receivedRequest) bool {
					defer once.Do(func() { close(goOn) })
					return way(c, r)
				})
				r, _ := newRegionPair(t, []*target{x}, []*target{y})
				if elsewhere == "r" {
					r = newRig(t, "r", x, y)
				}
				r.searchSilent(newSearches(firstAt("t1")))
				got := r.call("/resume/x", "b")
				So(got.truncated, ShouldBeFalse)
				So(got.body, ShouldEqual, eventText(1, 4))
				So(requestCount(y), ShouldBeGreaterThan, 0)
			})
		}
	}
	Convey("accepts no connection", t, func() {
		x, goOn, _, _ := silentTarget(t, "t1")
		y := newTarget(t, "t2", notRun)
		y.close()
		r := newRig(t, "r", x, y)
		r.searchSilent(newSearches(func(n int64) exchange.Decision {
			if n == 3 {
				close(goOn)
			}
			if n == 1 {
				return exchange.Decision{Target: "t1"}
			}
			return exchange.Decision{}
		}))
		got := r.call("/resume/x", "b")
		So(got.truncated, ShouldBeFalse)
		So(got.body, ShouldEqual, eventText(1, 4))
	})
}

// silentAfter returns a script that streams the events up to last and then nothing until the other end has
// closed the connection.
func silentAfter(last int64) script {
	return func(c net.Conn, r receivedRequest) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSigned: yes\r\nContent-Length: 1000\r\n\r\n%s", r.header.Get("Id"), eventText(1, last))
		return untilEnded(c, r)
	}
}

// Guards against losing a stream that its silent target can still finish, because the place that went on with
// it broke off and no further target may run it.
func TestStreamReturnsToItsSilentTarget(t *testing.T) {
	Convey("a hedge breaks off after its first event, with all tries used up", t, func() {
		x, y := newTarget(t, "t1", silentAfter(2), streamEvents(5, true)), newTarget(t, "t2", streamEvents(3, false))
		r := newRig(t, "r", x, y)
		r.options.Retries.Share, r.options.Retries.Allowance = 0, 600
		r.searchSilent(newSearches(firstAt("t1")))
		got := r.call("/twice/x", "b")
		So(got.truncated, ShouldBeFalse)
		So(got.body, ShouldEqual, eventText(1, 5))
		So(requestCount(x), ShouldEqual, 2)
		So(requestCount(y), ShouldEqual, 1)
		So(x.requests()[1].header.Get("After"), ShouldEqual, "3")
	})
	Convey("a hedge breaks off after its first event, with a try left and no third target", t, func() {
		x, y := newTarget(t, "t1", silentAfter(2), streamEvents(5, true)), newTarget(t, "t2", streamEvents(3, false))
		r := newRig(t, "r", x, y)
		r.options.Retries.Share, r.options.Retries.Allowance = 0, 600
		r.searchSilent(newSearches(firstAt("t1")))
		got := r.call("/resume/x", "b")
		So(got.truncated, ShouldBeFalse)
		So(got.body, ShouldEqual, eventText(1, 5))
		So(requestCount(x), ShouldEqual, 2)
		So(requestCount(y), ShouldEqual, 1)
		So(x.requests()[1].header.Get("After"), ShouldEqual, "3")
	})
	Convey("a silent target that is leaving is not returned to", t, func() {
		x := newTarget(t, "t1", silentAfter(2), streamEvents(5, true))
		r := newRig(t, "r", x)
		y := newTarget(t, "t2", afterChange(func() {
			leaving := pick.Target{ID: x.id, Service: "s", Address: x.addr, Zone: "z", Slots: 4, Software: x.software, Draining: true}
			r.pool.Update(time.Now(), pick.Snapshot{Targets: []pick.Target{leaving}, Entries: []string{"self"}})
		}, streamEvents(3, false)))
		r.setTargets(x, y)
		r.options.Retries.Share, r.options.Retries.Allowance = 0, 600
		r.searchSilent(newSearches(firstAt("t1")))
		got := r.call("/resume/x", "b")
		So(got.truncated, ShouldBeTrue)
		So(got.body, ShouldEqual, eventText(1, 3))
		So(requestCount(x), ShouldEqual, 1)
	})
	Convey("the silent target has broken off by itself", t, func() {
		x, y := newTarget(t, "t1", streamEvents(2, false)), newTarget(t, "t2", streamEvents(3, false))
		r := newRig(t, "r", x, y)
		So(r.call("/twice/x", "b").truncated, ShouldBeTrue)
		So(requestCount(x, y), ShouldEqual, 2)
	})
}

// Guards against losing a stream because the target that it was taken from, for another one that then broke
// off, counts as used up.
func TestStreamReturnsToTheTargetItWasTakenFrom(t *testing.T) {
	for name, goesOnFirst := range map[string]bool{"the silent target goes on": true, "the hedge brings no event in time": false} {
		Convey("a hedge is ended because "+name+", and then the silent target breaks off", t, func() {
			asked := make(chan struct{})
			y := newTarget(t, "t2", func(c net.Conn, r receivedRequest) bool {
				close(asked)
				return untilEnded(c, r)
			}, streamEvents(5, true))
			x := newTarget(t, "t1", func(c net.Conn, r receivedRequest) bool {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSigned: yes\r\nContent-Length: 1000\r\n\r\n%s", r.header.Get("Id"), eventText(1, 2))
				if goesOnFirst {
					<-asked
					_, _ = io.WriteString(c, eventText(3, 3))
				}
				<-y.closed
				return false
			})
			r := newRig(t, "r", x, y)
			r.options.Retries.Share, r.options.Retries.Allowance = 0, 600
			r.searchSilent(newSearches(firstAt("t1")))
			if goesOnFirst {
				r.gateway.SetMaxOverlap(time.Minute)
			}
			got := r.call("/twice/x", "b")
			So(got.truncated, ShouldBeFalse)
			So(got.body, ShouldEqual, eventText(1, 5))
			So(requestCount(x), ShouldEqual, 1)
			So(requestCount(y), ShouldEqual, 2)
		})
	}
	Convey("a stream is taken from a target before its first event", t, func() {
		began := make(chan struct{})
		x := newTarget(t, "t1", func(c net.Conn, r receivedRequest) bool {
			close(began)
			return untilEnded(c, r)
		}, streamEvents(5, true))
		y := newTarget(t, "t2", streamEvents(3, false))
		r := newRig(t, "r", x)
		got := make(chan reply, 1)
		go func() { got <- r.call("/twice/x", "b") }()
		<-began
		r.setTargets(x, y)
		r.pool.PickAt(time.Now(), pick.Call{Service: "s"}, "t1").Done(time.Now(), pick.Unreachable)
		answer := <-got
		So(answer.truncated, ShouldBeFalse)
		So(answer.body, ShouldEqual, eventText(1, 5))
		So(requestCount(x), ShouldEqual, 2)
		So(requestCount(y), ShouldEqual, 1)
	})
}

// slowEnds is a group owner that takes the end of the request at a target only once asked has a value, or after
// a while.
type slowEnds struct {
	*searches
	target string
	asked  chan struct{}
}

func (s *slowEnds) ReportEnd(d exchange.Decision, _ pick.Result) {
	if d.Target != s.target {
		return
	}
	const while = 100 * time.Millisecond
	select {
	case <-s.asked:
	case <-time.After(while):
	}
}

// Guards against a request that runs at more targets than its route allows, as a hedge that was ended a moment
// before counts only once its end is recorded.
func TestEndedHedgeCountsAgainstTheAttempts(t *testing.T) {
	Convey("the silent target goes on, and breaks off while the hedge ends", t, func() {
		hedged, asked := make(chan struct{}), make(chan struct{}, 1)
		y := newTarget(t, "t2", func(c net.Conn, r receivedRequest) bool {
			close(hedged)
			return untilEnded(c, r)
		}, streamEvents(5, true))
		x := newTarget(t, "t1", func(c net.Conn, r receivedRequest) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSigned: yes\r\nContent-Length: 1000\r\n\r\n%s", r.header.Get("Id"), eventText(1, 2))
			<-hedged
			_, _ = io.WriteString(c, eventText(3, 3))
			<-y.closed
			return false
		})
		z := newTarget(t, "t3", func(c net.Conn, r receivedRequest) bool {
			asked <- struct{}{}
			return streamEvents(5, true)(c, r)
		})
		r := newRig(t, "r", x, y, z)
		r.options.Retries.Share, r.options.Retries.Allowance = 0, 600
		first := newSearches(func(n int64) exchange.Decision {
			if n > 3 {
				return exchange.Decision{}
			}
			return exchange.Decision{Target: fmt.Sprint("t", n)}
		})
		r.searchSilent(&slowEnds{searches: first, target: "t2", asked: asked})
		r.gateway.SetMaxOverlap(time.Minute)
		got := r.call("/twice/x", "b")
		So(requestCount(z), ShouldEqual, 0)
		So(got.truncated, ShouldBeFalse)
		So(got.body, ShouldEqual, eventText(1, 5))
	})
}

// Guards against losing a stream whose silent target breaks off while another place has been asked.
func TestPlaceThatWasAskedGoesOnWithALostStream(t *testing.T) {
	Convey("the silent target ends before the other one answers", t, func() {
		asked := make(chan struct{})
		x := newTarget(t, "t1", func(c net.Conn, r receivedRequest) bool {
			text := fmt.Sprintf("HTTP/1.1 200 X\r\nId: %s\r\nSigned: yes\r\nContent-Length: 1000\r\n\r\n%s", r.header.Get("Id"), eventText(1, 2))
			_, _ = io.WriteString(c, text)
			<-asked
			return false
		})
		y := newTarget(t, "t2", func(c net.Conn, r receivedRequest) bool {
			close(asked)
			<-x.closed
			return streamEvents(4, true)(c, r)
		})
		r := newRig(t, "r", x, y)
		r.options.Retries.Share, r.options.Retries.Allowance = 0, 60
		r.searchSilent(newSearches(firstAt("t1")))
		r.gateway.SetMaxOverlap(time.Minute)
		got := r.call("/resume/x", "b")
		So(got.truncated, ShouldBeFalse)
		So(got.body, ShouldEqual, eventText(1, 4))
		So(requestCount(x, y), ShouldEqual, 2)
	})
}

// Guards against holding back or dropping the next event of a silent target while a place is looked for,
// and against keeping the place that is not needed then.
func TestEventOfASilentTargetWins(t *testing.T) {
	Convey("the target goes on while the owner of the group chooses another", t, func() {
		x, goOn, _, _ := silentTarget(t, "t1")
		y := newTarget(t, "t2", streamEvents(4, true))
		r := newRig(t, "r", x, y)
		relayed := make(chan struct{})
		owner := newSearches(func(n int64) exchange.Decision {
			switch n {
			case 1:
				return exchange.Decision{Target: "t1"}
			case 2:
				goOn <- struct{}{}
				<-relayed
				return exchange.Decision{Target: "t2"}
			}
			return late
		})
		r.searchSilent(owner)
		res, err := http.DefaultTransport.RoundTrip(r.request("/resume/x", "b"))
		So(err, ShouldBeNil)
		defer func() { _ = res.Body.Close() }()
		var body strings.Builder
		in := bufio.NewReader(res.Body)
		for !strings.Contains(body.String(), eventText(3, 3)) && err == nil {
			var line string
			line, err = in.ReadString('\n')
			body.WriteString(line)
		}
		close(relayed)
		So(<-owner.ended, ShouldEqual, pick.Neutral)
		close(goOn)
		_, err = io.Copy(&body, in)
		So(err, ShouldBeNil)
		So(body.String(), ShouldEqual, eventText(1, 4))
		So(requestCount(y), ShouldEqual, 0)
	})
}

// Guards against an instance that cuts a forwarded stream, though only the one before it knows whether
// another place can go on with it.
func TestForwardedStreamIsCutByItsFirstInstanceOnly(t *testing.T) {
	for name, moves := range map[string]bool{"no other place": false, "a target returns to the own region": true} {
		Convey(name, t, func() {
			x, goOn, ended, _ := silentTarget(t, "far1")
			far := newTarget(t, "far2", streamEvents(4, true))
			near := newTarget(t, "near", streamOnceEnded(4, ended))
			a, b := newRegionPair(t, nil, []*target{x, far})
			remote := newSearches(func(int64) exchange.Decision { return exchange.Decision{Target: "far1"} })
			b.searchSilent(remote)
			a.searchSilent(newSearches(func(n int64) exchange.Decision {
				if n == 4 && moves {
					a.setTargets(near)
				} else if n == 4 {
					close(goOn)
				}
				return exchange.Decision{}
			}))
			got := a.call("/resume/x", "b")
			So(got.truncated, ShouldBeFalse)
			So(got.body, ShouldEqual, eventText(1, 4))
			So(remote.n.Load(), ShouldEqual, 1)
			So(requestCount(x), ShouldEqual, 1)
			So(requestCount(near) == 1, ShouldEqual, moves)
		})
	}
}

// Guards against a stream that ends as if it were complete, because a target that was to go on with it has closed
// the connection after a head without a length.
func TestStreamIsNotEndedByAnAnswerWithoutEventsAndLength(t *testing.T) {
	Convey("three targets, the second of which sends a head only", t, func() {
		headOnly := respondRaw("HTTP/1.1 200 X\r\nId: %ID%\r\nSigned: yes\r\n\r\n", false)
		var got reply
		for got.body == "" {
			// The reset of the first connection may overtake its events; then no stream has begun.
			inTurn := sequence(streamEvents(2, false), headOnly, streamEvents(4, true))
			got = newRig(t, "r", newTarget(t, "t1", inTurn), newTarget(t, "t2", inTurn), newTarget(t, "t3", inTurn)).call("/resume/x", "b")
			So(got.truncated, ShouldBeFalse)
		}
		So(got.body, ShouldEqual, eventText(1, 4))
	})
}
