package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gullhaven/gullhaven/coord/suspect"
	"github.com/gullhaven/gullhaven/experiment/vtime"
	"github.com/gullhaven/gullhaven/route"
	"github.com/gullhaven/gullhaven/standin/enginemodel"
)

// The delays and lags of a trial; nothing else of the network, of processes
// or of instances is modelled.
const (
	instancesPerRegion = 3
	regionDelay        = 80 * time.Millisecond
	targetDelay        = 500 * time.Microsecond
	reportPeriod       = 200 * time.Millisecond
	reportLag          = 250 * time.Millisecond
	cacheLag           = time.Second
	// cacheGap is the share of cache events that never come.
	cacheGap      = 0.05
	summaryPeriod = 600 * time.Millisecond
	summaryLag    = reportLag + regionDelay
	// maxShare is the bound of a link. The baselines know no bound, so there is
	// none: at a half, the two links of a region that lost everything carry just
	// its whole traffic, and a decider that keeps the bound refuses at the edge.
	maxShare = 1
)

// epoch is where virtual time starts.
var epoch = time.Unix(1_000_000, 0).UTC()

// Trial is one run of one decider over one trace.
type Trial struct {
	Workload Workload
	Load     float64
	Fault    Fault
	Seed     uint64
	Decider  string
	// Day is the length of the compressed day.
	Day time.Duration
	// PerTarget is the capacity of a model target in requests per second.
	PerTarget float64
	// Late lets requests run on after their deadline, and be answered late.
	Late bool
	// Lone is how many targets of a region may be kept free for suspects at
	// once; 0 leaves suspects out.
	Lone     int
	arrivals []arrival
	make     Factory
}

// target is one engine with its feeds.
type target struct {
	spec    route.TargetSpec
	state   route.State
	region  *region
	engine  *enginemodel.Engine
	plain   bool
	wake    time.Time
	reports enginemodel.Feed[route.Report]
	caches  enginemodel.Feed[route.CacheEvent]
	seq     uint64
	// life counts crashes; held says that it is kept free for a suspect.
	life uint64
	held bool
	// alone says that a suspect runs there.
	alone bool
}

// takesWork says that the target takes new requests, or would if it were not held.
func (t *target) takesWork() bool { return t.state == route.Warm }

// instance is one decider with the requests that it holds.
type instance struct {
	region  *region
	decider route.Decider
	held    []*call
	tokens  float64 // of the retry budget
	// table is nil if suspects are left out.
	table *suspect.Table
}

type region struct {
	name      string
	targets   []*target
	instances []*instance
	cut       bool
}

func (r *region) models(service string) []*target {
	var out []*target
	for _, t := range r.targets {
		if t.spec.Service == service {
			out = append(out, t)
		}
	}
	return out
}

func (r *region) setLinks(w *world) {
	var links []route.Link
	for _, o := range w.regions {
		if o != r {
			links = append(links, route.Link{
				Region: o.name, OneWay: regionDelay, MaxShare: maxShare, Reachable: !r.cut && !o.cut,
			})
		}
	}
	for _, in := range r.instances {
		in.decider.SetLinks(w.now, links)
	}
}

func (r *region) specs() []route.TargetSpec {
	out := make([]route.TargetSpec, len(r.targets))
	for i, t := range r.targets {
		out[i] = t.spec
		out[i].State = t.state
		if t.held && t.state == route.Warm {
			out[i].State = route.Leaving
		}
	}
	return out
}

// world is the state of one trial.
type world struct {
	trial    *Trial
	now      time.Time
	queue    vtime.Queue
	rng      *rand.Rand
	regions  []*region
	targets  map[route.TargetID]*target
	calls    []*call
	open     int
	attempts map[uint64]*attempt
	nextID   uint64
	crashes  int
	hedges   int
	retries  int
	// loops counts spills of requests that had crossed already or may not leave;
	// stray counts sendings to targets that are unknown or not allowed.
	loops, stray int
	// beside counts requests that ran beside one that was to run alone.
	beside int
	// killed counts the targets that each killer took in each region.
	killed map[killing]int
	// samples are of the capacity, by region.
	samples [][]sample
}

func newWorld(trial *Trial) *world {
	w := &world{
		trial: trial, now: epoch, rng: rand.New(rand.NewPCG(trial.Seed, 2)),
		targets: make(map[route.TargetID]*target), attempts: make(map[uint64]*attempt),
		killed: make(map[killing]int),
	}
	for i, name := range trial.Workload.Regions {
		r := &region{name: name}
		w.regions = append(w.regions, r)
		w.addTargets(r, trial.Workload.Model, trial.Workload.ModelTargets, modelEngine())
		w.addTargets(r, trial.Workload.Plain, trial.Workload.PlainTargets, plainEngine())
		for j := range instancesPerRegion {
			seed := trial.Seed*1000 + uint64(i*instancesPerRegion+j)
			d := trial.make(Location{name, zone(name, j), instancesPerRegion}, seed)
			d.SetTargets(w.now, r.specs())
			in := &instance{region: r, decider: d, tokens: retryBurst}
			if trial.Lone > 0 {
				in.table = suspect.New(suspect.DefaultConfig())
			}
			r.instances = append(r.instances, in)
		}
	}
	for _, r := range w.regions {
		r.setLinks(w)
	}
	w.samples = make([][]sample, len(w.regions))
	return w
}

func (w *world) addTargets(r *region, service string, n int, cfg enginemodel.Config) {
	for i := range n {
		t := &target{region: r, engine: enginemodel.New(cfg), plain: cfg.PrefillRate == 0}
		t.spec = route.TargetSpec{
			ID:      route.TargetID(fmt.Sprintf("%s-%s-%d", r.name, service, i)),
			Service: service, Region: r.name, Zone: zone(r.name, i),
			Slots: cfg.Slots, PrefillRate: cfg.PrefillRate, CostPerSecond: 1,
		}
		if !t.plain {
			t.spec.DecodeRate = cfg.DecodeRate()
		}
		t.reports.Lag, t.caches.Lag = reportLag, cacheLag
		r.targets = append(r.targets, t)
		w.targets[t.spec.ID] = t
	}
}

// zone spreads targets and instances over two availability zones.
func zone(region string, i int) string { return fmt.Sprintf("%s-%c", region, 'a'+i%2) }

// at puts an event at a time of the day.
func (w *world) at(t time.Duration, do func()) { w.push(epoch.Add(t), do) }

func (w *world) after(d time.Duration, do func()) { w.push(w.now.Add(d), do) }

func (w *world) push(at time.Time, do func()) {
	w.queue.Schedule(at, do)
}

// run takes events until every call has its final answer. drainLimit bounds
// the time after the day; calls open then are lost.
func (w *world) run() {
	const drainLimit = 10 * time.Minute
	w.plan()
	w.feed(w.trial.arrivals)
	w.tick()
	w.summaries()
	w.sampleCapacity()
	limit := epoch.Add(w.trial.Day + drainLimit)
	for {
		at, do, ok := w.queue.Next()
		if !ok || at.After(limit) {
			return
		}
		w.now = at
		do()
	}
}

// feed brings the arrivals of the trace, one after the other.
func (w *world) feed(rest []arrival) {
	if len(rest) == 0 {
		return
	}
	a := &rest[0]
	w.at(a.at, func() {
		w.feed(rest[1:])
		w.arrive(a)
	})
}

// done tells whether the day is over and nothing is open.
func (w *world) done() bool { return w.open == 0 && w.now.Sub(epoch) > w.trial.Day }

// announce gives the region's instances the list of targets, late.
func (w *world) announce(r *region, lag time.Duration) {
	w.after(lag, func() {
		for _, in := range r.instances {
			in.decider.SetTargets(w.now, r.specs())
		}
	})
}

// tick takes load and cache events from the engines and gives out what is due.
func (w *world) tick() {
	for _, r := range w.regions {
		for _, t := range r.targets {
			w.observe(t)
			for _, rep := range t.reports.Take(w.now) {
				for _, in := range r.instances {
					in.decider.Report(w.now, rep)
				}
			}
			for _, ce := range t.caches.Take(w.now) {
				for _, in := range r.instances {
					in.decider.CacheEvent(w.now, ce)
				}
			}
		}
	}
	if !w.done() {
		w.after(reportPeriod, w.tick)
	}
}

func (w *world) observe(t *target) {
	if t.state == route.Down {
		return
	}
	l := t.engine.Load(w.now)
	w.wake(t)
	t.reports.Put(w.now, route.Report{
		Target: t.spec.ID, At: w.now, Running: l.Running, Waiting: l.Waiting,
		WaitingTokens: l.WaitingTokens, KVUsed: l.KVUsed,
	})
	ch := t.engine.CacheChange()
	if len(ch.Stored)+len(ch.Evicted) == 0 {
		return
	}
	t.seq++
	if w.rng.Float64() >= cacheGap {
		t.caches.Put(w.now, route.CacheEvent{Target: t.spec.ID, Seq: t.seq, Stored: ch.Stored, Evicted: ch.Evicted})
	}
}

// summaries passes the summary of each region to its neighbours.
func (w *world) summaries() {
	for _, r := range w.regions {
		sums := r.instances[0].decider.Summarise(w.now)
		if r.cut {
			continue
		}
		w.after(summaryLag, func() {
			for _, o := range w.regions {
				if o != r && !o.cut {
					o.hear(w.now, sums)
				}
			}
		})
	}
	if !w.done() {
		w.after(summaryPeriod, w.summaries)
	}
}

func (r *region) hear(now time.Time, sums []route.RegionSummary) {
	for _, in := range r.instances {
		for _, s := range sums {
			in.decider.RegionSummary(now, s)
		}
	}
}

// wake sees to it that a target's engine is advanced when it wants to be.
func (w *world) wake(t *target) {
	at, ok := t.engine.NextEvent()
	if !ok || at.Equal(t.wake) {
		return
	}
	t.wake = at
	w.push(at, func() {
		if t.wake.Equal(at) {
			w.advance(t)
		}
	})
}

func (w *world) advance(t *target) {
	t.wake = time.Time{}
	for _, ev := range t.engine.Advance(w.now) {
		a := w.attempts[ev.ID]
		switch {
		case a == nil:
		case ev.Kind == enginemodel.FirstToken:
			w.firstToken(a, ev)
		case ev.Kind == enginemodel.Finished:
			w.attemptEnded(a, route.Succeeded, ev.OutputTokens, ev.CachedTokens)
		}
	}
	w.wake(t)
}
