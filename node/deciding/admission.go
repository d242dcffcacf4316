package deciding

import (
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/route/admit"
	"github.com/gullhaven/gullhaven/route/pick"
	"github.com/gullhaven/gullhaven/route/place"
)

// Arrival is a request that the admission is to decide on.
type Arrival struct {
	// Group is the group of the request, for which Admission decides.
	Group pick.Group
	// ContentKey is as in exchange.AdmissionRequest.
	ContentKey uint64
	// Request has the queue at the target, without work that is promised to others.
	admit.Request
}

// Returns gives the callers of refused requests a time to return, and recognizes them then. Admission
// calls its methods one at a time.
type Returns interface {
	// Arrived is called before the decision on a request that has not run. It returns the work promised
	// to others, in milliseconds, that counts as queued ahead of the request, and whether the request
	// takes a place that it was promised: then it is not refused for the length of the queue.
	Arrived(now time.Time, a Arrival) (aheadMillis float64, promised bool)
	// Admitted is called for an admitted request that has not taken a promised place.
	Admitted(now time.Time, a Arrival)
	// Refused is called for a refused request and returns when its caller is to return and whether it
	// then has a place. A time of 0 leaves it to the caller's instance.
	Refused(now time.Time, a Arrival, d admit.Decision) (after time.Duration, promised bool)
	// Withdrawn is called for a refused request that has gone to another region instead.
	Withdrawn(now time.Time, g pick.Group, contentKey uint64)
	// Sweep is called once a sweepInterval to drop what has expired.
	Sweep(now time.Time)
}

// AdmissionOptions say what an Admission decides by.
type AdmissionOptions struct {
	// UrgentFirst refuses requests that would take the room that more urgent ones of the group need.
	UrgentFirst bool
	// Returns, if set, says when refused callers are to return.
	Returns Returns
	// QueueOnly refuses requests by the length of the queue alone, without shares of workspaces.
	QueueOnly bool
}

// Admission decides whether requests are admitted, by the shares of their workspaces in the work of a
// group of targets. It decides for the instance itself, and as group owner for others. It is safe for
// concurrent use.
type Admission struct {
	o AdmissionOptions

	mu     sync.Mutex
	groups map[pick.Group]*groupState
}

// groupState is what an Admission knows of one group.
type groupState struct {
	*admit.Shares
	precedence admit.Precedence
	// decidedAt is when the last request of the group was decided on.
	decidedAt time.Time
}

// groupIdleTime is how long a group is kept that nothing is decided for: well over the time that the
// pressure of its ranks is averaged over.
const groupIdleTime = 10 * time.Second

// NewAdmission returns an Admission that knows of no requests.
func NewAdmission(o AdmissionOptions) *Admission {
	return &Admission{o: o, groups: map[pick.Group]*groupState{}}
}

// Decide implements exchange.AdmissionControl.
func (a *Admission) Decide(now time.Time, c *pick.Choice, r exchange.AdmissionRequest) (exchange.AdmissionDecision, exchange.AdmissionTicket) {
	return a.decide(now, c, r)
}

func (a *Admission) decide(now time.Time, c *pick.Choice, r exchange.AdmissionRequest) (exchange.AdmissionDecision, *ticket) {
	arrival := Arrival{Group: c.Group, ContentKey: r.ContentKey, Request: admit.Request{
		Workspace: r.Workspace, Rank: c.Rank, QueueMillis: c.QueueWait, WaitMillis: c.Wait, WorkMillis: c.Work,
		Aim: milliseconds(r.AimMillis), Left: milliseconds(r.LeftMillis),
	}}
	t := &ticket{a: a, group: c.Group, contentKey: r.ContentKey}
	a.mu.Lock()
	defer a.mu.Unlock()
	group := a.groups[c.Group]
	if group == nil {
		group = &groupState{Shares: admit.NewShares()}
		a.groups[c.Group] = group
	}
	group.decidedAt = now
	if !r.NotRun {
		t.grant = group.Count(now, arrival.Request)
		return exchange.AdmissionDecision{QueueMillis: c.QueueWait}, t
	}
	request := arrival.Request
	if a.o.Returns != nil {
		ahead, promised := a.o.Returns.Arrived(now, arrival)
		request.QueueMillis += ahead
		request.Promised = promised
	}
	// What is promised is not queued yet, and outranks nobody.
	request.Outranked = a.o.UrgentFirst && !group.precedence.Admit(now, arrival.Rank, arrival.Pressure())
	d, grant := a.judge(now, group.Shares, request)
	t.grant, t.refused = grant, d.Refused()
	out := exchange.AdmissionDecision{
		Refused: d.Refused(), Reason: verdict.Code(d.Reason), QueueMillis: request.QueueMillis, ShareMillis: d.ShareMillis, UsedMillis: d.UsedMillis,
		UrgentPressure: group.precedence.Urgent(now, arrival.Rank), Promised: request.Promised,
	}
	switch {
	case a.o.Returns == nil:
	case d.Refused():
		after, promised := a.o.Returns.Refused(now, arrival, d)
		out.RetryMillis, out.Promised = after.Milliseconds(), promised
	case !request.Promised:
		a.o.Returns.Admitted(now, arrival)
	}
	return out, t
}

// judge decides on a request, by its workspace's share unless the queue alone decides.
func (a *Admission) judge(now time.Time, s *admit.Shares, r admit.Request) (admit.Decision, *admit.Grant) {
	switch {
	case !a.o.QueueOnly:
		return s.Decide(now, r)
	case !r.Promised && place.Overloaded(r.QueueMillis, r.Aim):
		return admit.Decision{Reason: admit.Overloaded}, nil
	case !r.Promised && r.Outranked:
		return admit.Decision{Reason: admit.Outranked}, nil
	}
	return admit.Decision{}, nil
}

// withdraw gives up the promise to a refused request that is served elsewhere, in whichever group it is.
func (a *Admission) withdraw(now time.Time, contentKey uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.o.Returns == nil {
		return
	}
	for group := range a.groups {
		a.o.Returns.Withdrawn(now, group, contentKey)
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// sweep drops the shares of groups that this instance has long decided nothing for.
func (a *Admission) sweep(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for g, state := range a.groups {
		if state.Idle(now) && now.Sub(state.decidedAt) > groupIdleTime {
			delete(a.groups, g)
		}
	}
	if a.o.Returns != nil {
		a.o.Returns.Sweep(now)
	}
}

// ticket implements exchange.AdmissionTicket.
type ticket struct {
	a          *Admission
	group      pick.Group
	contentKey uint64
	// a.mu guards the fields below. grant is nil once the request has begun or ended. refused says that
	// the request was refused and is not known to have gone elsewhere.
	grant   *admit.Grant
	refused bool
}

// FirstEvent implements exchange.AdmissionTicket.
func (t *ticket) FirstEvent() {
	t.a.mu.Lock()
	defer t.a.mu.Unlock()
	t.grant = nil
}

// End implements exchange.AdmissionTicket.
func (t *ticket) End(now time.Time, r pick.Result) {
	t.a.mu.Lock()
	defer t.a.mu.Unlock()
	grant, refused := t.grant, t.refused
	t.grant, t.refused = nil, false
	if !notRun(r) {
		return
	}
	if state := t.a.groups[t.group]; state != nil && grant != nil {
		state.Return(grant)
	}
	if refused && t.a.o.Returns != nil {
		t.a.o.Returns.Withdrawn(now, t.group, t.contentKey)
	}
}

// notRun reports whether a request that ended before its first event takes no more of the target's work:
// no target has run it, or it was taken back.
func notRun(r pick.Result) bool {
	switch r {
	case pick.Neutral, pick.Unreachable, pick.Replaced, pick.Rejected, pick.Rested:
		return true
	}
	return false
}
