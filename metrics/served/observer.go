// Package served aggregates the finished requests of each service for operators:
// cost, tail latency, share spilled, and what burns the error budget.
package served

import (
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/metrics/burn"
	"github.com/gullhaven/gullhaven/pipeline"
	"github.com/gullhaven/gullhaven/route"
)

// Price is the cost of one request at a target.
type Price struct {
	// Share of the target that one request uses: 1 / its number of slots.
	Share float64
	// PerSecond is the target's cost_per_second.
	PerSecond float64
}

// Observer is a pipeline.Observer. It blocks only for short locks.
type Observer struct {
	// Table and Burn record the requests; both are required.
	Table *Table
	Burn  *burn.History
	// Price returns the price of a target, zero for an unknown one; required.
	Price func(route.TargetID) Price
	// Now is the clock; required.
	Now func() time.Time
}

// Observe records the end of one request.
func (o *Observer) Observe(out pipeline.Outcome) {
	now := o.Now()
	o.Table.Observe(now, toRequest(out, o.Price(out.Target)))
	// A request forwarded by another instance is counted there; only its cost is
	// known here.
	if cause, counts := CauseOf(out); counts && out.Peer == "" {
		o.Burn.Observe(now, burn.Event{Service: out.Service, Workspace: out.Workspace, Cause: cause})
	}
}

// toRequest converts an outcome for the Table. The time at all targets that it was
// sent to is priced as that of the last one.
func toRequest(out pipeline.Outcome, p Price) Request {
	r := Request{
		Service:   out.Service,
		FirstByte: out.FirstByte,
		Refused:   out.Code != "" && out.Verdict == verdict.NotRun,
		Failed:    out.Code != "" && out.Verdict != verdict.NotRun,
		Spilled:   out.SpillRegion != "",
		Forwarded: out.Peer != "",
	}
	if out.Target != "" {
		r.TargetSeconds = out.TargetTime.Seconds() * p.Share
		r.Cost = r.TargetSeconds * p.PerSecond
	}
	return r
}

// CauseOf returns why a request missed its objective, and whether it counts at all:
// a request that failed through its caller's fault does not count, except that the
// limits of workspaces are a cause of their own.
func CauseOf(out pipeline.Outcome) (cause burn.Cause, counts bool) {
	switch {
	case out.MetObjective:
		return burn.Met, true
	case out.Code == pipeline.CodeOverLimit:
		return burn.Limit, true
	case !out.CountsForObjective():
		return burn.Met, false
	case out.SpillRegion != "" || out.Code == pipeline.CodeRegionUnreached:
		return burn.Spilled, true
	case out.Code == "":
		return burn.Late, true
	case out.Verdict == verdict.NotRun:
		return burn.Refused, true
	case out.Code == pipeline.CodeDeadline:
		return burn.Late, true
	default:
		return burn.TargetLost, true
	}
}
