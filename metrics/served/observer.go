// Package served gathers what operators ask of each service from the ends of
// its requests: cost, tail latency, share sent away, and what burns its error
// budget.
package served

import (
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/metrics/burn"
	"github.com/gullhaven/gullhaven/pipeline"
	"github.com/gullhaven/gullhaven/route"
)

// Price is what a second of one request at a target weighs.
type Price struct {
	// Share of the target that one request holds: one by its slots.
	Share float64
	// PerSecond is the target's cost_per_second.
	PerSecond float64
}

// Observer is a pipeline.Observer. It never blocks but for a short lock.
type Observer struct {
	// Table and Burn take what is observed; both are required.
	Table *Table
	Burn  *burn.History
	// Price of a target; zero for one that is not known.
	Price func(route.TargetID) Price
	// Now is the clock; required.
	Now func() time.Time
}

// Observe takes the end of one request.
func (o *Observer) Observe(out pipeline.Outcome) {
	now := o.Now()
	o.Table.Observe(now, requestOf(out, o.Price(out.Target)))
	// A request passed on by another instance is counted there; only what it
	// cost is known here.
	if cause, counts := CauseOf(out); counts && out.Peer == "" {
		o.Burn.Observe(now, burn.Event{Service: out.Service, Workspace: out.Workspace, Cause: cause})
	}
}

// requestOf is an outcome as the Table counts it. The time at all targets that
// it was sent to is priced as that of the last one.
func requestOf(out pipeline.Outcome, p Price) Request {
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

// CauseOf says why a request missed its objective, and whether it counts at
// all: one that failed by its caller's own doing says nothing of the service,
// except that the limits of workspaces are shown as a cause of their own.
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
