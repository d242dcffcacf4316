package placement

import (
	"time"

	"github.com/gullhaven/gullhaven/coord/lease"
	"github.com/gullhaven/gullhaven/ports"
)

// advance moves a target one step towards its goal and returns what blocks it;
// empty if nothing does.
func (p *Planner) advance(t *target) Blocked {
	if !t.fresh(p.now, &p.o) {
		p.abandon(t)
		return BlockedUnseen
	}
	order, bytes := t.nextOrder()
	if !p.resolvePendingOrder(t, &order) {
		return BlockedOrder
	}
	if t.order != nil { // Failed but still needed: sends the same order again.
		return p.send(t, t.order.order, bytes)
	}
	switch order.Kind {
	case "":
		return p.idleBlockedBy(t)
	case ports.OrderResume:
		if !p.ensureWarmUp(t) {
			return BlockedWarmUp
		}
	}
	return p.send(t, order, bytes)
}

// idleBlockedBy returns what a target that needs no order is waiting for; empty
// if nothing.
func (p *Planner) idleBlockedBy(t *target) Blocked {
	if t.goal.Leaving && inProgress(&t.report) > 0 {
		return p.blockedByRequests(t)
	}
	if t.report.Loading {
		return BlockedOrder
	}
	if t.drainedElsewhere {
		return BlockedDrainedElsewhere
	}
	return ""
}

// blockedByRequests returns BlockedInProgress, or BlockedDrainOverdue if the
// target has been draining for longer than Desired.DrainTime.
func (p *Planner) blockedByRequests(t *target) Blocked {
	if p.now.Sub(t.drainSeenAt) > p.desired.DrainTime {
		return BlockedDrainOverdue
	}
	return BlockedInProgress
}

// abandon discards the state of a target that has not been seen for LostAfter,
// so that other targets don't wait for it.
func (p *Planner) abandon(t *target) {
	if !t.seenAt.IsZero() && p.now.Sub(latest(t.seenAt, p.pollingSince)) > p.o.LostAfter {
		t.order, t.seenAt, t.report, t.drainSeenAt, t.warm.done = nil, time.Time{}, ports.LoadReport{}, time.Time{}, false
		t.drainedElsewhere = false
	}
}

// resolvePendingOrder updates the pending order and reports whether an order may
// be sent: none is pending any more, or the pending one must be sent again. An
// unanswered order that may have arrived is sent again while it is still needed;
// one that is no longer needed is waited for, so that the next order cannot
// overtake it.
// An order whose effect is reported is kept while a second copy of it may
// arrive: an engine that crashed in between would take the copy for a new
// order.
func (p *Planner) resolvePendingOrder(t *target, next *ports.Order) bool {
	o := t.order
	if o == nil {
		return true
	}
	if o.stage == stageSending {
		p.timeOutSend(t)
		return false
	}
	if o.visibleIn(&t.report) {
		return p.finishOrder(t)
	}
	if o.stage == stageAccepted {
		return p.dropFailedOrder(t)
	}
	if t.mayStillArrive(p.now) {
		return o.equalExceptID(next)
	}
	t.order = nil // It has not arrived and no longer can; what follows is a new order.
	return true
}

// finishOrder ends the pending order unless another copy of it may arrive, and
// reports whether it did.
func (p *Planner) finishOrder(t *target) bool {
	if p.now.Before(t.mayArriveUntil) {
		return false
	}
	t.order, t.reportsValidFrom, t.ownDrainUntil = nil, time.Time{}, time.Time{}
	t.resetBackoff()
	return true
}

// timeOutSend treats a send whose end the host never reported as unanswered.
func (p *Planner) timeOutSend(t *target) {
	if p.now.After(t.order.order.Expires.Add(t.goal.OrderExpiry)) {
		p.unanswered(t)
	}
}

// dropFailedOrder drops an accepted order whose effect is still missing from
// reports that would show it, and reports whether it did: the engine failed to
// execute the order, or has crashed since. A load that the engine still reports
// continues.
func (p *Planner) dropFailedOrder(t *target) bool {
	if t.report.Loading || t.seenAt.Before(t.reportsValidFrom) {
		return false
	}
	p.counts.Failed++
	t.order = nil
	t.backOff(p.now, &p.o)
	return true
}

// ensureWarmUp reports whether the target has completed the warm-up that it
// needs before it takes work. If not, it starts one unless one is running or may
// not start yet.
func (p *Planner) ensureWarmUp(t *target) bool {
	w := &t.warm
	if w.running && p.now.Sub(w.startAt) > 2*p.o.WarmUpTime {
		w.running = false // The host never reported its end.
	}
	if w.done || w.running || p.now.Before(t.retryAt) || !p.earlierOrdersEnded() {
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
		t.drainSeenAt = p.now // The request may still run there.
		t.backOff(p.now, &p.o)
		return
	}
	t.warm.done = true
	t.resetBackoff()
}

// send sends an order, which loads the given bytes, unless something blocks it
// now. An order that already has an ID counts as sent before and keeps the ID.
// It returns what blocks the target then.
func (p *Planner) send(t *target, order ports.Order, bytes int64) Blocked {
	resend := order.ID != ""
	if blocked := p.blockedBy(t, &order, bytes, resend); blocked != "" {
		return blocked
	}
	issued, err := p.holder.Issue(p.now, min(t.goal.OrderExpiry, p.o.SendTime))
	if err != nil {
		return BlockedLease
	}
	if !resend {
		order.ID = p.nextID()
	}
	order.Fence, order.Expires = issued.Fence, issued.Expiry
	t.order = &pendingOrder{order: order}
	t.reportsValidFrom = latest(t.reportsValidFrom, p.now.Add(p.o.ReportLag))
	p.countSent(resend)
	if order.Kind == ports.OrderDrain {
		t.ownDrainUntil = order.Expires.Add(t.goal.OrderExpiry).Add(p.o.ReportLag)
	}
	if t.order.isLoad() {
		p.ownLoadsEnd = latest(p.storeFreeAt(), p.now).Add(p.readTime(bytes))
		t.warm.done = false
	}
	p.effects = append(p.effects, Send{Target: t.goal.Target, Address: t.goal.Address, Order: order})
	return BlockedOrder
}

func (p *Planner) countSent(resend bool) {
	p.counts.Sent++
	if resend {
		p.counts.Resent++
	}
}

// blockedBy returns what blocks an order now; empty if nothing does.
func (p *Planner) blockedBy(t *target, order *ports.Order, bytes int64, resend bool) Blocked {
	leaseTarget := lease.Target{ChecksFence: t.goal.ChecksFence, OrderExpiry: t.goal.OrderExpiry}
	ready, _ := p.succession.Ready(p.now, leaseTarget)
	switch {
	case !ready:
		return BlockedEarlierLeader
	case p.now.Before(t.retryAt):
		return BlockedRetry
	case !resend && t.mayStillArrive(p.now):
		return BlockedOrder
	case order.Kind == ports.OrderDrain && !t.goal.Leaving:
		return p.drainBlockedBy(t)
	case order.Kind == ports.OrderLoadVersion || order.Kind == ports.OrderLoadAdapter:
		return p.loadBlockedBy(t, bytes)
	case order.Kind == ports.OrderRole && !t.drained(&p.o):
		return p.blockedByRequests(t)
	}
	return ""
}

// drainBlockedBy protects the capacity of the service and enforces the bound on
// changes.
func (p *Planner) drainBlockedBy(t *target) Blocked {
	if !p.earlierOrdersEnded() {
		return BlockedEarlierLeader
	}
	others := 0
	for _, o := range p.targets {
		if o != t && o.changing(p) {
			others++
		}
	}
	if others >= p.desired.MaxLoads {
		return BlockedLoads
	}
	if !p.hasSpareCapacity(t) {
		return BlockedCapacity
	}
	return ""
}

// hasSpareCapacity reports whether the rest of the service can carry the load
// without t. Draining a target that is already out of service removes no
// capacity.
func (p *Planner) hasSpareCapacity(t *target) bool {
	if t.outOfService(p.now, &p.o) {
		return true
	}
	total, out := 0, 0
	for _, o := range p.targets {
		if o.goal.Service != t.goal.Service || o.goal.Leaving {
			continue
		}
		total += o.goal.Slots
		if o.outOfService(p.now, &p.o) {
			out += o.goal.Slots
		}
	}
	return out == 0 || float64(out+t.goal.Slots) <= p.o.MaxOutShare*float64(total)
}

// loadBlockedBy protects requests in progress and enforces the bound on loads
// and the rate of the weight store. An adapter loads while requests run, unless
// a version change must follow.
func (p *Planner) loadBlockedBy(t *target, bytes int64) Blocked {
	if t.goal.needsDrain(&t.report) && !t.drained(&p.o) {
		return p.blockedByRequests(t)
	}
	if !p.earlierOrdersEnded() {
		return BlockedEarlierLeader
	}
	others := 0
	for _, o := range p.targets {
		if o != t && o.loading(p) {
			others++
		}
	}
	if others >= p.desired.MaxLoads {
		return BlockedLoads
	}
	if bytes > 0 && p.now.Before(p.storeFreeAt()) {
		return BlockedRate
	}
	return ""
}

// orderEnded processes the end of a Send.
func (p *Planner) orderEnded(e OrderEnded) {
	t := p.find(e.Target)
	if t == nil || t.order == nil || t.order.order.ID != e.ID || t.order.stage != stageSending {
		p.counts.Unmatched++
		return
	}
	switch e.Outcome {
	case OrderAccepted:
		t.order.stage = stageAccepted
		t.reportsValidFrom = latest(t.reportsValidFrom, p.now.Add(p.o.ReportLag))
		return
	case OrderUnanswered:
		p.unanswered(t)
		return
	case OrderOldFence:
		// Another leader exists. This one stops, even if its own lease looks
		// valid, until it holds one with a higher fencing number.
		p.counts.Refused++
		p.supersededFence = p.fence
		return
	case OrderInvalid:
		p.counts.Invalid++
	case OrderExpired:
		p.counts.Expired++
	default:
		p.counts.NotSent++
	}
	t.backOff(p.now, &p.o)
	if t.mayStillArrive(p.now) {
		t.order.stage = stageFailed
		return
	}
	t.order = nil
}

// unanswered keeps the order to send it again. An engine that has executed it
// recognises it by its ID.
func (p *Planner) unanswered(t *target) {
	p.counts.Unanswered++
	t.order.stage = stageFailed
	t.mayArriveUntil = latest(t.mayArriveUntil, t.order.order.Expires.Add(t.goal.OrderExpiry))
	t.reportsValidFrom = latest(t.reportsValidFrom, t.mayArriveUntil.Add(p.o.ReportLag))
	t.backOff(p.now, &p.o)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
