package exchange_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/route/pick"
)

// busy has n prompts of 9,000 tokens wait at each engine of a rig.
func (r *rig) busy(n int, targets ...*target) {
	var list []pick.Target
	for _, x := range targets {
		list = append(list, pick.Target{ID: x.id, Service: "s", Address: x.addr, Zone: "z", Slots: 64})
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

// Symptom: for as long as more comes than the engines can read, all answers are late.
// Events: prompts wait in front at each engine; another request comes.
// Cause: each request was sent, however long the queue.
func TestRequestThatWouldBeLateIsRefusedAtOnce(t *testing.T) {
	const path = "/aimed/x"
	Convey("two engines, each with 2 s of reading in front, an aim of 1 s", t, func() {
		x, y := newTarget(t, "t1", events(2, true)), newTarget(t, "t2", events(2, true))
		r := newRig(t, "r", x, y)
		r.busy(6, x, y)
		got := r.call(path, "b")
		So(got.status, ShouldEqual, http.StatusServiceUnavailable)
		So(got.body, ShouldEqual, "overloaded\n")
		back, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		So(err, ShouldBeNil)
		So(back, ShouldBeGreaterThan, 0)
		So(len(x.requests())+len(y.requests()), ShouldEqual, 0)
		// It is not counted at either of them.
		loads := r.pool.Loads(time.Now())
		So(loads["t1"].Running+loads["t2"].Running, ShouldEqual, 0)
		So(r.metrics.RefusedOverloaded.Count(), ShouldEqual, 1)

		Convey("a route without an aim goes there all the same", func() {
			So(r.call("/stream/x", "b").status, ShouldEqual, http.StatusOK)
		})
		Convey("an engine that is free takes it", func() {
			z := newTarget(t, "t3", events(2, true))
			r.busy(0, x, y, z)
			So(r.call(path, "b").status, ShouldEqual, http.StatusOK)
			So(len(z.requests()), ShouldEqual, 1)
		})
	})
	Convey("with less in front than the aim it is sent", t, func() {
		x := newTarget(t, "t1", events(2, true))
		r := newRig(t, "r", x)
		r.busy(2, x)
		So(r.call(path, "b").status, ShouldEqual, http.StatusOK)
	})
}

// Symptom: long prompts are refused while short ones are served.
// Events: an idle engine, a prompt that takes longer to read than its route's aim.
// Cause: the time that the prompt's own reading takes counted.
func TestOwnLengthRefusesNothing(t *testing.T) {
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
