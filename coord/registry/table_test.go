package registry_test

import (
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/gullhaven/gullhaven/coord/fixedseed"
	"github.com/gullhaven/gullhaven/coord/registry"
)

// record is what a group's state would still have to answer for.
type record struct {
	name    string
	forget  int64 // by true time, in seconds
	granted uint64
}

// world lets groups form, ask, serve, be lost and form anew. It keeps, apart
// from the table, what was served when.
type world struct {
	table   *registry.Table
	index   uint64
	now     int64 // true time, in seconds
	next    uint64
	longest uint32
	alive   map[string]uint64
	opens   map[uint64]int64 // when a group may serve, by true time
	answers map[uint64]registry.Result
	asked   []registry.Register
	records []record
}

func (w *world) ask(t *rapid.T, r registry.Register) registry.Result {
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

func (w *world) name(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "a", "b"}).Draw(t, "name")
}

// lose wipes all disks of a group, which forms anew under another number.
func (w *world) lose(t *rapid.T) { w.form(w.name(t)) }

func (w *world) form(name string) {
	w.next++
	w.alive[name] = w.next
}

// register asks for the group that lives, by a clock that is off by a day.
func (w *world) register(t *rapid.T) {
	name := w.name(t)
	if w.alive[name] == 0 {
		w.form(name)
	}
	group := w.alive[name]
	r := registry.Register{
		Name: name, Group: group, Now: (w.now + rapid.Int64Range(-86400, 86400).Draw(t, "clock")) * 1000,
		LifetimeSeconds: rapid.Uint32Range(0, w.longest).Draw(t, "known"),
	}
	w.asked = append(w.asked, r)
	res := w.ask(t, r)
	if res.Reply != registry.Granted || res.Group != group {
		t.Fatalf("%+v for %+v", res, r)
	}
	if first, known := w.answers[group]; known && first != res {
		t.Fatalf("group %d was told %+v and then %+v", group, first, res)
	} else if !known {
		w.opens[group] = w.now + int64(res.WaitSeconds)
	}
	w.answers[group] = res
}

// again repeats a question of any age. Only the group that lives is granted,
// or one that nothing has replaced yet.
func (w *world) again(t *rapid.T) {
	if len(w.asked) == 0 {
		t.Skip("nothing asked")
	}
	r := rapid.SampledFrom(w.asked).Draw(t, "again")
	res := w.ask(t, r)
	if res.Reply == registry.Granted && res != w.answers[r.Group] {
		t.Fatalf("group %d was told %+v and then %+v", r.Group, w.answers[r.Group], res)
	}
	if _, holds := w.answers[w.alive[r.Name]]; holds && r.Group != w.alive[r.Name] && res.Reply != registry.Replaced {
		t.Fatalf("lost group %d is told %+v", r.Group, res)
	}
}

// serve records something under a lifetime, where the group may.
func (w *world) serve(t *rapid.T) {
	name := w.name(t)
	group := w.alive[name]
	opens, registered := w.opens[group]
	if !registered || w.now < opens || w.longest == 0 {
		t.Skip("may not serve")
	}
	for _, r := range w.records {
		if r.name == name && r.granted != group && r.forget > w.now {
			t.Fatalf("group %d serves at %d while a record of group %d had to be known until %d", group, w.now, r.granted, r.forget)
		}
	}
	life := int64(rapid.SampledFrom([]uint32{1, w.longest, w.longest}).Draw(t, "lifetime"))
	w.records = append(w.records, record{name: name, forget: w.now + life, granted: group})
}

func (w *world) step(t *rapid.T) {
	w.now += rapid.SampledFrom([]int64{1, 5, 20, 60}).Draw(t, "seconds")
}

// bundle brings another lifetime in force; a shorter one counts for nothing.
func (w *world) bundle(t *rapid.T) {
	seconds := rapid.SampledFrom([]uint32{1, 10, 40, 100}).Draw(t, "lifetime")
	w.longest = max(w.longest, seconds)
	w.table.ObserveLifetime(time.Duration(seconds) * time.Second)
}

// restart goes through a snapshot, and reads a part of the log again.
func (w *world) restart(t *rapid.T) {
	before, err := w.table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if w.table, err = registry.Restore(before); err != nil {
		t.Fatal(err)
	}
	for i, r := range w.asked {
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

// Symptom: a booking runs a second time after the disks of its region were
// wiped.
// Events: groups form, register, serve, are lost and form anew, several times;
// lifetimes change; clocks are off; questions are repeated late; the registry
// restarts.
// Cause: a successor that serves before its predecessor would have forgotten
// everything.
func TestSuccessorServesNothingThatIsStillKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			table: registry.New(), now: 1_800_000_000, alive: map[string]uint64{},
			opens: map[uint64]int64{}, answers: map[uint64]registry.Result{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"lose": w.lose, "register": w.register, "again": w.again, "serve": w.serve, "serve more": w.serve,
			"step": w.step, "register more": w.register, "bundle": w.bundle, "restart": w.restart,
		})
	})
}

// Symptom: the registry forgets or grants by what it can't read.
// Events: entries that are empty, cut off or out of bounds are applied.
// Cause: a command that takes effect before it is checked.
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
		t.Errorf("remembered %v", n)
	}
}
