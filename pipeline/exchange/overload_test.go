package exchange_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/route/pick"
)

// queuePrompts queues n prompts of 9,000 tokens at each target.
func (r *rig) queuePrompts(n int, targets ...*target) {
	var list []pick.Target
	for _, x := range targets {
		list = append(list, pick.Target{ID: x.id, Service: "s", Address: x.addr, Zone: "z", Slots: 64, Software: x.software})
	}
	r.pool.Update(time.Now(), pick.Snapshot{
		Targets: list, Entries: []string{"self"}, Rules: map[string]pick.ServiceRules{"s": {Engine: true}},
	})
	for _, x := range targets {
		for range n {
			r.pool.PickAt(time.Now(), pick.Call{Service: "s", PromptTokens: 9000}, x.id)
		}
	}
}

// Guards against answers that are all late while the load exceeds what the engines can prefill:
// a request must be refused if the queue ahead of it is too long at every engine.
func TestRequestThatWouldBeLateIsRefusedAtOnce(t *testing.T) {
	const path = "/aimed/x"
	Convey("two engines, each with 2 s of prefill queued, an aim of 1 s", t, func() {
		x, y := newTarget(t, "t1", streamEvents(2, true)), newTarget(t, "t2", streamEvents(2, true))
		r := newRig(t, "r", x, y)
		r.queuePrompts(6, x, y)
		got := r.call(path, "b")
		So(got.status, ShouldEqual, http.StatusServiceUnavailable)
		So(got.body, ShouldEqual, "overloaded\n")
		back, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		So(err, ShouldBeNil)
		So(back, ShouldBeGreaterThan, 0)
		So(len(x.requests())+len(y.requests()), ShouldEqual, 0)
		// The refused request must not stay counted at either target.
		loads := r.pool.Loads(time.Now())
		So(loads["t1"].Running+loads["t2"].Running, ShouldEqual, 0)
		So(r.metrics.RefusedOverloaded.Count(), ShouldEqual, 1)

		Convey("a stream that its caller takes up waits as long as its caller", func() {
			r.streams.Began("first", exchange.Origin{Service: "s", Software: "v1"})
			req := r.request("/taken/x", "b")
			req.Header.Set("After", "1")
			req.Header.Set("Resumes", "first")
			req.Header.Set("Deadline", "1.2s")
			So(do(req).status, ShouldEqual, http.StatusServiceUnavailable)
			So(r.call("/taken/x", "b").status, ShouldEqual, http.StatusServiceUnavailable)
			req.Header.Del("Deadline")
			So(do(req).body, ShouldEqual, eventText(2, 2))
		})
		Convey("a route without an aim is sent nevertheless", func() {
			So(r.call("/stream/x", "b").status, ShouldEqual, http.StatusOK)
		})
		Convey("an engine that is free takes it", func() {
			z := newTarget(t, "t3", streamEvents(2, true))
			r.queuePrompts(0, x, y, z)
			So(r.call(path, "b").status, ShouldEqual, http.StatusOK)
			So(len(z.requests()), ShouldEqual, 1)
		})
	})
	Convey("a request with less queued ahead than the aim is sent", t, func() {
		x := newTarget(t, "t1", streamEvents(2, true))
		r := newRig(t, "r", x)
		r.queuePrompts(2, x)
		So(r.call(path, "b").status, ShouldEqual, http.StatusOK)
	})
}

// Guards against refusing long prompts at idle engines: the prefill time of the prompt itself must
// not count as queued ahead, even if it exceeds the route's aim.
func TestOwnPromptLengthIsNotOverload(t *testing.T) {
	Convey("a prompt of 80,000 tokens at an idle engine", t, func() {
		p := pick.New("e")
		p.Update(time.Now(), pick.Snapshot{
			Targets: []pick.Target{{ID: "t1", Service: "s", Zone: "z", Slots: 4}}, Entries: []string{"e"},
			Rules: map[string]pick.ServiceRules{"s": {Engine: true}},
		})
		c, _ := p.Pick(time.Now(), pick.Call{Service: "s", PromptTokens: 80000})
		So(c.Wait, ShouldBeGreaterThan, 1000)
		So(c.QueueWait, ShouldBeLessThan, 10)
		second, _ := p.Pick(time.Now(), pick.Call{Service: "s", PromptTokens: 10})
		So(second.QueueWait, ShouldBeGreaterThan, 1000)
	})
}
