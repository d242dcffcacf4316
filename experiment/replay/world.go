package replay

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/gullhaven/gullhaven/experiment/vtime"
	"github.com/gullhaven/gullhaven/route/pick"
	"github.com/gullhaven/gullhaven/route/place"
	"github.com/gullhaven/gullhaven/standin/enginemodel"
)

const (
	// All engines serve the same service in the same zone.
	service, zone = "s", "z"
	// regionDelay is the one-way delay to another region.
	regionDelay = 80 * time.Millisecond
	// loadExchangeInterval is how often regions report their loads to each other.
	loadExchangeInterval = 500 * time.Millisecond
	// localExchangeInterval is how often the instances of a region exchange their loads.
	localExchangeInterval = 250 * time.Millisecond
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_000_000, 0).UTC()

// engine is an engine of a region with its requests, by ID.
type engine struct {
	id       string
	region   *region
	model    *enginemodel.Engine
	down     bool
	requests map[uint64]*request
	// starts counts its starts.
	starts int64
	// restAsked is the rest that it asks for while it turns requests away; 0 while it accepts
	// them. leaving means that it says so. told is by decision.sender.
	restAsked time.Duration
	leaving   bool
	told      map[any]told
}

// region is a region with its decider.
type region struct {
	Region
	engines []*engine
	chooser chooser
	// reportedLoad is the load that the other regions know.
	reportedLoad pick.RegionLoad
}

// request is a request of a caller. prompt and answer are lengths in tokens.
type request struct {
	id             uint64
	kind           *Kind
	home           *region
	at             time.Time
	prompt, answer int
	call           pick.Call
	prefix         []uint64
	// retried means that it was refused once.
	retried bool
	ended   bool
	// first is the time of the first event; zero before.
	first time.Time
	// pause is the longest time between two events of its answer.
	pause   time.Duration
	engine  *engine
	sender  any
	tracker tracker
}

func (r *request) deadline() time.Time {
	return r.at.Add(time.Duration(r.kind.DeadlineMillis) * time.Millisecond)
}

// world is the state of one run.
type world struct {
	p             *Pattern
	now           time.Time
	queue         vtime.Queue
	regions       []*region
	rng           *rand.Rand
	figures       *Figures
	instancesDown bool
	partitioned   bool
	// trips stays empty: round-trip times are not learned here.
	trips    place.RoundTrips
	requests uint64
}

// Run simulates a pattern with a decider, one of Deciders. Equal seeds give equal arrivals.
func Run(p *Pattern, decider string, seed uint64) (*Figures, error) {
	w := &world{p: p, now: epoch, rng: rand.New(rand.NewPCG(seed, 1)), figures: newFigures(p, decider)}
	for _, r := range p.Regions {
		if err := w.addRegion(r, decider); err != nil {
			return nil, err
		}
	}
	w.arrivals()
	for _, f := range p.Faults {
		w.scheduleFault(f)
	}
	w.every(loadExchangeInterval, w.exchangeLoads)
	for {
		at, do, ok := w.queue.Next()
		if !ok {
			return w.figures, nil
		}
		w.now = at
		do()
	}
}

func (w *world) addRegion(r Region, decider string) error {
	out := &region{Region: r}
	for n := range r.Engines {
		id := r.Name + "-" + strconv.Itoa(n)
		out.engines = append(out.engines, &engine{id: id, region: out, model: enginemodel.New(w.p.Engine.config()), requests: map[uint64]*request{}, told: map[any]told{}})
	}
	var err error
	out.chooser, err = newChooser(decider, w, out)
	w.regions = append(w.regions, out)
	return err
}

func (w *world) at(t time.Time, do func()) { w.queue.Schedule(t, do) }

func (w *world) second(s float64) time.Time {
	return epoch.Add(time.Duration(s * float64(time.Second)))
}

// every runs do at each interval until the arrivals have ended.
func (w *world) every(interval time.Duration, do func()) {
	for t := epoch; t.Before(w.second(w.p.Seconds)); t = t.Add(interval) {
		w.at(t, do)
	}
}

// arrivals draws and schedules all requests.
func (w *world) arrivals() {
	for _, r := range w.regions {
		for s := w.rng.ExpFloat64() / r.PerSecond; s < w.p.Seconds; {
			q := w.draw(r, w.second(s))
			w.at(q.at, func() { w.arrive(q) })
			s += w.rng.ExpFloat64() / (r.PerSecond * max(0.01, r.times(s)))
		}
	}
}

// draw returns a random request of a region's callers.
func (w *world) draw(r *region, at time.Time) *request {
	k := w.kind()
	w.requests++
	q := &request{id: w.requests, kind: k, home: r, at: at}
	subject := w.rng.IntN(k.Subjects)
	own := max(1, int(w.lognormal(k.Own, k.Spread)))
	if k.MostOwn > 0 {
		own = min(own, k.MostOwn)
	}
	q.answer = max(1, int(w.lognormal(k.Answer, k.answerSpread())))
	q.prompt = k.Common + k.Shared + own
	if k.Commons > 0 {
		q.addPart(uint64(subject%k.Commons+1)<<40^uint64(len(k.Name))<<50, k.Common)
	}
	q.addPart(uint64(subject+1)<<20^uint64(len(k.Name))<<50^uint64(k.Shared), k.Shared)
	q.call = pick.Call{
		Service: service, PromptTokens: q.prompt, OutputTokens: k.mostAnswer(), Rank: k.Rank,
		Parts: append(q.call.Parts, pick.Part{ID: 1<<63 | q.id, Tokens: own}),
	}
	q.answer = min(q.answer, q.call.OutputTokens)
	return q
}

// addPart adds a prompt part that the request shares with others.
func (q *request) addPart(key uint64, tokens int) {
	for n := range tokens / enginemodel.BlockTokens {
		q.prefix = append(q.prefix, key+uint64(n)<<8)
	}
	q.call.Parts = append(q.call.Parts, pick.Part{ID: key, Tokens: tokens})
}

// lognormal draws a length from a lognormal distribution.
func (w *world) lognormal(median int, spread float64) float64 {
	return float64(median) * math.Exp(spread*w.rng.NormFloat64())
}

func (w *world) kind() *Kind {
	sum := 0.0
	for i := range w.p.Kinds {
		sum += w.p.Kinds[i].Share
	}
	u := w.rng.Float64() * sum
	for i := range w.p.Kinds {
		if u -= w.p.Kinds[i].Share; u <= 0 {
			return &w.p.Kinds[i]
		}
	}
	return &w.p.Kinds[len(w.p.Kinds)-1]
}

// arrive routes a request in its home region. While all instances are down, callers retry
// until their deadline.
func (w *world) arrive(q *request) {
	switch {
	case !w.now.Before(q.deadline()):
		w.end(q, unserved)
	case w.instancesDown:
		w.at(w.now.Add(downRetryInterval), func() { w.arrive(q) })
	default:
		w.decide(q, q.home, true)
	}
}

// downRetryInterval is the time after which a caller retries if no instance answers.
const downRetryInterval = 500 * time.Millisecond

func (w *world) decide(q *request, r *region, mayForward bool) {
	d := r.chooser.choose(w.now, q, mayForward)
	switch {
	case d.region != nil:
		w.figures.Forwarded++
		w.at(w.now.Add(regionDelay), func() { w.decide(q, d.region, false) })
	case d.engine == nil || d.engine.down:
		d.tracker.done(w.now, pick.Unreachable)
		w.refuse(q, !mayForward, d.retryAfter)
	case d.engine.restAsked > 0:
		w.turnAway(q, d, r, mayForward)
	default:
		w.send(q, d)
	}
}

// refuse refuses a request; its caller retries once, after a time if one is given.
func (w *world) refuse(q *request, forwarded bool, after time.Duration) {
	if q.retried {
		w.end(q, refused)
		return
	}
	q.retried, q.call.Tried = true, nil
	if after <= 0 {
		after = place.RetryAfter(place.Busy, q.deadline().Sub(w.now))
	}
	w.figures.Returns[int(w.now.Add(after).Sub(epoch)/returnWindow)]++
	back := w.now.Add(after)
	if forwarded {
		back = back.Add(regionDelay)
	}
	w.at(back, func() { w.arrive(q) })
}

func (w *world) send(q *request, d decision) {
	if d.source != nil && !d.source.down {
		d.engine.model.Fetch(d.source.model, q.prefix)
	}
	const ranks = 9
	err := d.engine.model.Enqueue(w.now, enginemodel.Request{
		ID: q.id, Priority: ranks - min(ranks, q.kind.Rank), PromptTokens: q.prompt, OutputTokens: q.answer, Prefix: q.prefix,
	})
	if err != nil {
		d.tracker.done(w.now, pick.Rejected)
		w.refuse(q, false, 0)
		return
	}
	if d.engine.told[d.sender].leaving {
		w.figures.AfterLeaving++
	}
	q.engine, q.sender, q.tracker = d.engine, d.sender, d.tracker
	d.engine.requests[q.id] = q
	w.at(q.deadline(), func() { w.expire(q) })
	w.scheduleAdvance(d.engine)
}

// scheduleAdvance schedules an advance of an engine at its next event.
func (w *world) scheduleAdvance(e *engine) {
	if at, ok := e.model.NextEvent(); ok {
		w.at(at, func() { w.advance(e) })
	}
}

func (w *world) advance(e *engine) {
	for _, event := range e.model.Advance(w.now) {
		q := e.requests[event.ID]
		if q == nil {
			continue
		}
		if event.Kind == enginemodel.FirstToken {
			q.first = event.At
			w.figures.PrefillTokens += q.prompt - event.CachedTokens
			q.tracker.firstEvent(w.now)
			if e.leaving {
				t := e.told[q.sender]
				t.leaving = true
				e.told[q.sender] = t
				q.tracker.leaving()
			}
			continue
		}
		delete(e.requests, q.id)
		q.tracker.done(w.now, pick.Good)
		q.pause = event.LongestPause
		w.end(q, served)
	}
	w.scheduleAdvance(e)
}

// expire cancels a request at its deadline.
func (w *world) expire(q *request) {
	if q.ended {
		return
	}
	w.advance(q.engine)
	if q.ended {
		return
	}
	q.engine.model.Cancel(w.now, q.id)
	delete(q.engine.requests, q.id)
	q.tracker.done(w.now, pick.Neutral)
	w.end(q, unfinished)
	w.scheduleAdvance(q.engine)
}

func (w *world) end(q *request, how outcome) {
	if q.ended {
		return
	}
	q.ended = true
	w.figures.count(q, how)
}

// exchangeLoads reports the load of each region to the others.
func (w *world) exchangeLoads() {
	for _, r := range w.regions {
		load := pick.RegionLoad{}
		for _, e := range r.engines {
			if !e.down {
				load.Targets++
				load.Slots += w.p.Engine.Slots
			}
		}
		r.chooser.loads(w.now, &load)
		w.at(w.now.Add(regionDelay), func() { r.reportedLoad = load })
	}
}
