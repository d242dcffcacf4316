package placement

import (
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/ports"
)

// stage is the progress of an order.
type stage uint8

const (
	// stageSending: its end is not reported yet.
	stageSending stage = iota
	// stageAccepted: the engine accepted it; reports don't show its effect yet.
	stageAccepted
	// stageFailed: not answered, or failed while an earlier copy may still
	// arrive.
	stageFailed
)

// pendingOrder is the last order to a target, until its effect is reported.
type pendingOrder struct {
	order ports.Order
	stage stage
}

// isLoad reports whether the order reads from the weight store.
func (o *pendingOrder) isLoad() bool {
	return o.order.Kind == ports.OrderLoadVersion || o.order.Kind == ports.OrderLoadAdapter
}

// visibleIn reports whether r shows the order's effect. A report from before
// the order never does, as an order is sent only if its effect is missing.
func (o *pendingOrder) visibleIn(r *ports.LoadReport) bool {
	switch o.order.Kind {
	case ports.OrderDrain:
		return r.Draining
	case ports.OrderResume:
		return !r.Draining
	case ports.OrderRole:
		return hasRole(r, o.order.Role)
	case ports.OrderLoadAdapter:
		return !r.Loading && slices.Contains(r.Adapters, o.order.Adapter)
	default:
		return !r.Loading && r.Model == o.order.Model && r.Version == o.order.Version
	}
}

// equalExceptID reports whether the order equals n except for ID, fence and
// expiry.
func (o *pendingOrder) equalExceptID(n *ports.Order) bool {
	a, b := o.order, *n
	a.ID, a.Fence, a.Expires = "", 0, time.Time{}
	b.ID, b.Fence, b.Expires = "", 0, time.Time{}
	return a == b
}

// target is the state of one engine under the current lease.
type target struct {
	goal   Goal
	report ports.LoadReport
	// seenAt is when the last report with a new time was requested; zero if
	// there is none.
	seenAt  time.Time
	polling bool
	pollAt  time.Time

	order *pendingOrder
	// mayArriveUntil is the time until which an unanswered order may still
	// arrive.
	mayArriveUntil time.Time
	// reportsValidFrom is the time from which reports show the effects of the
	// orders.
	reportsValidFrom time.Time
	// drainSeenAt is when the drain was first reported, or when the last
	// warm-up failed since; zero if not drained.
	drainSeenAt time.Time
	// ownDrainUntil is the time until which a report may show a drain that this
	// leader ordered and has not seen yet; zero if there is none.
	ownDrainUntil time.Time
	// drainedElsewhere is true if a person or the platform drained the target.
	drainedElsewhere bool
	warm             warmUp
	failures         int
	retryAt          time.Time

	phase   Phase
	since   time.Time
	blocked Blocked
}

// warmUp is the state of the warm-up since the target was drained.
type warmUp struct {
	number  uint64
	running bool
	startAt time.Time
	done    bool
}

// observe processes a report that was requested at polledAt. A report with the
// same time as the last is a repetition and says nothing about the present.
func (t *target) observe(polledAt time.Time, r ports.LoadReport, p *Planner) {
	if !t.seenAt.IsZero() && (r.At.Equal(t.report.At) || !polledAt.After(t.seenAt)) {
		return
	}
	t.drainedElsewhere = t.externalDrain(&r, p)
	t.report, t.seenAt = r, polledAt
	if !r.Draining {
		t.drainSeenAt, t.warm.done = time.Time{}, false
	} else if t.drainSeenAt.IsZero() {
		t.drainSeenAt = polledAt
	}
}

// externalDrain reports whether a new report shows a drain that no leader of
// the region ordered. If the engine names the order, its ID decides. Otherwise,
// the drain is external if the target was serving at a time by which all drains
// ordered by leaders would have been reported.
func (t *target) externalDrain(r *ports.LoadReport, p *Planner) bool {
	switch {
	case !r.Draining || t.goal.Leaving:
		return false
	case r.DrainedBy != "":
		return !p.isRegionOrderID(r.DrainedBy)
	case t.report.Draining || t.seenAt.IsZero():
		return t.drainedElsewhere
	}
	return !t.seenAt.Before(p.earlierOrdersVisibleAt()) && !t.seenAt.Before(t.ownDrainUntil)
}

func (t *target) fresh(now time.Time, o *Options) bool {
	return !t.seenAt.IsZero() && now.Sub(t.seenAt) <= o.StaleAfter
}

// outOfService reports whether the target takes no work or may take none: it is
// unseen, draining, loading or empty, or a drain is pending.
func (t *target) outOfService(now time.Time, o *Options) bool {
	if !t.fresh(now, o) || t.report.Draining || t.report.Loading || t.report.Version == "" {
		return true
	}
	return t.order != nil && t.order.order.Kind == ports.OrderDrain
}

// changing reports whether the target is in a change that ends in a load, or
// may be in one that an earlier leader started.
func (t *target) changing(p *Planner) bool {
	if t.seenAt.IsZero() {
		return p.now.Sub(p.pollingSince) < p.o.LostAfter
	}
	if t.report.Loading || t.order != nil && (t.order.isLoad() || t.order.order.Kind == ports.OrderDrain && !t.goal.Leaving) {
		return true
	}
	return t.report.Draining && !t.goal.Leaving && t.goal.needsDrain(&t.report)
}

// loading reports whether the target may be reading from the weight store.
func (t *target) loading(p *Planner) bool {
	if t.seenAt.IsZero() {
		return p.now.Sub(p.pollingSince) < p.o.LostAfter
	}
	return t.report.Loading || t.order != nil && t.order.isLoad()
}

// drained reports whether no request is in progress and none can arrive:
// instances that have not learned of the drain may send requests for
// PropagationDelay after it was first seen. Only a report made after that
// counts.
func (t *target) drained(o *Options) bool {
	return t.report.Draining && inProgress(&t.report) == 0 && !t.warm.running &&
		!t.seenAt.Before(t.drainSeenAt.Add(o.PropagationDelay+o.ReportLag)) && !t.seenAt.Before(t.reportsValidFrom)
}

// mayStillArrive reports whether an unanswered order may still arrive, or has
// arrived since the last report. If such an order were dropped, a target that it
// drained would count as serving.
func (t *target) mayStillArrive(now time.Time) bool {
	return !t.mayArriveUntil.IsZero() && (now.Before(t.mayArriveUntil) || t.seenAt.Before(t.reportsValidFrom))
}

// converged reports whether the target is in the desired state.
func (t *target) converged(now time.Time, o *Options) bool {
	if !t.fresh(now, o) {
		return false
	}
	r := &t.report
	if t.goal.Leaving {
		return r.Draining && inProgress(r) == 0
	}
	return !r.Draining && !r.Loading && !t.goal.needsDrain(r) && t.goal.missingAdapter(r) == nil
}

// nextOrder returns the next order needed according to the last report, and the
// bytes that it loads; its kind is empty if none is needed.
func (t *target) nextOrder() (ports.Order, int64) {
	g, r := &t.goal, &t.report
	if g.Leaving {
		if r.Draining {
			return ports.Order{}, 0
		}
		return ports.Order{Kind: ports.OrderDrain}, 0
	}
	if r.Loading {
		return ports.Order{}, 0
	}
	if g.needsDrain(r) && !r.Draining {
		return ports.Order{Kind: ports.OrderDrain}, 0
	}
	if !g.loaded(r) {
		v := g.Version
		return ports.Order{Kind: ports.OrderLoadVersion, Model: g.Model, Version: v.ID, Weights: v.Key}, v.Bytes
	}
	if a := g.missingAdapter(r); a != nil {
		return ports.Order{Kind: ports.OrderLoadAdapter, Model: g.Model, Version: g.Version.ID, Adapter: a.ID, Weights: a.Key}, a.Bytes
	}
	if !g.inRole(r) {
		return ports.Order{Kind: ports.OrderRole, Role: string(g.Role)}, 0
	}
	if r.Draining && !t.drainedElsewhere {
		return ports.Order{Kind: ports.OrderResume}, 0
	}
	return ports.Order{}, 0
}

// backOff delays the next attempt exponentially, up to RetryMax.
func (t *target) backOff(now time.Time, o *Options) {
	wait := o.RetryMax
	if t.failures < 16 {
		wait = min(wait, o.RetryBase<<t.failures)
	}
	t.failures++
	t.retryAt = now.Add(wait)
}

func (t *target) resetBackoff() { t.failures, t.retryAt = 0, time.Time{} }

// hasRole compares roles; an engine may report none for both.
func hasRole(r *ports.LoadReport, role string) bool {
	return roleOf(bundle.TargetRole(r.Role)) == roleOf(bundle.TargetRole(role))
}
