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

// Symptom: a run can't be repeated. Events: the same options twice, on another
// number of workers. Cause: order of maps, of goroutines, or a clock.
func TestSameSeedsGiveTheSameTable(t *testing.T) {
	o := quick()
	o.Faults = []Fault{AllLost, Killer}
	first, _ := table(t, o)
	o.Workers = 1
	second, _ := table(t, o)
	if first != second {
		t.Fatal("two runs of the same seeds differ")
	}
}

// Symptom: figures look good because requests went missing. Events: every
// fault. Cause: a path of a call that ends without an answer, or with two.
func TestEveryArrivalEndsOnce(t *testing.T) {
	o := quick()
	_, res := table(t, o)
	o.GiveUp = true
	o.Faults, o.Deciders = []Fault{CutHalf, Killer}, []string{LeastName, RouterName}
	_, gaveUp := table(t, o)
	res.Rows = append(res.Rows, gaveUp.Rows...)
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

// odd is a baseline whose decisions are changed.
type odd struct {
	*baseline
	change func(b *baseline, now time.Time, r *route.Request, d route.Decision) route.Decision
}

func (o odd) Decide(now time.Time, r *route.Request) route.Decision {
	return o.change(o.baseline, now, r, o.baseline.Decide(now, r))
}

// Symptom: a decider breaks a promise and the table does not show it. Events:
// deciders that send requests in a loop, out of the allowed region, or hold
// them for ever. Cause: a driver that trusts decisions.
func TestBrokenPromisesAreCounted(t *testing.T) {
	wl := Workloads()[0]
	run := func(change func(*baseline, time.Time, *route.Request, route.Decision) route.Decision) Figures {
		tr := Trial{Workload: wl, Load: 0.5, Fault: NoFault, Seed: 1, Day: time.Minute, PerTarget: 2}
		tr.arrivals = wl.trace(tr.Seed, tr.Load, tr.PerTarget, tr.Day)
		tr.make = func(p Place, seed uint64) route.Decider {
			return odd{newBaseline(p.Region, seed, pickLeast), change}
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

func TestBadOptionsAreRefused(t *testing.T) {
	for name, spoil := range map[string]func(*Options){
		"workload": func(o *Options) { o.Workloads = []string{"nobody"} },
		"decider":  func(o *Options) { o.Deciders = []string{"oracle"} },
		"fault":    func(o *Options) { o.Faults = []Fault{"flood"} },
		"load":     func(o *Options) { o.Loads = []float64{-1} },
		"seeds":    func(o *Options) { o.Seeds = 0 },
	} {
		o := quick()
		spoil(&o)
		if _, err := Run(o); err == nil {
			t.Errorf("bad %s was taken", name)
		}
	}
}
