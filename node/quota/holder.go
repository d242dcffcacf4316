package quota

import (
	"time"

	"github.com/gullhaven/gullhaven/coord/limit"
)

// Holder keeps the shares of one entry instance for the workspaces that it owns in its region,
// and the buckets that it uses for a workspace if it reaches no owner. It does no input or
// output and is not safe for concurrent use.
type Holder struct {
	incarnation uint64
	// startedAt is when the instance started.
	startedAt time.Time
	region    string
	tolerance Tolerance
	// limits returns the limit of a workspace in the configuration in force, which is version.
	limits   func(workspace string) (limit.Limit, bool)
	version  uint64
	shared   *limit.Limiter
	isolated *limit.Limiter
	// entries is the largest number of entry instances ever known at once.
	entries int
	// granted are the workspaces of which a share has arrived since this instance last reported no
	// demand for them.
	granted map[string]bool
}

// isolatedShare is the fraction of its equal part of a limit that an isolated instance allows:
// the instances that it can't reach go on with all of the limit.
const isolatedShare = 0.5

// minEntries is the least number of entry instances by which an isolated instance divides a
// limit, as it may know few if it has just started.
const minEntries = 6

// timeScale lets shares follow demand that moves between regions within three seconds: see
// package coord/limit.
const timeScale = 0.25

// NewHolder returns the Holder of one incarnation of an instance. regions is the number of
// regions of the site.
func NewHolder(now time.Time, incarnation uint64, region string, regions int, t Tolerance) *Holder {
	h := &Holder{
		incarnation: incarnation, startedAt: now, region: region, tolerance: t, entries: minEntries, granted: map[string]bool{},
		limits: func(string) (limit.Limit, bool) { return limit.Limit{}, false },
	}
	h.shared = limit.NewLimiter(h.lookup, regions, Lease)
	h.shared.SetTimeScale(timeScale)
	h.shared.SetFloorDelay(0)
	h.isolated = limit.NewLimiter(h.lookupIsolated, 1, 0)
	return h
}

// SetLimits replaces the limits by those of a configuration version.
func (h *Holder) SetLimits(version uint64, limits func(workspace string) (limit.Limit, bool)) {
	h.version, h.limits = version, limits
}

// SetEntryInstances sets which workspaces this instance owns, and raises the known number of entry
// instances of all regions to entries; a lower number is ignored.
func (h *Holder) SetEntryInstances(entries int, owns func(workspace string) bool) {
	h.entries = max(h.entries, entries)
	h.shared.SetOwned(func(id limit.ID) bool { return owns(id.Workspace) })
}

func (h *Holder) lookup(id limit.ID) (limit.Limit, bool) {
	if id.Resource != limit.Tokens {
		return limit.Limit{}, false
	}
	l, ok := h.limits(id.Workspace)
	return h.tolerance.Effective(l), ok
}

func (h *Holder) lookupIsolated(id limit.ID) (limit.Limit, bool) {
	l, ok := h.lookup(id)
	return l.Scaled(isolatedShare / float64(h.entries)), ok
}

// Consume consumes the units of a request from the share of a workspace that this instance owns.
func (h *Holder) Consume(now time.Time, workspace string, units float64) ConsumeResponse {
	if _, known := h.limits(workspace); !known {
		return ConsumeResponse{UnknownLimit: true}
	}
	if now.Sub(h.startedAt) >= Lease {
		h.shared.SetFloorDelay(Lease)
	}
	allowed, retryAfter := h.shared.ConsumeTokens(now, workspace, units)
	if allowed {
		return ConsumeResponse{Allowed: true}
	}
	state := h.shared.State(now, limit.ID{Workspace: workspace, Resource: limit.Tokens})
	return ConsumeResponse{
		RetryAfterMillis: retryAfter.Milliseconds(), NoShareYet: !h.granted[workspace], Rate: state.Rate, Leased: state.Leased, Version: h.version,
	}
}

// ConsumeIsolated consumes the units of a request from the isolated part of the limit, for use if no
// owner of the workspace is reached.
func (h *Holder) ConsumeIsolated(now time.Time, workspace string, units float64) ConsumeResponse {
	allowed, retryAfter := h.isolated.ConsumeTokens(now, workspace, units)
	state := h.isolated.State(now, limit.ID{Workspace: workspace, Resource: limit.Tokens})
	return ConsumeResponse{Allowed: allowed, RetryAfterMillis: retryAfter.Milliseconds(), Rate: state.Rate, Version: h.version}
}

// Refund returns the units consumed by a request that never ran.
func (h *Holder) Refund(now time.Time, workspace string, units float64) {
	h.shared.Refund(now, workspace, units)
}

// RefundIsolated returns units consumed with ConsumeIsolated.
func (h *Holder) RefundIsolated(now time.Time, workspace string, units float64) {
	h.isolated.Refund(now, workspace, units)
}

// Report returns the report that requests shares of all owned workspaces, or, if urgent, of those
// that should not wait for the regular report. It returns false if urgent and there are none.
func (h *Holder) Report(now time.Time, urgent bool) (*Report, bool) {
	var number uint64
	var demands []limit.Demand
	if urgent {
		number, demands = h.shared.UrgentReport(now)
	} else {
		number, demands = h.shared.Report(now)
		// The isolated use isn't reported to anyone; this call drops unused buckets.
		h.isolated.Report(now)
	}
	r := &Report{Incarnation: h.incarnation, Region: h.region, Number: number}
	for _, d := range demands {
		row := Row{Workspace: d.ID.Workspace, Version: h.version, Demand: d.Rate, Held: d.Held, Share: d.Share}
		if l, ok := h.lookup(d.ID); ok {
			row.Limit = l
		}
		if d.Rate <= 0 {
			delete(h.granted, d.ID.Workspace)
		}
		r.Rows = append(r.Rows, row)
	}
	return r, !urgent || len(demands) > 0
}

// ApplyShares applies the leader's answer to a report.
func (h *Holder) ApplyShares(now time.Time, a *Answer) {
	shares := make([]limit.Share, 0, len(a.Grants))
	for _, g := range a.Grants {
		h.granted[g.Workspace] = true
		shares = append(shares, limit.Share{
			ID: limit.ID{Workspace: g.Workspace, Resource: limit.Tokens}, Seq: g.Seq, Limit: g.Limit, Lease: Lease,
		})
	}
	h.shared.ApplyShares(now, a.Number, shares)
}

// Len returns the number of workspaces with a bucket at this instance as their owner.
func (h *Holder) Len() int { return h.shared.Len() }
