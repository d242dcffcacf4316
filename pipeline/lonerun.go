package pipeline

import (
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/route"
)

// loneRunRetryAfter is the retry delay of a request that must run alone.
const loneRunRetryAfter = 5 * time.Second

// runAlone sends a suspect once, to a target that runs nothing else. If that
// target crashes as well, the request is known to be the cause, and no other
// request was lost with it.
func (f *Attempts) runAlone(x *Exchange, q *route.Request, s sendFunc) error {
	refused := &verdict.Error{Code: CodeSuspected, Message: "the request was running when a target broke down; no target is free to run it alone", RetryAfter: loneRunRetryAfter}
	if f.deps.LoneRuns == nil {
		return refused
	}
	lone, err := f.deps.LoneRuns.Begin(x.Ctx, x.Service.ID, x.Digest)
	if err != nil {
		refused.Err = err
		return refused
	}
	defer lone.Release()
	a := f.newAttempt(q)
	a.alone = true
	a.decision = route.Decision{Action: route.Send, Target: route.TargetID(lone.Target)}
	f.routing.RecordSent(a.route, q, a.decision)
	return f.attempt(x, a, s)
}
