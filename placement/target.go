package placement

import (
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/ports"
)

// stage is how far an order is.
type stage uint8

const (
	// stageSending: its end is not told yet.
	stageSending stage = iota
	// stageTaken: the engine answered; the report does not show the effect yet.
	stageTaken
	// stageFailed: not sent, or not answered.
	stageFailed
)

// pending is the last order to a target, until its effect is reported.
type pending struct {
	order ports.Order
	stage stage
}

// loads reports whether the order reads from the weight store.
func (o *pending) loads() bool {
	return o.order.Kind == ports.OrderLoadVersion || o.order.Kind == ports.OrderLoadAdapter
}

// shows reports whether a report tells of the order's effect. A report from
// before the order never does: an order is only given for what is not so.
func (o *pending) shows(r *ports.LoadReport) bool {
	switch o.order.Kind {
	case ports.OrderDrain:
		return r.Draining
	case ports.OrderResume:
		return !r.Draining
	case ports.OrderRole:
		return roleShown(r, o.order.Role)
	case ports.OrderLoadAdapter:
		return !r.Loading && slices.Contains(r.Adapters, o.order.Adapter)
	default:
		return !r.Loading && r.Model == o.order.Model && r.Version == o.order.Version
	}
}

// same reports whether the order is what another one would be but for its id.
func (o *pending) same(n *ports.Order) bool {
	a, b := o.order, *n
	a.ID, a.Fence, a.Expires = "", 0, time.Time{}
	b.ID, b.Fence, b.Expires = "", 0, time.Time{}
	return a == b
}

// target is what is known of one engine under the present lease.
type target struct {
	goal   Goal
	report ports.LoadReport
	// seenAt is when the last report with a new time was asked for; zero for
	// never.
	seenAt  time.Time
	polling bool
	pollAt  time.Time

	order *pending
	// clearAt is until when an order that was not answered may still arrive.
	clearAt time.Time
	// trustFrom is the time from which reports show what the orders did.
	trustFrom time.Time
	// drainSeen is when a report of the drain came first, or when the last
	// warm-up failed since; zero if not drained.
	drainSeen time.Time
	// drainUntil is until when a report may tell of a drain that this leader
	// ordered and has not seen yet; zero for none.
	drainUntil time.Time
	// drainedElsewhere: a person or the platform has drained the target.
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

// take notes a report that was asked for at a time. One with the same time as
// the last is an old one told again and proves nothing of the present.
func (t *target) take(asked time.Time, r ports.LoadReport, p *Planner) {
	if !t.seenAt.IsZero() && (r.At.Equal(t.report.At) || !asked.After(t.seenAt)) {
		return
	}
	t.drainedElsewhere = t.foreignDrain(&r, p)
	t.report, t.seenAt = r, asked
	if !r.Draining {
		t.drainSeen, t.warm.done = time.Time{}, false
	} else if t.drainSeen.IsZero() {
		t.drainSeen = asked
	}
}

// foreignDrain reports whether a new report tells of a drain that no leader of
// the region ordered. An engine that names the order tells it by that. Of another
// one it is known when it served, as of a time at which the drains that leaders
// ordered would have shown.
func (t *target) foreignDrain(r *ports.LoadReport, p *Planner) bool {
	switch {
	case !r.Draining || t.goal.Leaving:
		return false
	case r.DrainedBy != "":
		return !p.ownID(r.DrainedBy)
	case t.report.Draining || t.seenAt.IsZero():
		return t.drainedElsewhere
	}
	return !t.seenAt.Before(p.formerShown()) && !t.seenAt.Before(t.drainUntil)
}

func (t *target) fresh(now time.Time, o *Options) bool {
	return !t.seenAt.IsZero() && now.Sub(t.seenAt) <= o.StaleAfter
}

// out reports whether the target carries no load, as far as is known.
func (t *target) out(now time.Time, o *Options) bool {
	if !t.fresh(now, o) || t.report.Draining || t.report.Loading || t.report.Version == "" {
		return true
	}
	return t.order != nil && t.order.order.Kind == ports.OrderDrain
}

// changing reports whether the target is under a change that ends in a load, or
// may be under one that an earlier leader began.
func (t *target) changing(p *Planner) bool {
	if t.seenAt.IsZero() {
		return p.now.Sub(p.watching) < p.o.LostAfter
	}
	if t.report.Loading || t.order != nil && (t.order.loads() || t.order.order.Kind == ports.OrderDrain && !t.goal.Leaving) {
		return true
	}
	return t.report.Draining && !t.goal.Leaving && t.goal.needsDrain(&t.report)
}

// loading reports whether the target may be reading from the weight store.
func (t *target) loading(p *Planner) bool {
	if t.seenAt.IsZero() {
		return p.now.Sub(p.watching) < p.o.LostAfter
	}
	return t.report.Loading || t.order != nil && t.order.loads()
}

// drained reports whether nothing is in progress and nothing more can come:
// instances that did not know of the drain yet may have sent requests for
// SpreadTime after it was first seen. Only a report that was made later counts.
func (t *target) drained(o *Options) bool {
	return t.report.Draining && inProgress(&t.report) == 0 && !t.warm.running &&
		!t.seenAt.Before(t.drainSeen.Add(o.PropagationDelay+o.ReportLag)) && !t.seenAt.Before(t.trustFrom)
}

// uncertain reports whether an order that was not answered may still arrive, or
// has arrived since the last report. Dropping it then would count a target that
// it has drained as one that serves.
func (t *target) uncertain(now time.Time) bool {
	return !t.clearAt.IsZero() && (now.Before(t.clearAt) || t.seenAt.Before(t.trustFrom))
}

// reached reports whether the target is as the bundle wants.
func (t *target) reached(now time.Time, o *Options) bool {
	if !t.fresh(now, o) {
		return false
	}
	r := &t.report
	if t.goal.Leaving {
		return r.Draining && inProgress(r) == 0
	}
	return !r.Draining && !r.Loading && !t.goal.needsDrain(r) && t.goal.missing(r) == nil
}

// next returns the order that the report calls for; its kind is empty if there
// is none.
func (t *target) next() (ports.Order, int64) {
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
	if a := g.missing(r); a != nil {
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

// failed puts the next try off.
func (t *target) failed(now time.Time, o *Options) {
	wait := o.RetryMax
	if t.failures < 16 {
		wait = min(wait, o.RetryBase<<t.failures)
	}
	t.failures++
	t.retryAt = now.Add(wait)
}

func (t *target) succeeded() { t.failures, t.retryAt = 0, time.Time{} }

// roleShown compares roles, where an engine may name none for both.
func roleShown(r *ports.LoadReport, role string) bool {
	return roleOf(bundle.TargetRole(r.Role)) == roleOf(bundle.TargetRole(role))
}
