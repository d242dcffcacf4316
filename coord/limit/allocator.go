package limit

import (
	"slices"
	"time"
)

// hysteresis is the relative change of a share that is not worth making.
const hysteresis = 0.05

// Allocator divides a region's limits over its instances. It holds only limits
// that somebody asks for. It has a single owner, at one instance of the region
// at a time; see the package comment for the start of a new one.
type Allocator struct {
	lookup Lookup
	lease  time.Duration
	// quietUntil is when every share of a predecessor has ended.
	graceUntil time.Time
	// proportional says how a limit is divided that is asked for more than once over.
	proportional bool
	// renews says that shares of a predecessor are renewed until then.
	renews    bool
	instances map[string]*reporter
	// holders are those that have reported, by name.
	holders map[string]*reporter
	limits  map[ID]*division
	seq     uint64
}

// reporter is what is known of one instance, or of one holder.
type reporter struct {
	heardAt time.Time
	report  uint64
}

// Holder is who reports and holds shares. Several may stand for one of the instances that
// SetInstances names, one after the other or at once; a share is one holder's.
type Holder struct {
	// Instance has the floor that its holders fall back to, Name is one life of the holder.
	Instance, Name string
}

// division is one limit and who has what of it.
type division struct {
	holdings map[string]*holding
	born     time.Time
	fill     filling
	filledAt time.Time
}

// holding is what one holder asks for and may be using.
type holding struct {
	instance string
	demand   float64
	heard    time.Time
	// held is the share that the instance last said it uses.
	held uint64
	// unheld counts reports in a row without a share that is good for a while.
	unheld int
	// out are shares that may be in use, oldest first.
	out []granted
}

type granted struct {
	seq   uint64
	limit Limit
	until time.Time
}

// NewAllocator makes the Allocator of an instance that came to own the limits
// of its region at now. For one lease it grants nothing, so that shares of its
// predecessor last until their end. A share of nothing would end them early.
func NewAllocator(now time.Time, lookup Lookup, lease time.Duration, instances []string) *Allocator {
	a := &Allocator{
		lookup: lookup, lease: lease, graceUntil: now.Add(lease),
		instances: make(map[string]*reporter), holders: make(map[string]*reporter), limits: make(map[ID]*division),
	}
	a.SetInstances(now, instances)
	return a
}

// SetProportional has a limit that is asked for more than once over divided in proportion to
// what holders ask for, so that a request passes as likely with each of them. Else each holder
// gets as much as any other that asks for more than its equal part.
func (a *Allocator) SetProportional() { a.proportional = true }

// Resume has the Allocator follow a predecessor whose sequence was below first: until all
// shares of that one have ended it renews what a holder says that it holds, and grants
// nothing else. What is in force stays within the limit, as no share grows.
func (a *Allocator) Resume(first uint64) { a.seq, a.renews = first, true }

// EndGracePeriod says that every holder of a predecessor's shares has reported since.
func (a *Allocator) EndGracePeriod(now time.Time) {
	if now.Before(a.graceUntil) {
		a.graceUntil = now
	}
}

// InGracePeriod reports whether the Allocator still waits for a predecessor's shares.
func (a *Allocator) InGracePeriod(now time.Time) bool { return now.Before(a.graceUntil) }

// SetInstances tells the lives of instances in the region, as membership has
// them: a restarted instance has another name here. The shares of one that is
// gone stay counted until their leases end.
func (a *Allocator) SetInstances(now time.Time, names []string) {
	for name := range a.instances {
		if !slices.Contains(names, name) {
			delete(a.instances, name)
			// One that comes back under the name counts its reports anew.
			delete(a.holders, name)
		}
	}
	for _, name := range names {
		if a.instances[name] == nil {
			a.instances[name] = &reporter{heardAt: now}
		}
	}
}

// Len is the number of limits held.
func (a *Allocator) Len() int { return len(a.limits) }

// Report is ReportOf of an instance that is its own only holder.
func (a *Allocator) Report(now time.Time, instance string, number uint64, demands []Demand) []Share {
	return a.ReportOf(now, Holder{instance, instance}, number, demands)
}

// ReportOf takes the demands of a holder and returns one share for each that
// has a limit. A report for an unknown instance, or one that comes after a later
// one of the same holder, is answered with nothing.
func (a *Allocator) ReportOf(now time.Time, holder Holder, number uint64, demands []Demand) []Share {
	part, r := a.instances[holder.Instance], a.holders[holder.Name]
	if r == nil {
		r = &reporter{}
	}
	if part == nil || number <= r.report {
		return nil
	}
	a.holders[holder.Name] = r
	r.report, r.heardAt, part.heardAt = number, now, now
	shares := make([]Share, 0, len(demands))
	for _, d := range demands {
		if s, ok := a.answer(now, holder, d); ok {
			shares = append(shares, s)
		}
	}
	return shares
}

// Sweep forgets limits that nobody asks for and holds. It is called about once
// in a lease.
func (a *Allocator) Sweep(now time.Time) {
	for id, d := range a.limits {
		d.prune(now, a.lease)
		if len(d.holdings) == 0 {
			delete(a.limits, id)
		}
	}
	for name, r := range a.holders {
		// A late report of a life that was forgotten is answered with a share that has ended.
		if now.Sub(r.heardAt) > 2*a.lease {
			delete(a.holders, name)
		}
	}
}

func (a *Allocator) answer(now time.Time, holder Holder, dem Demand) (Share, bool) {
	lim, ok := a.lookup(dem.ID)
	if !ok || lim.Rate <= 0 {
		return Share{}, false
	}
	d := a.limits[dem.ID]
	if d == nil {
		d = &division{holdings: make(map[string]*holding), born: now}
		a.limits[dem.ID] = d
	}
	h := d.heard(now, holder, dem, a.lease)
	if dem.Rate <= 0 && len(h.out) == 0 {
		delete(d.holdings, holder.Name)
		return Share{}, false
	}
	if dem.Rate <= 0 || a.InGracePeriod(now) && !a.renewable(dem) {
		return Share{}, false
	}
	share := dem.Share
	if !a.InGracePeriod(now) {
		share = lim.Scaled(a.part(now, d, holder.Name, lim))
	}
	a.seq++
	g := granted{seq: a.seq, limit: share, until: now.Add(a.lease)}
	h.out = append(h.out, g)
	return Share{ID: dem.ID, Seq: g.seq, Limit: g.limit, Lease: a.lease}, true
}

func (a *Allocator) renewable(dem Demand) bool { return a.renews && dem.Held > 0 && dem.Share.Rate > 0 }

// part is the part of the limit for a holder, from 0 to 1: its target, but
// never more than is not in use by others.
func (a *Allocator) part(now time.Time, d *division, holder string, lim Limit) float64 {
	floor := 1 / float64(max(1, len(a.instances)))
	free := 1.0
	held := make(map[string]bool, len(a.instances))
	for name, h := range d.holdings {
		held[h.instance] = true
		if name != holder {
			silent := a.silent(now, h.instance) || h.demand > 0 && now.Sub(h.heard) > a.lease/2
			free -= h.inUse(now, lim, floor, silent)
		}
	}
	for name := range a.instances {
		if !held[name] && a.silent(now, name) {
			free -= floor
		}
	}
	free = max(0, free)
	target := d.target(now, holder, lim, len(a.instances), a.proportional)
	if last := d.holdings[holder].last(); last != nil {
		old := last.limit.Rate / lim.Rate
		if diff := target - old; old > 0 && max(diff, -diff) < hysteresis*old {
			target = old
		}
	}
	return min(target, free)
}

// silent says that an instance may be cut off and on its floor before the
// shares granted now have ended.
func (a *Allocator) silent(now time.Time, name string) bool {
	r := a.instances[name]
	return r != nil && now.Sub(r.heardAt) > a.lease/2
}

// inUse is the part of the limit that an instance may be using: the largest
// share that may be in force, and its floor if it may have fallen back to it.
func (h *holding) inUse(now time.Time, lim Limit, floor float64, silent bool) float64 {
	use := 0.0
	for _, g := range h.out {
		if now.Before(g.until) {
			use = max(use, g.limit.Rate/lim.Rate)
		}
	}
	if silent || h.unheld >= 2 {
		use = max(use, floor)
	}
	return use
}

func (h *holding) last() *granted {
	if len(h.out) == 0 {
		return nil
	}
	return &h.out[len(h.out)-1]
}

// heard takes a demand. Shares older than the one held are never used again;
// newer ones may still arrive at the instance, so they stay counted.
func (d *division) heard(now time.Time, holder Holder, dem Demand, lease time.Duration) *holding {
	h := d.holdings[holder.Name]
	if h == nil {
		h = &holding{instance: holder.Instance}
		d.holdings[holder.Name] = h
	}
	if diff := dem.Rate - h.demand; max(diff, -diff) > swing*h.demand {
		d.filledAt = time.Time{}
	}
	h.demand, h.heard, h.held = dem.Rate, now, dem.Held
	good := false
	h.out = slices.DeleteFunc(h.out, func(g granted) bool {
		good = good || g.seq == dem.Held && now.Add(lease/3).Before(g.until)
		return g.seq < dem.Held || g.seq == dem.Held && dem.Rate <= 0
	})
	h.unheld++
	if good {
		h.unheld = 0
	}
	return h
}

// prune drops what has ended.
func (d *division) prune(now time.Time, lease time.Duration) {
	for name, h := range d.holdings {
		h.out = slices.DeleteFunc(h.out, func(g granted) bool { return !now.Before(g.until) })
		if now.Sub(h.heard) > lease {
			h.demand = 0
		}
		if len(h.out) == 0 && h.demand <= 0 {
			delete(d.holdings, name)
		}
	}
}
