package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// fataler is what both testing.T and rapid.T offer.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// delivery is something that happens at a time: a tick of an instance (from is
// empty) or a message.
type delivery struct {
	at       time.Time
	order    int
	to, from string
	life     int
	data     []byte
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
	// life counts starts; what was scheduled for an earlier one is void.
	life        int
	running     bool
	frozenUntil time.Time
	left        bool
	// highest is the highest belief seen of each member in this life.
	highest map[string]View
	events  []Event
}

// world is a network with its instances in virtual time.
type world struct {
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
	cut             func(from, to string) bool

	messages, bytes int
	spent           time.Duration
	timed           bool
}

func newWorld(t fataler, n int, seed uint64) *world {
	w := &world{
		t:     t,
		cfg:   DefaultConfig(),
		rng:   rand.New(rand.NewPCG(seed, 1)),
		now:   time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
		hosts: map[string]*host{},
		delay: 500 * time.Microsecond,
	}
	w.epoch = w.now
	for i := range n {
		id := fmt.Sprintf("malang-%d", i)
		w.ids = append(w.ids, id)
		w.hosts[id] = &host{id: id, zone: string(rune('a' + i%3))}
	}
	for _, id := range w.ids {
		w.start(id, uint64(w.now.UnixMilli()))
	}
	return w
}

// start begins a new life that knows only the platform's list.
func (w *world) start(id string, incarnation uint64) {
	h := w.hosts[id]
	h.life++
	h.running, h.left, h.frozenUntil = true, false, time.Time{}
	h.highest = map[string]View{}
	self := Member{
		ID: id, Region: "jatim", Zone: h.zone, Address: "10.0.0.1:7000", Incarnation: incarnation,
		Roles: []string{"entry"}, Meta: []byte{byte(h.life), 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12},
	}
	g, err := New(w.cfg, self, rand.New(rand.NewPCG(w.rng.Uint64(), 2)))
	if err != nil {
		w.t.Fatalf("%v", err)
	}
	h.Group = g
	var list []Hint
	for _, other := range w.ids {
		list = append(list, Hint{ID: other})
	}
	g.Hint(w.now, list)
	w.at(w.rand(w.cfg.TickInterval), delivery{to: id, life: h.life})
}

func (w *world) rand(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d) + 1)) }

func (w *world) at(after time.Duration, d delivery) {
	w.order++
	d.at, d.order = w.now.Add(after), w.order
	heap.Push(&w.queue, d)
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(delivery)
		w.now = next.at
		w.handle(next)
	}
	w.now = end
}

func (w *world) handle(d delivery) {
	h := w.hosts[d.to]
	if !h.running || d.from == "" && h.life != d.life {
		return
	}
	if w.now.Before(h.frozenUntil) {
		// A frozen process finds what came meanwhile when it goes on.
		w.at(h.frozenUntil.Sub(w.now), d)
		return
	}
	if d.from == "" {
		w.at(w.cfg.TickInterval, delivery{to: h.id, life: h.life})
	}
	var began time.Time
	if w.timed {
		began = time.Now()
	}
	var out []Out
	if d.from == "" {
		out = h.Tick(w.now)
	} else {
		m, err := Decode(d.data)
		if err != nil {
			w.t.Fatalf("%s to %s: %v", d.from, d.to, err)
		}
		out = h.Step(w.now, d.from, m)
	}
	w.send(h.id, out)
	if w.timed {
		w.spent += time.Since(began)
	}
	w.check(h)
}

func (w *world) send(from string, out []Out) {
	for _, o := range out {
		data, err := Encode(o.Message)
		if err != nil || len(data) > w.cfg.MaxBytes {
			w.t.Fatalf("message of %d bytes (at most %d), %v: %+v", len(data), w.cfg.MaxBytes, err, o.Message)
		}
		w.messages++
		w.bytes += len(data)
		if w.hosts[o.To] == nil || w.cut != nil && w.cut(from, o.To) || w.rng.Float64() < w.loss {
			continue
		}
		copies := 1
		if w.rng.Float64() < w.duplicate {
			copies = 2
		}
		for range copies {
			w.at(w.delay+w.rand(w.delay), delivery{to: o.To, from: from, data: data})
		}
	}
}

// check is run after each step of a host: what it believes never goes back.
func (w *world) check(h *host) {
	events := h.Events()
	h.events = append(h.events, events...)
	for _, e := range events {
		v := View{Member: e.Member, State: e.State}
		if e.Member.ID != h.id {
			w.checkRise(h, v)
		}
	}
	if own := h.Self(); own.Incarnation < h.highest[h.id].Incarnation {
		w.t.Fatalf("%s went back to incarnation %d", h.id, own.Incarnation)
	} else {
		h.highest[h.id] = View{Member: own}
	}
}

func (w *world) checkRise(h *host, v View) {
	old, known := h.highest[v.ID]
	if known && compareBelief(v.Incarnation, v.State, old.Incarnation, old.State) < 0 {
		w.t.Fatalf("%s took back %s@%d %v for %v@%d", h.id, v.ID, old.Incarnation, old.State, v.State, v.Incarnation)
	}
	h.highest[v.ID] = v
}

// checkSettled compares every running host's view with the truth.
func (w *world) checkSettled() {
	w.t.Helper()
	for _, id := range w.ids {
		h := w.hosts[id]
		if !h.running || h.left {
			continue
		}
		if !h.Fresh() {
			w.t.Fatalf("%s is not fresh", id)
		}
		seen := map[string]View{}
		for _, v := range h.Members() {
			seen[v.ID] = v
		}
		for _, other := range w.ids {
			w.checkBelief(id, other, seen)
		}
	}
}

func (w *world) checkBelief(id, other string, seen map[string]View) {
	w.t.Helper()
	o := w.hosts[other]
	v, known := seen[other]
	state := v.State
	switch {
	case o.left && o.running && known && state != Left:
		w.t.Fatalf("%s holds %s, which has left, for %v", id, other, state)
	case o.left && !o.running && known && state != Left && state != Dead:
		// One that crashes before anybody hears that it leaves is Dead.
		w.t.Fatalf("%s holds %s, which has left and crashed, for %v", id, other, state)
	case !o.left && o.running && (!known || state != Alive):
		w.t.Fatalf("%s holds %s, which runs, for %v (known: %v)", id, other, state, known)
	case !o.left && o.running && (v.Incarnation != o.Self().Incarnation || v.Meta[0] != byte(o.life)):
		w.t.Fatalf("%s holds life %d of %s at %d, which is %d at %d", id, v.Meta[0], other, v.Incarnation, o.life, o.Self().Incarnation)
	case !o.left && !o.running && known && state != Dead && state != Left:
		w.t.Fatalf("%s holds %s, which has crashed, for %v", id, other, state)
	}
}
