package registry_test

import (
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/gullhaven/gullhaven/coord/fixedseed"
	"github.com/gullhaven/gullhaven/coord/registry"
)

// servedRecord is a record that a group's state must still hold.
type servedRecord struct {
	name      string
	expiresAt int64 // by true time, in seconds
	group     uint64
}

// simulation lets groups form, register, serve, be lost and form anew. Apart from the
// table, it records what was served when.
type simulation struct {
	table       *registry.Table
	index       uint64
	now         int64 // true time, in seconds
	nextGroup   uint64
	maxLifetime uint32            // in seconds
	current     map[string]uint64 // the newest group of each name
	servesFrom  map[uint64]int64  // when a group may serve, by true time, in seconds
	results     map[uint64]registry.Result
	requests    []registry.Register
	records     []servedRecord
}

func (w *simulation) apply(t *rapid.T, r registry.Register) registry.Result {
	entry, err := registry.Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	w.index++
	res, err := registry.DecodeResult(w.table.Apply(w.index, entry))
	if err != nil {
		t.Fatal(err)
	}
	return res
}

func (w *simulation) name(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "a", "b"}).Draw(t, "name")
}

// loseDisks wipes all disks of a group, which forms anew under another number.
func (w *simulation) loseDisks(t *rapid.T) { w.form(w.name(t)) }

func (w *simulation) form(name string) {
	w.nextGroup++
	w.current[name] = w.nextGroup
}

// register registers the current group, by a clock that is off by up to a day.
func (w *simulation) register(t *rapid.T) {
	name := w.name(t)
	if w.current[name] == 0 {
		w.form(name)
	}
	group := w.current[name]
	r := registry.Register{
		Name: name, Group: group, Now: (w.now + rapid.Int64Range(-86400, 86400).Draw(t, "clock")) * 1000,
		LifetimeSeconds: rapid.Uint32Range(0, w.maxLifetime).Draw(t, "known"),
	}
	w.requests = append(w.requests, r)
	res := w.apply(t, r)
	if res.Reply != registry.Granted || res.Group != group {
		t.Fatalf("%+v for %+v", res, r)
	}
	if first, known := w.results[group]; known && first != res {
		t.Fatalf("group %d got %+v and then %+v", group, first, res)
	} else if !known {
		w.servesFrom[group] = w.now + int64(res.WaitSeconds)
	}
	w.results[group] = res
}

// repeatRequest repeats an earlier request of any age. Only the current group is
// granted, or one that nothing has replaced yet.
func (w *simulation) repeatRequest(t *rapid.T) {
	if len(w.requests) == 0 {
		t.Skip("no requests yet")
	}
	r := rapid.SampledFrom(w.requests).Draw(t, "again")
	res := w.apply(t, r)
	if res.Reply == registry.Granted && res != w.results[r.Group] {
		t.Fatalf("group %d got %+v and then %+v", r.Group, w.results[r.Group], res)
	}
	if _, holds := w.results[w.current[r.Name]]; holds && r.Group != w.current[r.Name] && res.Reply != registry.Replaced {
		t.Fatalf("lost group %d got %+v", r.Group, res)
	}
}

// serve adds a record with a lifetime, if the group may serve.
func (w *simulation) serve(t *rapid.T) {
	name := w.name(t)
	group := w.current[name]
	servesFrom, registered := w.servesFrom[group]
	if !registered || w.now < servesFrom || w.maxLifetime == 0 {
		t.Skip("may not serve")
	}
	for _, r := range w.records {
		if r.name == name && r.group != group && r.expiresAt > w.now {
			t.Fatalf("group %d serves at %d while a record of group %d had to be known until %d", group, w.now, r.group, r.expiresAt)
		}
	}
	lifetime := int64(rapid.SampledFrom([]uint32{1, w.maxLifetime, w.maxLifetime}).Draw(t, "lifetime"))
	w.records = append(w.records, servedRecord{name: name, expiresAt: w.now + lifetime, group: group})
}

func (w *simulation) advanceTime(t *rapid.T) {
	w.now += rapid.SampledFrom([]int64{1, 5, 20, 60}).Draw(t, "seconds")
}

// bundle puts another lifetime in force; a shorter one has no effect.
func (w *simulation) bundle(t *rapid.T) {
	seconds := rapid.SampledFrom([]uint32{1, 10, 40, 100}).Draw(t, "lifetime")
	w.maxLifetime = max(w.maxLifetime, seconds)
	w.table.ObserveLifetime(time.Duration(seconds) * time.Second)
}

// restart restores the table from a snapshot and applies a part of the log again.
func (w *simulation) restart(t *rapid.T) {
	before, err := w.table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if w.table, err = registry.Restore(before); err != nil {
		t.Fatal(err)
	}
	for i, r := range w.requests {
		entry, _ := registry.Encode(r)
		if uint64(i) < w.index {
			w.table.Apply(uint64(i)+1, entry)
		}
	}
	after, err := w.table.Snapshot()
	if err != nil || !bytes.Equal(before, after) {
		t.Fatalf("%x is %x after a restart (%v)", before, after, err)
	}
}

// Guards against a booking that runs a second time after the disks of its region were
// wiped: a successor must not serve before its predecessor would have removed
// everything. Groups form, register, serve, are lost and form anew; lifetimes change;
// clocks are off; requests are repeated late; the registry restarts.
func TestSuccessorServesNothingThatIsStillKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{
			table: registry.New(), now: 1_800_000_000, current: map[string]uint64{},
			servesFrom: map[uint64]int64{}, results: map[uint64]registry.Result{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"lose": w.loseDisks, "register": w.register, "again": w.repeatRequest, "serve": w.serve, "serve more": w.serve,
			"step": w.advanceTime, "register more": w.register, "bundle": w.bundle, "restart": w.restart,
		})
	})
}

// Guards against malformed commands that change the table: entries that are empty,
// truncated or out of bounds must not take effect.
func TestMalformedCommandsChangeNothing(t *testing.T) {
	table := registry.New()
	bad := [][]byte{nil, {registry.Tag}, {0xa0}, {registry.Tag, 0xff}}
	for _, r := range []registry.Register{
		{Group: 1}, {Name: "a"}, {Name: string(make([]byte, registry.MaxNameBytes+1)), Group: 1},
		{Name: "a", Group: 1, LifetimeSeconds: 1 << 31},
	} {
		entry, err := registry.Encode(r)
		if err != nil {
			t.Fatal(err)
		}
		bad = append(bad, entry)
	}
	for i, entry := range bad {
		res, err := registry.DecodeResult(table.Apply(uint64(i)+1, entry))
		if err != nil || res.Reply != registry.Invalid || res.Message == "" {
			t.Errorf("%x: %+v, %v", entry, res, err)
		}
	}
	if n := table.Entries(); len(n) != 0 {
		t.Errorf("the table holds %v", n)
	}
}
