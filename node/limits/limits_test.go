package limits

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	_ "github.com/gullhaven/gullhaven/coord/fixedseed"
	"github.com/gullhaven/gullhaven/coord/limit"
)

var (
	start = time.Unix(1_800_000_000, 0)
	whole = limit.Limit{Rate: 100, Burst: 100 * burst}
)

const (
	step      = 250 * time.Millisecond
	workspace = "w"
)

func lookup(id limit.ID) (limit.Limit, bool) { return whole, id.Resource == limit.Requests }

// region is the Books of its instances, which report at different moments.
type region struct {
	t     *rapid.T
	now   time.Time
	turn  int
	names []string
	books map[string]*Table
	dead  map[string]bool
	// asked are units that each asks for in a step.
	asked map[string]int
	// passed in the last step by each.
	passed map[string]int
	lost   func() bool
	// cut is one whose reports don't arrive.
	cut string
	// excess is what passed above what is allowed since its lowest point.
	excess float64
	// saved bounds what may have been saved up.
	saved float64
}

func newRegion(t *rapid.T) *region {
	r := &region{t: t, now: start, books: map[string]*Table{}, dead: map[string]bool{}, asked: map[string]int{}, passed: map[string]int{}, saved: 2 * whole.Burst}
	for i := range rapid.IntRange(2, 9).Draw(t, "instances") {
		name := fmt.Sprint("i", i)
		r.names = append(r.names, name)
		r.books[name] = NewTable(name, lookup)
	}
	for _, name := range r.names {
		r.view(name, r.names)
	}
	return r
}

func (r *region) view(of string, members []string) {
	var lives []string
	for _, m := range members {
		lives = append(lives, lifeOf(m))
	}
	r.books[of].SetMembers(r.now, members, lives)
}

func lifeOf(name string) string { return name + "/1" }

// step lets all ask, and some report; allowed is the rate that may pass.
func (r *region) step(allowed float64) {
	passed := 0
	for i, name := range r.names {
		r.passed[name] = 0
		if r.dead[name] {
			continue
		}
		for range r.asked[name] {
			if r.books[name].Take(r.now, workspace, 1, 0).OK {
				r.passed[name]++
			}
		}
		passed += r.passed[name]
		if steps := int(ReportInterval / step); (r.turn+i)%steps == 0 {
			r.report(name)
		}
		if r.turn%int(Lease/step) == 0 {
			r.books[name].Sweep(r.now)
		}
	}
	r.excess = max(0, r.excess+float64(passed)-allowed*step.Seconds())
	if most := r.saved + allowed*step.Seconds() + float64(len(r.names)); r.excess > most {
		r.t.Fatalf("%v above %v a second, at most %v", r.excess, allowed, most)
	}
	r.turn++
	r.now = r.now.Add(step)
}

func (r *region) report(name string) {
	for _, a := range r.books[name].Reports(r.now, lifeOf(name)) {
		var sent Report
		r.carry(a.Report, &sent)
		if r.dead[a.Owner] || r.cut == name || r.lost != nil && r.lost() {
			continue
		}
		answer, err := r.books[a.Owner].HandleReport(r.now, lifeOf(name), sent)
		if err != nil {
			r.t.Fatal(err)
		}
		var got Answer
		r.carry(answer, &got)
		if r.lost == nil || !r.lost() {
			r.books[name].ApplyShares(r.now, got)
		}
	}
}

func (r *region) carry(from, to any) {
	data, err := cbor.Marshal(from)
	if err == nil {
		err = cbor.Unmarshal(data, to)
	}
	if err != nil {
		r.t.Fatal(err)
	}
}

// run steps for a time and returns the rate that passed.
func (r *region) run(d time.Duration, allowed float64) float64 {
	sum := 0
	for range d / step {
		r.step(allowed)
		for _, n := range r.passed {
			sum += n
		}
	}
	return float64(sum) / d.Seconds()
}

func (r *region) owner() string { return Owners(r.names)[PartitionOf(workspace)] }

// Symptom: a workspace passes several times its limit, or little of it, after
// the owner of its limit is gone; or for good, as shares of the new owner are
// taken for old ones.
// Events: the owner dies after any time, the others see it at different times;
// messages are lost before; it comes back.
// Cause: a new owner that grants at once; numbers of shares that start anew.
func TestOwnerDies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegion(t)
		for _, name := range r.names {
			r.asked[name] = rapid.SampledFrom([]int{0, 5, 40}).Draw(t, "asked")
		}
		dead := r.owner()
		asks := slices.DeleteFunc(slices.Clone(r.names), func(n string) bool { return n == dead })
		r.asked[asks[0]] = 40
		r.run(time.Duration(rapid.IntRange(0, 60).Draw(t, "before"))*time.Second, 2*whole.Rate)
		r.dead[dead] = true
		// Views change within 6 s of each other.
		seen := map[string]int{}
		for _, name := range asks {
			seen[name] = rapid.IntRange(0, int(6*time.Second/step)).Draw(t, "seen after")
		}
		for i := range int(6*time.Second/step) + 1 {
			for _, name := range asks {
				if seen[name] == i {
					r.view(name, asks)
				}
			}
			r.step(2 * whole.Rate)
		}
		// All new owners' quiet time and the leases of what they granted in it.
		if got := r.run(2*Lease, 2*whole.Rate); got <= 0 {
			t.Fatal("nothing passes while the new owner is quiet")
		}
		r.run(2*Lease, whole.Rate)
		if got := r.run(2*Lease, whole.Rate); got < 0.9*whole.Rate {
			t.Fatalf("survivors pass %v of %v a second", got, whole.Rate)
		}
		r.dead[dead] = false
		for _, name := range r.names {
			r.view(name, r.names)
		}
		r.run(3*Lease, 2*whole.Rate)
		if got := r.run(2*Lease, whole.Rate); got < 0.9*whole.Rate {
			t.Fatalf("%v of %v a second pass after the owner came back", got, whole.Rate)
		}
	})
}

// Symptom: a workspace passes twice its limit for a while with each change of
// owner. Events: a new instance becomes the owner and dies, which all see at
// once; demand moves in the meantime and comes back; the one that kept asking is
// cut off from the next owner. More than the limit is asked for.
// Cause: an owner that grants before its predecessor's shares have ended, or one
// that comes back with what it knew.
func TestOwnersThatFollowEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegion(t)
		old := slices.Clone(r.names)
		for _, name := range old {
			r.asked[name] = 40
		}
		r.run(2*Lease+time.Duration(rapid.IntRange(0, 8).Draw(t, "before"))*time.Second, whole.Rate)
		// Nothing was saved up under this demand.
		r.excess, r.saved = 0, whole.Burst
		first, last := r.owner(), ""
		for i := 0; r.owner() == first; i++ {
			last = fmt.Sprint("x", i)
			r.names = append(slices.Clone(old), last)
		}
		r.books[last] = NewTable(last, lookup)
		for _, name := range r.names {
			r.view(name, r.names)
		}
		one := rapid.SampledFrom(old).Draw(t, "goes on")
		for _, name := range old {
			if name != one {
				r.asked[name] = 0
			}
		}
		r.run(5*Lease, whole.Rate)
		r.excess = 0
		r.names = old
		if rapid.Bool().Draw(t, "cut off") {
			r.cut = one
		}
		for _, name := range old {
			r.asked[name] = 40
			r.view(name, old)
		}
		r.run(Lease, whole.Rate)
		r.cut = ""
		r.run(2*Lease, whole.Rate)
	})
}

// Symptom: two owners that both believe grant more than the limit for good.
// Events: some instances don't see one that others see, for a long time; all
// are in both views otherwise.
// Cause: an owner that counts on those that it doesn't hear to use nothing.
func TestViewsThatDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegion(t)
		for _, name := range r.names {
			r.asked[name] = rapid.SampledFrom([]int{0, 5, 40}).Draw(t, "asked")
		}
		r.run(2*Lease, whole.Rate)
		// A ghost that owns the part is in the views of some; its reports go
		// to the owner among the instances all the same.
		other := rapid.SampledFrom(r.names).Draw(t, "other owner")
		for _, name := range r.names {
			if name == other || rapid.Bool().Draw(t, "believes") {
				r.books[name].owners[PartitionOf(workspace)] = other
			}
		}
		if b := r.books[other]; b.owned[PartitionOf(workspace)] == nil {
			var lives []string
			for _, m := range r.names {
				lives = append(lives, lifeOf(m))
			}
			b.owned[PartitionOf(workspace)] = newOwned(r.now, lookup, lives)
		}
		r.run(3*Lease, 2*whole.Rate)
		r.run(6*Lease, whole.Rate)
	})
}

// Symptom: a workspace that is asked for at one instance gets a part of its
// limit only. Events: the other instances have no demand in its part.
// Cause: instances that say nothing count as cut off, and floors are set aside.
func TestOneThatAsksGetsTheWholeLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegion(t)
		one := rapid.SampledFrom(r.names).Draw(t, "asks")
		r.asked[one] = 40
		r.lost = func() bool { return rapid.IntRange(0, 19).Draw(t, "lost") == 0 }
		r.run(Lease, whole.Rate)
		r.lost = nil
		r.run(3*Lease, whole.Rate)
		if got := r.run(2*Lease, whole.Rate); got < 0.9*whole.Rate {
			t.Fatalf("%v of %v a second pass at one of %d", got, whole.Rate, len(r.names))
		}
		r.asked[one] = 0
		r.run(8*Lease, whole.Rate)
		if n := r.books[one].Len() + r.books[r.owner()].owned[PartitionOf(workspace)].allocator.Len(); n != 0 {
			t.Fatalf("%d limits are kept without demand", n)
		}
	})
}

// Symptom: a part with no owner or two, all parts move with each member, or an
// owner is not asked for one of its parts.
// Events: members join and leave. Cause: owners by place in a list.
func TestPartsAndTheirOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 2, 80, rapid.ID[string]).Draw(t, "members")
		owners := Owners(members)
		fewer := Owners(members[1:])
		for part, owner := range owners {
			if !slices.Contains(members, owner) {
				t.Fatalf("part %d is owned by %q", part, owner)
			}
			if owner != members[0] && fewer[part] != owner {
				t.Fatalf("part %d moved from %s, which stays, to %s", part, owner, fewer[part])
			}
		}
		slices.Reverse(members)
		if Owners(members) != owners {
			t.Fatal("owners depend on the order of members")
		}
		b := NewTable(members[0], lookup)
		b.SetMembers(start, members, members)
		asked := 0
		for _, a := range b.Reports(start, "life") {
			for _, p := range a.Report.Partitions {
				asked++
				if owners[p.Index] != a.Owner {
					t.Fatalf("part %d is asked of %s", p.Index, a.Owner)
				}
			}
		}
		if asked != Partitions {
			t.Fatalf("%d parts are asked for", asked)
		}
	})
}

// Symptom: one instance divides most limits of a large region.
// Cause: parts that don't spread.
func TestPartsSpread(t *testing.T) {
	var members []string
	for i := range 60 {
		members = append(members, fmt.Sprint("i", i))
	}
	parts := map[string]int{}
	for _, owner := range Owners(members) {
		parts[owner]++
	}
	most := 0
	for _, n := range parts {
		most = max(most, n)
	}
	t.Logf("%d of 60 own parts, at most %d", len(parts), most)
	if len(parts) < 30 || most > 5 {
		t.Errorf("%d own parts, at most %d", len(parts), most)
	}
	hashed := map[int]bool{}
	for i := range 1000 {
		hashed[PartitionOf(fmt.Sprint("workspace-", i))] = true
	}
	if len(hashed) != Partitions {
		t.Errorf("a thousand workspaces are in %d parts", len(hashed))
	}
}

// Symptom: an owner fails, or divides a limit wrongly, on bytes of a faulty
// peer. Cause: values that nobody checks.
func TestMalformedReportsAreRefused(t *testing.T) {
	b := NewTable("a", lookup)
	b.SetMembers(start, []string{"a"}, []string{"a/1"})
	part := uint8(PartitionOf(workspace))
	nan := float32(0)
	nan /= nan
	for name, r := range map[string]Report{
		"another life":     {Incarnation: 7},
		"no such part":     {Incarnation: lifeHash("a/1"), Partitions: []PartitionReport{{Index: Partitions, Number: 1}}},
		"negative rate":    {Incarnation: lifeHash("a/1"), Partitions: []PartitionReport{{Index: part, Number: 1, Rows: []Row{{Workspace: workspace, Requests: -1}}}}},
		"no number":        {Incarnation: lifeHash("a/1"), Partitions: []PartitionReport{{Index: part, Number: 1, Rows: []Row{{Workspace: workspace, Tokens: nan}}}}},
		"a number too big": {Incarnation: lifeHash("a/1"), Partitions: []PartitionReport{{Index: part, Number: 1, Rows: []Row{{Workspace: workspace, TokensHeld: 1 << 63}}}}},
	} {
		if _, err := b.HandleReport(start, "a/1", r); err == nil {
			t.Errorf("%s is taken", name)
		}
	}
	if sharesOf([]string{workspace}, nil) != nil {
		t.Error("an answer with other rows is taken")
	}
}
