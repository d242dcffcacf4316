package experiment

import (
	"time"

	"github.com/gullhaven/gullhaven/route"
)

// Fault is a change fed to the decisions during a trial.
type Fault string

// The faults. Those with a span last from faultStart to faultEnd of the day
// and hit the first region.
const (
	// NoFault: nothing happens.
	NoFault Fault = "none"
	// HalfLost: half of a region's model targets crash and come back cold at the end.
	HalfLost Fault = "half_lost"
	// AllLost: all targets of a region crash and come back cold at the end.
	AllLost Fault = "all_lost"
	// CutOff: the region can't reach its neighbours, nor they it.
	CutOff Fault = "cut_off"
	// CutHalf: the region is cut off and half of its model targets are lost.
	CutHalf Fault = "cut_half_lost"
	// Grey: one model target runs at a quarter of its speed.
	Grey Fault = "grey"
	// Killer: requests that crash each target that runs them; their callers resend.
	PoisonRequests Fault = "killer"
	// Rolling: all model targets leave, load and come back cold, one by one.
	Rolling Fault = "rolling"
)

// Faults lists all faults.
func Faults() []Fault {
	return []Fault{NoFault, HalfLost, AllLost, CutOff, CutHalf, Grey, PoisonRequests, Rolling}
}

const (
	// faultStart and faultEnd are parts of the day.
	faultStart, faultEnd = 0.4, 0.7
	greySpeed            = 0.25
	// loadTime is how long a target loads; restartTime is how long a crashed
	// one is down before that.
	loadTime    = 10 * time.Second
	restartTime = 15 * time.Second
	// crashLag is how late a crash is seen in the list of targets, planLag a
	// planned change.
	crashLag = 2 * time.Second
	planLag  = 250 * time.Millisecond
	// Killers: their number, the time between them, the times that a caller
	// sends one again, and the caller's wait. A killer crashes its target at
	// the end of prefill.
	killers       = 4
	killerEvery   = 15 * time.Second
	killerResends = 3
	killerWait    = 2 * time.Second
	// rollCheck is how often a leaving target is looked at.
	rollCheck = 500 * time.Millisecond
)

// plan puts the fault of a trial into the event queue.
func (w *world) plan() {
	start := time.Duration(faultStart * float64(w.trial.Day))
	end := time.Duration(faultEnd * float64(w.trial.Day))
	hit := w.regions[0]
	models := hit.models(w.trial.Workload.Model)
	if f := w.trial.Fault; f == CutOff || f == CutHalf {
		w.at(start, func() { w.cut(hit, true) })
		w.at(end, func() { w.cut(hit, false) })
	}
	switch w.trial.Fault {
	case HalfLost, CutHalf:
		w.lose(models[:len(models)/2], start, end)
	case AllLost:
		w.lose(hit.targets, start, end)
	case Grey:
		grey := models[0]
		w.at(start, func() { grey.engine.SetSpeed(w.now, greySpeed) })
		w.at(end, func() { grey.engine.SetSpeed(w.now, 1) })
	case PoisonRequests:
		for i := range killers {
			w.at(start+time.Duration(i)*killerEvery, func() { w.arrive(w.killer(i)) })
		}
	case Rolling:
		var all []*target
		for _, r := range w.regions {
			all = append(all, r.models(w.trial.Workload.Model)...)
		}
		w.at(start/2, func() { w.roll(all) })
	}
}

// lose crashes targets at start and brings them back at end.
func (w *world) lose(targets []*target, start, end time.Duration) {
	for _, t := range targets {
		w.at(start, func() { w.crash(t) })
		w.at(end, func() { w.load(t) })
	}
}

// crash takes a target down; who noticed is told at once by a broken
// connection, the list of targets follows late.
func (w *world) crash(t *target) {
	if t.state == route.Down {
		return
	}
	t.state = route.Down
	w.crashes++
	lost := t.engine.Crash(w.now)
	w.suspectAll(t)
	for _, id := range lost {
		w.attemptEnded(w.attempts[id], route.Failed, 0, -1)
	}
	w.announce(t.region, crashLag)
}

// crashKiller is what a killer request does to its target; it restarts by itself.
func (w *world) crashKiller(t *target) {
	w.crash(t)
	w.after(restartTime, func() { w.load(t) })
}

// load restarts a target cold and lets it take work after loadTime. Its cache
// events are numbered from the start again.
func (w *world) load(t *target) {
	t.engine.Restart(w.now)
	t.seq = 0
	t.state = route.Loading
	w.announce(t.region, planLag)
	w.after(loadTime, func() {
		t.state = route.Warm
		w.announce(t.region, planLag)
	})
}

// cut breaks or mends the links of a region; membership sees it late.
func (w *world) cut(r *region, broken bool) {
	r.cut = broken
	if broken {
		w.cutCalls(r)
	}
	w.after(crashLag, func() {
		for _, x := range w.regions {
			x.setLinks(w)
		}
	})
}

// killer makes a request that crashes its targets.
func (w *world) killer(i int) *arrival {
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
	a.killer = true
	return &a
}

// resendKiller lets the caller of a failed killer send it again, as a new request.
func (w *world) resendKiller(a *arrival) {
	if a.resend == killerResends {
		return
	}
	b := *a
	b.resend++
	w.after(killerWait, func() {
		b.at = w.now.Sub(epoch)
		w.arrive(&b)
	})
}

// roll takes the first target through leaving and loading, then the rest.
func (w *world) roll(rest []*target) {
	if len(rest) == 0 {
		return
	}
	t := rest[0]
	t.state = route.Leaving
	w.announce(t.region, planLag)
	var drained func()
	drained = func() {
		if !t.engine.Idle() {
			w.after(rollCheck, drained)
			return
		}
		w.load(t)
		w.after(loadTime+rollCheck, func() { w.roll(rest[1:]) })
	}
	w.after(rollCheck, drained)
}
