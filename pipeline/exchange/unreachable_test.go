package exchange_test

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/route/pick"
)

// Guards against ending a request that its target would have answered, because another request could not
// connect to that target: it may have reached its limit of connections, or a packet was lost.
func TestFailedConnectionEndsNoRequestBesideIt(t *testing.T) {
	ways := map[string]script{
		"rejects the request":    notRun,
		"closes the connection":  closes,
		"breaks off":             respondRaw("HTTP/1.1 200 X\r\nId: %ID%\r\nSigned: yes\r\nContent-Length: 9\r\n\r\nid", false),
		"answers with a failure": respond(500, "failed"),
		"never answers":          func(net.Conn, receivedRequest) bool { return true },
	}
	for path, body := range map[string]string{"/safe/x": "done", "/resume/x": eventText(1, 2)} {
		for name, way := range ways {
			Convey(path+", the other target "+name, t, func() {
				began, goOn := make(chan struct{}), make(chan struct{})
				x := newTarget(t, "t1", func(c net.Conn, r receivedRequest) bool {
					close(began)
					<-goOn
					return respond(200, body)(c, r)
				})
				var once sync.Once
				y := newTarget(t, "t2", func(c net.Conn, r receivedRequest) bool {
					defer once.Do(func() { close(goOn) })
					return way(c, r)
				})
				r := newRig(t, "r", x)
				ended := make(chan reply, 1)
				go func() { ended <- r.call(path, "b") }()
				<-began
				r.setTargets(x, y)
				r.pool.PickAt(time.Now(), pick.Call{Service: "s"}, "t1").Done(time.Now(), pick.Unreachable)
				got := <-ended
				So(got.truncated, ShouldBeFalse)
				So(got.status, ShouldEqual, 200)
				So(got.body, ShouldEqual, body)
			})
		}
	}
	Convey("no other target", t, func() {
		began, goOn := make(chan struct{}), make(chan struct{})
		x := newTarget(t, "t1", func(c net.Conn, r receivedRequest) bool {
			close(began)
			<-goOn
			return respond(200, "done")(c, r)
		})
		r := newRig(t, "r", x)
		ended := make(chan reply, 1)
		go func() { ended <- r.call("/safe/x", "b") }()
		<-began
		r.pool.PickAt(time.Now(), pick.Call{Service: "s"}, "t1").Done(time.Now(), pick.Unreachable)
		close(goOn)
		So((<-ended).body, ShouldEqual, "done")
	})
	Convey("a stream that goes on", t, func() {
		reads, goOn := make(chan struct{}), make(chan struct{})
		x := newTarget(t, "t1", func(c net.Conn, r receivedRequest) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSigned: yes\r\nContent-Length: %d\r\n\r\n%s", r.header.Get("Id"), len(eventText(1, 4)), eventText(1, 2))
			close(reads)
			<-goOn
			_, err := io.WriteString(c, eventText(3, 4))
			return err == nil
		})
		y := newTarget(t, "t2", func(net.Conn, receivedRequest) bool { close(goOn); return false })
		r := newRig(t, "r", x)
		r.gateway.SetStreamIdle(time.Millisecond)
		ended := make(chan reply, 1)
		go func() { ended <- r.call("/resume/x", "b") }()
		<-reads
		r.setTargets(x, y)
		r.pool.PickAt(time.Now(), pick.Call{Service: "s"}, "t1").Done(time.Now(), pick.Unreachable)
		got := <-ended
		So(got.truncated, ShouldBeFalse)
		So(got.body, ShouldEqual, eventText(1, 4))
	})
}

// Guards against ending a stream that a hedge goes on with, because another request could not connect to the
// target of the hedge.
func TestFailedConnectionEndsNoHedgeThatGoesOn(t *testing.T) {
	Convey("the target of the hedge refuses connections after its first event", t, func() {
		x, _, ended, _ := silentTarget(t, "t1")
		goOn := make(chan struct{})
		y := newTarget(t, "t2", streamOnceEnded(4, goOn))
		r := newRig(t, "r", x, y)
		r.searchSilent(newSearches(firstAt("t1")))
		got := make(chan reply, 1)
		go func() { got <- r.call("/resume/x", "b") }()
		<-ended
		r.pool.PickAt(time.Now(), pick.Call{Service: "s"}, "t2").Done(time.Now(), pick.Unreachable)
		close(goOn)
		answer := <-got
		So(answer.truncated, ShouldBeFalse)
		So(answer.body, ShouldEqual, eventText(1, 4))
		So(requestCount(x, y), ShouldEqual, 2)
	})
}

// Guards against a request that runs at two targets for longer than both may, while other requests cannot connect
// to the first one.
func TestHedgeOfAnUnreachableTargetIsBounded(t *testing.T) {
	for path, body := range map[string]string{"/safe/x": "done", "/resume/x": eventText(1, 2)} {
		Convey(path, t, func() {
			began, goOn := make(chan struct{}), make(chan struct{})
			x := newTarget(t, "t1", func(c net.Conn, r receivedRequest) bool {
				close(began)
				<-goOn
				return respond(200, body)(c, r)
			})
			y := newTarget(t, "t2", untilEnded)
			r := newRig(t, "r", x)
			r.gateway.SetMaxOverlap(20 * time.Millisecond)
			ended := make(chan reply, 1)
			go func() { ended <- r.call(path, "b") }()
			<-began
			r.setTargets(x, y)
			r.pool.PickAt(time.Now(), pick.Call{Service: "s"}, "t1").Done(time.Now(), pick.Unreachable)
			<-y.closed
			close(goOn)
			got := <-ended
			So(got.status, ShouldEqual, 200)
			So(got.body, ShouldEqual, body)
		})
	}
}
