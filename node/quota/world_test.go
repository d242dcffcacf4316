package quota

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/coord/limit"
)

const (
	workspace  = "w"
	worldStep  = 50 * time.Millisecond
	worldDelay = 600 * time.Millisecond
	rate       = 1000.0
	request    = 20.0
)

var (
	worldStart = time.Unix(1_800_000_000, 0)
	regions    = []string{"p", "q", "r"}
	whole      = limit.Limit{Rate: rate, Burst: rate}
)

// life is one start of an entry instance.
type life struct {
	id, region string
	holders    *Holder
	sentAt     time.Time
	regularAt  time.Time
	waits      bool
	// cut instances reach no leader, other ones do not stand for the workspace as far as they
	// know.
	cut, other bool
}

// message is a report on its way to the leader, or an answer on its way back.
type message struct {
	at     time.Time
	to     *life
	report *Report
	answer *Answer
}

// world is a few instances and a leader that changes, over a faulty network.
type world struct {
	t       *rapid.T
	now     time.Time
	term    uint64
	divider *Divider
	// leaderAt is when the next leader is there; zero while there is one.
	leaderAt time.Time
	lives    []*life
	started  uint64
	messages []message
	faulty   bool
	// excess is what passed above the rate since its lowest point.
	excess float64
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: worldStart}
	w.lead()
	for _, region := range regions {
		for n := range rapid.IntRange(1, 2).Draw(t, "instances") {
			w.lives = append(w.lives, w.start(fmt.Sprint(region, n), region))
		}
	}
	return w
}

func (w *world) lead() {
	w.term++
	w.divider = NewDivider(w.now, w.term, regions, nil)
	w.leaderAt = time.Time{}
}

func (w *world) start(id, region string) *life {
	w.started++
	l := &life{id: id, region: region, holders: NewHolder(w.now, w.started, region, len(regions), Tolerance{})}
	l.holders.SetLimits(1, func(string) (limit.Limit, bool) { return whole, true })
	l.holders.SetEntryInstances(len(regions), func(string) bool { return !l.other })
	return l
}

func (w *world) chance(what string, in int) bool {
	return w.faulty && rapid.IntRange(1, in).Draw(w.t, what) == 1
}

// step lets time pass: faults, messages, reports and requests. It returns how many were
// refused.
func (w *world) step(asked func(l *life) int) (refused int) {
	w.now = w.now.Add(worldStep)
	w.faults()
	if w.divider == nil && !w.now.Before(w.leaderAt) {
		w.lead()
	}
	w.deliver()
	for _, l := range w.lives {
		w.report(l)
	}
	return w.pass(asked)
}

// expectNoRefusals lets time pass in which nothing may be refused.
func (w *world) expectNoRefusals(d time.Duration, asked func(l *life) int) {
	for range int(d / worldStep) {
		if refused := w.step(asked); refused > 0 {
			w.t.Fatalf("%d requests refused", refused)
		}
	}
}

func (w *world) faults() {
	if w.divider != nil && w.chance("leader lost", 60) {
		// The next one is there after an election.
		w.divider = nil
		w.leaderAt = w.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(w.t, "election")) * time.Millisecond)
	}
	for k, l := range w.lives {
		if w.chance("restart", 200) {
			w.lives[k] = w.start(l.id, l.region)
		}
		if w.chance("cut or joined", 200) {
			w.lives[k].cut = !w.lives[k].cut
		}
		if w.chance("another stands for the workspace, or this one", 100) {
			w.lives[k].other = !w.lives[k].other
		}
	}
}

// send puts a message on its way.
func (w *world) send(m message) {
	m.at = w.now
	if w.faulty {
		m.at = w.now.Add(time.Duration(rapid.IntRange(0, int(worldDelay.Milliseconds())/2).Draw(w.t, "delay")) * time.Millisecond)
	}
	if w.chance("lost", 5) {
		return
	}
	w.messages = append(w.messages, m)
	if w.chance("doubled", 5) {
		w.messages = append(w.messages, m)
	}
}

func (w *world) deliver() {
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
			m.to.holders.ApplyShares(w.now, m.answer)
			m.to.waits = false
		}
	}
}

func (w *world) report(l *life) {
	if l.waits && w.now.Sub(l.sentAt) < reportTime {
		return
	}
	urgent := w.now.Sub(l.regularAt) < reportInterval
	r, ok := l.holders.Report(w.now, urgent)
	if !ok {
		return
	}
	if !urgent {
		l.regularAt = w.now
	}
	l.sentAt, l.waits = w.now, true
	w.send(message{to: l, report: r})
}

// pass asks each instance for some requests, and checks the bound.
func (w *world) pass(asked func(l *life) int) (refused int) {
	passed, inForce, leased := 0.0, 0.0, 0.0
	for _, l := range w.lives {
		for range asked(l) {
			if l.holders.Consume(w.now, workspace, request).Allowed {
				passed += request
			} else {
				refused++
			}
		}
		s := l.holders.shared.State(w.now, limit.ID{Workspace: workspace, Resource: limit.Tokens})
		inForce += s.Rate
		if s.Leased {
			leased += s.Rate
		}
	}
	if leased > rate*(1+1e-9) {
		w.t.Fatalf("shares of %v are in force, the limit is %v", leased, rate)
	}
	allowed := max(rate, inForce) * worldStep.Seconds()
	w.excess = max(0, w.excess+passed-allowed)
	burst := Tolerance{}.Effective(whole).Burst
	// Each life is lent its region's part of a burst, and may owe a request.
	lives := float64(w.started)
	if most := burst + lives*(burst/float64(len(regions))+request) + allowed; w.excess > most {
		w.t.Fatalf("%v above the rate, at most %v", w.excess, most)
	}
	return refused
}

// Guards against shares that add up to more than the limit, and with them against callers
// who get more than their limit: reports and answers are lost, late and doubled, leaders
// follow each other within a lease, instances restart, are cut off and join again.
func TestSharesStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.faulty = true
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			w.step(func(*life) int { return rapid.IntRange(0, 6).Draw(t, "asked") })
		}
	})
}

// Guards against requests refused below the limit once faults are over.
func TestNothingIsRefusedBelowTheLimitInTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.faulty = true
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			w.step(func(*life) int { return rapid.IntRange(0, 6).Draw(t, "asked") })
		}
		w.faulty = false
		for _, l := range w.lives {
			l.cut, l.other = false, false
		}
		// One region asks for seven tenths of the limit, at one instance.
		const share = 0.7
		busy := rapid.IntRange(0, len(w.lives)-1).Draw(t, "busy")
		steady := func(l *life) int {
			if l != w.lives[busy] {
				return 0
			}
			return int(share * rate * worldStep.Seconds() / request)
		}
		for range int(3 * Lease / worldStep) {
			w.step(steady)
		}
		w.expectNoRefusals(5*time.Second, steady)
	})
}

// Guards against a pause for callers when the leader changes: holders go on with what they
// have, and the next leader learns of it from them.
func TestSharesOutliveTheLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		steady := func(*life) int { return int(0.6 * rate * worldStep.Seconds() / request / float64(len(w.lives))) }
		for range int(3 * Lease / worldStep) {
			w.step(steady)
		}
		for range rapid.IntRange(1, 3).Draw(t, "leaders") {
			w.divider = nil
			w.leaderAt = w.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "election")) * time.Millisecond)
			w.expectNoRefusals(4*time.Second, steady)
		}
	})
}

// Guards against a limit that stays as it was while its holders know a newer configuration.
func TestNewestLimitIsDivided(t *testing.T) {
	now := worldStart
	d := NewDivider(now.Add(-Lease), 1, regions, nil)
	ask := func(from string, version uint64, l limit.Limit, number uint64) float64 {
		a := d.Report(now, from, &Report{Incarnation: 1, Region: "p", Number: number, Rows: []Row{{Workspace: workspace, Version: version, Limit: l, Demand: 5 * rate}}})
		if len(a.Grants) == 0 {
			return 0
		}
		return a.Grants[0].Limit.Rate
	}
	high := ask("a", 3, whole, 1)
	if high <= 0 || high > rate {
		t.Fatalf("share of %v", high)
	}
	low := limit.Limit{Rate: rate / 10, Burst: rate / 10}
	now = now.Add(2 * Lease)
	if got := ask("a", 4, low, 2); got <= 0 || got > low.Rate {
		t.Errorf("share of %v under a limit of %v", got, low.Rate)
	}
	now = now.Add(2 * Lease)
	if got := ask("b", 3, whole, 1); got > low.Rate {
		t.Errorf("share of %v for one that lags, the limit is %v", got, low.Rate)
	}
}

// Guards against a quiet leader for a whole lease after all instances were killed: each life
// that may hold shares is known, and has a successor that reports.
func TestQuietEndsOnceAllHaveReported(t *testing.T) {
	now := worldStart
	d := NewDivider(now, 2, regions, []string{"a", "b"})
	ask := func(from string) int {
		a := d.Report(now, from, &Report{Incarnation: 7, Region: "p", Number: 1, Rows: []Row{{Workspace: workspace, Version: 1, Limit: whole, Demand: rate}}})
		return len(a.Grants)
	}
	if ask("a") != 0 || !d.InGracePeriod(now) {
		t.Error("granted while one may still hold a share")
	}
	if ask("b") != 1 || d.InGracePeriod(now) {
		t.Error("quiet though all have reported")
	}
}

// Guards against a whole share at each instance that is alone.
func TestThoseAloneLetPassAPart(t *testing.T) {
	const entries = 74
	now, passed := worldStart, 0.0
	h := NewHolder(now, 1, "p", len(regions), Tolerance{})
	h.SetLimits(1, func(string) (limit.Limit, bool) { return whole, true })
	h.SetEntryInstances(entries, func(string) bool { return false })
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if h.ConsumeIsolated(now, workspace, 1).Allowed {
			passed++
		}
	}
	most := aloneShare/entries*(rate*10+rate) + 1
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
