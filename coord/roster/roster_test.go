package roster

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/gullhaven/gullhaven/coord/fixedseed"
)

// world is some regions of three instances in virtual time; the first two live
// instances of a region are its relays.
type world struct {
	now    time.Time
	tables map[string]*Table
	down   map[string]bool
	cut    map[string]bool
	lose   func() bool
	sent   int
	// perRegion is the number of instances in each region.
	perRegion int
}

func contact(region, i int) Contact {
	return Contact{
		ID:      fmt.Sprintf("r%d-%d", region, i),
		Region:  fmt.Sprintf("r%d", region),
		Address: fmt.Sprintf("127.0.%d.%d:1", region, i),
	}
}

func newWorld(regions, perRegion int) *world {
	w := &world{
		now: time.Unix(1000, 0), tables: map[string]*Table{}, down: map[string]bool{},
		cut: map[string]bool{}, lose: func() bool { return false }, perRegion: perRegion,
	}
	var seeds []Contact
	for r := range regions {
		seeds = append(seeds, contact(r, perRegion-1))
	}
	for r := range regions {
		for i := range perRegion {
			c := contact(r, i)
			w.tables[c.ID] = New(c, seeds)
		}
	}
	w.view(regions)
	return w
}

// view gives every instance the live members of its region.
func (w *world) view(regions int) {
	for r := range regions {
		var own OwnRegion
		for i := range w.perRegion {
			if c := contact(r, i); !w.down[c.ID] {
				own.Members = append(own.Members, c)
			}
		}
		own.Relays = own.Members[:min(2, len(own.Members))]
		for i := range w.perRegion {
			t := w.tables[contact(r, i).ID]
			t.SetOwnRegion(own)
			t.SetNeighbours([]string{"r0", "r1", "r2"})
			t.SetSummary([]byte("free"))
		}
	}
}

// ids are in order, so that a case runs the same each time.
func (w *world) ids() []string { return slices.Sorted(maps.Keys(w.tables)) }

func (w *world) tick() {
	w.now = w.now.Add(TickInterval)
	for _, id := range w.ids() {
		if !w.down[id] {
			w.deliver(id, w.tables[id].Tick(w.now))
		}
	}
}

func (w *world) deliver(from string, out []Out) {
	for _, o := range out {
		w.sent++
		crosses := from[:2] != o.To[:2]
		if w.down[o.To] || crosses && (w.cut[from[:2]] || w.cut[o.To[:2]]) || w.lose() {
			continue
		}
		data, err := Encode(o.Message)
		if err != nil {
			panic(err)
		}
		m, err := Decode(data)
		if err != nil {
			panic(err)
		}
		w.deliver(o.To, w.tables[o.To].Step(w.now, from, m))
	}
}

// expect checks what every live instance thinks of a region.
func (w *world) expect(t *rapid.T, region string, want bool, when string) {
	for _, id := range w.ids() {
		table := w.tables[id]
		if w.down[id] || id[:2] == region {
			continue
		}
		if got := table.Reachable(w.now, region); got != want {
			t.Fatalf("%s: %s thinks reachable(%s) = %v", when, id, region, got)
		}
	}
}

// Symptom: requests are spilled to a region that is cut off, or a region is
// never found again after its relays changed while it was cut off.
// Events: instances fail, a region is cut off, others fail meanwhile, it heals.
// Cause: believing a region reachable for as long as its last word stands, or
// sending only to relays that are gone.
func TestReachabilityFollowsTheNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3, 3)
		settle := func(ticks int) {
			for range ticks {
				w.tick()
			}
		}
		fail := func() {
			id := contact(rapid.IntRange(0, 2).Draw(t, "region"), rapid.IntRange(0, 1).Draw(t, "instance")).ID
			w.down[id] = !w.down[id]
			w.view(3)
		}
		settle(8)
		w.expect(t, "r2", true, "at the start")
		for range rapid.IntRange(0, 2).Draw(t, "failures before") {
			fail()
		}
		settle(2)
		w.cut["r2"] = true
		settle(5)
		w.expect(t, "r2", false, "cut off for 5 s")
		for range rapid.IntRange(0, 8).Draw(t, "failures during") {
			fail()
		}
		settle(rapid.IntRange(0, 20).Draw(t, "apart"))
		clear(w.cut)
		settle(7)
		w.expect(t, "r2", true, "healed")
		w.expect(t, "r0", true, "healed")
	})
}

// Symptom: an old grant of a neighbour takes the place of a newer one.
// Events: messages of one relay are doubled and reordered.
// Cause: taking what comes last for the newest.
func TestNewestSummaryWins(t *testing.T) {
	table := New(contact(0, 2), nil)
	table.Step(time.Unix(10, 0), "r1-0", Message{Region: "r1", Seq: 7, Summary: []byte("new")})
	table.Step(time.Unix(11, 0), "r1-0", Message{Region: "r1", Seq: 6, Summary: []byte("old")})
	table.Step(time.Unix(11, 0), "r1-0", Message{Region: "r1", Seq: 7, Summary: []byte("new")})
	got := table.Summaries()
	if len(got) != 1 || string(got[0].Data) != "new" {
		t.Fatalf("summaries: %+v", got)
	}
}

// Symptom: a region's traffic grows with the square of its instances.
// Events: each relay passes each message to every member.
// Cause: relays that do not share the passing on.
func TestMessagesDoNotGrowWithMembers(t *testing.T) {
	for _, size := range []int{3, 9, 30} {
		w := newWorld(3, size)
		for range 10 {
			w.tick()
		}
		w.sent = 0
		for range 60 {
			w.tick()
		}
		// Each region's first relay sends to two relays of two regions, and each
		// of those to the other and to its half of the members, once a second.
		got := float64(w.sent) / 60 / float64(len(w.tables))
		t.Logf("%d instances: %.2f messages for each and second", len(w.tables), got)
		if want := (4 + 2*float64(size)) / float64(size); got > want {
			t.Errorf("%d instances: %.2f messages for each and second, want at most %.2f", len(w.tables), got, want)
		}
	}
}
