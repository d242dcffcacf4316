package route

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func snapshotOf(q Request) *Snapshot {
	cfg := Config{Region: "here", Zone: "a", AdapterLoad: 0}.withDefaults()
	return &Snapshot{Request: &q, Config: &cfg, HoldTime: 1, Model: true, WaitFactor: 1}
}

// idleCandidates returns candidates t0, t1, ... that differ only in their
// names.
func idleCandidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		id := TargetID("t" + string(rune('0'+i)))
		out[i] = Candidate{
			Spec:        &TargetSpec{ID: id, Region: "here", Zone: "a", Slots: 4},
			PrefillTime: 0.001, TokenTime: 0.01, Slots: 4, AheadShare: 1, WarmFor: 1e6, hash: mix(uint64(i)),
		}
	}
	return out
}

func ids(in []Candidate) string {
	s := ""
	for _, c := range in {
		s += string(c.Spec.ID) + " "
	}
	return s
}

func TestFiltersKeepWhatMayBeUsed(t *testing.T) {
	cases := []struct {
		name   string
		filter Filter
		q      Request
		change func(c []Candidate)
		want   string
	}{
		{"allowed region", residencyFilter{}, Request{Regions: []string{"here"}}, func(c []Candidate) { c[1].Spec.Region = "there" }, "t0 t2 "},
		{"any region", residencyFilter{}, Request{}, func(c []Candidate) { c[1].Spec.Region = "there" }, "t0 t1 t2 "},
		{"leaving", stateFilter{}, Request{}, func(c []Candidate) { c[0].Spec.State = Leaving; c[2].Spec.State = Loading }, "t1 "},
		{"adapter", adapterFilter{}, Request{Adapter: "x"}, func(c []Candidate) { c[1].Spec.Adapters = []string{"x"} }, "t1 "},
		{"tried", triedFilter{}, Request{Tried: []TargetID{"t0", "t1"}}, func([]Candidate) {}, "t2 "},
		{"grey and broken", healthFilter{}, Request{}, func(c []Candidate) { c[0].Health = Ejected; c[1].Health = Broken }, "t2 "},
		{"all excluded", healthFilter{}, Request{}, func(c []Candidate) { c[0].Health, c[1].Health, c[2].Health = Broken, Broken, Ejected }, "t0 t1 t2 "},
		{"newly warm and busy", slowStartFilter{}, Request{}, func(c []Candidate) { c[0].WarmFor = 1; c[0].InFlight = 2 }, "t1 t2 "},
		{"newly warm and idle", slowStartFilter{}, Request{}, func(c []Candidate) { c[0].WarmFor = 1 }, "t0 t1 t2 "},
	}
	for _, tc := range cases {
		in := idleCandidates(3)
		tc.change(in)
		if got := ids(tc.filter.Apply(snapshotOf(tc.q), in)); got != tc.want {
			t.Errorf("%s: kept %q, want %q", tc.name, got, tc.want)
		}
	}
}

func TestScorersUseSeconds(t *testing.T) {
	cases := []struct {
		name   string
		scorer Scorer
		change func(s *Snapshot, c *Candidate)
		want   float64
	}{
		{"idle", queueScorer{}, func(*Snapshot, *Candidate) {}, 0.5},
		{"tokens pending", queueScorer{}, func(_ *Snapshot, c *Candidate) { c.PendingTokens = 2000 }, 2.5},
		{"no slot", queueScorer{}, func(_ *Snapshot, c *Candidate) { c.InFlight = 5 }, 1},
		{"plain", queueScorer{}, func(s *Snapshot, c *Candidate) { s.Model = false; c.PlainTime = 0.1; c.InFlight = 4 }, 0.125},
		{"no hit", prefixScorer{}, func(*Snapshot, *Candidate) {}, 0},
		{"hit", prefixScorer{}, func(s *Snapshot, c *Candidate) { c.CachedTokens = 400; s.Config.HitWeight = 1 }, -0.4},
		{"memory free", kvScorer{}, func(s *Snapshot, c *Candidate) { s.MemoryShare = 0.1; s.MemoryHoldTime = 4; c.KVUsed = 0.9 }, 0},
		{"memory missing", kvScorer{}, func(s *Snapshot, c *Candidate) { s.MemoryShare = 0.1; s.MemoryHoldTime = 4; c.KVUsed = 1 }, 0.4},
		{"own zone", zoneScorer{}, func(*Snapshot, *Candidate) {}, 0},
		{"other zone", zoneScorer{}, func(_ *Snapshot, c *Candidate) { c.Spec.Zone = "b" }, 0.001},
		{"adapter to load", adapterScorer{}, func(s *Snapshot, _ *Candidate) { s.Config.AdapterLoad = time.Second }, 1},
		{"adapter loaded", adapterScorer{}, func(s *Snapshot, c *Candidate) {
			s.Config.AdapterLoad = time.Second
			c.Spec.Adapters = []string{"x"}
		}, 0},
	}
	for _, tc := range cases {
		s := snapshotOf(Request{PromptTokens: 500, OutputTokens: 10, Adapter: "x"})
		in := idleCandidates(2)
		tc.change(s, &in[1])
		tc.scorer.Score(s, in)
		if d := in[1].Score - tc.want; d > 1e-9 || d < -1e-9 {
			t.Errorf("%s: scored %v, want %v", tc.name, in[1].Score, tc.want)
		}
	}
}

// Guards against prefilling a new prefix cold at every target: several
// instances see it for the first time, and without a shared hash each picks
// another target.
func TestNewPrefixHasTheSameFewTargets(t *testing.T) {
	s := snapshotOf(Request{})
	s.NewPrefix, s.NewTokens = 77, 1000
	a, b := idleCandidates(8), idleCandidates(8)
	slices.Reverse(b)
	prefixScorer{}.Score(s, a)
	prefixScorer{}.Score(s, b)
	credited := 0
	for i := range a {
		if a[i].Score != b[len(b)-1-i].Score {
			t.Fatalf("credit of %s depends on the order", a[i].Spec.ID)
		}
		if a[i].Score < 0 {
			credited++
		}
	}
	if credited != s.Config.AffinityTargets {
		t.Fatalf("%d credited", credited)
	}
}

func TestPickerSpreadsOverTheNearBestOnly(t *testing.T) {
	s := snapshotOf(Request{})
	in := idleCandidates(4)
	in[3].Score = 1
	var n [4]int
	p := softminPicker{rng: rand.New(rand.NewPCG(1, 1))}
	for range 3000 {
		n[p.Pick(s, in)]++
	}
	if n[3] != 0 || min(n[0], n[1], n[2]) < 800 {
		t.Fatalf("picked %v", n)
	}
}

func TestPrefixIndexFollowsTheCache(t *testing.T) {
	x := newPrefixIndex()
	a, b := newBlockLRU(x, 0, 3), newBlockLRU(x, 1, 3)
	a.touch([]uint64{1, 2, 3})
	b.touch([]uint64{1})
	if known := x.lookup([]uint64{1, 2, 3, 4}); known != 3 || x.held(0) != 3 || x.held(1) != 1 {
		t.Fatalf("known %d, held %d and %d", known, x.held(0), x.held(1))
	}
	a.store(9) // over capacity: evicts the innermost block
	if x.lookup([]uint64{1, 2, 3}); x.held(0) != 2 {
		t.Fatalf("held %d after eviction", x.held(0))
	}
	a.clear()
	b.clear()
	if len(x.holders) != 0 || x.lookup([]uint64{1}) != 0 {
		t.Fatalf("%d blocks left", len(x.holders))
	}
}

// Guards against unbounded growth of the index and of lookup time by a block
// that all targets hold.
func TestPrefixIndexBoundsHolders(t *testing.T) {
	x := newPrefixIndex()
	var all []*blockLRU
	for i := range int32(2 * maxHolders) {
		all = append(all, newBlockLRU(x, i, 8))
		all[i].store(7)
	}
	if n := len(x.holders[7]); n != maxHolders {
		t.Fatalf("%d holders", n)
	}
	for _, c := range all {
		c.clear()
	}
	if len(x.holders) != 0 {
		t.Fatalf("%d blocks left", len(x.holders))
	}
}
