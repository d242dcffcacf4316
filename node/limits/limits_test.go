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
	start     = time.Unix(1_800_000_000, 0)
	fullLimit = limit.Limit{Rate: 100, Burst: 100 * burstSeconds}
)

const (
	simulationStep = 250 * time.Millisecond
	workspace      = "w"
)

func lookup(id limit.ID) (limit.Limit, bool) { return fullLimit, id.Resource == limit.Requests }

// region simulates the Tables of its instances, which report at different times.
type region struct {
	t         *rapid.T
	now       time.Time
	stepCount int
	names     []string
	tables    map[string]*Table
	dead      map[string]bool
	// asked is the number of units that each instance requests per step.
	asked map[string]int
	// passed is the number of units that each instance allowed in the last step.
	passed map[string]int
	lost   func() bool
	// cut is an instance whose reports don't arrive.
	cut string
	// excess is how many units passed above the allowed rate since the lowest
	// point of that sum.
	excess float64
	// maxSaved bounds the units that buckets may have saved.
	maxSaved float64
}

func newRegion(t *rapid.T) *region {
	r := &region{t: t, now: start, tables: map[string]*Table{}, dead: map[string]bool{}, asked: map[string]int{}, passed: map[string]int{}, maxSaved: 2 * fullLimit.Burst}
	for i := range rapid.IntRange(2, 9).Draw(t, "instances") {
		name := fmt.Sprint("i", i)
		r.names = append(r.names, name)
		r.tables[name] = NewTable(name, lookup)
	}
	for _, name := range r.names {
		r.view(name, r.names)
	}
	return r
}

func (r *region) view(of string, members []string) {
	var incarnations []string
	for _, m := range members {
		incarnations = append(incarnations, incarnationOf(m))
	}
	r.tables[of].SetMembers(r.now, members, incarnations)
}

func incarnationOf(name string) string { return name + "/1" }

// step lets all instances request, and some report; allowed is the rate that may
// pass, in units per second.
func (r *region) step(allowed float64) {
	passed := 0
	for i, name := range r.names {
		r.passed[name] = 0
		if r.dead[name] {
			continue
		}
		for range r.asked[name] {
			if r.tables[name].Consume(r.now, workspace, 1, 0).Allowed {
				r.passed[name]++
			}
		}
		passed += r.passed[name]
		if steps := int(ReportInterval / simulationStep); (r.stepCount+i)%steps == 0 {
			r.report(name)
		}
		if r.stepCount%int(Lease/simulationStep) == 0 {
			r.tables[name].Sweep(r.now)
		}
	}
	r.excess = max(0, r.excess+float64(passed)-allowed*simulationStep.Seconds())
	if most := r.maxSaved + allowed*simulationStep.Seconds() + float64(len(r.names)); r.excess > most {
		r.t.Fatalf("%v above %v a second, at most %v", r.excess, allowed, most)
	}
	r.stepCount++
	r.now = r.now.Add(simulationStep)
}

func (r *region) report(name string) {
	for _, a := range r.tables[name].Reports(r.now, incarnationOf(name)) {
		var sent Report
		r.carry(a.Report, &sent)
		if r.dead[a.Owner] || r.cut == name || r.lost != nil && r.lost() {
			continue
		}
		answer, err := r.tables[a.Owner].HandleReport(r.now, incarnationOf(name), sent)
		if err != nil {
			r.t.Fatal(err)
		}
		var got Answer
		r.carry(answer, &got)
		if r.lost == nil || !r.lost() {
			r.tables[name].ApplyShares(r.now, got)
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

// run steps for d and returns the rate that passed; allowed is the rate that may
// pass. Both are in units per second.
func (r *region) run(d time.Duration, allowed float64) float64 {
	sum := 0
	for range d / simulationStep {
		r.step(allowed)
		for _, n := range r.passed {
			sum += n
		}
	}
	return float64(sum) / d.Seconds()
}

func (r *region) owner() string { return Owners(r.names)[PartitionOf(workspace)] }

// Guards against a workspace that passes several times its limit, or only a little
// of it, after the owner of its limit died, which the others see at different
// times, and after it came back: a new owner grants at once, or its shares count
// as outdated as their numbers restart.
func TestOwnerDies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegion(t)
		for _, name := range r.names {
			r.asked[name] = rapid.SampledFrom([]int{0, 5, 40}).Draw(t, "asked")
		}
		dead := r.owner()
		asks := slices.DeleteFunc(slices.Clone(r.names), func(n string) bool { return n == dead })
		r.asked[asks[0]] = 40
		r.run(time.Duration(rapid.IntRange(0, 60).Draw(t, "before"))*time.Second, 2*fullLimit.Rate)
		r.dead[dead] = true
		// Views change within 6 s of each other.
		seen := map[string]int{}
		for _, name := range asks {
			seen[name] = rapid.IntRange(0, int(6*time.Second/simulationStep)).Draw(t, "seen after")
		}
		for i := range int(6*time.Second/simulationStep) + 1 {
			for _, name := range asks {
				if seen[name] == i {
					r.view(name, asks)
				}
			}
			r.step(2 * fullLimit.Rate)
		}
		// The grace period of all new owners, and the leases that they granted in it.
		if got := r.run(2*Lease, 2*fullLimit.Rate); got <= 0 {
			t.Fatal("nothing passes in the grace period of the new owner")
		}
		r.run(2*Lease, fullLimit.Rate)
		if got := r.run(2*Lease, fullLimit.Rate); got < 0.9*fullLimit.Rate {
			t.Fatalf("survivors pass %v of %v a second", got, fullLimit.Rate)
		}
		r.dead[dead] = false
		for _, name := range r.names {
			r.view(name, r.names)
		}
		r.run(3*Lease, 2*fullLimit.Rate)
		if got := r.run(2*Lease, fullLimit.Rate); got < 0.9*fullLimit.Rate {
			t.Fatalf("%v of %v a second pass after the owner came back", got, fullLimit.Rate)
		}
	})
}

// Guards against twice the limit for a while at each change of owner, if an owner
// grants before its predecessor's shares have ended, or returns with old state: a
// new owner joins and dies, which all see at once; demand above the limit moves
// to one instance and back; that one may be cut off from the next owner.
func TestSuccessiveOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegion(t)
		old := slices.Clone(r.names)
		for _, name := range old {
			r.asked[name] = 40
		}
		r.run(2*Lease+time.Duration(rapid.IntRange(0, 8).Draw(t, "before"))*time.Second, fullLimit.Rate)
		// Under this demand buckets have saved nothing.
		r.excess, r.maxSaved = 0, fullLimit.Burst
		first, last := r.owner(), ""
		for i := 0; r.owner() == first; i++ {
			last = fmt.Sprint("x", i)
			r.names = append(slices.Clone(old), last)
		}
		r.tables[last] = NewTable(last, lookup)
		for _, name := range r.names {
			r.view(name, r.names)
		}
		one := rapid.SampledFrom(old).Draw(t, "goes on")
		for _, name := range old {
			if name != one {
				r.asked[name] = 0
			}
		}
		r.run(5*Lease, fullLimit.Rate)
		r.excess = 0
		r.names = old
		if rapid.Bool().Draw(t, "cut off") {
			r.cut = one
		}
		for _, name := range old {
			r.asked[name] = 40
			r.view(name, old)
		}
		r.run(Lease, fullLimit.Rate)
		r.cut = ""
		r.run(2*Lease, fullLimit.Rate)
	})
}

// Guards against two owners that together grant more than the limit permanently: for
// a long time some instances have another owner in their views, and each owner
// assumes that instances which don't report to it use nothing.
func TestDifferingViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegion(t)
		for _, name := range r.names {
			r.asked[name] = rapid.SampledFrom([]int{0, 5, 40}).Draw(t, "asked")
		}
		r.run(2*Lease, fullLimit.Rate)
		// In the views of some instances another instance owns the partition.
		other := rapid.SampledFrom(r.names).Draw(t, "other owner")
		for _, name := range r.names {
			if name == other || rapid.Bool().Draw(t, "believes") {
				r.tables[name].owners[PartitionOf(workspace)] = other
			}
		}
		if b := r.tables[other]; b.owned[PartitionOf(workspace)] == nil {
			var incarnations []string
			for _, m := range r.names {
				incarnations = append(incarnations, incarnationOf(m))
			}
			b.owned[PartitionOf(workspace)] = newOwnedPartition(r.now, lookup, incarnations)
		}
		r.run(3*Lease, 2*fullLimit.Rate)
		r.run(6*Lease, fullLimit.Rate)
	})
}

// Guards against a workspace that gets only a part of its limit if it is used at one
// instance: the others, without demand in its partition, would count as cut off, and
// their floors would be reserved.
func TestOneActiveInstanceGetsTheWholeLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegion(t)
		one := rapid.SampledFrom(r.names).Draw(t, "asks")
		r.asked[one] = 40
		r.lost = func() bool { return rapid.IntRange(0, 19).Draw(t, "lost") == 0 }
		r.run(Lease, fullLimit.Rate)
		r.lost = nil
		r.run(3*Lease, fullLimit.Rate)
		if got := r.run(2*Lease, fullLimit.Rate); got < 0.9*fullLimit.Rate {
			t.Fatalf("%v of %v a second pass at one of %d", got, fullLimit.Rate, len(r.names))
		}
		r.asked[one] = 0
		r.run(8*Lease, fullLimit.Rate)
		if n := r.tables[one].Len() + r.tables[r.owner()].owned[PartitionOf(workspace)].allocator.Len(); n != 0 {
			t.Fatalf("%d limits are kept without demand", n)
		}
	})
}

// Guards against a partition with no owner or two, against partitions that move
// between members which stay, if owners are assigned by list position, and against an
// owner that gets no report for one of its partitions.
func TestPartitionsHaveOneOwnerEach(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 2, 80, rapid.ID[string]).Draw(t, "members")
		owners := Owners(members)
		fewer := Owners(members[1:])
		for partition, owner := range owners {
			if !slices.Contains(members, owner) {
				t.Fatalf("partition %d is owned by %q", partition, owner)
			}
			if owner != members[0] && fewer[partition] != owner {
				t.Fatalf("partition %d moved from %s, which stays, to %s", partition, owner, fewer[partition])
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
					t.Fatalf("partition %d is reported to %s", p.Index, a.Owner)
				}
			}
		}
		if asked != Partitions {
			t.Fatalf("%d partitions are reported", asked)
		}
	})
}

// Guards against one instance that owns most partitions of a large region.
func TestPartitionsSpreadOverInstances(t *testing.T) {
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
	t.Logf("%d of 60 own partitions, at most %d", len(parts), most)
	if len(parts) < 30 || most > 5 {
		t.Errorf("%d own partitions, at most %d", len(parts), most)
	}
	hashed := map[int]bool{}
	for i := range 1000 {
		hashed[PartitionOf(fmt.Sprint("workspace-", i))] = true
	}
	if len(hashed) != Partitions {
		t.Errorf("a thousand workspaces are in %d partitions", len(hashed))
	}
}

// Guards against an owner that fails, or divides a limit wrongly, on unchecked values
// of a faulty peer.
func TestMalformedReportsAreRefused(t *testing.T) {
	b := NewTable("a", lookup)
	b.SetMembers(start, []string{"a"}, []string{"a/1"})
	partition := uint8(PartitionOf(workspace))
	nan := float32(0)
	nan /= nan
	for name, r := range map[string]Report{
		"another incarnation": {Incarnation: 7},
		"no such partition":   {Incarnation: incarnationHash("a/1"), Partitions: []PartitionReport{{Index: Partitions, Number: 1}}},
		"negative rate":       {Incarnation: incarnationHash("a/1"), Partitions: []PartitionReport{{Index: partition, Number: 1, Rows: []Row{{Workspace: workspace, Requests: -1}}}}},
		"not a number":        {Incarnation: incarnationHash("a/1"), Partitions: []PartitionReport{{Index: partition, Number: 1, Rows: []Row{{Workspace: workspace, Tokens: nan}}}}},
		"a number too big":    {Incarnation: incarnationHash("a/1"), Partitions: []PartitionReport{{Index: partition, Number: 1, Rows: []Row{{Workspace: workspace, TokensHeld: 1 << 63}}}}},
	} {
		if _, err := b.HandleReport(start, "a/1", r); err == nil {
			t.Errorf("%s is accepted", name)
		}
	}
	if sharesOf([]string{workspace}, nil) != nil {
		t.Error("an answer with other rows is accepted")
	}
}
