package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/gullhaven/gullhaven/coord/fixedseed"
	"github.com/gullhaven/gullhaven/ports"
)

// Guards against orders that follow an outdated state or an earlier leader's: a
// service loses too many targets at once, a load cuts off requests, orders of
// two leaders mix, the weight store is overloaded, or a change never ends.
//
// Bundles arrive during changes, engines crash and come back empty, orders are
// delayed, responses are lost, late or duplicated, reports are lost or old,
// leaders are replaced without noticing, and processes are paused.
func TestOrdersAreSafeAndConverge(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		for range simulationsPerCheck {
			total += checkSimulation(t)
		}
	})
	if total == 0 {
		t.Fatal("no order was ever executed")
	}
}

// simulationsPerCheck multiplies rapid's number of checks.
const simulationsPerCheck = 5

// checkSimulation injects faults, then stops them, and returns the number of
// executed orders.
func checkSimulation(t *rapid.T) int {
	w := newSimulation(t)
	for range rapid.IntRange(10, 60).Draw(t, "faults") {
		w.fault(rapid.IntRange(0, 7).Draw(t, "fault"))
		w.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "steps")) * step)
	}
	w.faulty = false
	lost := rapid.Bool().Draw(t, "a service is lost")
	for i, id := range w.ids {
		w.engines[id].down = false
		if lost && w.desired.Goals[i].Service == "s1" {
			w.engines[id].crash()
		}
	}
	for i := 0; i < 48 && w.unconverged() != ""; i++ {
		w.run(5 * time.Second)
	}
	w.run(5 * time.Second) // The state must remain, and the checks continue.
	if fault := w.unconverged(); fault != "" {
		t.Fatal(fault)
	}
	return w.executedOrders
}

// fault injects a fault; some kinds only let time pass.
func (w *simulation) fault(kind int) {
	e := w.engines[w.ids[w.rng.IntN(len(w.ids))]]
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	switch kind {
	case 0:
		w.rollOut()
	case 1:
		e.crash()
	case 2:
		e.down = false
	case 6:
		e.crash()
		e.down = false
	case 3, 4:
		// The earlier leader may be paused at this moment, and may or may not
		// learn of its loss.
		w.leader, w.term = w.rng.IntN(len(w.hosts)), w.term+1
	case 5:
		h.pausedUntil = w.now.Add(w.randomUpTo(8 * time.Second))
	}
}

// checkSender: a leader sends only while no successor can have started, and
// never again with a fencing number that was refused.
func (w *simulation) checkSender(h *host, s Send) {
	if h.refusedFence >= s.Order.Fence {
		w.t.Fatalf("order under fence %d, which was refused", s.Order.Fence)
	}
	end := w.ledUntil[s.Order.Fence].Add(simulationOptions().Lease.Duration)
	if s.Order.Expires.After(end) {
		w.t.Fatalf("order expires at %v, the lease ended at %v", s.Order.Expires.Sub(epoch), end.Sub(epoch))
	}
}

// checkFence: orders of different leaders don't mix, whether or not the engine
// checks the fencing number.
func (w *simulation) checkFence(e *engine, o ports.Order) {
	if o.Fence < e.fence {
		w.t.Fatalf("%s executed an order with fence %d after %d", e.id, o.Fence, e.fence)
	}
}

// checkOrder checks an order against the actual state when it is sent, and
// against the orders that may still arrive.
func (w *simulation) checkOrder(h *host, s Send) {
	switch s.Order.Kind {
	case ports.OrderDrain:
		w.checkShare(w.engines[s.Target], h.p.desired, s.Order.Fence)
	case ports.OrderLoadVersion, ports.OrderLoadAdapter:
		w.checkLoads(w.engines[s.Target], s.Order.Fence)
		delete(h.warmedUp, s.Target)
	case ports.OrderResume:
		if !h.warmedUp[s.Target] {
			w.t.Fatalf("%s takes work without a warm-up", s.Target)
		}
	}
}

// checkEmpty: no request is in progress when a version or role changes. An
// engine that crashed while the order was in flight is no longer drained, but
// it is empty and runs nothing.
func (w *simulation) checkEmpty(e *engine, o ports.Order) {
	if o.Kind != ports.OrderRole && o.Kind != ports.OrderLoadVersion {
		return
	}
	if len(e.requests) > 0 || !e.report.Draining && e.report.Version != "" {
		w.t.Fatalf("%s got %s with %d requests in progress, draining %v", e.id, o.Kind, len(e.requests), e.report.Draining)
	}
}

// checkShare: the targets of a service that orders have taken out, or still
// will, stay within the bound. A target that is down or empty was not taken out
// by an order. A drain of a leaving target that a newer leader sent for a newer
// bundle does not count: an older leader does not know of it, and it does not
// wait for orders at other targets, since the target may not get new requests
// for long anyway.
func (w *simulation) checkShare(e *engine, desired Desired, fence uint64) {
	own := find(desired.Goals, func(g *Goal) bool { return g.Target == e.id })
	if own.Leaving || e.report.Version == "" || e.report.Draining {
		return
	}
	total, out, changing := 0, 0, 0
	for _, g := range desired.Goals {
		if g.Leaving {
			continue
		}
		o := w.engines[g.Target]
		arriving := w.mayArrive(fence, g.Target, ports.OrderDrain)
		drainedByOrder := o != e && !o.down && o.report.Version != "" && (o.report.Draining && w.leavingDrains[o.drainedBy] <= fence || arriving)
		if drainedByOrder && (arriving || g.needsDrain(&o.report)) {
			changing++
		}
		if g.Service == own.Service {
			total++
		}
		if g.Service == own.Service && drainedByOrder {
			out++
		}
	}
	if out > 0 && float64(out+1) > simulationOptions().MaxOutShare*float64(total) {
		w.t.Fatalf("%s drained as target %d of %d", e.id, out+1, total)
	}
	if changing >= w.maxLoads {
		w.t.Fatalf("%s drained while %d others change, at most %d", e.id, changing, w.maxLoads)
	}
}

func (w *simulation) checkLoads(e *engine, fence uint64) {
	others := 0
	for _, o := range w.engines {
		arriving := w.mayArrive(fence, o.id, ports.OrderLoadVersion, ports.OrderLoadAdapter)
		if o != e && !o.down && (o.loading(w.now) || arriving) {
			others++
		}
	}
	if others >= w.maxLoads {
		w.t.Fatalf("%s loads while %d others load, at most %d", e.id, others, w.maxLoads)
	}
}

// checkRate: the loads started in any period fit the weight store's rate,
// except the one ordered last. A load starts up to twice the expiry after its
// order was sent, which is written within one expiry and in flight for another,
// so loads may start in a different order than they were sent.
func (w *simulation) checkRate(e *engine) {
	var bytes int64
	var last loadStart
	for i := len(w.starts) - 1; i >= 0; i-- {
		start := w.starts[i]
		bytes += start.bytes
		if start.sent.After(last.sent) {
			last = start
		}
		past := w.now.Sub(start.at) + 2*expiry
		if float64(bytes-last.bytes) > storeRate*past.Seconds() {
			w.t.Fatalf("%s loads after %d bytes in %v", e.id, bytes-last.bytes, past)
		}
	}
}

// unconverged describes an engine that is not in the desired state, or not so
// by the leader's status. It must return "" some time after the last fault.
func (w *simulation) unconverged() string {
	for i, g := range w.desired.Goals {
		e := w.engines[w.ids[i]]
		r := &e.report
		if e.down || g.Leaving && r.Draining && len(e.requests) == 0 {
			continue
		}
		if g.Leaving || r.Draining || g.needsDrain(r) || g.missingAdapter(r) != nil {
			return fmt.Sprintf("%s has %+v, wanted %+v; status %+v", e.id, *r, g, w.hosts[w.leader].p.Status())
		}
	}
	status := w.hosts[w.leader].p.Status()
	for _, s := range status.Targets {
		if !w.engines[s.Target].down && (!s.Converged || s.Blocked != "") {
			return fmt.Sprintf("%+v after all had time to end", s)
		}
	}
	if !status.Leading || len(status.Targets) != len(w.ids) {
		return fmt.Sprintf("status %+v", status)
	}
	return ""
}
