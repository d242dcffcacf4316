package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/coord/drain"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
)

// drainTime is longer than any test.
const drainTime = time.Hour

// finishing has the gateway accept only what ends within drainTime.
func (r *rig) finishing() { r.gateway.Drain(drain.NewPlan(time.Now(), 0, drainTime)) }

// endNow ends the gateway at the end of its plan, until no request is in progress.
func (r *rig) endNow() {
	r.gateway.Drain(drain.NewPlan(time.Now(), 0, 0))
	go func() {
		for !r.gateway.StepDrain(time.Now()) {
			time.Sleep(time.Millisecond)
		}
	}()
}

// holdAnswers returns a script that says on reached that a request has come and then waits for its end.
func holdAnswers(reached chan<- struct{}) script {
	return func(c net.Conn, r receivedRequest) bool {
		reached <- struct{}{}
		return untilEnded(c, r)
	}
}

// Guards against requests of any kind that are passed on though the instance ends before they must.
func TestEndingInstanceRefusesWhatMayOutlastIt(t *testing.T) {
	Convey("an instance that is finishing", t, func() {
		x := newTarget(t, "t1", respond(200, eventText(1, 2)))
		r := newRig(t, "r", x)
		r.finishing()
		for _, kind := range []string{"unsafe", "safe", "stream", "resume"} {
			Convey(fmt.Sprintf("refuses a request that may outlast it (%s)", kind), func() {
				for n := range r.table.Routes {
					r.table.Routes[n].Timeout = 2 * drainTime
				}
				got := r.call("/"+kind+"/x", "b")
				So(got.status, ShouldEqual, 503)
				So(got.header.Get("Retry-After"), ShouldEqual, "0.02")
				So(requestCount(x), ShouldEqual, 0)
			})
			Convey(fmt.Sprintf("serves one that ends in time by its own deadline (%s)", kind), func() {
				So(r.call("/"+kind+"/x", "b").status, ShouldEqual, 200)
			})
		}
		Convey("says so to the region that forwards", func() {
			for n := range r.table.Routes {
				r.table.Routes[n].Timeout = 2 * drainTime
			}
			a, b := newRegionPair(t, nil, []*target{x})
			b.gateway.Drain(drain.NewPlan(time.Now(), 0, 0))
			So(a.call("/unsafe/x", "b").status, ShouldEqual, 503)
			So(requestCount(x), ShouldEqual, 0)
		})
	})
}

// Guards against connections that are closed without an answer under requests that outlast the instance.
func TestRequestsThatOutlastTheInstanceAreAnswered(t *testing.T) {
	Convey("requests in progress at the end", t, func() {
		reached := make(chan struct{}, 1)
		x := newTarget(t, "t1", holdAnswers(reached))
		r := newRig(t, "r", x)
		for _, kind := range []string{"unsafe", "safe", "stream", "resume"} {
			Convey("are answered as may have run once passed on ("+kind+")", func() {
				answers := make(chan reply, 1)
				go func() { answers <- r.call("/"+kind+"/x", "b") }()
				<-reached
				r.endNow()
				got := <-answers
				So(got.truncated, ShouldBeFalse)
				So(got.status, ShouldEqual, 502)
				So(got.body, ShouldEqual, string(exchange.CodeLeaving)+"\n")
			})
		}
		Convey("are refused as not run while their body is read", func() {
			c, err := net.Dial("tcp", r.server.Listener.Addr().String())
			So(err, ShouldBeNil)
			defer func() { _ = c.Close() }()
			_, err = fmt.Fprintf(c, "POST /unsafe/x HTTP/1.1\r\nHost: %s\r\nId: id-1\r\nContent-Length: 10\r\n\r\nhalf", host)
			So(err, ShouldBeNil)
			for r.gateway.InFlight() == 0 {
				time.Sleep(time.Millisecond)
			}
			r.endNow()
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			So(err, ShouldBeNil)
			_ = res.Body.Close()
			So(res.StatusCode, ShouldEqual, 503)
			So(requestCount(x), ShouldEqual, 0)
		})
	})
}

// Guards against a request that is sent for the first time only after its instance refuses its like.
func TestRequestThatWaitsIntoTheEndIsRefused(t *testing.T) {
	Convey("a target rejects a request while the instance begins to finish", t, func() {
		var r *rig
		first := newTarget(t, "t1", afterChange(func() { r.gateway.Drain(drain.NewPlan(time.Now(), 0, time.Second)) }, notRun))
		second := newTarget(t, "t2", afterChange(func() { r.gateway.Drain(drain.NewPlan(time.Now(), 0, time.Second)) }, notRun))
		r = newRig(t, "r", first, second)
		got := r.call("/unsafe/x", "b")
		So(got.status, ShouldEqual, 503)
		So(got.body, ShouldEqual, string(exchange.CodeLeaving)+"\n")
		So(requestCount(first)+requestCount(second), ShouldEqual, 1)
	})
}

// Guards against a hedge that outlives the instance's end beside the run that it helps.
func TestHedgesEndWithTheInstance(t *testing.T) {
	Convey("a silent stream with a hedge in progress", t, func() {
		reached := make(chan struct{}, 1)
		first, _, ended, _ := silentTarget(t, "t1")
		second := newTarget(t, "t2", holdAnswers(reached))
		r := newRig(t, "r", first, second)
		r.searchSilent(newSearches(firstAt("t1")))
		r.gateway.SetMaxOverlap(drainTime)
		answers := make(chan reply, 1)
		go func() { answers <- r.call("/resume/x", "b") }()
		<-reached
		r.endNow()
		got := <-answers
		So(got.truncated, ShouldBeTrue)
		So(got.body, ShouldEqual, eventText(1, 2))
		<-ended
		<-second.closed
	})
}

// Guards against a request that is counted for a moment too short: the answer of the last one is written whole.
func TestInstanceEndsAfterTheLastAnswer(t *testing.T) {
	Convey("a request in progress keeps the instance", t, func() {
		reached, release := make(chan struct{}, 1), make(chan struct{})
		x := newTarget(t, "t1", func(c net.Conn, r receivedRequest) bool {
			reached <- struct{}{}
			<-release
			return respond(200, "late")(c, r)
		})
		r := newRig(t, "r", x)
		answers := make(chan reply, 1)
		go func() {
			req := r.request("/unsafe/x", "b").WithContext(context.Background())
			answers <- do(req)
		}()
		<-reached
		r.finishing()
		So(r.gateway.StepDrain(time.Now()), ShouldBeFalse)
		So(r.gateway.DrainPhase(time.Now()), ShouldEqual, drain.Finishing)
		close(release)
		got := <-answers
		So(got.status, ShouldEqual, 200)
		So(got.body, ShouldEqual, "late")
		for !r.gateway.StepDrain(time.Now()) {
			time.Sleep(time.Millisecond)
		}
		So(r.call("/safe/x", "b").status, ShouldEqual, 503)
	})
}
