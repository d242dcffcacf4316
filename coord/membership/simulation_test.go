package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// fataler is implemented by testing.T and rapid.T.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// delivery is a scheduled event: a tick of an instance (from is empty) or a
// message.
type delivery struct {
	at         time.Time
	order      int
	to, from   string
	startCount int
	data       []byte
}

type schedule []delivery

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || s[i].at.Equal(s[j].at) && s[i].order < s[j].order
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(delivery)) }
func (s *schedule) Pop() any {
	old := *s
	d := old[len(old)-1]
	*s = old[:len(old)-1]
	return d
}

type host struct {
	*Group
	id   string
	zone string
	// startCount is the number of starts; ticks scheduled before the last one
	// are ignored.
	startCount  int
	running     bool
	frozenUntil time.Time
	left        bool
	// highest is the highest state seen of each member since the last start.
	highest map[string]View
	events  []Event
}

// simulation is a network with its instances in virtual time.
type simulation struct {
	t     fataler
	cfg   Config
	rng   *rand.Rand
	now   time.Time
	epoch time.Time
	queue schedule
	order int
	hosts map[string]*host
	ids   []string

	loss, duplicate float64
	delay           time.Duration
	blocked         func(from, to string) bool

	messages, bytes int
	spent           time.Duration
	timed           bool
}

func newSimulation(t fataler, n int, seed uint64) *simulation {
	sim := &simulation{
		t:     t,
		cfg:   DefaultConfig(),
		rng:   rand.New(rand.NewPCG(seed, 1)),
		now:   time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
		hosts: map[string]*host{},
		delay: 500 * time.Microsecond,
	}
	sim.epoch = sim.now
	for i := range n {
		id := fmt.Sprintf("malang-%d", i)
		sim.ids = append(sim.ids, id)
		sim.hosts[id] = &host{id: id, zone: string(rune('a' + i%3))}
	}
	for _, id := range sim.ids {
		sim.start(id, uint64(sim.now.UnixMilli()))
	}
	return sim
}

// start starts or restarts an instance that knows only the platform's list.
func (sim *simulation) start(id string, incarnation uint64) {
	h := sim.hosts[id]
	h.startCount++
	h.running, h.left, h.frozenUntil = true, false, time.Time{}
	h.highest = map[string]View{}
	self := Member{
		ID: id, Region: "jatim", Zone: h.zone, Address: "10.0.0.1:7000", Incarnation: incarnation,
		Roles: []string{"entry"}, Meta: []byte{byte(h.startCount), 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12},
	}
	g, err := New(sim.cfg, self, rand.New(rand.NewPCG(sim.rng.Uint64(), 2)))
	if err != nil {
		sim.t.Fatalf("%v", err)
	}
	h.Group = g
	var list []Hint
	for _, other := range sim.ids {
		list = append(list, Hint{ID: other})
	}
	g.Hint(sim.now, list)
	sim.at(sim.rand(sim.cfg.TickInterval), delivery{to: id, startCount: h.startCount})
}

func (sim *simulation) rand(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(d) + 1))
}

func (sim *simulation) at(after time.Duration, d delivery) {
	sim.order++
	d.at, d.order = sim.now.Add(after), sim.order
	heap.Push(&sim.queue, d)
}

func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		next := heap.Pop(&sim.queue).(delivery)
		sim.now = next.at
		sim.handle(next)
	}
	sim.now = end
}

func (sim *simulation) handle(d delivery) {
	h := sim.hosts[d.to]
	if !h.running || d.from == "" && h.startCount != d.startCount {
		return
	}
	if sim.now.Before(h.frozenUntil) {
		// A frozen process handles the event when it goes on.
		sim.at(h.frozenUntil.Sub(sim.now), d)
		return
	}
	if d.from == "" {
		sim.at(sim.cfg.TickInterval, delivery{to: h.id, startCount: h.startCount})
	}
	var began time.Time
	if sim.timed {
		began = time.Now()
	}
	var out []Out
	if d.from == "" {
		out = h.Tick(sim.now)
	} else {
		m, err := Decode(d.data)
		if err != nil {
			sim.t.Fatalf("%s to %s: %v", d.from, d.to, err)
		}
		out = h.Step(sim.now, d.from, m)
	}
	sim.send(h.id, out)
	if sim.timed {
		sim.spent += time.Since(began)
	}
	sim.check(h)
}

func (sim *simulation) send(from string, out []Out) {
	for _, o := range out {
		data, err := Encode(o.Message)
		if err != nil || len(data) > sim.cfg.MaxBytes {
			sim.t.Fatalf("message of %d bytes (at most %d), %v: %+v", len(data), sim.cfg.MaxBytes, err, o.Message)
		}
		sim.messages++
		sim.bytes += len(data)
		if sim.hosts[o.To] == nil || sim.blocked != nil && sim.blocked(from, o.To) || sim.rng.Float64() < sim.loss {
			continue
		}
		copies := 1
		if sim.rng.Float64() < sim.duplicate {
			copies = 2
		}
		for range copies {
			sim.at(sim.delay+sim.rand(sim.delay), delivery{to: o.To, from: from, data: data})
		}
	}
}

// check runs after each step of a host: no state in its view may go back.
func (sim *simulation) check(h *host) {
	events := h.Events()
	h.events = append(h.events, events...)
	for _, e := range events {
		v := View{Member: e.Member, State: e.State}
		if e.Member.ID != h.id {
			sim.checkNoRollback(h, v)
		}
	}
	if own := h.Self(); own.Incarnation < h.highest[h.id].Incarnation {
		sim.t.Fatalf("%s went back to incarnation %d", h.id, own.Incarnation)
	} else {
		h.highest[h.id] = View{Member: own}
	}
}

func (sim *simulation) checkNoRollback(h *host, v View) {
	old, known := h.highest[v.ID]
	if known && compareStates(v.Incarnation, v.State, old.Incarnation, old.State) < 0 {
		sim.t.Fatalf("%s changed %s@%d from %v back to %v@%d", h.id, v.ID, old.Incarnation, old.State, v.State, v.Incarnation)
	}
	h.highest[v.ID] = v
}

// checkConverged compares the view of every running host with the actual state.
func (sim *simulation) checkConverged() {
	sim.t.Helper()
	for _, id := range sim.ids {
		h := sim.hosts[id]
		if !h.running || h.left {
			continue
		}
		if !h.Fresh() {
			sim.t.Fatalf("%s is not fresh", id)
		}
		seen := map[string]View{}
		for _, v := range h.Members() {
			seen[v.ID] = v
		}
		for _, other := range sim.ids {
			sim.checkMember(id, other, seen)
		}
	}
}

func (sim *simulation) checkMember(id, other string, seen map[string]View) {
	sim.t.Helper()
	o := sim.hosts[other]
	v, known := seen[other]
	state := v.State
	switch {
	case o.left && o.running && known && state != Left:
		sim.t.Fatalf("%s holds %s, which has left, for %v", id, other, state)
	case o.left && !o.running && known && state != Left && state != Dead:
		// A member that crashes before its Left update arrives is Dead.
		sim.t.Fatalf("%s holds %s, which has left and crashed, for %v", id, other, state)
	case !o.left && o.running && (!known || state != Alive):
		sim.t.Fatalf("%s holds %s, which runs, for %v (known: %v)", id, other, state, known)
	case !o.left && o.running && (v.Incarnation != o.Self().Incarnation || v.Meta[0] != byte(o.startCount)):
		sim.t.Fatalf("%s holds start %d of %s at incarnation %d, which is start %d at %d", id, v.Meta[0], other, v.Incarnation, o.startCount, o.Self().Incarnation)
	case !o.left && !o.running && known && state != Dead && state != Left:
		sim.t.Fatalf("%s holds %s, which has crashed, for %v", id, other, state)
	}
}
