// Package experiment measures routing decisions in virtual time.
//
// Each trial feeds a seeded trace of arrivals to several deciders per region,
// which send requests to models of engines. It is not a cluster simulator: the
// network and the instances are modelled only as delays and report lags. All
// deciders of a run get the same traces, faults, retry policy and budget.
package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/route"
)

// Location is where an instance runs; Instances is the number of instances in
// its region.
type Location struct {
	Region, Zone string
	Instances    int
}

// Factory returns a new decider for one instance.
type Factory func(p Location, seed uint64) route.Decider

func makeRouter(p Location, seed uint64) route.Decider {
	return makeRouterOf(route.Config{}, p, seed)
}

// makeUnboundedRouter returns a Router that scores all targets of a service.
func makeUnboundedRouter(p Location, seed uint64) route.Decider {
	return makeRouterOf(route.Config{MaxScored: math.MaxInt32}, p, seed)
}

func makeRouterOf(cfg route.Config, p Location, seed uint64) route.Decider {
	cfg.Region, cfg.Zone, cfg.Instances = p.Region, p.Zone, p.Instances
	return route.New(cfg, rand.New(rand.NewPCG(seed, 4)))
}

func baselineMaker(pick rule) Factory {
	return func(p Location, seed uint64) route.Decider {
		return newBaseline(p.Region, seed, pick)
	}
}

// Names of the deciders.
const (
	// RouterName is route.Router with its defaults.
	RouterName = "router"
	// LeastOutstandingName is the baseline to which the objectives refer.
	LeastOutstandingName = "least_outstanding"
	// UnboundedRouterName is route.Router without a bound on the targets it scores.
	// It differs from RouterName only in large services, so it runs only if named.
	UnboundedRouterName = "router_whole"
)

// factories lists the deciders in the order of the table.
var factories = []struct {
	name string
	make Factory
}{
	{"random", baselineMaker(pickRandom)},
	{"round_robin", baselineMaker(pickRoundRobin)},
	{LeastOutstandingName, baselineMaker(pickLeast)},
	{"power_of_two", baselineMaker(pickTwo)},
	{"least_reported", baselineMaker(pickLeastReported)},
	{RouterName, makeRouter},
	{UnboundedRouterName, makeUnboundedRouter},
}

// Deciders returns the names of the deciders that run if none is named.
func Deciders() []string {
	var out []string
	for _, m := range factories {
		if m.name != UnboundedRouterName {
			out = append(out, m.name)
		}
	}
	return out
}

func factoryOf(name string) (Factory, error) {
	for _, m := range factories {
		if m.name == name {
			return m.make, nil
		}
	}
	return nil, fmt.Errorf("unknown decider %q; known: %v", name, append(Deciders(), UnboundedRouterName))
}

// Options selects what to run. Empty lists select all.
type Options struct {
	Workloads, Deciders []string
	Loads               []float64
	Faults              []Fault
	// Seeds is the number of seeds, at least 1; they are 1, 2, 3 and so on.
	Seeds int
	// Day is the length of the compressed day, in virtual time.
	Day time.Duration
	// Workers is the number of concurrent trials.
	Workers int
	// Regions and Targets replace the workload's numbers of regions and of model
	// targets in each; 0 keeps them. Regions is at most the workload's own.
	Regions, Targets int
	// Late lets requests run past their deadline.
	Late bool
	// Lone bounds the targets of a region reserved for suspects at once; 0
	// disables suspects.
	Lone int
}

// DefaultOptions returns the options of a full run.
func DefaultOptions() Options {
	return Options{Loads: []float64{0.5, 0.8, 0.95}, Seeds: 5, Day: 400 * time.Second, Workers: 4}
}

// Row is the result of one decider with one setting, over all seeds.
type Row struct {
	Workload string
	Load     float64
	Fault    Fault
	Decider  string
	// Seeds are the figures of each seed, in order.
	Seeds []Figures
}

// Result is the outcome of a run.
type Result struct {
	Day time.Duration
	// Capacity is the capacity of a model target by workload, in model requests
	// per second.
	Capacity map[string]float64
	Rows     []Row
}

// Run runs all trials. Equal options give equal results. Invalid options give an
// error.
func Run(o Options) (*Result, error) {
	if o.Seeds < 1 || o.Workers < 1 || o.Day < time.Minute {
		return nil, fmt.Errorf("seeds %d and workers %d must be at least 1, day %v at least a minute", o.Seeds, o.Workers, o.Day)
	}
	workloads, err := o.workloads()
	if err != nil {
		return nil, err
	}
	if err := o.resize(workloads); err != nil {
		return nil, err
	}
	if err := o.fillDefaults(); err != nil {
		return nil, err
	}
	res := &Result{Day: o.Day, Capacity: make(map[string]float64)}
	var jobs []job
	for _, wl := range workloads {
		res.Capacity[wl.Name] = wl.capacity()
		for _, load := range o.Loads {
			for _, f := range o.Faults {
				for _, d := range o.Deciders {
					res.Rows = append(res.Rows, Row{wl.Name, load, f, d, make([]Figures, o.Seeds)})
				}
				jobs = append(jobs, o.jobs(wl, load, f, res)...)
			}
		}
	}
	runJobs(jobs, res, o.Workers)
	return res, nil
}

// job is the trials of one setting and seed, which share a trace.
type job struct {
	trial Trial
	// row is the index of the setting's first row, seed that in its Seeds.
	row, seed int
	deciders  []string
}

func (o *Options) jobs(wl Workload, load float64, f Fault, res *Result) []job {
	var out []job
	for s := range o.Seeds {
		tr := Trial{
			Workload: wl, Load: load, Fault: f, Seed: uint64(s + 1), Day: o.Day,
			PerTarget: res.Capacity[wl.Name], Late: o.Late, Lone: o.Lone,
		}
		out = append(out, job{tr, len(res.Rows) - len(o.Deciders), s, o.Deciders})
	}
	return out
}

func runJobs(jobs []job, res *Result, workers int) {
	next := make(chan job)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for j := range next {
				j.run(res)
			}
		})
	}
	for _, j := range jobs {
		next <- j
	}
	close(next)
	wg.Wait()
}

func (j job) run(res *Result) {
	tr := j.trial
	tr.arrivals = tr.Workload.trace(tr.Seed, tr.Load, tr.PerTarget, tr.Day)
	for i, name := range j.deciders {
		one := tr
		one.Decider = name
		one.make, _ = factoryOf(name) // fillDefaults has checked the names
		w := newWorld(&one)
		w.run()
		res.Rows[j.row+i].Seeds[j.seed] = w.figures()
	}
}

func (o *Options) workloads() ([]Workload, error) {
	all := Workloads()
	if len(o.Workloads) == 0 {
		return all, nil
	}
	var out []Workload
	for _, name := range o.Workloads {
		i := slices.IndexFunc(all, func(w Workload) bool { return w.Name == name })
		if i < 0 {
			return nil, fmt.Errorf("unknown workload %q", name)
		}
		out = append(out, all[i])
	}
	return out, nil
}

// resize applies Regions and Targets to the workloads.
func (o *Options) resize(workloads []Workload) error {
	if o.Targets < 0 || o.Regions < 0 {
		return fmt.Errorf("regions %d and targets %d must not be negative", o.Regions, o.Targets)
	}
	for i := range workloads {
		w := &workloads[i]
		if o.Regions > len(w.Regions) {
			return fmt.Errorf("%s has %d regions, not %d", w.Name, len(w.Regions), o.Regions)
		}
		if o.Regions > 0 {
			w.Regions = w.Regions[:o.Regions]
		}
		if o.Targets > 0 {
			w.ModelTargets = o.Targets
			w.PlainTargets = (o.Targets + 3) / 4
		}
	}
	return nil
}

// fillDefaults replaces empty lists by all values and checks the others.
func (o *Options) fillDefaults() error {
	if len(o.Deciders) == 0 {
		o.Deciders = Deciders()
	}
	for _, d := range o.Deciders {
		if _, err := factoryOf(d); err != nil {
			return err
		}
	}
	if len(o.Loads) == 0 {
		o.Loads = DefaultOptions().Loads
	}
	for _, l := range o.Loads {
		if l <= 0 || l > 2 {
			return fmt.Errorf("load %v is not a share of the capacity between 0 and 2", l)
		}
	}
	if len(o.Faults) == 0 {
		o.Faults = Faults()
	}
	for _, f := range o.Faults {
		if !slices.Contains(Faults(), f) {
			return fmt.Errorf("unknown fault %q; known: %v", f, Faults())
		}
	}
	return nil
}
