package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/coord/lease"
	"github.com/gullhaven/gullhaven/ports"
)

// Sizes of the world that the planners act in.
const (
	step       = 100 * time.Millisecond
	expiry     = time.Second
	storeRate  = 1000 // bytes per second
	maxRequest = 6 * time.Second
)

var epoch = time.Unix(1_800_000_000, 0)

func worldOptions() Options {
	return Options{
		Region:           "r",
		Lease:            lease.Config{Duration: 4 * time.Second, Drift: 0.005},
		MaxOutShare:      0.4,
		ReportLag:        time.Second,
		PropagationDelay: time.Second,
		LostAfter:        8 * time.Second,
		WarmUpTime:       time.Second,
		RetryMax:         4 * time.Second,
	}.withDefaults()
}

// engine is a small model engine: it forgets all but its highest fencing number
// in a crash, and takes requests until everybody knows of its drain.
type engine struct {
	id        string
	checks    bool
	fence     uint64
	down      bool
	taken     map[string]bool
	report    ports.LoadReport
	cached    ports.LoadReport
	loadEnds  time.Time
	drainedAt time.Time
	// drainedBy is the id of the order.
	drainedBy string
	requests  []time.Time
}

func (e *engine) loading(now time.Time) bool { return now.Before(e.loadEnds) }

func (e *engine) crash() {
	e.down, e.taken, e.report, e.requests, e.loadEnds = true, map[string]bool{}, ports.LoadReport{}, nil, time.Time{}
}

// host is one instance with its planner; while stopped it takes nothing in.
type host struct {
	p       *Planner
	version int // of the bundle in force
	stopped time.Time
	// deposed is the highest number under which an order was refused as old.
	deposed uint64
	// warmed are the targets whose warm-up ended well since their last load.
	warmed map[string]bool
}

// message is something that happens at a time, at a host if that is set.
type message struct {
	at   time.Time
	host *host
	do   func()
}

// loadStart is a load that an engine began, by an order given at sent.
type loadStart struct {
	at, sent time.Time
	bytes    int64
}

// world joins engines and hosts, and checks each order as it arrives.
type world struct {
	t       *rapid.T
	rng     *rand.Rand
	now     time.Time
	faulty  bool
	engines map[string]*engine
	ids     []string
	hosts   []*host
	queue   []message
	leader  int
	term    uint64
	// ledUntil is the last time at which a term's leader was the newest.
	ledUntil map[uint64]time.Time
	wanted   Desired
	version  int
	maxLoads int
	// namesDrain says that load reports name the order of a drain.
	namesDrain bool
	starts     []loadStart
	sends      int
	underWay   []Send
	// left are the drains of leaving targets, by id, with their fence.
	left   map[string]uint64
	orders int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: epoch, faulty: true, engines: map[string]*engine{}, ledUntil: map[uint64]time.Time{}, left: map[string]uint64{}, term: 1,
		rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
	}
	w.maxLoads = rapid.IntRange(1, 3).Draw(t, "loads")
	w.namesDrain = rapid.Bool().Draw(t, "names drain")
	for i := range rapid.IntRange(1, 6).Draw(t, "engines") {
		e := &engine{id: fmt.Sprintf("e%d", i), checks: rapid.Bool().Draw(t, "checks"), taken: map[string]bool{}}
		e.report.Model, e.report.Version = "m", "v0"
		w.engines[e.id] = e
		w.ids = append(w.ids, e.id)
	}
	for range 3 {
		w.hosts = append(w.hosts, &host{p: New(worldOptions()), warmed: map[string]bool{}})
	}
	w.roll()
	return w
}

// roll puts a bundle in force, at each host after a while and never back.
func (w *world) roll() {
	version := Weights{ID: fmt.Sprintf("v%d", w.rng.IntN(3)), Key: "k", Bytes: 1000 + 4000*w.rng.Int64N(3)}
	next := Desired{BytesPerSecond: storeRate, MaxLoads: w.maxLoads, DrainTime: 5 * time.Second, LargestBytes: 9000}
	for i, id := range w.ids {
		g := Goal{
			Target: id, Service: fmt.Sprintf("s%d", i/5), Model: "m", Version: version, Role: "both",
			Slots: 1, ChecksFence: w.engines[id].checks, OrderExpiry: expiry, Leaving: w.rng.IntN(6) == 0,
		}
		if w.rng.IntN(3) == 0 {
			g.Role = "decode"
		}
		if w.rng.IntN(2) == 0 {
			g.Adapters = []Weights{{ID: "a", Key: "ka", Bytes: 500}}
		}
		next.Goals = append(next.Goals, g)
	}
	w.wanted = next
	w.version++
	number := w.version
	for _, h := range w.hosts {
		w.later(w.upTo(2*time.Second), h, func() {
			if h.version < number {
				h.version = number
				w.step(h, SetDesired{Desired: next})
			}
		})
	}
}

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d) + 1)) }

func (w *world) chance(percent int) bool { return w.faulty && w.rng.IntN(100) < percent }

func (w *world) later(d time.Duration, h *host, do func()) {
	w.queue = append(w.queue, message{at: w.now.Add(d), host: h, do: do})
}

// run lets time pass, with requests, lease and the messages that are due.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.ledUntil[w.term] = w.now
		for _, id := range w.ids {
			w.serve(w.engines[id])
		}
		for i, h := range w.hosts {
			w.tellLease(i, h)
		}
		w.deliver()
	}
}

func (w *world) tellLease(i int, h *host) {
	var e Event = Tick{}
	if i == w.leader {
		e = LeaseHeld{Fence: w.term, At: w.now}
	} else if w.rng.IntN(10) == 0 {
		e = LeaseLost{}
	}
	w.later(0, h, func() { w.step(h, e) })
}

func (w *world) deliver() {
	slices.SortStableFunc(w.queue, func(a, b message) int { return a.at.Compare(b.at) })
	for i := 0; i < len(w.queue); i++ {
		m := w.queue[i]
		if m.at.After(w.now) || m.host != nil && w.now.Before(m.host.stopped) {
			continue
		}
		w.queue = slices.Delete(w.queue, i, i+1)
		i--
		m.do()
	}
}

// serve ends and begins requests. What is loading or empty takes none.
func (w *world) serve(e *engine) {
	e.requests = slices.DeleteFunc(e.requests, func(end time.Time) bool { return !w.now.Before(end) })
	known := e.report.Draining && w.now.Sub(e.drainedAt) >= worldOptions().PropagationDelay
	if !e.down && !known && e.report.Version != "" && !e.loading(w.now) && w.rng.IntN(8) == 0 {
		e.requests = append(e.requests, w.now.Add(w.upTo(w.upTo(maxRequest))))
	}
}

func (w *world) step(h *host, e Event) {
	for _, effect := range slices.Clone(h.p.Step(w.now, e)) {
		switch e := effect.(type) {
		case Poll:
			w.poll(h, e)
		case WarmUp:
			w.warmUp(h, e)
		case Send:
			w.send(h, e)
		}
	}
}

func (w *world) poll(h *host, p Poll) {
	if w.chance(10) {
		w.later(time.Second, h, func() { w.step(h, Observed{Target: p.Target, PolledAt: p.PolledAt}) })
		return
	}
	w.later(w.upTo(step), nil, func() {
		e, end := w.engines[p.Target], Observed{Target: p.Target, PolledAt: p.PolledAt}
		if !e.down {
			end.Report = w.reportOf(e)
		}
		w.later(w.upTo(3*step), h, func() { w.step(h, end) })
	})
}

// reportOf is what an engine tells, as it was up to a second ago.
func (w *world) reportOf(e *engine) *ports.LoadReport {
	if w.now.Sub(e.cached.At) > worldOptions().ReportLag-step || w.rng.IntN(8) == 0 {
		e.cached = e.report
		e.cached.At, e.cached.Running, e.cached.Loading = w.now, len(e.requests), e.loading(w.now)
		e.cached.Adapters = slices.Clone(e.report.Adapters)
		if w.namesDrain && e.report.Draining {
			e.cached.DrainedBy = e.drainedBy
		}
	}
	r := e.cached
	return &r
}

func (w *world) warmUp(h *host, u WarmUp) {
	end := WarmUpEnded{Target: u.Target, Number: u.Number}
	e := w.engines[u.Target]
	switch {
	case e.down || w.chance(20):
		end.Outcome = WarmUpFailed
	case w.rng.IntN(2) == 0:
		end.Outcome = WarmUpRefused
	default:
		e.requests = append(e.requests, w.now.Add(2*step))
	}
	w.later(3*step, h, func() {
		h.warmed[u.Target] = h.warmed[u.Target] || end.Outcome != WarmUpFailed
		w.step(h, end)
	})
}

// send writes an order after a while, during which its host may be stopped.
func (w *world) send(h *host, s Send) {
	w.checkSender(h, s)
	w.checkOrder(h, s)
	w.underWay = append(w.underWay, s)
	if h.p.find(s.Target).goal.Leaving {
		w.left[s.Order.ID] = s.Order.Fence
	}
	w.sends++ // Orders given in one step differ in their time by a nanosecond.
	goals, sent := h.p.wanted, w.now.Add(time.Duration(w.sends))
	hold := w.upTo(step)
	if w.chance(20) {
		hold = w.upTo(2 * expiry)
	}
	w.later(hold, h, func() {
		if !w.now.Before(s.Order.Expires) {
			w.arrived(s)
			w.step(h, OrderEnded{Target: s.Target, ID: s.Order.ID, Outcome: OrderExpired})
			return
		}
		way := w.upTo(step)
		if w.chance(30) {
			way = w.upTo(expiry)
		}
		w.later(way, nil, func() { w.arrive(h, s, goals, sent) })
	})
}

// arrived takes an order from those under way.
func (w *world) arrived(s Send) {
	w.underWay = slices.DeleteFunc(w.underWay, func(o Send) bool { return o == s })
}

// coming reports whether an order of a kind may still arrive at a target, but for
// a newer leader's drain of a leaving one.
func (w *world) coming(fence uint64, target string, kinds ...ports.OrderKind) bool {
	return slices.ContainsFunc(w.underWay, func(s Send) bool {
		return s.Target == target && w.left[s.Order.ID] <= fence && slices.Contains(kinds, s.Order.Kind) && w.now.Before(s.Order.Expires.Add(expiry))
	})
}

// arrive has an engine take an order, and its answer lost, late or doubled.
func (w *world) arrive(h *host, s Send, goals Desired, sent time.Time) {
	w.arrived(s)
	end := OrderEnded{Target: s.Target, ID: s.Order.ID}
	end.Outcome = w.obey(w.engines[s.Target], s.Order, goals, sent)
	if end.Outcome == OrderAccepted && w.chance(25) {
		end.Outcome = OrderUnanswered
	}
	back := w.upTo(step)
	if w.chance(20) {
		back = w.upTo(5 * expiry)
	}
	deliver := func() {
		if end.Outcome == OrderOldFence {
			h.deposed = max(h.deposed, s.Order.Fence)
		}
		w.step(h, end)
	}
	w.later(back, h, deliver)
	if w.chance(10) {
		w.later(back+w.upTo(3*expiry), h, deliver)
	}
}

func (w *world) obey(e *engine, o ports.Order, goals Desired, sent time.Time) Outcome {
	switch {
	case e.down:
		return OrderUnanswered
	case e.checks && o.Fence < e.fence:
		return OrderOldFence
	}
	w.checkFence(e, o)
	e.fence = max(e.fence, o.Fence)
	if e.taken[o.ID] {
		return OrderAccepted
	}
	e.taken[o.ID] = true
	w.orders++
	w.checkEmpty(e, o)
	switch o.Kind {
	case ports.OrderDrain:
		e.report.Draining, e.drainedAt, e.drainedBy = true, w.now, o.ID
	case ports.OrderResume:
		e.report.Draining = false
	case ports.OrderRole:
		e.report.Role = o.Role
	case ports.OrderLoadAdapter:
		e.report.Adapters = append(e.report.Adapters, o.Adapter)
		w.load(e, sent, 500)
	case ports.OrderLoadVersion:
		e.report.Model, e.report.Version, e.report.Adapters = o.Model, o.Version, nil
		w.load(e, sent, goals.Goals[slices.Index(w.ids, e.id)].Version.Bytes)
	}
	return OrderAccepted
}

func (w *world) load(e *engine, sent time.Time, bytes int64) {
	w.starts = append(w.starts, loadStart{at: w.now, sent: sent, bytes: bytes})
	w.checkRate(e)
	e.loadEnds = w.now.Add(time.Duration(bytes) * time.Second / storeRate)
}
