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

// simulation is a set of regions in virtual time; the first two live instances
// of a region are its relays.
type simulation struct {
	now         time.Time
	tables      map[string]*Table
	down        map[string]bool
	partitioned map[string]bool
	lose        func() bool
	sent        int
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

func newSimulation(regions, perRegion int) *simulation {
	sim := &simulation{
		now: time.Unix(1000, 0), tables: map[string]*Table{}, down: map[string]bool{},
		partitioned: map[string]bool{}, lose: func() bool { return false }, perRegion: perRegion,
	}
	var seeds []Contact
	for r := range regions {
		seeds = append(seeds, contact(r, perRegion-1))
	}
	for r := range regions {
		for i := range perRegion {
			c := contact(r, i)
			sim.tables[c.ID] = New(c, seeds)
		}
	}
	sim.setViews(regions)
	return sim
}

// setViews sets the live members of its region at every instance.
func (sim *simulation) setViews(regions int) {
	for r := range regions {
		var own OwnRegion
		for i := range sim.perRegion {
			if c := contact(r, i); !sim.down[c.ID] {
				own.Members = append(own.Members, c)
			}
		}
		own.Relays = own.Members[:min(2, len(own.Members))]
		for i := range sim.perRegion {
			t := sim.tables[contact(r, i).ID]
			t.SetOwnRegion(own)
			t.SetNeighbours([]string{"r0", "r1", "r2"})
			t.SetSummary([]byte("free"))
		}
	}
}

// ids returns all ids sorted, so that a case runs the same each time.
func (sim *simulation) ids() []string { return slices.Sorted(maps.Keys(sim.tables)) }

func (sim *simulation) tick() {
	sim.now = sim.now.Add(TickInterval)
	for _, id := range sim.ids() {
		if !sim.down[id] {
			sim.deliver(id, sim.tables[id].Tick(sim.now))
		}
	}
}

func (sim *simulation) deliver(from string, out []Out) {
	for _, o := range out {
		sim.sent++
		crosses := from[:2] != o.To[:2]
		if sim.down[o.To] || crosses && (sim.partitioned[from[:2]] || sim.partitioned[o.To[:2]]) || sim.lose() {
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
		sim.deliver(o.To, sim.tables[o.To].Step(sim.now, from, m))
	}
}

// expectReachable checks Reachable of a region at every live instance of the
// others.
func (sim *simulation) expectReachable(t *rapid.T, region string, want bool, when string) {
	for _, id := range sim.ids() {
		table := sim.tables[id]
		if sim.down[id] || id[:2] == region {
			continue
		}
		if got := table.Reachable(sim.now, region); got != want {
			t.Fatalf("%s: at %s, Reachable(%s) = %v", when, id, region, got)
		}
	}
}

// Guards against spillover to a partitioned region if its last message counts
// without a timeout, and against a region that is never found again after a
// partition if messages go only to relays that failed meanwhile.
func TestReachabilityFollowsTheNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(3, 3)
		runTicks := func(ticks int) {
			for range ticks {
				sim.tick()
			}
		}
		fail := func() {
			id := contact(rapid.IntRange(0, 2).Draw(t, "region"), rapid.IntRange(0, 1).Draw(t, "instance")).ID
			sim.down[id] = !sim.down[id]
			sim.setViews(3)
		}
		runTicks(8)
		sim.expectReachable(t, "r2", true, "at the start")
		for range rapid.IntRange(0, 2).Draw(t, "failures before") {
			fail()
		}
		runTicks(2)
		sim.partitioned["r2"] = true
		runTicks(5)
		sim.expectReachable(t, "r2", false, "partitioned for 5 s")
		for range rapid.IntRange(0, 8).Draw(t, "failures during") {
			fail()
		}
		runTicks(rapid.IntRange(0, 20).Draw(t, "apart"))
		clear(sim.partitioned)
		runTicks(7)
		sim.expectReachable(t, "r2", true, "healed")
		sim.expectReachable(t, "r0", true, "healed")
	})
}

// Guards against an old summary replacing a newer one when messages of one
// relay are duplicated and reordered.
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

// Guards against traffic that grows with the square of the instances of a region
// if relays do not divide the members among them.
func TestMessagesDoNotGrowWithMembers(t *testing.T) {
	for _, size := range []int{3, 9, 30} {
		sim := newSimulation(3, size)
		for range 10 {
			sim.tick()
		}
		sim.sent = 0
		for range 60 {
			sim.tick()
		}
		// Each region's first relay sends to two relays of two regions, and each
		// of those to the other and to its half of the members, once a second.
		got := float64(sim.sent) / 60 / float64(len(sim.tables))
		t.Logf("%d instances: %.2f messages per instance and second", len(sim.tables), got)
		if want := (4 + 2*float64(size)) / float64(size); got > want {
			t.Errorf("%d instances: %.2f messages per instance and second, want at most %.2f", len(sim.tables), got, want)
		}
	}
}
