package placement

import (
	"time"

	"github.com/gullhaven/gullhaven/coord/lease"
	"github.com/gullhaven/gullhaven/ports"
)

// advance takes a target one step on and says what holds it up.
func (p *Planner) advance(t *target) Blocked {
	if !t.fresh(p.now, &p.o) {
		p.forget(t)
		return BlockedUnseen
	}
	order, bytes := t.next()
	if !p.settled(t, &order) {
		return BlockedOrder
	}
	if t.order != nil { // Failed, still called for: the same order again.
		return p.send(t, t.order.order, bytes)
	}
	switch order.Kind {
	case "":
		return p.idle(t)
	case ports.OrderResume:
		if !p.warmed(t) {
			return BlockedWarmUp
		}
	}
	return p.send(t, order, bytes)
}

// idle says what a target that needs no order waits for.
func (p *Planner) idle(t *target) Blocked {
	if t.goal.Leaving && inProgress(&t.report) > 0 {
		return p.inProgress(t)
	}
	if t.report.Loading {
		return BlockedOrder
	}
	if t.drainedElsewhere {
		return BlockedDrainedElsewhere
	}
	return ""
}

func (p *Planner) inProgress(t *target) Blocked {
	if p.now.Sub(t.drainSeen) > p.wanted.DrainTime {
		return BlockedDrainOverdue
	}
	return BlockedInProgress
}

// forget gives up what was under way at a target that is gone for long, so that
// the others don't wait for it.
func (p *Planner) forget(t *target) {
	if !t.seenAt.IsZero() && p.now.Sub(latest(t.seenAt, p.watching)) > p.o.LostAfter {
		t.order, t.seenAt, t.report, t.drainSeen, t.warm.done = nil, time.Time{}, ports.LoadReport{}, time.Time{}, false
		t.drainedElsewhere = false
	}
}

// settled decides on the order under way and reports whether the next may be
// given: none is under way, or it has to be sent again. An order that was not
// answered is sent again while it may have arrived and is still called for; one
// that is not called for any more is waited for, lest the next one overtake it. An order whose effect is
// reported is kept while a second sending of it may arrive: an engine that
// crashed in between would take it for a new one.
func (p *Planner) settled(t *target, next *ports.Order) bool {
	o := t.order
	if o == nil {
		return true
	}
	if o.stage == stageSending {
		p.timeOut(t)
		return false
	}
	if o.shows(&t.report) {
		return p.shown(t)
	}
	if o.stage == stageTaken {
		return p.effectFailed(t)
	}
	if t.uncertain(p.now) {
		return o.same(next)
	}
	t.order = nil // It has not arrived and can't any more; what follows is new.
	return true
}

// shown ends an order unless it may arrive a second time.
func (p *Planner) shown(t *target) bool {
	if p.now.Before(t.clearAt) {
		return false
	}
	t.order, t.trustFrom, t.drainUntil = nil, time.Time{}, time.Time{}
	t.succeeded()
	return true
}

// timeOut treats a sending whose end the host never told as unanswered.
func (p *Planner) timeOut(t *target) {
	if p.now.After(t.order.order.Expires.Add(t.goal.OrderExpiry)) {
		p.unanswered(t)
	}
}

// effectFailed gives up on an order that was taken and whose effect is not
// reported although reports would show it by now: the engine failed at it, or
// has crashed since. A load that the engine still reports goes on.
func (p *Planner) effectFailed(t *target) bool {
	if t.report.Loading || t.seenAt.Before(t.trustFrom) {
		return false
	}
	p.counts.Failed++
	t.order = nil
	t.failed(p.now, &p.o)
	return true
}

// warmed has the target answer once before it takes work, and reports whether
// it did.
func (p *Planner) warmed(t *target) bool {
	w := &t.warm
	if w.running && p.now.Sub(w.startAt) > 2*p.o.WarmUpTime {
		w.running = false // The host lost its end.
	}
	if w.done || w.running || p.now.Before(t.retryAt) || !p.formerEnded() {
		return w.done
	}
	p.seq++
	w.number, w.running, w.startAt = p.seq, true, p.now
	p.effects = append(p.effects, WarmUp{
		Target: t.goal.Target, Address: t.goal.Address, Service: t.goal.Service, Number: w.number,
	})
	return false
}

func (p *Planner) warmUpEnded(e WarmUpEnded) {
	t := p.find(e.Target)
	if t == nil || !t.warm.running || t.warm.number != e.Number {
		p.counts.Unmatched++
		return
	}
	t.warm.running = false
	if e.Outcome == WarmUpFailed {
		p.counts.WarmUpsFailed++
		t.drainSeen = p.now // It may still run there.
		t.failed(p.now, &p.o)
		return
	}
	t.warm.done = true
	t.succeeded()
}

// send gives an order if nothing speaks against it now.
func (p *Planner) send(t *target, order ports.Order, bytes int64) Blocked {
	again := order.ID != ""
	if blocked := p.gate(t, &order, bytes, again); blocked != "" {
		return blocked
	}
	issued, err := p.holder.Issue(p.now, min(t.goal.OrderExpiry, p.o.SendTime))
	if err != nil {
		return BlockedLease
	}
	if !again {
		order.ID = p.nextID()
	}
	order.Fence, order.Expires = issued.Fence, issued.Expiry
	t.order = &pending{order: order}
	t.trustFrom = latest(t.trustFrom, p.now.Add(p.o.ReportLag))
	p.count(again)
	if order.Kind == ports.OrderDrain {
		t.drainUntil = order.Expires.Add(t.goal.OrderExpiry).Add(p.o.ReportLag)
	}
	if t.order.loads() {
		p.storeFree = latest(p.storeFreeAt(), p.now).Add(p.readTime(bytes))
		t.warm.done = false
	}
	p.effects = append(p.effects, Send{Target: t.goal.Target, Address: t.goal.Address, Order: order})
	return BlockedOrder
}

func (p *Planner) count(again bool) {
	p.counts.Sent++
	if again {
		p.counts.Resent++
	}
}

// gate says what speaks against an order now.
func (p *Planner) gate(t *target, order *ports.Order, bytes int64, again bool) Blocked {
	former := lease.Target{ChecksFence: t.goal.ChecksFence, OrderExpiry: t.goal.OrderExpiry}
	ready, _ := p.succession.Ready(p.now, former)
	switch {
	case !ready:
		return BlockedEarlierLeader
	case p.now.Before(t.retryAt):
		return BlockedRetry
	case !again && t.uncertain(p.now):
		return BlockedOrder
	case order.Kind == ports.OrderDrain && !t.goal.Leaving:
		return p.gateDrain(t)
	case order.Kind == ports.OrderLoadVersion || order.Kind == ports.OrderLoadAdapter:
		return p.gateLoad(t, bytes)
	case order.Kind == ports.OrderRole && !t.drained(&p.o):
		return p.inProgress(t)
	}
	return ""
}

// gateDrain guards the capacity of the service and the bound on changes.
func (p *Planner) gateDrain(t *target) Blocked {
	if !p.formerEnded() {
		return BlockedEarlierLeader
	}
	others := 0
	for _, o := range p.targets {
		if o != t && o.changing(p) {
			others++
		}
	}
	if others >= p.wanted.MaxLoads {
		return BlockedLoads
	}
	if !p.spare(t) {
		return BlockedCapacity
	}
	return ""
}

// spare reports whether the rest of the service carries the load without t. A
// target that is out already takes nothing from it.
func (p *Planner) spare(t *target) bool {
	if t.out(p.now, &p.o) {
		return true
	}
	total, out := 0, 0
	for _, o := range p.targets {
		if o.goal.Service != t.goal.Service || o.goal.Leaving {
			continue
		}
		total += o.goal.Slots
		if o.out(p.now, &p.o) {
			out += o.goal.Slots
		}
	}
	return out == 0 || float64(out+t.goal.Slots) <= p.o.MaxOutShare*float64(total)
}

// gateLoad guards requests in progress, the bound on loads and the rate of the
// weight store. An adapter loads beside requests unless a version has to follow.
func (p *Planner) gateLoad(t *target, bytes int64) Blocked {
	if t.goal.needsDrain(&t.report) && !t.drained(&p.o) {
		return p.inProgress(t)
	}
	if !p.formerEnded() {
		return BlockedEarlierLeader
	}
	others := 0
	for _, o := range p.targets {
		if o != t && o.loading(p) {
			others++
		}
	}
	if others >= p.wanted.MaxLoads {
		return BlockedLoads
	}
	if bytes > 0 && p.now.Before(p.storeFreeAt()) {
		return BlockedRate
	}
	return ""
}

// orderEnded notes how a sending ended.
func (p *Planner) orderEnded(e OrderEnded) {
	t := p.find(e.Target)
	if t == nil || t.order == nil || t.order.order.ID != e.ID || t.order.stage != stageSending {
		p.counts.Unmatched++
		return
	}
	switch e.Outcome {
	case OrderAccepted:
		t.order.stage = stageTaken
		t.trustFrom = latest(t.trustFrom, p.now.Add(p.o.ReportLag))
		return
	case OrderUnanswered:
		p.unanswered(t)
		return
	case OrderOldFence:
		// Another leader exists. Whatever this one believes, it stops until it
		// holds a lease under a higher number.
		p.counts.Refused++
		p.deposed = p.fence
		return
	case OrderInvalid:
		p.counts.Invalid++
	case OrderExpired:
		p.counts.Expired++
	default:
		p.counts.NotSent++
	}
	t.failed(p.now, &p.o)
	if t.uncertain(p.now) {
		t.order.stage = stageFailed
		return
	}
	t.order = nil
}

// unanswered keeps the order for a resend, which an engine that has obeyed it
// recognises by the id.
func (p *Planner) unanswered(t *target) {
	p.counts.Unanswered++
	t.order.stage = stageFailed
	t.clearAt = latest(t.clearAt, t.order.order.Expires.Add(t.goal.OrderExpiry))
	t.trustFrom = latest(t.trustFrom, t.clearAt.Add(p.o.ReportLag))
	t.failed(p.now, &p.o)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
