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

// Options of a Planner; zero fields take the default.
type Options struct {
	// Region names the orders.
	Region string
	// Lease must be the same at all instances; default 10 s with a drift of 0.005.
	Lease lease.Config
	// MaxOutShare of a service's slots may be out at once; default 0.25.
	MaxOutShare float64
	// ReportLag bounds how old a report is when an engine gives it; default 2 s.
	ReportLag time.Duration
	// SpreadTime is how long instances may take to learn that a target takes
	// nothing new; default 2 s.
	PropagationDelay time.Duration
	// PollInterval is the time between polls of a target; default 500 ms.
	PollInterval time.Duration
	// StaleAfter is when a target without a new report counts as unseen;
	// default 3 s. LostAfter is when what was under way there is given up;
	// default 30 s.
	StaleAfter, LostAfter time.Duration
	// SendTime bounds how long an order may wait to be written, besides the
	// target's order expiry; default 3 s, at most half a lease.
	SendTime time.Duration
	// WarmUpTime bounds a warm-up; default 30 s.
	WarmUpTime time.Duration
	// RetryBase is the first wait after a failed order or warm-up, doubled for
	// each further one up to RetryMax; defaults 1 s and 1 min.
	RetryBase, RetryMax time.Duration
}

func (o Options) withDefaults() Options {
	if o.Lease.Duration <= 0 {
		o.Lease = lease.Config{Duration: 10 * time.Second, Drift: 0.005}
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

// Planner decides on the orders of one region. It is not safe for several
// goroutines.
type Planner struct {
	o      Options
	now    time.Time
	wanted Desired
	counts Counts

	holder *lease.Holder
	fence  uint64
	// held is false after LeaseLost; deposed is a fence that was overtaken.
	held    bool
	deposed uint64
	// led says whether the last Step led. watching is since when targets are
	// polled without a pause: before, nothing was seen of them, which does not
	// make them lost.
	led      bool
	watching time.Time
	// gained is when fence came first; succession waits out earlier leaders.
	gained     time.Time
	succession *lease.Successor

	targets []*target
	// storeFree is when the weight store has given what this leader ordered.
	storeFree time.Time
	seq       uint64
	effects   []Effect
}

// New makes a Planner that holds no lease and wants nothing.
func New(o Options) *Planner {
	o = o.withDefaults()
	return &Planner{o: o, holder: lease.NewHolder(o.Lease)}
}

// Options returns the options with their defaults.
func (p *Planner) Options() Options { return p.o }

// Step takes an event in at time now, which must not go back, and returns what
// to do. The slice is valid until the next Step.
func (p *Planner) Step(now time.Time, e Event) []Effect {
	pause := now.Sub(p.now)
	if pause > 0 {
		p.now = now
	}
	p.effects = p.effects[:0]
	switch e := e.(type) {
	case SetDesired:
		p.setWanted(e.Desired)
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
	led := p.led
	p.led = p.leading(p.now)
	if p.led && (!led || pause > p.o.StaleAfter) {
		p.watching = p.now
	}
	if p.led {
		p.poll()
		p.plan()
	}
	return p.effects
}

// leading reports whether orders may be given. The lease is checked against the
// time of each Step: a process that was stopped and continued finds that its
// lease has ended before it acts on what it believed.
func (p *Planner) leading(now time.Time) bool {
	return p.held && p.fence > p.deposed && p.holder.Held(now)
}

// leaseHeld takes a lease in. Under a new number nothing of the former lease is
// kept: another leader may have acted since.
func (p *Planner) leaseHeld(e LeaseHeld) {
	if e.Fence < p.fence {
		return
	}
	if e.Fence > p.fence {
		p.fence, p.seq, p.gained = e.Fence, 0, p.now
		p.succession = lease.NewSuccessor(p.o.Lease, p.now, true)
		for i, t := range p.targets {
			p.targets[i] = &target{goal: t.goal}
		}
	}
	p.held = true
	p.holder.Renewed(e.Fence, e.At)
}

// former is how long after the start of a lease orders of earlier leaders can
// still arrive at any target.
//
// A target that checks fencing numbers refuses old orders only once it has seen
// the new number. Until then the old leader could drain one target while the new
// one drains another, and both be within their share. So what takes capacity or
// reads weights waits for all targets, not for its own alone.
func (p *Planner) former() time.Duration {
	var longest time.Duration
	for _, g := range p.wanted.Goals {
		longest = max(longest, g.OrderExpiry)
	}
	return p.succession.Wait(lease.Target{OrderExpiry: longest})
}

// formerEnded reports whether no order of an earlier leader is under way and
// the reports show what the last of them did.
func (p *Planner) formerEnded() bool { return !p.now.Before(p.formerShown()) }

// formerShown is from when reports show all that earlier leaders ordered.
func (p *Planner) formerShown() time.Time {
	return p.gained.Add(p.former()).Add(p.o.ReportLag)
}

// storeFreeAt is when the weight store has given all that was ordered, by this
// leader or by the last order that an earlier one may have given.
func (p *Planner) storeFreeAt() time.Time {
	former := p.gained.Add(p.former()).Add(p.readTime(p.wanted.LargestBytes))
	return latest(p.storeFree, former)
}

// readTime is how long the weight store takes for an object.
func (p *Planner) readTime(bytes int64) time.Duration {
	rate := max(1, p.wanted.BytesPerSecond)
	return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
}

// setWanted replaces the goals; what is known of a target stays.
func (p *Planner) setWanted(w Desired) {
	w.MaxLoads = max(1, w.MaxLoads)
	old := map[string]*target{}
	for _, t := range p.targets {
		old[t.goal.Target] = t
	}
	p.wanted, p.targets = w, nil
	for _, g := range w.Goals {
		t := old[g.Target]
		if t == nil || t.goal.Address != g.Address {
			t = &target{}
		}
		t.goal = g
		if g.Leaving {
			t.drainedElsewhere = false // The bundle wants the drain too, and ends it when it wants the target back.
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
		t.take(e.PolledAt, *e.Report, p)
	}
}

func (p *Planner) poll() {
	for _, t := range p.targets {
		if t.polling && p.now.Sub(t.pollAt) < p.o.StaleAfter || p.now.Sub(t.pollAt) < p.o.PollInterval {
			continue
		}
		t.polling, t.pollAt = true, p.now
		p.effects = append(p.effects, Poll{Target: t.goal.Target, Address: t.goal.Address, PolledAt: p.now})
	}
}

// plan goes over the targets: first those that are out of service already, so
// that what was begun is ended before more is begun.
func (p *Planner) plan() {
	for _, t := range p.targets {
		if t.out(p.now, &p.o) {
			t.note(p.now, p.advance(t))
		}
	}
	for _, t := range p.targets {
		if !t.out(p.now, &p.o) {
			t.note(p.now, p.advance(t))
		}
	}
}

func (p *Planner) nextID() string {
	p.seq++
	return fmt.Sprintf("%s-%d-%d", p.o.Region, p.fence, p.seq)
}

// ownID reports whether an order was given by a leader of the region.
func (p *Planner) ownID(id string) bool {
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
