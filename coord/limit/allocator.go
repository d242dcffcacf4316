package limit

import (
	"slices"
	"time"
)

// hysteresis is the relative change of a share below which the share is kept.
const hysteresis = 0.05

// Allocator divides a region's limits over its instances. It keeps state only for
// limits that somebody asks for. It is not safe for concurrent use, and runs at one
// instance of the region at a time; see the package comment for a new one's start.
type Allocator struct {
	lookup Lookup
	lease  time.Duration
	// graceUntil is when every share of a predecessor has ended.
	graceUntil time.Time
	// proportional: a limit whose total demand exceeds it is divided in proportion to demand.
	proportional bool
	// renewsShares: shares of a predecessor are renewed until graceUntil.
	renewsShares bool
	instances    map[string]*reporter
	// holders are those that have reported, by name.
	holders map[string]*reporter
	limits  map[ID]*limitState
	seq     uint64
}

// reporter is the report state of one instance or holder.
type reporter struct {
	reportedAt time.Time
	lastReport uint64
}

// Holder identifies who reports and holds shares. Several may belong to one of the
// instances given to SetInstances, one after the other or at once; each has its own shares.
type Holder struct {
	// Instance has the floor that its holders fall back to; Name identifies one
	// incarnation of the holder.
	Instance, Name string
}

// limitState is one limit with the shares of all its holders.
type limitState struct {
	// holdings are by the holder's name.
	holdings map[string]*holderState
	// createdAt is the time of the first demand.
	createdAt  time.Time
	allocation allocation
	// allocatedAt is when allocation was computed; zero if it must be recomputed.
	allocatedAt time.Time
}

// holderState is what one holder asks for and may be using.
type holderState struct {
	instance string
	// demand is in units per second.
	demand     float64
	reportedAt time.Time
	// reportsWithoutShare counts consecutive reports without a share that stays
	// valid for another third of a lease.
	reportsWithoutShare int
	// outstanding are shares that may be in use, oldest first.
	outstanding []grantedShare
}

type grantedShare struct {
	seq   uint64
	limit Limit
	until time.Time
}

// NewAllocator returns an Allocator that takes over the limits of its region at now.
// lookup gives the region's share of a limit, lease is how long each share is valid, and
// instances are as in SetInstances.
// For one lease it grants nothing, so that shares of its predecessor last until their
// end; a share of zero would end them early.
func NewAllocator(now time.Time, lookup Lookup, lease time.Duration, instances []string) *Allocator {
	a := &Allocator{
		lookup: lookup, lease: lease, graceUntil: now.Add(lease),
		instances: make(map[string]*reporter), holders: make(map[string]*reporter), limits: make(map[ID]*limitState),
	}
	a.SetInstances(now, instances)
	return a
}

// SetProportional makes the Allocator divide a limit whose total demand exceeds it in
// proportion to what holders ask for, so that a request is equally likely to pass at each
// of them. Otherwise all holders that ask for more than their equal share get the same.
func (a *Allocator) SetProportional() { a.proportional = true }

// Resume makes the Allocator follow a predecessor whose sequence numbers were below first.
// Until all shares of the predecessor have ended it renews the share that a holder reports,
// and grants nothing else. The sum in force stays within the limit, as no share grows.
func (a *Allocator) Resume(first uint64) { a.seq, a.renewsShares = first, true }

// EndGracePeriod ends the grace period at now. The caller must know that every holder of
// a predecessor's shares has reported since.
func (a *Allocator) EndGracePeriod(now time.Time) {
	if now.Before(a.graceUntil) {
		a.graceUntil = now
	}
}

// InGracePeriod reports whether shares of a predecessor may still be in force.
func (a *Allocator) InGracePeriod(now time.Time) bool { return now.Before(a.graceUntil) }

// SetInstances sets the incarnations of instances in the region, from membership: a
// restarted instance has another name here. Shares of one that is gone stay counted
// until their leases end.
func (a *Allocator) SetInstances(now time.Time, names []string) {
	for name := range a.instances {
		if !slices.Contains(names, name) {
			delete(a.instances, name)
			// If it returns under this name, its report numbers restart.
			delete(a.holders, name)
		}
	}
	for _, name := range names {
		if a.instances[name] == nil {
			a.instances[name] = &reporter{reportedAt: now}
		}
	}
}

// Len returns the number of limits with state.
func (a *Allocator) Len() int { return len(a.limits) }

// Report is ReportOf for an instance that is its own only holder.
func (a *Allocator) Report(now time.Time, instance string, number uint64, demands []Demand) []Share {
	return a.ReportOf(now, Holder{instance, instance}, number, demands)
}

// ReportOf takes the demands of a holder and returns a share for each that has a limit
// and gets one. number must increase with each report of a holder. A report for an
// unknown instance, or one not newer than the holder's last, gets nil.
func (a *Allocator) ReportOf(now time.Time, holder Holder, number uint64, demands []Demand) []Share {
	inst, r := a.instances[holder.Instance], a.holders[holder.Name]
	if r == nil {
		r = &reporter{}
	}
	if inst == nil || number <= r.lastReport {
		return nil
	}
	a.holders[holder.Name] = r
	r.lastReport, r.reportedAt, inst.reportedAt = number, now, now
	shares := make([]Share, 0, len(demands))
	for _, d := range demands {
		if s, ok := a.handleDemand(now, holder, d); ok {
			shares = append(shares, s)
		}
	}
	return shares
}

// Sweep removes limits without demand and shares, and holders that have not reported for
// two leases. Call it about once per lease.
func (a *Allocator) Sweep(now time.Time) {
	for id, d := range a.limits {
		d.prune(now, a.lease)
		if len(d.holdings) == 0 {
			delete(a.limits, id)
		}
	}
	for name, r := range a.holders {
		// A late report of a removed incarnation gets a share that has already ended.
		if now.Sub(r.reportedAt) > 2*a.lease {
			delete(a.holders, name)
		}
	}
}

// handleDemand records a demand and returns the share granted for it. It returns false if
// there is no limit or no demand, or if a predecessor's shares may be in force and this one
// is not renewable.
func (a *Allocator) handleDemand(now time.Time, holder Holder, dem Demand) (Share, bool) {
	lim, ok := a.lookup(dem.ID)
	if !ok || lim.Rate <= 0 {
		return Share{}, false
	}
	d := a.limits[dem.ID]
	if d == nil {
		d = &limitState{holdings: make(map[string]*holderState), createdAt: now}
		a.limits[dem.ID] = d
	}
	h := d.recordDemand(now, holder, dem, a.lease)
	if dem.Rate <= 0 && len(h.outstanding) == 0 {
		delete(d.holdings, holder.Name)
		return Share{}, false
	}
	if dem.Rate <= 0 || a.InGracePeriod(now) && !a.renewable(dem) {
		return Share{}, false
	}
	share := dem.Share
	if !a.InGracePeriod(now) {
		share = lim.Scaled(a.grantableShare(now, d, holder.Name, lim))
	}
	a.seq++
	g := grantedShare{seq: a.seq, limit: share, until: now.Add(a.lease)}
	h.outstanding = append(h.outstanding, g)
	return Share{ID: dem.ID, Seq: g.seq, Limit: g.limit, Lease: a.lease}, true
}

// renewable reports whether the share in use may be renewed in the grace period.
func (a *Allocator) renewable(dem Demand) bool {
	return a.renewsShares && dem.Held > 0 && dem.Share.Rate > 0
}

// grantableShare returns the fraction of the limit that a holder can get now: its
// desired share, but never more than is not in use by others.
func (a *Allocator) grantableShare(now time.Time, d *limitState, holder string, lim Limit) float64 {
	floor := 1 / float64(max(1, len(a.instances)))
	free := 1.0
	held := make(map[string]bool, len(a.instances))
	for name, h := range d.holdings {
		held[h.instance] = true
		if name != holder {
			silent := a.silent(now, h.instance) || h.demand > 0 && now.Sub(h.reportedAt) > a.lease/2
			free -= h.inUse(now, lim, floor, silent)
		}
	}
	for name := range a.instances {
		if !held[name] && a.silent(now, name) {
			free -= floor
		}
	}
	free = max(0, free)
	desired := d.desiredShare(now, holder, lim, len(a.instances), a.proportional)
	if last := d.holdings[holder].last(); last != nil {
		old := last.limit.Rate / lim.Rate
		if diff := desired - old; old > 0 && max(diff, -diff) < hysteresis*old {
			desired = old
		}
	}
	return min(desired, free)
}

// silent reports whether an instance may be partitioned and on its floor before the
// shares granted now have ended.
func (a *Allocator) silent(now time.Time, name string) bool {
	r := a.instances[name]
	return r != nil && now.Sub(r.reportedAt) > a.lease/2
}

// inUse returns the fraction of the limit that a holder may be using: the largest
// share that may be in force, and its floor if it may have fallen back to it.
func (h *holderState) inUse(now time.Time, lim Limit, floor float64, silent bool) float64 {
	use := 0.0
	for _, g := range h.outstanding {
		if now.Before(g.until) {
			use = max(use, g.limit.Rate/lim.Rate)
		}
	}
	if silent || h.reportsWithoutShare >= 2 {
		use = max(use, floor)
	}
	return use
}

func (h *holderState) last() *grantedShare {
	if len(h.outstanding) == 0 {
		return nil
	}
	return &h.outstanding[len(h.outstanding)-1]
}

// recordDemand stores a demand. Shares older than the one held are never used again;
// newer ones may still arrive at the instance, so they stay counted.
func (d *limitState) recordDemand(now time.Time, holder Holder, dem Demand, lease time.Duration) *holderState {
	h := d.holdings[holder.Name]
	if h == nil {
		h = &holderState{instance: holder.Instance}
		d.holdings[holder.Name] = h
	}
	if diff := dem.Rate - h.demand; max(diff, -diff) > demandChange*h.demand {
		d.allocatedAt = time.Time{}
	}
	h.demand, h.reportedAt = dem.Rate, now
	hasShare := false
	h.outstanding = slices.DeleteFunc(h.outstanding, func(g grantedShare) bool {
		hasShare = hasShare || g.seq == dem.Held && now.Add(lease/3).Before(g.until)
		return g.seq < dem.Held || g.seq == dem.Held && dem.Rate <= 0
	})
	h.reportsWithoutShare++
	if hasShare {
		h.reportsWithoutShare = 0
	}
	return h
}

// prune removes shares that have ended and holders without shares and demand.
func (d *limitState) prune(now time.Time, lease time.Duration) {
	for name, h := range d.holdings {
		h.outstanding = slices.DeleteFunc(h.outstanding, func(g grantedShare) bool { return !now.Before(g.until) })
		if now.Sub(h.reportedAt) > lease {
			h.demand = 0
		}
		if len(h.outstanding) == 0 && h.demand <= 0 {
			delete(d.holdings, name)
		}
	}
}
