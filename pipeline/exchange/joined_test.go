package exchange_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/route/pick"
)

// meetingStreams returns scripts of two targets that bring their first events at about the same moment, the first
// one later than the second by a time. began gets a value when the first has the request.
func meetingStreams(later time.Duration) (x, y script, began chan struct{}) {
	began = make(chan struct{}, 1)
	both := make(chan struct{})
	stream := func(c net.Conn, r receivedRequest, text string, wait func()) bool {
		var events strings.Builder
		for n := 1; n <= 3; n++ {
			fmt.Fprintf(&events, "id: %d\ndata: %s %d\n\n", n, text, n)
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSigned: yes\r\nContent-Length: %d\r\n\r\n", r.header.Get("Id"), events.Len())
		wait()
		_, err := io.WriteString(c, events.String())
		return err == nil
	}
	x = func(c net.Conn, r receivedRequest) bool {
		return stream(c, r, "of x", func() {
			began <- struct{}{}
			<-both
			for from := time.Now(); time.Since(from) < later; {
			}
		})
	}
	y = func(c net.Conn, r receivedRequest) bool {
		return stream(c, r, "of y", func() {
			time.Sleep(headTime)
			close(both)
		})
	}
	return x, y, began
}

// headTime is longer than it takes to read a head.
const headTime = 2 * time.Millisecond

// Guards against a stream of two runs joined: a run and its hedge bring their first events at once, and the
// caller gets the first event of the one and the rest of the other.
func TestStreamsOfARunAndItsHedgeAreNotJoined(t *testing.T) {
	const rounds = 400
	Convey("a run and its hedge that begin together", t, func() {
		hedged := 0
		for n := range rounds {
			xs, ys, began := meetingStreams(time.Duration(n%100) * time.Microsecond)
			x, y := newTarget(t, "t1", xs), newTarget(t, "t2", ys)
			r := newRig(t, "r", x)
			ended := make(chan reply, 1)
			go func() { ended <- r.call("/resume/x", "b") }()
			<-began
			r.setTargets(x, y)
			r.pool.PickAt(time.Now(), pick.Call{Service: "s"}, "t1").Done(time.Now(), pick.Unreachable)
			got := <-ended
			So(got.truncated, ShouldBeFalse)
			ofX, ofY := strings.Count(got.body, "of x"), strings.Count(got.body, "of y")
			if ofX+ofY != 3 || ofX > 0 && ofY > 0 {
				t.Fatalf("joined: %q", got.body)
			}
			if ofY > 0 {
				hedged++
			}
			r.server.Close()
			r.peers.Close()
			x.close()
			y.close()
		}
		t.Logf("%d of %d streams went on at the hedge", hedged, rounds)
	})
}

// Guards against the same, in the order of steps that is hard to hit: the event is read, the hedge is taken, the
// event is passed on.
func TestEventReadBeforeTheHedgeIsTakenIsDropped(t *testing.T) {
	Convey("an event of a run that is silent no more", t, func() {
		So(exchange.PassesOn(false), ShouldBeTrue)
		So(exchange.PassesOn(true), ShouldBeFalse)
	})
}

// Guards against the same for whatever a run brings after its hedge was taken, and for a hedge that brings the end of
// the stream in place of an event.
func TestRunThatItsHedgeOvertakesIsNotPassedOn(t *testing.T) {
	const unframed = "HTTP/1.1 200 X\r\nId: %ID%\r\nSigned: yes\r\n\r\n"
	framed, closed := respond(200, eventText(1, 3)), respondRaw(unframed+eventText(1, 3), false)
	goesOn, ended := streamEvents(3, true), respond(200, "")
	for _, c := range []struct {
		name       string
		run, hedge script
		read       int
		want       exchange.Overtaken
	}{
		{"the first event", framed, goesOn, 1, exchange.Overtaken{GoesOn: true, Runs: 1}},
		{"a later event", framed, goesOn, 2, exchange.Overtaken{Passed: eventText(1, 1), GoesOn: true, Runs: 1}},
		{"the end of the whole answer", framed, goesOn, 4, exchange.Overtaken{Passed: eventText(1, 3), Whole: true, Runs: 1}},
		{"what may be its end", closed, goesOn, 4, exchange.Overtaken{Passed: eventText(1, 3), GoesOn: true, Runs: 1}},
		{"the first event, the hedge an end", framed, ended, 1, exchange.Overtaken{Passed: eventText(1, 1), Runs: 2}},
		{"a later event, the hedge an end", framed, ended, 2, exchange.Overtaken{Passed: eventText(1, 2), Runs: 2}},
	} {
		Convey(c.name, t, func() {
			x, y := newTarget(t, "t1", c.run), newTarget(t, "t2", c.hedge)
			got, err := newRig(t, "r", x, y).gateway.Overtake(x.addr, y.addr, c.read)
			So(err, ShouldBeNil)
			So(got, ShouldResemble, c.want)
		})
	}
}
