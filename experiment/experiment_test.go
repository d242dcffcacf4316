package experiment

import (
	"bytes"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/route"
)

func quick() Options {
	o := DefaultOptions()
	o.Seeds, o.Workers, o.Day = 1, 2, time.Minute
	o.Loads = []float64{0.95}
	return o
}

func table(t *testing.T, o Options) (string, *Result) {
	t.Helper()
	res, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := res.WriteTable(&b); err != nil {
		t.Fatal(err)
	}
	if err := res.WriteJSON(&b); err != nil {
		t.Fatal(err)
	}
	return b.String(), res
}

// Guards against results that depend on the order of maps or goroutines, or on a
// clock: equal options must give equal results with any number of workers.
func TestSameSeedsGiveTheSameTable(t *testing.T) {
	o := quick()
	o.Faults = []Fault{AllLost, PoisonRequests}
	first, _ := table(t, o)
	o.Workers = 1
	second, _ := table(t, o)
	if first != second {
		t.Fatal("two runs of the same seeds differ")
	}
}

// Guards against figures that look good because requests are missing: under every
// fault, each call must end with exactly one answer.
func TestEveryArrivalEndsOnce(t *testing.T) {
	o := quick()
	_, res := table(t, o)
	o.Late = true
	o.Faults, o.Deciders = []Fault{CutHalf, PoisonRequests}, []string{LeastOutstandingName, RouterName}
	_, late := table(t, o)
	res.Rows = append(res.Rows, late.Rows...)
	for i := range res.Rows {
		r := &res.Rows[i]
		f := r.Seeds[0]
		if f.Arrivals == 0 || f.Answered+f.Refused+f.Failed != f.Arrivals || f.Lost != 0 {
			t.Errorf("%s %s %s: %d arrivals, %d answered, %d refused, %d failed, %d lost",
				r.Workload, r.Fault, r.Decider, f.Arrivals, f.Answered, f.Refused, f.Failed, f.Lost)
		}
		if f.Doubled != 0 || f.Violations != 0 {
			t.Errorf("%s %s %s: %d doubled, %d violations", r.Workload, r.Fault, r.Decider, f.Doubled, f.Violations)
		}
	}
}

// changedDecider is a baseline whose decisions are changed.
type changedDecider struct {
	*baseline
	change func(b *baseline, now time.Time, r *route.Request, d route.Decision) route.Decision
}

func (o changedDecider) Decide(now time.Time, r *route.Request) route.Decision {
	return o.change(o.baseline, now, r, o.baseline.Decide(now, r))
}

// Guards against a simulation that trusts decisions: the table must show deciders
// that spill requests in a loop, send them out of the allowed region, or hold them
// forever.
func TestInvalidDecisionsAreCounted(t *testing.T) {
	wl := Workloads()[0]
	run := func(change func(*baseline, time.Time, *route.Request, route.Decision) route.Decision) Figures {
		tr := Trial{Workload: wl, Load: 0.5, Fault: NoFault, Seed: 1, Day: time.Minute, PerTarget: 2, Late: true}
		tr.arrivals = wl.trace(tr.Seed, tr.Load, tr.PerTarget, tr.Day)
		tr.make = func(p Location, seed uint64) route.Decider {
			return changedDecider{newBaseline(p.Region, seed, pickLeast), change}
		}
		w := newWorld(&tr)
		w.run()
		return w.figures()
	}
	f := run(func(_ *baseline, _ time.Time, r *route.Request, _ route.Decision) route.Decision {
		return route.Decision{Action: route.Spill, Region: wl.Regions[len(r.Tried)]}
	})
	if f.Violations != f.Arrivals || f.Refused != f.Arrivals {
		t.Errorf("loops: %d violations, %d refused of %d", f.Violations, f.Refused, f.Arrivals)
	}
	f = run(func(b *baseline, _ time.Time, r *route.Request, d route.Decision) route.Decision {
		if d.Action == route.Send && b.region == wl.Regions[0] {
			d.Target = route.TargetID(wl.Regions[1] + "-" + r.Service + "-0")
		}
		return d
	})
	if f.Violations == 0 || f.Violations != f.Refused {
		t.Errorf("strays: %d violations, %d refused", f.Violations, f.Refused)
	}
	f = run(func(_ *baseline, now time.Time, _ *route.Request, _ route.Decision) route.Decision {
		return route.Decision{Action: route.Hold, DecideAgain: now.Add(time.Minute)}
	})
	if f.Lost == 0 || f.Lost+f.Refused != f.Arrivals {
		t.Errorf("held for ever: %d lost, %d refused of %d", f.Lost, f.Refused, f.Arrivals)
	}
	f = run(func(_ *baseline, now time.Time, r *route.Request, d route.Decision) route.Decision {
		if now.Sub(r.Arrival) < time.Second {
			return route.Decision{Action: route.Hold, DecideAgain: now.Add(time.Second)}
		}
		return d
	})
	if f.Answered != f.Arrivals || f.P50 < 1000 {
		t.Errorf("held a second: %d answered of %d, median %v ms", f.Answered, f.Arrivals, f.P50)
	}
}

// Guards against a poison request that crashes target after target. Callers resend
// them, deciders retry them, and regions don't exchange suspects. A suspect must not
// run next to others, twice at once, or again after it was alone in a crash, and its
// target must not stay reserved forever.
func TestAPoisonRequestCrashesTwoTargetsOfARegion(t *testing.T) {
	run := func(lone int, seed uint64) *world {
		wl := Workloads()[0]
		tr := Trial{Workload: wl, Load: 0.5, Fault: PoisonRequests, Seed: seed, Day: 200 * time.Second, PerTarget: 2, Lone: lone, make: makeRouter}
		tr.arrivals = wl.trace(tr.Seed, tr.Load, tr.PerTarget, tr.Day)
		w := newWorld(&tr)
		w.run()
		return w
	}
	if f := run(0, 1); f.figures().MostKilled <= 2 {
		t.Fatal("a poison request crashes no more than two without suspects: the test shows nothing")
	}
	for i, lone := range []int{1, 4, 1, 4, 1, 4} {
		w := run(lone, uint64(i/2+1))
		for k, n := range w.poisonCrashes {
			if n > 2 {
				t.Errorf("lone %d: poison request %x crashed %d targets in %s", lone, k.request, n, k.region)
			}
		}
		if f := w.figures(); f.Answered+f.Refused+f.Failed != f.Arrivals || f.Doubled+f.Violations != 0 {
			t.Errorf("lone %d: %+v", lone, f)
		}
		for _, x := range w.targets {
			if x.reserved {
				t.Errorf("lone %d: %s is held after the day", lone, x.spec.ID)
			}
		}
	}
}

// Guards against a forced share that omits the capacity that a fault takes, so that
// it doesn't match the spilled share.
func TestForcedCountsLostCapacity(t *testing.T) {
	o := quick()
	o.Day, o.Deciders, o.Workloads = 100*time.Second, []string{LeastOutstandingName}, []string{"sukmajaya"}
	o.Loads, o.Faults = []float64{0.5}, []Fault{NoFault, CutOff, HalfLost, AllLost, CutHalf, Rolling}
	_, res := table(t, o)
	// The first region has 0.4 to 0.7 of the day and the time to load without
	// targets, after a warm-up of a tenth, and 0.88 of its requests may leave.
	const lost = 0.4 / 0.9 / 3 * (1 - homeOnlyShare)
	want := map[Fault][2]float64{
		NoFault: {0, 0}, CutOff: {0, 0}, HalfLost: {0.0001, 0.2 * lost},
		AllLost: {0.8 * lost, lost}, CutHalf: {0, 0.01 * lost}, Rolling: {0, 0},
	}
	for _, r := range res.Rows {
		f, w := r.Seeds[0], want[r.Fault]
		if f.Forced < w[0] || f.Forced > w[1] || f.Fits > f.Forced {
			t.Errorf("%s: forced %.4f, fits %.4f, want %.4f to %.4f", r.Fault, f.Forced, f.Fits, w[0], w[1])
		}
	}
	o.Loads, o.Faults = []float64{0.8}, []Fault{Rolling}
	if _, res := table(t, o); res.Rows[0].Seeds[0].Forced <= 0 {
		t.Error("a rolling change at 0.8 forces nothing")
	}
}

func TestBadOptionsAreRefused(t *testing.T) {
	for name, spoil := range map[string]func(*Options){
		"workload": func(o *Options) { o.Workloads = []string{"nobody"} },
		"decider":  func(o *Options) { o.Deciders = []string{"oracle"} },
		"fault":    func(o *Options) { o.Faults = []Fault{"flood"} },
		"load":     func(o *Options) { o.Loads = []float64{-1} },
		"regions":  func(o *Options) { o.Regions = 4 },
		"targets":  func(o *Options) { o.Targets = -1 },
		"seeds":    func(o *Options) { o.Seeds = 0 },
	} {
		o := quick()
		spoil(&o)
		if _, err := Run(o); err == nil {
			t.Errorf("bad %s was taken", name)
		}
	}
}
