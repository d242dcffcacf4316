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

// Parameters of the simulation.
const (
	step       = 100 * time.Millisecond
	expiry     = time.Second
	storeRate  = 1000 // bytes per second
	maxRequest = 6 * time.Second
)

var epoch = time.Unix(1_800_000_000, 0)

func simulationOptions() Options {
	return Options{
		Region:           "r",
		Lease:            lease.Config{Duration: 4 * time.Second, MaxDrift: 0.005},
		MaxOutShare:      0.4,
		ReportLag:        time.Second,
		PropagationDelay: time.Second,
		LostAfter:        8 * time.Second,
		WarmUpTime:       time.Second,
		RetryMax:         4 * time.Second,
	}.withDefaults()
}

// engine simulates a model engine. A crash clears everything but its highest
// fencing number. It receives requests until all instances have learned of its
// drain.
type engine struct {
	id          string
	checksFence bool
	fence       uint64
	down        bool
	executed    map[string]bool
	report      ports.LoadReport
	cached      ports.LoadReport
	loadEnds    time.Time
	drainedAt   time.Time
	// drainedBy is the ID of the order.
	drainedBy string
	requests  []time.Time
}

func (e *engine) loading(now time.Time) bool { return now.Before(e.loadEnds) }

func (e *engine) crash() {
	e.down, e.executed, e.report, e.requests, e.loadEnds = true, map[string]bool{}, ports.LoadReport{}, nil, time.Time{}
}

// host is an instance with its planner; while paused it processes nothing.
type host struct {
	p           *Planner
	version     int // of the bundle in force
	pausedUntil time.Time
	// refusedFence is the highest fencing number under which an order was
	// refused as old.
	refusedFence uint64
	// warmedUp holds the targets whose warm-up succeeded since their last load.
	warmedUp map[string]bool
}

// message is a scheduled action; it runs at host if that is set.
type message struct {
	at   time.Time
	host *host
	do   func()
}

// loadStart is a load started by an engine, ordered at time sent.
type loadStart struct {
	at, sent time.Time
	bytes    int64
}

// simulation connects engines and hosts, and checks each order when it is sent
// and when it arrives.
type simulation struct {
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
	desired  Desired
	version  int
	maxLoads int
	// namesDrain is true if load reports name the order of a drain.
	namesDrain     bool
	starts         []loadStart
	sendCount      int
	ordersInFlight []Send
	// leavingDrains holds the fencing numbers of drains of leaving targets, by
	// order ID.
	leavingDrains  map[string]uint64
	executedOrders int
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
		t: t, now: epoch, faulty: true, engines: map[string]*engine{}, ledUntil: map[uint64]time.Time{}, leavingDrains: map[string]uint64{}, term: 1,
		rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
	}
	w.maxLoads = rapid.IntRange(1, 3).Draw(t, "loads")
	w.namesDrain = rapid.Bool().Draw(t, "names drain")
	for i := range rapid.IntRange(1, 6).Draw(t, "engines") {
		e := &engine{id: fmt.Sprintf("e%d", i), checksFence: rapid.Bool().Draw(t, "checks"), executed: map[string]bool{}}
		e.report.Model, e.report.Version = "m", "v0"
		w.engines[e.id] = e
		w.ids = append(w.ids, e.id)
	}
	for range 3 {
		w.hosts = append(w.hosts, &host{p: New(simulationOptions()), warmedUp: map[string]bool{}})
	}
	w.rollOut()
	return w
}

// rollOut puts a bundle in force; each host gets it after a delay and never
// goes back.
func (w *simulation) rollOut() {
	version := Weights{ID: fmt.Sprintf("v%d", w.rng.IntN(3)), Key: "k", Bytes: 1000 + 4000*w.rng.Int64N(3)}
	next := Desired{BytesPerSecond: storeRate, MaxLoads: w.maxLoads, DrainTime: 5 * time.Second, LargestBytes: 9000}
	for i, id := range w.ids {
		g := Goal{
			Target: id, Service: fmt.Sprintf("s%d", i/5), Model: "m", Version: version, Role: "both",
			Slots: 1, ChecksFence: w.engines[id].checksFence, OrderExpiry: expiry, Leaving: w.rng.IntN(6) == 0,
		}
		if w.rng.IntN(3) == 0 {
			g.Role = "decode"
		}
		if w.rng.IntN(2) == 0 {
			g.Adapters = []Weights{{ID: "a", Key: "ka", Bytes: 500}}
		}
		next.Goals = append(next.Goals, g)
	}
	w.desired = next
	w.version++
	number := w.version
	for _, h := range w.hosts {
		w.schedule(w.randomUpTo(2*time.Second), h, func() {
			if h.version < number {
				h.version = number
				w.step(h, SetDesired{Desired: next})
			}
		})
	}
}

func (w *simulation) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d) + 1))
}

func (w *simulation) chance(percent int) bool { return w.faulty && w.rng.IntN(100) < percent }

func (w *simulation) schedule(d time.Duration, h *host, do func()) {
	w.queue = append(w.queue, message{at: w.now.Add(d), host: h, do: do})
}

// run lets time pass, with requests, leases and due messages.
func (w *simulation) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.ledUntil[w.term] = w.now
		for _, id := range w.ids {
			w.stepRequests(w.engines[id])
		}
		for i, h := range w.hosts {
			w.sendLease(i, h)
		}
		w.deliver()
	}
}

func (w *simulation) sendLease(i int, h *host) {
	var e Event = Tick{}
	if i == w.leader {
		e = LeaseHeld{Fence: w.term, At: w.now}
	} else if w.rng.IntN(10) == 0 {
		e = LeaseLost{}
	}
	w.schedule(0, h, func() { w.step(h, e) })
}

func (w *simulation) deliver() {
	slices.SortStableFunc(w.queue, func(a, b message) int { return a.at.Compare(b.at) })
	for i := 0; i < len(w.queue); i++ {
		m := w.queue[i]
		if m.at.After(w.now) || m.host != nil && w.now.Before(m.host.pausedUntil) {
			continue
		}
		w.queue = slices.Delete(w.queue, i, i+1)
		i--
		m.do()
	}
}

// stepRequests ends and starts requests. An engine that is loading or empty
// gets none.
func (w *simulation) stepRequests(e *engine) {
	e.requests = slices.DeleteFunc(e.requests, func(end time.Time) bool { return !w.now.Before(end) })
	drainKnown := e.report.Draining && w.now.Sub(e.drainedAt) >= simulationOptions().PropagationDelay
	if !e.down && !drainKnown && e.report.Version != "" && !e.loading(w.now) && w.rng.IntN(8) == 0 {
		e.requests = append(e.requests, w.now.Add(w.randomUpTo(w.randomUpTo(maxRequest))))
	}
}

func (w *simulation) step(h *host, e Event) {
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

func (w *simulation) poll(h *host, p Poll) {
	if w.chance(10) {
		w.schedule(time.Second, h, func() { w.step(h, Observed{Target: p.Target, PolledAt: p.PolledAt}) })
		return
	}
	w.schedule(w.randomUpTo(step), nil, func() {
		e, end := w.engines[p.Target], Observed{Target: p.Target, PolledAt: p.PolledAt}
		if !e.down {
			end.Report = w.reportOf(e)
		}
		w.schedule(w.randomUpTo(3*step), h, func() { w.step(h, end) })
	})
}

// reportOf returns the engine's report, which may be up to a second old.
func (w *simulation) reportOf(e *engine) *ports.LoadReport {
	if w.now.Sub(e.cached.At) > simulationOptions().ReportLag-step || w.rng.IntN(8) == 0 {
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

func (w *simulation) warmUp(h *host, u WarmUp) {
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
	w.schedule(3*step, h, func() {
		h.warmedUp[u.Target] = h.warmedUp[u.Target] || end.Outcome != WarmUpFailed
		w.step(h, end)
	})
}

// send writes an order after a delay, during which its host may be paused.
func (w *simulation) send(h *host, s Send) {
	w.checkSender(h, s)
	w.checkOrder(h, s)
	w.ordersInFlight = append(w.ordersInFlight, s)
	if h.p.find(s.Target).goal.Leaving {
		w.leavingDrains[s.Order.ID] = s.Order.Fence
	}
	w.sendCount++ // Orders of one step differ in their time by a nanosecond.
	desired, sent := h.p.desired, w.now.Add(time.Duration(w.sendCount))
	sendDelay := w.randomUpTo(step)
	if w.chance(20) {
		sendDelay = w.randomUpTo(2 * expiry)
	}
	w.schedule(sendDelay, h, func() {
		if !w.now.Before(s.Order.Expires) {
			w.removeInFlight(s)
			w.step(h, OrderEnded{Target: s.Target, ID: s.Order.ID, Outcome: OrderExpired})
			return
		}
		transitTime := w.randomUpTo(step)
		if w.chance(30) {
			transitTime = w.randomUpTo(expiry)
		}
		w.schedule(transitTime, nil, func() { w.deliverOrder(h, s, desired, sent) })
	})
}

// removeInFlight removes an order from those in flight.
func (w *simulation) removeInFlight(s Send) {
	w.ordersInFlight = slices.DeleteFunc(w.ordersInFlight, func(o Send) bool { return o == s })
}

// mayArrive reports whether an order of a kind may still arrive at a target,
// except a newer leader's drain of a leaving one.
func (w *simulation) mayArrive(fence uint64, target string, kinds ...ports.OrderKind) bool {
	return slices.ContainsFunc(w.ordersInFlight, func(s Send) bool {
		return s.Target == target && w.leavingDrains[s.Order.ID] <= fence && slices.Contains(kinds, s.Order.Kind) && w.now.Before(s.Order.Expires.Add(expiry))
	})
}

// deliverOrder lets an engine process an order; the response may be lost, late
// or duplicated.
func (w *simulation) deliverOrder(h *host, s Send, desired Desired, sent time.Time) {
	w.removeInFlight(s)
	end := OrderEnded{Target: s.Target, ID: s.Order.ID}
	end.Outcome = w.execute(w.engines[s.Target], s.Order, desired, sent)
	if end.Outcome == OrderAccepted && w.chance(25) {
		end.Outcome = OrderUnanswered
	}
	responseDelay := w.randomUpTo(step)
	if w.chance(20) {
		responseDelay = w.randomUpTo(5 * expiry)
	}
	deliver := func() {
		if end.Outcome == OrderOldFence {
			h.refusedFence = max(h.refusedFence, s.Order.Fence)
		}
		w.step(h, end)
	}
	w.schedule(responseDelay, h, deliver)
	if w.chance(10) {
		w.schedule(responseDelay+w.randomUpTo(3*expiry), h, deliver)
	}
}

func (w *simulation) execute(e *engine, o ports.Order, desired Desired, sent time.Time) Outcome {
	switch {
	case e.down:
		return OrderUnanswered
	case e.checksFence && o.Fence < e.fence:
		return OrderOldFence
	}
	w.checkFence(e, o)
	e.fence = max(e.fence, o.Fence)
	if e.executed[o.ID] {
		return OrderAccepted
	}
	e.executed[o.ID] = true
	w.executedOrders++
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
		w.load(e, sent, desired.Goals[slices.Index(w.ids, e.id)].Version.Bytes)
	}
	return OrderAccepted
}

func (w *simulation) load(e *engine, sent time.Time, bytes int64) {
	w.starts = append(w.starts, loadStart{at: w.now, sent: sent, bytes: bytes})
	w.checkRate(e)
	e.loadEnds = w.now.Add(time.Duration(bytes) * time.Second / storeRate)
}
