package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gullhaven/gullhaven/coord/suspect"
	"github.com/gullhaven/gullhaven/route"
	"github.com/gullhaven/gullhaven/standin/enginemodel"
)

// Range is a range of integers, both ends included.
type Range struct{ Min, Max int }

func (s Range) draw(rng *rand.Rand) int { return s.Min + rng.IntN(s.Max-s.Min+1) }

func (s Range) mean() int { return (s.Min + s.Max) / 2 }

// Class is a kind of request of a workload.
type Class struct {
	Name, Service string
	// Share is the fraction of the workload's requests, 0 to 1.
	Share    float64
	Priority int
	// Deadline is the time from arrival to the whole answer.
	Deadline time.Duration
	// Prefixes is the number of distinct shared prefixes, drawn with weights
	// 1, 1/2, 1/3 and so on. Unless Common, regions have different ones.
	Prefixes int
	Common   bool
	// Shared is the number of shared prefix tokens, Own that of other prompt
	// tokens and Output that of answer tokens. For a plain service Output is the
	// duration of a call in milliseconds, and the others are 0.
	Shared        int
	Own, Output   Range
	NonIdempotent bool
}

// Workload is the traffic of one user of the system.
type Workload struct {
	Name    string
	Regions []string
	// Model and Plain name the services; ModelTargets and PlainTargets are
	// their targets in each region.
	Model, Plain               string
	ModelTargets, PlainTargets int
	Classes                    []Class
}

// homeOnlyShare is the fraction of requests that only their home region may serve.
const homeOnlyShare = 0.12

// peakAmplitude is the amplitude of a region's arrival rate over one compressed
// day, relative to its mean. Regions peak a third of a day apart.
const peakAmplitude = 0.25

// Workloads returns the workloads of both users.
func Workloads() []Workload {
	return []Workload{
		{
			Name: "sukmajaya", Regions: []string{"jatim", "bali", "jabar"},
			Model: "briefing-llm", Plain: "booking-desk", ModelTargets: 4, PlainTargets: 1,
			Classes: []Class{
				{Name: "briefing", Service: "briefing-llm", Share: 0.30, Priority: 7, Deadline: 45 * time.Second,
					Prefixes: 40, Shared: 4096, Own: Range{1000, 3000}, Output: Range{200, 500}},
				{Name: "notes", Service: "briefing-llm", Share: 0.45, Priority: 4, Deadline: 20 * time.Second,
					Prefixes: 12, Common: true, Shared: 640, Own: Range{100, 400}, Output: Range{80, 200}},
				{Name: "confirmation", Service: "booking-desk", Share: 0.25, Priority: 8, Deadline: 5 * time.Second,
					Output: Range{20, 80}, NonIdempotent: true},
			},
		},
		{
			Name: "asociacion", Regions: []string{"asturias", "cantabria", "euskadi"},
			Model: "gullhaven-writers", Plain: "catalogue-api", ModelTargets: 4, PlainTargets: 1,
			Classes: []Class{
				{Name: "dossier", Service: "gullhaven-writers", Share: 0.06, Priority: 5, Deadline: 120 * time.Second,
					Prefixes: 20, Shared: 6144, Own: Range{6000, 14000}, Output: Range{300, 700}, NonIdempotent: true},
				{Name: "rewrite", Service: "gullhaven-writers", Share: 0.44, Priority: 6, Deadline: 10 * time.Second,
					Prefixes: 12, Common: true, Shared: 256, Own: Range{50, 200}, Output: Range{40, 120}},
				{Name: "lookup", Service: "catalogue-api", Share: 0.50, Priority: 5, Deadline: time.Second,
					Output: Range{5, 15}},
			},
		},
	}
}

// modelEngine returns the configuration of all model targets; plainEngine that
// of all plain targets.
func modelEngine() enginemodel.Config {
	return enginemodel.Config{
		Slots: 32, ChunkTokens: 512, PrefillRate: 8000,
		StepBase: 12 * time.Millisecond, StepPerSeq: 400 * time.Microsecond,
		KVTokens: 160_000, CacheTokens: 100_000, MaxWaiting: 64,
	}
}

func plainEngine() enginemodel.Config {
	return enginemodel.Config{Slots: 16, StepBase: time.Millisecond, KVTokens: math.MaxInt32, MaxWaiting: 64}
}

// arrival is a request of a trace. The trials of all deciders share it, so it
// must not be changed after the trace is made.
type arrival struct {
	at     time.Duration
	region int
	class  *Class
	poison bool
	// resend counts earlier sends of the same request by its caller.
	resend int
	// prompt and output are the true lengths; deciders see estimates.
	prompt, output int
	// digest identifies the content; a resend has the same.
	digest suspect.Digest
	req    route.Request
}

// zipf draws 0..n-1 with weights 1, 1/2, 1/3 and so on.
func zipf(rng *rand.Rand, n int) int {
	sum := 0.0
	for k := range n {
		sum += 1 / float64(k+1)
	}
	u := rng.Float64() * sum
	for k := range n {
		if u -= 1 / float64(k+1); u <= 0 {
			return k
		}
	}
	return n - 1
}

// digests returns n chained block digests after parent, seeded with name.
func digests(parent uint64, name string, n int) []uint64 {
	out := make([]uint64, n)
	h := parent ^ xxhash.Sum64String(name)
	var b [8]byte
	for i := range out {
		for j := range b {
			b[j] = byte(h >> (8 * j))
		}
		h = xxhash.Sum64(b[:])
		out[i] = h
	}
	return out
}

// estimateError bounds the relative error of the estimate of a prompt's length.
const estimateError = 0.1

// draw returns a random request of a class.
func (w *Workload) draw(rng *rand.Rand, c *Class, region int, id uint64) arrival {
	a := arrival{region: region, class: c, output: c.Output.draw(rng), digest: digest(id)}
	home := w.Regions[region]
	a.req = route.Request{
		Service: c.Service, Workspace: home + "-" + c.Name, Priority: c.Priority,
		Idempotent: !c.NonIdempotent, Home: home,
	}
	if rng.Float64() < homeOnlyShare {
		a.req.Regions = []string{home}
	}
	if c.Prefixes == 0 {
		return a
	}
	family := c.Name + strconv.Itoa(zipf(rng, c.Prefixes))
	if !c.Common {
		family += home
	}
	own := c.Own.draw(rng)
	a.prompt = c.Shared + own
	shared := digests(0, family, c.Shared/route.PrefixBlockTokens)
	tail := digests(shared[len(shared)-1], fmt.Sprint("request", id), own/route.PrefixBlockTokens)
	a.req.Prefix = append(shared, tail...)
	a.req.PromptTokens = int(float64(a.prompt) * (1 + estimateError*(2*rng.Float64()-1)))
	a.req.OutputTokens = c.Output.mean()
	return a
}

// pick draws a class by share among those for which ok returns true.
func (w *Workload) pick(rng *rand.Rand, ok func(*Class) bool) *Class {
	total := 0.0
	for i := range w.Classes {
		if ok(&w.Classes[i]) {
			total += w.Classes[i].Share
		}
	}
	u := rng.Float64() * total
	var last *Class
	for i := range w.Classes {
		c := &w.Classes[i]
		if !ok(c) {
			continue
		}
		last = c
		if u -= c.Share; u <= 0 {
			break
		}
	}
	return last
}

func (w *Workload) ofModel(c *Class) bool { return c.Service == w.Model }

// modelShare returns the fraction of requests for the model service.
func (w *Workload) modelShare() float64 {
	s := 0.0
	for i := range w.Classes {
		if w.ofModel(&w.Classes[i]) {
			s += w.Classes[i].Share
		}
	}
	return s
}

// rate returns the arrival rate of a region at a time of the day, relative to its mean.
func (w *Workload) rate(region int, at, day time.Duration) float64 {
	phase := float64(region) / float64(len(w.Regions))
	return 1 + peakAmplitude*math.Sin(2*math.Pi*(at.Seconds()/day.Seconds()-phase))
}

// trace draws the arrivals of one day, in order of time. load is relative to the
// capacity, and perTarget the capacity of a model target in requests per second.
func (w *Workload) trace(seed uint64, load, perTarget float64, day time.Duration) []arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	mean := load * perTarget * float64(w.ModelTargets) / w.modelShare()
	top := mean * (1 + peakAmplitude) * float64(len(w.Regions))
	var out []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / top * float64(time.Second))
		if at >= day {
			return out
		}
		region := rng.IntN(len(w.Regions))
		if rng.Float64()*(1+peakAmplitude) > w.rate(region, at, day) {
			continue
		}
		c := w.pick(rng, func(*Class) bool { return true })
		a := w.draw(rng, c, region, uint64(len(out)))
		a.at = at
		out = append(out, a)
	}
}

// Calibration of a target's capacity: a closed loop that saturates one engine.
const (
	calibrateInFlight = 64
	calibrateWarmUp   = 60 * time.Second
	calibrateTime     = 300 * time.Second
)

// capacity returns how many model requests per second one target finishes when
// it alone serves the mix of its region and always has waiting requests.
func (w *Workload) capacity() float64 {
	rng := rand.New(rand.NewPCG(7, 7))
	e := enginemodel.New(modelEngine())
	now, id, done := epoch, uint64(0), 0
	add := func() {
		id++
		a := w.draw(rng, w.pick(rng, w.ofModel), 0, id)
		if err := e.Enqueue(now, a.engineRequest(id, 0)); err != nil {
			panic(err) // can't happen: calibrateInFlight is at most MaxWaiting
		}
	}
	for range calibrateInFlight {
		add()
	}
	for now.Sub(epoch) < calibrateWarmUp+calibrateTime {
		now, _ = e.NextEvent()
		for _, ev := range e.Advance(now) {
			if ev.Kind != enginemodel.Finished {
				continue
			}
			add()
			if now.Sub(epoch) > calibrateWarmUp {
				done++
			}
		}
	}
	return float64(done) / calibrateTime.Seconds()
}

func (a *arrival) engineRequest(id uint64, priority int) enginemodel.Request {
	return enginemodel.Request{
		ID: id, Priority: priority, Prefix: a.req.Prefix,
		PromptTokens: max(a.prompt, 1), OutputTokens: a.output,
	}
}
