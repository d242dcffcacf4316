package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/gullhaven/gullhaven/coord/fixedseed"
	"github.com/gullhaven/gullhaven/ports"
)

// Symptom: a service loses more of its targets at once than the rest can carry,
// a request is cut off by a load, two leaders' orders mix, the weight store is
// overrun, or a change never ends.
// Events: bundles that arrive in the middle of a change, engines that crash and
// come back empty, orders held up, answers lost, late and doubled, reports lost
// and old, leaders replaced without knowing, processes stopped and continued.
// Cause: acting on what was true before, or for an earlier leader.
func TestOrdersDisturbNobodyAndConverge(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		for range worldsPerCheck {
			total += checkWorld(t)
		}
	})
	if total == 0 {
		t.Fatal("no order was ever obeyed")
	}
}

// worldsPerCheck multiplies rapid's usual number of checks.
const worldsPerCheck = 5

// checkWorld lets faults happen, then stop, and returns how many orders were
// obeyed.
func checkWorld(t *rapid.T) int {
	w := newWorld(t)
	for range rapid.IntRange(10, 60).Draw(t, "faults") {
		w.fault(rapid.IntRange(0, 7).Draw(t, "fault"))
		w.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "steps")) * step)
	}
	w.faulty = false
	lost := rapid.Bool().Draw(t, "a service is lost")
	for i, id := range w.ids {
		w.engines[id].down = false
		if lost && w.wanted.Goals[i].Service == "s1" {
			w.engines[id].crash()
		}
	}
	for i := 0; i < 48 && w.unconverged() != ""; i++ {
		w.run(5 * time.Second)
	}
	w.run(5 * time.Second) // It stays so, and the checks go on.
	if fault := w.unconverged(); fault != "" {
		t.Fatal(fault)
	}
	return w.orders
}

// fault makes one thing go wrong; some only let time pass.
func (w *world) fault(kind int) {
	e := w.engines[w.ids[w.rng.IntN(len(w.ids))]]
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	switch kind {
	case 0:
		w.roll()
	case 1:
		e.crash()
	case 2:
		e.down = false
	case 6:
		e.crash()
		e.down = false
	case 3, 4:
		// The former leader may be stopped at this moment, and hears of its
		// loss by chance only.
		w.leader, w.term = w.rng.IntN(len(w.hosts)), w.term+1
	case 5:
		h.stopped = w.now.Add(w.upTo(8 * time.Second))
	}
}

// checkSender: a leader sends only while no successor can have begun, and never
// again under a number that was refused.
func (w *world) checkSender(h *host, s Send) {
	if h.deposed >= s.Order.Fence {
		w.t.Fatalf("order under fence %d, which was refused", s.Order.Fence)
	}
	end := w.ledUntil[s.Order.Fence].Add(worldOptions().Lease.Duration)
	if s.Order.Expires.After(end) {
		w.t.Fatalf("order expires at %v, the lease ended at %v", s.Order.Expires.Sub(epoch), end.Sub(epoch))
	}
}

// checkFence: orders of different leaders don't mix, whether the engine checks
// the number or not.
func (w *world) checkFence(e *engine, o ports.Order) {
	if o.Fence < e.fence {
		w.t.Fatalf("%s obeyed fence %d after %d", e.id, o.Fence, e.fence)
	}
}

// checkOrder checks an order that is given against what is true at that moment,
// and against the orders that may still arrive.
func (w *world) checkOrder(h *host, s Send) {
	switch s.Order.Kind {
	case ports.OrderDrain:
		w.checkShare(w.engines[s.Target], h.p.wanted, s.Order.Fence)
	case ports.OrderLoadVersion, ports.OrderLoadAdapter:
		w.checkLoads(w.engines[s.Target], s.Order.Fence)
		delete(h.warmed, s.Target)
	case ports.OrderResume:
		if !h.warmed[s.Target] {
			w.t.Fatalf("%s takes work without a warm-up", s.Target)
		}
	}
}

// checkEmpty: nothing is in progress where a version or role changes. An engine
// that crashed while the order was under way has forgotten its drain, but it is
// empty and runs nothing.
func (w *world) checkEmpty(e *engine, o ports.Order) {
	if o.Kind != ports.OrderRole && o.Kind != ports.OrderLoadVersion {
		return
	}
	if len(e.requests) > 0 || !e.report.Draining && e.report.Version != "" {
		w.t.Fatalf("%s got %s with %d requests in progress, draining %v", e.id, o.Kind, len(e.requests), e.report.Draining)
	}
}

// checkShare: what orders have taken out of a service, or will yet, stays within
// its share. A target that is down or empty was not taken out by an order. One
// that a newer leader drains since a newer bundle has it leave is not known to an
// older leader, nor does it wait: no new work may go there for long.
func (w *world) checkShare(e *engine, goals Desired, fence uint64) {
	own := find(goals.Goals, func(g *Goal) bool { return g.Target == e.id })
	if own.Leaving || e.report.Version == "" || e.report.Draining {
		return
	}
	total, out, changing := 0, 0, 0
	for _, g := range goals.Goals {
		if g.Leaving {
			continue
		}
		o := w.engines[g.Target]
		coming := w.coming(fence, g.Target, ports.OrderDrain)
		taken := o != e && !o.down && o.report.Version != "" && (o.report.Draining && w.left[o.drainedBy] <= fence || coming)
		if taken && (coming || g.needsDrain(&o.report)) {
			changing++
		}
		if g.Service == own.Service {
			total++
		}
		if g.Service == own.Service && taken {
			out++
		}
	}
	if out > 0 && float64(out+1) > worldOptions().MaxOutShare*float64(total) {
		w.t.Fatalf("%s drained as number %d of %d", e.id, out+1, total)
	}
	if changing >= w.maxLoads {
		w.t.Fatalf("%s drained with %d under change of at most %d", e.id, changing, w.maxLoads)
	}
}

func (w *world) checkLoads(e *engine, fence uint64) {
	others := 0
	for _, o := range w.engines {
		coming := w.coming(fence, o.id, ports.OrderLoadVersion, ports.OrderLoadAdapter)
		if o != e && !o.down && (o.loading(w.now) || coming) {
			others++
		}
	}
	if others >= w.maxLoads {
		w.t.Fatalf("%s loads beside %d others, at most %d", e.id, others, w.maxLoads)
	}
}

// checkRate: the loads begun in any time had room in the weight store's rate,
// but for the one that was ordered last. An order starts its load up to twice
// the expiry after it was given, being written within one and under way for
// another, so that loads may begin in another order than they were given in.
func (w *world) checkRate(e *engine) {
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

// unconverged says which engine is not as the last bundle wants, or not so by
// the leader's status. It is empty some time after the last fault.
func (w *world) unconverged() string {
	for i, g := range w.wanted.Goals {
		e := w.engines[w.ids[i]]
		r := &e.report
		if e.down || g.Leaving && r.Draining && len(e.requests) == 0 {
			continue
		}
		if g.Leaving || r.Draining || g.needsDrain(r) || g.missing(r) != nil {
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
