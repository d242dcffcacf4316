package quota

import (
	"time"

	"github.com/gullhaven/gullhaven/coord/limit"
)

// Holders are the shares of one entry instance: of the workspaces that it stands for in its
// region, and what it lets pass by itself where it reaches none that stands for one. It has
// no input or output and a single owner.
type Holders struct {
	life uint64
	// bornAt is when the instance started.
	bornAt    time.Time
	region    string
	tolerance Tolerance
	// limits are those of the configuration in force.
	limits  func(workspace string) (limit.Limit, bool)
	version uint64
	shared  *limit.Limiter
	alone   *limit.Limiter
	// entries is the largest number of entry instances known at once.
	entries int
	// granted are the workspaces of which a share came since this instance began to stand
	// for them.
	granted map[string]bool
}

// aloneShare is the part of its equal part of a limit that an instance lets pass alone: those
// that it cannot reach go on with all of the limit.
const aloneShare = 0.5

// fewestEntries is the least number of entry instances that a limit is shared among by one
// that is alone: it may know few as it has just started.
const fewestEntries = 6

// pace follows demand that moves between regions within three seconds: see limit.SetTimeScale.
const pace = 0.25

// NewHolders makes the Holders of one life of an instance. regions is the number of regions
// of the site.
func NewHolders(now time.Time, life uint64, region string, regions int, t Tolerance) *Holders {
	h := &Holders{
		life: life, bornAt: now, region: region, tolerance: t, entries: fewestEntries, granted: map[string]bool{},
		limits: func(string) (limit.Limit, bool) { return limit.Limit{}, false },
	}
	h.shared = limit.NewLimiter(h.lookup, regions, Lease)
	h.shared.SetTimeScale(pace)
	h.shared.SetFloorDelay(0)
	h.alone = limit.NewLimiter(h.lookupAlone, 1, 0)
	return h
}

// SetLimits tells the limits of a configuration.
func (h *Holders) SetLimits(version uint64, limits func(workspace string) (limit.Limit, bool)) {
	h.version, h.limits = version, limits
}

// SetEntries tells how many entry instances there are, and for which workspaces this one
// stands.
func (h *Holders) SetEntries(entries int, owns func(workspace string) bool) {
	h.entries = max(h.entries, entries)
	h.shared.SetOwned(func(id limit.ID) bool { return owns(id.Workspace) })
}

func (h *Holders) lookup(id limit.ID) (limit.Limit, bool) {
	if id.Resource != limit.Tokens {
		return limit.Limit{}, false
	}
	l, ok := h.limits(id.Workspace)
	return h.tolerance.Effective(l), ok
}

func (h *Holders) lookupAlone(id limit.ID) (limit.Limit, bool) {
	l, ok := h.lookup(id)
	return l.Scaled(aloneShare / float64(h.entries)), ok
}

// Take lets a request of a workspace pass for which this instance stands.
func (h *Holders) Take(now time.Time, workspace string, units float64) Verdict {
	if _, known := h.limits(workspace); !known {
		return Verdict{Unknown: true}
	}
	if now.Sub(h.bornAt) >= Lease {
		h.shared.SetFloorDelay(Lease)
	}
	ok, wait := h.shared.TakeTokens(now, workspace, units)
	if ok {
		return Verdict{OK: true}
	}
	state := h.shared.State(now, limit.ID{Workspace: workspace, Resource: limit.Tokens})
	return Verdict{
		WaitMillis: wait.Milliseconds(), New: !h.granted[workspace], Rate: state.Rate, Leased: state.Leased, Version: h.version,
	}
}

// TakeAlone lets a request pass where none is reached that stands for the workspace.
func (h *Holders) TakeAlone(now time.Time, workspace string, units float64) Verdict {
	ok, wait := h.alone.TakeTokens(now, workspace, units)
	state := h.alone.State(now, limit.ID{Workspace: workspace, Resource: limit.Tokens})
	return Verdict{OK: ok, WaitMillis: wait.Milliseconds(), Rate: state.Rate, Version: h.version}
}

// Back gives back what a request took that never ran.
func (h *Holders) Back(now time.Time, workspace string, units float64) {
	h.shared.Refund(now, workspace, units)
}

// BackAlone gives back what TakeAlone took.
func (h *Holders) BackAlone(now time.Time, workspace string, units float64) {
	h.alone.Refund(now, workspace, units)
}

// Report asks for shares of all workspaces, or of those that should not wait; false where
// there is nothing urgent.
func (h *Holders) Report(now time.Time, urgent bool) (*Report, bool) {
	var number uint64
	var demands []limit.Demand
	if urgent {
		number, demands = h.shared.UrgentReport(now)
	} else {
		number, demands = h.shared.Report(now)
		// What is let pass alone is reported to nobody; buckets that are not used are forgotten.
		h.alone.Report(now)
	}
	r := &Report{Life: h.life, Region: h.region, Number: number}
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

// Granted takes the leader's answer.
func (h *Holders) Granted(now time.Time, a *Answer) {
	shares := make([]limit.Share, 0, len(a.Grants))
	for _, g := range a.Grants {
		h.granted[g.Workspace] = true
		shares = append(shares, limit.Share{
			ID: limit.ID{Workspace: g.Workspace, Resource: limit.Tokens}, Seq: g.Seq, Limit: g.Limit, Lease: Lease,
		})
	}
	h.shared.ApplyShares(now, a.Number, shares)
}

// Len is the number of workspaces that this instance stands for.
func (h *Holders) Len() int { return h.shared.Len() }
