package exchange_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/coord/memory"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
)

// Guards against a body that is held although there is no memory for it, and against a refusal of it that does not
// say when to return or whose request runs.
func TestBodiesWithoutMemoryAreRefused(t *testing.T) {
	Convey("a gateway whose memory is for small requests", t, func() {
		x := newTarget(t, "t1", respond(200, "done"))
		r := newRig(t, "r", x)
		r.table.Limits.MaxBodyBytes = 1 << 20
		r.view = &exchange.View{Index: routes.NewIndex(r.table), EntryInstances: 1}
		r.options.Memory = memory.New(2 * memory.Small)
		r.rebuild()
		for _, path := range []string{"/safe/x", "/unsafe/x"} {
			got := r.call(path, strings.Repeat("x", 1<<19))
			So(got.status, ShouldEqual, 503)
			So(got.body, ShouldEqual, string(exchange.CodeNoMemory)+"\n")
			So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
			So(requestCount(x), ShouldEqual, 0)
		}
		So(r.options.Memory.Stats().Held, ShouldEqual, 0)
		So(r.call("/safe/x", "small").status, ShouldEqual, 200)
	})
}

// Guards against a region that gets no requests because one of its instances has no memory for a large one.
func TestRegionIsUsedAfterItLackedMemory(t *testing.T) {
	Convey("the only instance of the other region lacks memory once", t, func() {
		a, peer := newRigWithPeer(t, nil, peerRefusal("503 X", string(exchange.CodeNoMemory), "Retry-After: 1\r\n"), respond(200, "done"))
		So(a.call("/unsafe/x", "b").status, ShouldEqual, 503)
		So(a.call("/unsafe/x", "b").status, ShouldEqual, 200)
		So(requestCount(peer), ShouldEqual, 2)
	})
}

// Guards against an answer of the greatest length that is lost, though there is nothing else to hold, as its buffer grows
// beyond the bound of an answer.
func TestLongestAnswerIsHeldInCalm(t *testing.T) {
	Convey("an answer of 16 MiB at an instance of 284 MiB", t, func() {
		body := strings.Repeat("x", maxWhole)
		chunked := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		r := newRig(t, "r", newTarget(t, "t1", respondRaw("HTTP/1.1 200 X\r\nId: %ID%\r\nSigned: yes\r\n"+chunked, true)))
		r.options.Memory = memory.New(memory.Limit(284))
		r.rebuild()
		got := r.call("/safe/x", "b")
		So(got.status, ShouldEqual, 200)
		So(len(got.body), ShouldEqual, len(body))
	})
}
