// Package drain decides how an instance that was told to end does so without cutting off requests.
//
// Callers learn only after a while that an instance is ending, so it accepts all requests for a Notice. After
// that it accepts those that end before it does by their deadlines, and it ends as soon as none is in
// progress. Time is passed in.
package drain

import (
	"sync/atomic"
	"time"
)

// Plan is the schedule of an end.
type Plan struct {
	// NoticeEnd is until when all requests are accepted. Before that the instance does not end.
	NoticeEnd time.Time
	// End is when requests that are still in progress are ended. It is not before NoticeEnd.
	End time.Time
}

// NewPlan returns the plan of an instance that is told to end at a time and has the time left for requests.
func NewPlan(now time.Time, notice, left time.Duration) Plan {
	left = max(0, left)
	return Plan{NoticeEnd: now.Add(min(notice, left)), End: now.Add(left)}
}

// Phase is a phase of an end.
type Phase uint8

const (
	// Serving: the instance has not been told to end.
	Serving Phase = iota
	// Notice: all requests are accepted.
	Notice
	// Finishing: requests are accepted that end in time.
	Finishing
	// Closed: no request is accepted.
	Closed
)

var phaseNames = [...]string{Serving: "serving", Notice: "notice", Finishing: "finishing", Closed: "closed"}

// String returns the name of the phase, in lower case.
func (p Phase) String() string { return phaseNames[p] }

// Gate counts the requests in progress and says which ones are accepted. The zero value accepts all. It is
// safe for concurrent use.
type Gate struct {
	inProgress atomic.Int64
	plan       atomic.Pointer[Plan]
	closed     atomic.Bool
}

// Enter counts a request that was read. It must be called before Accepts is first asked for it, so that Step
// does not miss a request that was accepted. Leave must be called at its end.
func (g *Gate) Enter() { g.inProgress.Add(1) }

// Leave counts the end of a request.
func (g *Gate) Leave() { g.inProgress.Add(-1) }

// InProgress is the number of requests between Enter and Leave.
func (g *Gate) InProgress() int64 { return g.inProgress.Load() }

// Begin makes the instance end by a plan. Call Step from then on.
func (g *Gate) Begin(p Plan) { g.plan.Store(&p) }

// Phase returns the phase at a time.
func (g *Gate) Phase(now time.Time) Phase {
	p := g.plan.Load()
	switch {
	case p == nil:
		return Serving
	case g.closed.Load():
		return Closed
	case now.Before(p.NoticeEnd):
		return Notice
	}
	return Finishing
}

// Accepts reports whether a request may begin to run that ends by its deadline at the latest.
func (g *Gate) Accepts(now, deadline time.Time) bool {
	switch g.Phase(now) {
	case Serving, Notice:
		return true
	case Finishing:
		return !deadline.After(g.plan.Load().End)
	default:
		return false
	}
}

// Action is what Step asks for.
type Action uint8

const (
	// Wait: call Step again.
	Wait Action = iota
	// EndRequests: end the requests that are in progress, then Stop.
	EndRequests
	// Stop: no request is in progress and none is accepted any more.
	Stop
)

// Step closes the gate once nothing is in progress after the notice, or at the end of the plan, and returns
// what is due. It must be called after Begin, by one goroutine.
func (g *Gate) Step(now time.Time) Action {
	p := g.plan.Load()
	if over := !now.Before(p.End); over || !now.Before(p.NoticeEnd) && g.InProgress() == 0 {
		g.closed.Store(true)
	}
	switch {
	case !g.closed.Load():
		return Wait
	case g.InProgress() == 0:
		return Stop
	case !now.Before(p.End):
		return EndRequests
	}
	// A request was accepted between the count and the closing.
	return Wait
}
