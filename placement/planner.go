package placement

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gullhaven/gullhaven/coord/lease"
)

// Options configures a Planner; zero fields get their default.
type Options struct {
	// Region is part of the order IDs.
	Region string
	// Lease must be the same on all instances; default 10 s with a drift
	// of 0.005.
	Lease lease.Config
	// MaxOutShare is the share of a service's slots that may be out of service
	// at the same time; default 0.25.
	MaxOutShare float64
	// ReportLag bounds the age of a report when an engine returns it;
	// default 2 s.
	ReportLag time.Duration
	// PropagationDelay bounds how long instances take to learn that a target
	// takes no new requests; default 2 s.
	PropagationDelay time.Duration
	// PollInterval is the time between polls of a target; default 500 ms.
	PollInterval time.Duration
	// StaleAfter is the time without a new report after which a target counts
	// as unseen; default 3 s. LostAfter is the time after which its state is
	// discarded; default 30 s.
	StaleAfter, LostAfter time.Duration
	// SendTime bounds how long an order may wait to be written, as does the
	// target's order expiry; default 3 s, at most half a lease.
	SendTime time.Duration
	// WarmUpTime bounds a warm-up; default 30 s.
	WarmUpTime time.Duration
	// RetryBase is the delay after the first failed order or warm-up. It
	// doubles with each further failure, up to RetryMax; defaults 1 s
	// and 1 min.
	RetryBase, RetryMax time.Duration
}

func (o Options) withDefaults() Options {
	if o.Lease.Duration <= 0 {
		o.Lease = lease.Config{Duration: 10 * time.Second, MaxDrift: 0.005}
	}
	if o.MaxOutShare <= 0 {
		o.MaxOutShare = 0.25
	}
	setDefault(&o.ReportLag, 2*time.Second)
	setDefault(&o.PropagationDelay, 2*time.Second)
	setDefault(&o.PollInterval, 500*time.Millisecond)
	setDefault(&o.StaleAfter, 3*time.Second)
	setDefault(&o.LostAfter, 30*time.Second)
	setDefault(&o.SendTime, 3*time.Second)
	o.SendTime = min(o.SendTime, o.Lease.Duration/2)
	setDefault(&o.WarmUpTime, 30*time.Second)
	setDefault(&o.RetryBase, time.Second)
	setDefault(&o.RetryMax, time.Minute)
	return o
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d <= 0 {
		*d = v
	}
}

// Planner plans the orders of one region. It is not safe for concurrent use.
type Planner struct {
	o       Options
	now     time.Time
	desired Desired
	counts  Counts

	holder *lease.Holder
	fence  uint64
	// held is false after LeaseLost; supersededFence is the fencing number
	// under which an order was refused as old.
	held            bool
	supersededFence uint64
	// isLeading is true if orders could be sent at the last Step. pollingSince is the start of the
	// current uninterrupted period of polling; time before it does not count
	// towards LostAfter.
	isLeading    bool
	pollingSince time.Time
	// fenceSince is when fence was first reported; succession waits out earlier
	// leaders.
	fenceSince time.Time
	succession *lease.Successor

	targets []*target
	// ownLoadsEnd is when the weight store will have served the loads ordered
	// by this leader.
	ownLoadsEnd time.Time
	seq         uint64
	effects     []Effect
}

// New returns a Planner without a lease or desired state.
func New(o Options) *Planner {
	o = o.withDefaults()
	return &Planner{o: o, holder: lease.NewHolder(o.Lease)}
}

// Options returns the options with their defaults.
func (p *Planner) Options() Options { return p.o }

// Step processes an event at time now, which must not go back, and returns the
// effects to carry out. The slice is valid until the next Step.
func (p *Planner) Step(now time.Time, e Event) []Effect {
	pause := now.Sub(p.now)
	if pause > 0 {
		p.now = now
	}
	p.effects = p.effects[:0]
	switch e := e.(type) {
	case SetDesired:
		p.setDesired(e.Desired)
	case LeaseHeld:
		p.leaseHeld(e)
	case LeaseLost:
		p.held = false
	case Observed:
		p.observed(e)
	case OrderEnded:
		p.orderEnded(e)
	case WarmUpEnded:
		p.warmUpEnded(e)
	}
	wasLeading := p.isLeading
	p.isLeading = p.leading(p.now)
	if p.isLeading && (!wasLeading || pause > p.o.StaleAfter) {
		p.pollingSince = p.now
	}
	if p.isLeading {
		p.poll()
		p.plan()
	}
	return p.effects
}

// leading reports whether orders may be sent. The lease is checked against the
// time of each Step, so that a process that was paused notices the end of its
// lease before it acts.
func (p *Planner) leading(now time.Time) bool {
	return p.held && p.fence > p.supersededFence && p.holder.Held(now)
}

// leaseHeld processes a lease. Under a new fencing number, all state of the
// earlier lease is discarded, since another leader may have acted in between.
func (p *Planner) leaseHeld(e LeaseHeld) {
	if e.Fence < p.fence {
		return
	}
	if e.Fence > p.fence {
		p.fence, p.seq, p.fenceSince = e.Fence, 0, p.now
		p.succession = lease.NewSuccessor(p.o.Lease, p.now, true)
		for i, t := range p.targets {
			p.targets[i] = &target{goal: t.goal}
		}
	}
	p.held = true
	p.holder.Renewed(e.Fence, e.At)
}

// earlierOrderWindow returns how long after the start of a lease orders of
// earlier leaders can still arrive at any target.
//
// A target that checks fencing numbers refuses old orders only after it has
// seen the new number. Until then, the old leader could drain one target while
// the new leader drains another, each within its own bound. Orders that remove
// capacity or read weights therefore wait for all targets, not only for their
// own.
func (p *Planner) earlierOrderWindow() time.Duration {
	var longest time.Duration
	for _, g := range p.desired.Goals {
		longest = max(longest, g.OrderExpiry)
	}
	return p.succession.Wait(lease.Target{OrderExpiry: longest})
}

// earlierOrdersEnded reports whether no order of an earlier leader can still
// arrive and reports show the effects of all of them.
func (p *Planner) earlierOrdersEnded() bool { return !p.now.Before(p.earlierOrdersVisibleAt()) }

// earlierOrdersVisibleAt returns the time from which reports show the effects
// of all earlier leaders' orders.
func (p *Planner) earlierOrdersVisibleAt() time.Time {
	return p.fenceSince.Add(p.earlierOrderWindow()).Add(p.o.ReportLag)
}

// storeFreeAt returns when the weight store will have served all loads: those
// ordered by this leader, and the last one that an earlier leader may have
// ordered.
func (p *Planner) storeFreeAt() time.Time {
	earlierLoadsEnd := p.fenceSince.Add(p.earlierOrderWindow()).Add(p.readTime(p.desired.LargestBytes))
	return latest(p.ownLoadsEnd, earlierLoadsEnd)
}

// readTime returns how long the weight store takes to read an object.
func (p *Planner) readTime(bytes int64) time.Duration {
	rate := max(1, p.desired.BytesPerSecond)
	return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
}

// setDesired replaces the goals and keeps the state of known targets.
func (p *Planner) setDesired(w Desired) {
	w.MaxLoads = max(1, w.MaxLoads)
	old := map[string]*target{}
	for _, t := range p.targets {
		old[t.goal.Target] = t
	}
	p.desired, p.targets = w, nil
	for _, g := range w.Goals {
		t := old[g.Target]
		if t == nil || t.goal.Address != g.Address {
			t = &target{}
		}
		t.goal = g
		if g.Leaving {
			// The bundle now asks for the drain, so the planner ends it when the
			// target becomes active.
			t.drainedElsewhere = false
		}
		p.targets = append(p.targets, t)
	}
}

func (p *Planner) find(id string) *target {
	i, ok := slices.BinarySearchFunc(p.targets, id, func(t *target, id string) int { return cmp.Compare(t.goal.Target, id) })
	if !ok {
		return nil
	}
	return p.targets[i]
}

func (p *Planner) observed(e Observed) {
	t := p.find(e.Target)
	if t == nil {
		return
	}
	t.polling = false
	if e.Report != nil {
		t.observe(e.PolledAt, *e.Report, p)
	}
}

// poll polls the targets that are due and have no recent poll in progress.
func (p *Planner) poll() {
	for _, t := range p.targets {
		if t.polling && p.now.Sub(t.pollAt) < p.o.StaleAfter || p.now.Sub(t.pollAt) < p.o.PollInterval {
			continue
		}
		t.polling, t.pollAt = true, p.now
		p.effects = append(p.effects, Poll{Target: t.goal.Target, Address: t.goal.Address, PolledAt: p.now})
	}
}

// plan advances all targets, first those already out of service, so that
// started changes are finished before others start.
func (p *Planner) plan() {
	for _, t := range p.targets {
		if t.outOfService(p.now, &p.o) {
			t.setStatus(p.now, p.advance(t))
		}
	}
	for _, t := range p.targets {
		if !t.outOfService(p.now, &p.o) {
			t.setStatus(p.now, p.advance(t))
		}
	}
}

func (p *Planner) nextID() string {
	p.seq++
	return fmt.Sprintf("%s-%d-%d", p.o.Region, p.fence, p.seq)
}

// isRegionOrderID reports whether an order ID was issued by a leader of the
// region.
func (p *Planner) isRegionOrderID(id string) bool {
	rest, ok := strings.CutPrefix(id, p.o.Region+"-")
	if !ok {
		return false
	}
	fence, seq, _ := strings.Cut(rest, "-")
	return isNumber(fence) && isNumber(seq)
}

func isNumber(s string) bool {
	_, err := strconv.ParseUint(s, 10, 64)
	return err == nil
}
