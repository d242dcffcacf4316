package route

import (
	"time"
)

// newTestRouter returns a Router with n warm model targets and a neighbour "there".
func newTestRouter(n int) *Router {
	r := newRouter(1)
	var specs []TargetSpec
	for i := range n {
		specs = append(specs, modelTarget(i, "here"))
	}
	r.SetTargets(epoch, specs)
	r.SetLinks(epoch, []Link{{Region: "there", OneWay: 80 * time.Millisecond, MaxShare: 1, Reachable: true}})
	return r
}

func prompt(tokens int) *Request {
	return &Request{Service: "llm", PromptTokens: tokens, OutputTokens: 10, Priority: 5, Home: "here", Idempotent: true}
}

// reportQueue reports the same queue of prompt tokens for all targets.
func reportQueue(r *Router, now time.Time, tokens int) {
	for id := range r.targets {
		r.Report(now, Report{Target: id, At: now, Running: 1, WaitingTokens: tokens})
	}
}

func grantFrom(r *Router, now time.Time, rate float64) {
	r.RegionSummary(now, RegionSummary{Region: "there", Service: "llm", At: now, FreeRate: rate, Targets: 3})
}
