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

// Delays and lags of a trial. Nothing else of the network, of processes or of
// instances is modelled.
const (
	instancesPerRegion = 3
	regionDelay        = 80 * time.Millisecond
	targetDelay        = 500 * time.Microsecond
	reportPeriod       = 200 * time.Millisecond
	reportLag          = 250 * time.Millisecond
	cacheLag           = time.Second
	// cacheGap is the fraction of cache events that get lost.
	cacheGap      = 0.05
	summaryPeriod = 600 * time.Millisecond
	summaryLag    = reportLag + regionDelay
	// maxShare is the bound of a link. 1 means none, as the baselines have no
	// bound: at 0.5, the two links of a region that lost everything just carry its
	// whole traffic, and a decider that keeps the bound refuses some of it.
	maxShare = 1
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_000_000, 0).UTC()

// Trial is one run of one decider over one trace.
type Trial struct {
	Workload Workload
	Load     float64
	Fault    Fault
	Seed     uint64
	Decider  string
	// Day is the length of the compressed day, in virtual time.
	Day time.Duration
	// PerTarget is the capacity of a model target in requests per second.
	PerTarget float64
	// Late lets requests run past their deadline and be answered late.
	Late bool
	// Lone bounds the targets of a region reserved for suspects at once; 0
	// disables suspects.
	Lone     int
	arrivals []arrival
	make     Factory
}

// target is an engine with its feeds of reports and cache events.
type target struct {
	spec     route.TargetSpec
	state    route.State
	region   *region
	engine   *enginemodel.Engine
	plain    bool
	nextWake time.Time
	reports  enginemodel.Feed[route.Report]
	caches   enginemodel.Feed[route.CacheEvent]
	seq      uint64
	// incarnation counts crashes; reserved means reserved for a suspect.
	incarnation uint64
	reserved    bool
	// runsAlone means that a suspect runs there.
	runsAlone bool
}

// acceptsWork reports whether the target accepts new requests, or would if it
// were not reserved.
func (t *target) acceptsWork() bool { return t.state == route.Warm }

// instance is a decider with the requests that it holds.
type instance struct {
	region      *region
	decider     route.Decider
	held        []*call
	retryTokens float64 // of the retry budget
	// table is nil if suspects are disabled.
	table *suspect.Table
}

type region struct {
	name        string
	targets     []*target
	instances   []*instance
	partitioned bool
}

func (r *region) targetsOf(service string) []*target {
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
				Region: o.name, OneWay: regionDelay, MaxShare: maxShare, Reachable: !r.partitioned && !o.partitioned,
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
		if t.reserved && t.state == route.Warm {
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
	// invalidSpills counts spills of requests that were forwarded before or may
	// not leave; invalidSends counts attempts at unknown or disallowed targets.
	invalidSpills, invalidSends int
	// loneViolations counts requests that ran next to one that must run alone.
	loneViolations int
	// poisonCrashes counts the targets that each poison request crashed in each
	// region.
	poisonCrashes map[poisonKey]int
	// samples are the samples of the capacity, by region.
	samples [][]sample
}

func newWorld(trial *Trial) *world {
	w := &world{
		trial: trial, now: epoch, rng: rand.New(rand.NewPCG(trial.Seed, 2)),
		targets: make(map[route.TargetID]*target), attempts: make(map[uint64]*attempt),
		poisonCrashes: make(map[poisonKey]int),
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
			in := &instance{region: r, decider: d, retryTokens: retryBurst}
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

// zone distributes targets and instances over two availability zones.
func zone(region string, i int) string { return fmt.Sprintf("%s-%c", region, 'a'+i%2) }

// at schedules do at a time of the day.
func (w *world) at(t time.Duration, do func()) { w.schedule(epoch.Add(t), do) }

func (w *world) after(d time.Duration, do func()) { w.schedule(w.now.Add(d), do) }

func (w *world) schedule(at time.Time, do func()) {
	w.queue.Schedule(at, do)
}

// run processes events until every call has its final answer. drainLimit bounds
// the time after the day; calls still open then count as lost.
func (w *world) run() {
	const drainLimit = 10 * time.Minute
	w.scheduleFault()
	w.scheduleArrivals(w.trial.arrivals)
	w.exchangeReports()
	w.exchangeSummaries()
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

// scheduleArrivals schedules the arrivals of the trace one after the other.
func (w *world) scheduleArrivals(rest []arrival) {
	if len(rest) == 0 {
		return
	}
	a := &rest[0]
	w.at(a.at, func() {
		w.scheduleArrivals(rest[1:])
		w.arrive(a)
	})
}

// done reports whether the day is over and no call is open.
func (w *world) done() bool { return w.open == 0 && w.now.Sub(epoch) > w.trial.Day }

// publishTargets gives the region's instances the list of targets after a lag.
func (w *world) publishTargets(r *region, lag time.Duration) {
	w.after(lag, func() {
		for _, in := range r.instances {
			in.decider.SetTargets(w.now, r.specs())
		}
	})
}

// exchangeReports collects loads and cache events from the engines and delivers
// what is due to the instances.
func (w *world) exchangeReports() {
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
		w.after(reportPeriod, w.exchangeReports)
	}
}

func (w *world) observe(t *target) {
	if t.state == route.Down {
		return
	}
	l := t.engine.Load(w.now)
	w.scheduleAdvance(t)
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

// exchangeSummaries sends the summary of each region to its neighbours.
func (w *world) exchangeSummaries() {
	for _, r := range w.regions {
		sums := r.instances[0].decider.Summarise(w.now)
		if r.partitioned {
			continue
		}
		w.after(summaryLag, func() {
			for _, o := range w.regions {
				if o != r && !o.partitioned {
					o.receiveSummaries(w.now, sums)
				}
			}
		})
	}
	if !w.done() {
		w.after(summaryPeriod, w.exchangeSummaries)
	}
}

func (r *region) receiveSummaries(now time.Time, sums []route.RegionSummary) {
	for _, in := range r.instances {
		for _, s := range sums {
			in.decider.RegionSummary(now, s)
		}
	}
}

// scheduleAdvance schedules an advance of a target's engine at its next event.
func (w *world) scheduleAdvance(t *target) {
	at, ok := t.engine.NextEvent()
	if !ok || at.Equal(t.nextWake) {
		return
	}
	t.nextWake = at
	w.schedule(at, func() {
		if t.nextWake.Equal(at) {
			w.advance(t)
		}
	})
}

func (w *world) advance(t *target) {
	t.nextWake = time.Time{}
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
	w.scheduleAdvance(t)
}
