package experiment

import (
	"time"

	"github.com/gullhaven/gullhaven/route"
)

// Fault is a fault during a trial.
type Fault string

// The faults. Those with a duration last from faultStart to faultEnd of the day
// and affect the first region.
const (
	// NoFault is a trial without a fault.
	NoFault Fault = "none"
	// HalfLost crashes half of a region's model targets and restarts them cold at
	// the end.
	HalfLost Fault = "half_lost"
	// AllLost crashes all targets of a region and restarts them cold at the end.
	AllLost Fault = "all_lost"
	// CutOff partitions the region from its neighbours, in both directions.
	CutOff Fault = "cut_off"
	// CutHalf is CutOff and HalfLost together.
	CutHalf Fault = "cut_half_lost"
	// Grey slows one model target down to a quarter of its speed.
	Grey Fault = "grey"
	// PoisonRequests adds requests that crash each target that runs them; their
	// callers resend them.
	PoisonRequests Fault = "killer"
	// Rolling drains and restarts all model targets cold, one by one.
	Rolling Fault = "rolling"
)

// Faults lists all faults.
func Faults() []Fault {
	return []Fault{NoFault, HalfLost, AllLost, CutOff, CutHalf, Grey, PoisonRequests, Rolling}
}

const (
	// faultStart and faultEnd are fractions of the day.
	faultStart, faultEnd = 0.4, 0.7
	greySpeed            = 0.25
	// loadTime is how long a target loads; restartTime is how long a target
	// crashed by a poison request is down before that.
	loadTime    = 10 * time.Second
	restartTime = 15 * time.Second
	// crashLag is the delay until a crash shows in the list of targets, planLag
	// that of a planned change.
	crashLag = 2 * time.Second
	planLag  = 250 * time.Millisecond
	// Poison requests: their number, the interval between them, and how often
	// and after which delay a caller resends one. A poison request crashes its
	// target at the end of prefill.
	poisonCount       = 4
	poisonInterval    = 15 * time.Second
	poisonResends     = 3
	poisonResendDelay = 2 * time.Second
	// drainPollInterval is how often a leaving target is checked for idleness.
	drainPollInterval = 500 * time.Millisecond
)

// scheduleFault schedules the fault of the trial.
func (w *world) scheduleFault() {
	start := time.Duration(faultStart * float64(w.trial.Day))
	end := time.Duration(faultEnd * float64(w.trial.Day))
	hit := w.regions[0]
	models := hit.targetsOf(w.trial.Workload.Model)
	if f := w.trial.Fault; f == CutOff || f == CutHalf {
		w.at(start, func() { w.setPartitioned(hit, true) })
		w.at(end, func() { w.setPartitioned(hit, false) })
	}
	switch w.trial.Fault {
	case HalfLost, CutHalf:
		w.scheduleCrashes(models[:len(models)/2], start, end)
	case AllLost:
		w.scheduleCrashes(hit.targets, start, end)
	case Grey:
		grey := models[0]
		w.at(start, func() { grey.engine.SetSpeed(w.now, greySpeed) })
		w.at(end, func() { grey.engine.SetSpeed(w.now, 1) })
	case PoisonRequests:
		for i := range poisonCount {
			w.at(start+time.Duration(i)*poisonInterval, func() { w.arrive(w.newPoisonRequest(i)) })
		}
	case Rolling:
		var all []*target
		for _, r := range w.regions {
			all = append(all, r.targetsOf(w.trial.Workload.Model)...)
		}
		w.at(start/2, func() { w.roll(all) })
	}
}

// scheduleCrashes crashes targets at start and restarts them at end.
func (w *world) scheduleCrashes(targets []*target, start, end time.Duration) {
	for _, t := range targets {
		w.at(start, func() { w.crash(t) })
		w.at(end, func() { w.load(t) })
	}
}

// crash crashes a target. Its open attempts fail at once, as their connections
// break; the list of targets follows after crashLag.
func (w *world) crash(t *target) {
	if t.state == route.Down {
		return
	}
	t.state = route.Down
	w.crashes++
	lost := t.engine.Crash(w.now)
	w.markSuspects(t)
	for _, id := range lost {
		w.attemptEnded(w.attempts[id], route.Failed, 0, -1)
	}
	w.publishTargets(t.region, crashLag)
}

// crashAndRestart crashes the target of a poison request, which restarts by itself.
func (w *world) crashAndRestart(t *target) {
	w.crash(t)
	w.after(restartTime, func() { w.load(t) })
}

// load restarts a target cold; it accepts work after loadTime. Its cache events
// are numbered from 1 again.
func (w *world) load(t *target) {
	t.engine.Restart(w.now)
	t.seq = 0
	t.state = route.Loading
	w.publishTargets(t.region, planLag)
	w.after(loadTime, func() {
		t.state = route.Warm
		w.publishTargets(t.region, planLag)
	})
}

// setPartitioned breaks or restores the links of a region; deciders learn it
// after crashLag.
func (w *world) setPartitioned(r *region, broken bool) {
	r.partitioned = broken
	if broken {
		w.failRemoteCalls(r)
	}
	w.after(crashLag, func() {
		for _, x := range w.regions {
			x.setLinks(w)
		}
	})
}

// newPoisonRequest returns poison request i, of an idempotent model class.
func (w *world) newPoisonRequest(i int) *arrival {
	wl := &w.trial.Workload
	var class *Class
	for k := range wl.Classes {
		if c := &wl.Classes[k]; wl.ofModel(c) && !c.NonIdempotent {
			class = c
			break
		}
	}
	a := wl.draw(w.rng, class, 0, uint64(1_000_000+i))
	a.at = w.now.Sub(epoch)
	a.poison = true
	return &a
}

// resendPoisonRequest has the caller of a failed poison request send it again,
// as a new request.
func (w *world) resendPoisonRequest(a *arrival) {
	if a.resend == poisonResends {
		return
	}
	b := *a
	b.resend++
	w.after(poisonResendDelay, func() {
		b.at = w.now.Sub(epoch)
		w.arrive(&b)
	})
}

// roll drains and reloads the first target, then the rest.
func (w *world) roll(rest []*target) {
	if len(rest) == 0 {
		return
	}
	t := rest[0]
	t.state = route.Leaving
	w.publishTargets(t.region, planLag)
	var drained func()
	drained = func() {
		if !t.engine.Idle() {
			w.after(drainPollInterval, drained)
			return
		}
		w.load(t)
		w.after(loadTime+drainPollInterval, func() { w.roll(rest[1:]) })
	}
	w.after(drainPollInterval, drained)
}
