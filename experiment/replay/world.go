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
	// service is the name of the only one, and zone that of all engines.
	service, zone = "s", "z"
	// wideTrip is one way to another region.
	wideTrip = 80 * time.Millisecond
	// tellInterval is how often regions hear of each other, and of what they told last.
	tellInterval = 500 * time.Millisecond
	// tellNear is how often the instances of a region hear of each other.
	tellNear = 250 * time.Millisecond
)

// epoch is where virtual time starts.
var epoch = time.Unix(1_000_000, 0).UTC()

// engine is one of a region, with the requests that it has.
type engine struct {
	id     string
	region *region
	model  *enginemodel.Engine
	down   bool
	has    map[uint64]*request
}

// region is one with its decider.
type region struct {
	Region
	engines []*engine
	chooser chooser
	// told is what the others know of it.
	told pick.RegionLoad
}

// request is one request of a caller.
type request struct {
	id             uint64
	kind           *Kind
	home           *region
	at             time.Time
	prompt, answer int
	call           pick.Call
	prefix         []uint64
	// returned says that it was refused and has come back.
	returned bool
	ended    bool
	// first is when the answer began; zero before.
	first time.Time
	// pause is the longest one between events of its answer.
	pause  time.Duration
	engine *engine
	sent   sent
}

func (r *request) deadline() time.Time {
	return r.at.Add(time.Duration(r.kind.DeadlineMillis) * time.Millisecond)
}

// world is one run.
type world struct {
	p       *Pattern
	now     time.Time
	queue   vtime.Queue
	regions []*region
	rng     *rand.Rand
	figures *Figures
	dark    bool
	cut     bool
	// trips are never learned here: all take wideTrip.
	trips    place.RoundTrips
	requests uint64
}

// Run plays a pattern with one kind of decider. Equal seeds have equal arrivals.
func Run(p *Pattern, decider string, seed uint64) (*Figures, error) {
	w := &world{p: p, now: epoch, rng: rand.New(rand.NewPCG(seed, 1)), figures: newFigures(p, decider)}
	for _, r := range p.Regions {
		if err := w.addRegion(r, decider); err != nil {
			return nil, err
		}
	}
	w.arrivals()
	for _, f := range p.Faults {
		w.plan(f)
	}
	w.every(tellInterval, w.tell)
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
		out.engines = append(out.engines, &engine{id: id, region: out, model: enginemodel.New(w.p.Engine.config()), has: map[uint64]*request{}})
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

// every does a thing again and again until the arrivals have ended.
func (w *world) every(interval time.Duration, do func()) {
	for t := epoch; t.Before(w.second(w.p.Seconds)); t = t.Add(interval) {
		w.at(t, do)
	}
}

// arrivals draws all requests.
func (w *world) arrivals() {
	for _, r := range w.regions {
		for s := w.rng.ExpFloat64() / r.PerSecond; s < w.p.Seconds; {
			q := w.draw(r, w.second(s))
			w.at(q.at, func() { w.arrive(q) })
			s += w.rng.ExpFloat64() / (r.PerSecond * max(0.01, r.times(s)))
		}
	}
}

// draw makes a request of a region's callers.
func (w *world) draw(r *region, at time.Time) *request {
	k := w.kind()
	w.requests++
	q := &request{id: w.requests, kind: k, home: r, at: at}
	subject := w.rng.IntN(k.Subjects)
	own := max(1, int(w.around(k.Own, k.Spread)))
	if k.MostOwn > 0 {
		own = min(own, k.MostOwn)
	}
	q.answer = max(1, int(w.around(k.Answer, k.answerSpread())))
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

// addPart adds a part that the request shares with others.
func (q *request) addPart(key uint64, tokens int) {
	for n := range tokens / enginemodel.BlockTokens {
		q.prefix = append(q.prefix, key+uint64(n)<<8)
	}
	q.call.Parts = append(q.call.Parts, pick.Part{ID: key, Tokens: tokens})
}

// around draws a length, lognormal around its median.
func (w *world) around(median int, spread float64) float64 {
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

// arrive has the decider of the home region choose; while all instances are down callers
// come again when they are back.
func (w *world) arrive(q *request) {
	switch {
	case !w.now.Before(q.deadline()):
		w.end(q, unserved)
	case w.dark:
		w.at(w.now.Add(darkPause), func() { w.arrive(q) })
	default:
		w.decide(q, q.home, true)
	}
}

// darkPause is how long a caller waits for an instance that does not answer.
const darkPause = 500 * time.Millisecond

func (w *world) decide(q *request, r *region, mayPass bool) {
	d := r.chooser.choose(w.now, q, mayPass)
	switch {
	case d.region != nil:
		w.figures.Forwarded++
		w.at(w.now.Add(wideTrip), func() { w.decide(q, d.region, false) })
	case d.engine == nil || d.engine.down:
		d.sent.done(w.now, pick.Unreachable)
		w.refuse(q, !mayPass)
	default:
		w.send(q, d)
	}
}

// refuse sends a request back to its caller, who comes again once.
func (w *world) refuse(q *request, passed bool) {
	if q.returned {
		w.end(q, refused)
		return
	}
	q.returned = true
	back := w.now.Add(place.RetryAfter(place.Busy, q.deadline().Sub(w.now)))
	if passed {
		back = back.Add(wideTrip)
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
		d.sent.done(w.now, pick.Rejected)
		w.refuse(q, false)
		return
	}
	q.engine, q.sent = d.engine, d.sent
	d.engine.has[q.id] = q
	w.at(q.deadline(), func() { w.giveUp(q) })
	w.wake(d.engine)
}

// wake looks at an engine when something happens there.
func (w *world) wake(e *engine) {
	if at, ok := e.model.NextEvent(); ok {
		w.at(at, func() { w.advance(e) })
	}
}

func (w *world) advance(e *engine) {
	for _, happened := range e.model.Advance(w.now) {
		q := e.has[happened.ID]
		if q == nil {
			continue
		}
		if happened.Kind == enginemodel.FirstToken {
			q.first = happened.At
			w.figures.PrefillTokens += q.prompt - happened.CachedTokens
			q.sent.first(w.now)
			continue
		}
		delete(e.has, q.id)
		q.sent.done(w.now, pick.Good)
		q.pause = happened.LongestPause
		w.end(q, served)
	}
	w.wake(e)
}

// giveUp ends a request at its deadline.
func (w *world) giveUp(q *request) {
	if q.ended {
		return
	}
	w.advance(q.engine)
	if q.ended {
		return
	}
	q.engine.model.Cancel(w.now, q.id)
	delete(q.engine.has, q.id)
	q.sent.done(w.now, pick.Neutral)
	w.end(q, unfinished)
	w.wake(q.engine)
}

func (w *world) end(q *request, how ending) {
	if q.ended {
		return
	}
	q.ended = true
	w.figures.count(q, how)
}

// tell has each region hear of the others.
func (w *world) tell() {
	for _, r := range w.regions {
		told := pick.RegionLoad{}
		for _, e := range r.engines {
			if !e.down {
				told.Targets++
				told.Slots += w.p.Engine.Slots
			}
		}
		r.chooser.loads(w.now, &told)
		w.at(w.now.Add(wideTrip), func() { r.told = told })
	}
}
