package quota

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/coord/limit"
)

const (
	workspace      = "w"
	simulationStep = 50 * time.Millisecond
	maxRoundTrip   = 600 * time.Millisecond
	rate           = 1000.0
	request        = 20.0
)

var (
	simulationStart = time.Unix(1_800_000_000, 0)
	regions         = []string{"p", "q", "r"}
	fullLimit       = limit.Limit{Rate: rate, Burst: rate}
)

// process is one incarnation of an entry instance.
type process struct {
	id, region   string
	holder       *Holder
	sentAt       time.Time
	regularAt    time.Time
	awaitsAnswer bool
	// cut instances reach no leader, notOwner ones do not own the workspace in their own view.
	cut, notOwner bool
}

// message is a report to the leader or an answer from it, in transit until at.
type message struct {
	at     time.Time
	to     *process
	report *Report
	answer *Answer
}

// simulation is a few instances and a changing leader on a faulty network.
type simulation struct {
	t       *rapid.T
	now     time.Time
	term    uint64
	divider *Divider
	// nextLeaderAt is when the next leader starts; zero while there is one.
	nextLeaderAt time.Time
	processes    []*process
	started      uint64
	messages     []message
	faulty       bool
	// excess is how many units passed above the rate since the lowest point of that sum.
	excess float64
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, now: simulationStart}
	w.startLeader()
	for _, region := range regions {
		for n := range rapid.IntRange(1, 2).Draw(t, "instances") {
			w.processes = append(w.processes, w.start(fmt.Sprint(region, n), region))
		}
	}
	return w
}

func (w *simulation) startLeader() {
	w.term++
	w.divider = NewDivider(w.now, w.term, regions, nil)
	w.nextLeaderAt = time.Time{}
}

func (w *simulation) start(id, region string) *process {
	w.started++
	p := &process{id: id, region: region, holder: NewHolder(w.now, w.started, region, len(regions), Tolerance{})}
	p.holder.SetLimits(1, func(string) (limit.Limit, bool) { return fullLimit, true })
	p.holder.SetEntryInstances(len(regions), func(string) bool { return !p.notOwner })
	return p
}

func (w *simulation) chance(what string, in int) bool {
	return w.faulty && rapid.IntRange(1, in).Draw(w.t, what) == 1
}

// step advances time by simulationStep with faults, messages, reports and requests. It returns
// how many requests were refused.
func (w *simulation) step(asked func(p *process) int) (refused int) {
	w.now = w.now.Add(simulationStep)
	w.injectFaults()
	if w.divider == nil && !w.now.Before(w.nextLeaderAt) {
		w.startLeader()
	}
	w.deliver()
	for _, p := range w.processes {
		w.report(p)
	}
	return w.pass(asked)
}

// expectNoRefusals advances time by d, in which no request may be refused.
func (w *simulation) expectNoRefusals(d time.Duration, asked func(p *process) int) {
	for range int(d / simulationStep) {
		if refused := w.step(asked); refused > 0 {
			w.t.Fatalf("%d requests refused", refused)
		}
	}
}

// injectFaults, each at random, ends the leadership, and restarts, partitions or reconnects
// instances, or changes their view of ownership.
func (w *simulation) injectFaults() {
	if w.divider != nil && w.chance("leader lost", 60) {
		// The next leader starts after an election.
		w.divider = nil
		w.nextLeaderAt = w.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(w.t, "election")) * time.Millisecond)
	}
	for k, p := range w.processes {
		if w.chance("restart", 200) {
			w.processes[k] = w.start(p.id, p.region)
		}
		if w.chance("cut or joined", 200) {
			w.processes[k].cut = !w.processes[k].cut
		}
		if w.chance("ownership view changed", 100) {
			w.processes[k].notOwner = !w.processes[k].notOwner
		}
	}
}

// send sends a message, which may be lost, late or duplicated.
func (w *simulation) send(m message) {
	m.at = w.now
	if w.faulty {
		m.at = w.now.Add(time.Duration(rapid.IntRange(0, int(maxRoundTrip.Milliseconds())/2).Draw(w.t, "delay")) * time.Millisecond)
	}
	if w.chance("lost", 5) {
		return
	}
	w.messages = append(w.messages, m)
	if w.chance("doubled", 5) {
		w.messages = append(w.messages, m)
	}
}

func (w *simulation) deliver() {
	due := w.messages
	w.messages = nil
	for _, m := range due {
		switch {
		case m.at.After(w.now):
			w.messages = append(w.messages, m)
		case m.to.cut:
		case m.report != nil && w.divider != nil:
			a := w.divider.Report(w.now, m.to.id, m.report)
			w.send(message{to: m.to, answer: &a})
		case m.answer != nil:
			m.to.holder.ApplyShares(w.now, m.answer)
			m.to.awaitsAnswer = false
		}
	}
}

func (w *simulation) report(p *process) {
	if p.awaitsAnswer && w.now.Sub(p.sentAt) < reportTimeout {
		return
	}
	urgent := w.now.Sub(p.regularAt) < reportInterval
	r, ok := p.holder.Report(w.now, urgent)
	if !ok {
		return
	}
	if !urgent {
		p.regularAt = w.now
	}
	p.sentAt, p.awaitsAnswer = w.now, true
	w.send(message{to: p, report: r})
}

// pass consumes units at each instance and checks the bound on what passes.
func (w *simulation) pass(asked func(p *process) int) (refused int) {
	passed, inForce, leased := 0.0, 0.0, 0.0
	for _, p := range w.processes {
		for range asked(p) {
			if p.holder.Consume(w.now, workspace, request).Allowed {
				passed += request
			} else {
				refused++
			}
		}
		s := p.holder.shared.State(w.now, limit.ID{Workspace: workspace, Resource: limit.Tokens})
		inForce += s.Rate
		if s.Leased {
			leased += s.Rate
		}
	}
	if leased > rate*(1+1e-9) {
		w.t.Fatalf("shares of %v are in force, the limit is %v", leased, rate)
	}
	allowed := max(rate, inForce) * simulationStep.Seconds()
	w.excess = max(0, w.excess+passed-allowed)
	burst := Tolerance{}.Effective(fullLimit).Burst
	// Each process has its region's part of a burst as its floor, and may overdraw by a request.
	starts := float64(w.started)
	if most := burst + starts*(burst/float64(len(regions))+request) + allowed; w.excess > most {
		w.t.Fatalf("%v above the rate, at most %v", w.excess, most)
	}
	return refused
}

// Guards against shares that add up to more than the limit, so that callers get more than it:
// reports and answers are lost, late and duplicated, leaders change within a lease, instances
// restart, are cut off and return.
func TestSharesStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.faulty = true
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			w.step(func(*process) int { return rapid.IntRange(0, 6).Draw(t, "asked") })
		}
	})
}

// Guards against requests refused below the limit once faults have ended.
func TestNothingIsRefusedBelowTheLimitAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.faulty = true
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			w.step(func(*process) int { return rapid.IntRange(0, 6).Draw(t, "asked") })
		}
		w.faulty = false
		for _, p := range w.processes {
			p.cut, p.notOwner = false, false
		}
		// One instance of one region uses seven tenths of the limit.
		const share = 0.7
		busy := rapid.IntRange(0, len(w.processes)-1).Draw(t, "busy")
		steady := func(p *process) int {
			if p != w.processes[busy] {
				return 0
			}
			return int(share * rate * simulationStep.Seconds() / request)
		}
		for range int(3 * Lease / simulationStep) {
			w.step(steady)
		}
		w.expectNoRefusals(5*time.Second, steady)
	})
}

// Guards against refusals while the leader changes: holders go on with the shares that they have,
// and the next leader learns of these from their reports.
func TestSharesOutliveTheLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		steady := func(*process) int {
			return int(0.6 * rate * simulationStep.Seconds() / request / float64(len(w.processes)))
		}
		for range int(3 * Lease / simulationStep) {
			w.step(steady)
		}
		for range rapid.IntRange(1, 3).Draw(t, "leaders") {
			w.divider = nil
			w.nextLeaderAt = w.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "election")) * time.Millisecond)
			w.expectNoRefusals(4*time.Second, steady)
		}
	})
}

// Guards against an old limit that is still divided while its holders have a newer configuration.
func TestNewestLimitIsDivided(t *testing.T) {
	now := simulationStart
	d := NewDivider(now.Add(-Lease), 1, regions, nil)
	ask := func(from string, version uint64, l limit.Limit, number uint64) float64 {
		a := d.Report(now, from, &Report{Incarnation: 1, Region: "p", Number: number, Rows: []Row{{Workspace: workspace, Version: version, Limit: l, Demand: 5 * rate}}})
		if len(a.Grants) == 0 {
			return 0
		}
		return a.Grants[0].Limit.Rate
	}
	high := ask("a", 3, fullLimit, 1)
	if high <= 0 || high > rate {
		t.Fatalf("share of %v", high)
	}
	low := limit.Limit{Rate: rate / 10, Burst: rate / 10}
	now = now.Add(2 * Lease)
	if got := ask("a", 4, low, 2); got <= 0 || got > low.Rate {
		t.Errorf("share of %v under a limit of %v", got, low.Rate)
	}
	now = now.Add(2 * Lease)
	if got := ask("b", 3, fullLimit, 1); got > low.Rate {
		t.Errorf("share of %v for a holder with an older configuration, the limit is %v", got, low.Rate)
	}
}

// Guards against a leader that grants nothing for a whole lease after all instances were killed:
// each incarnation that may hold shares is known, and has a successor that reports.
func TestGracePeriodEndsOnceAllHaveReported(t *testing.T) {
	now := simulationStart
	d := NewDivider(now, 2, regions, []string{"a", "b"})
	ask := func(from string) int {
		a := d.Report(now, from, &Report{Incarnation: 7, Region: "p", Number: 1, Rows: []Row{{Workspace: workspace, Version: 1, Limit: fullLimit, Demand: rate}}})
		return len(a.Grants)
	}
	if ask("a") != 0 || !d.InGracePeriod(now) {
		t.Error("granted while an instance may still hold a share")
	}
	if ask("b") != 1 || d.InGracePeriod(now) {
		t.Error("in the grace period though all have reported")
	}
}

// Guards against a whole share at each isolated instance.
func TestIsolatedInstancesAllowAPart(t *testing.T) {
	const entries = 74
	now, passed := simulationStart, 0.0
	h := NewHolder(now, 1, "p", len(regions), Tolerance{})
	h.SetLimits(1, func(string) (limit.Limit, bool) { return fullLimit, true })
	h.SetEntryInstances(entries, func(string) bool { return false })
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if h.ConsumeIsolated(now, workspace, 1).Allowed {
			passed++
		}
	}
	most := isolatedShare/entries*(rate*10+rate) + 1
	if passed > most || passed < most/2 {
		t.Errorf("%v units in 10 s, want at most %v", passed, most)
	}
}

func TestEffectiveLimitStaysWithinTheTolerance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limit.Limit{Rate: rapid.Float64Range(1, 1e7).Draw(t, "rate"), Burst: rapid.Float64Range(0, 1e7).Draw(t, "burst")}
		tol := Tolerance{
			Window: time.Duration(rapid.IntRange(1, 60).Draw(t, "window")) * time.Second,
			Share:  rapid.Float64Range(0, 1).Draw(t, "share"), Units: rapid.Float64Range(0, 1e6).Draw(t, "units"),
		}
		e := tol.Effective(l)
		passes := e.Rate*tol.Window.Seconds() + 2*e.Burst
		allowed := (l.Rate*tol.Window.Seconds()+l.Burst)*(1+tol.Share) + tol.Units
		gives := l.Rate*tol.Window.Seconds() + l.Burst
		if passes > allowed*(1+1e-9) || passes < gives*(1-1e-9) {
			t.Fatalf("%v pass, %v are allowed; burst %v of %v", passes, allowed, e.Burst, l.Burst)
		}
	})
}
