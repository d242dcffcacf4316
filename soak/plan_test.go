package soak

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/gullhaven/gullhaven/coord/fixedseed"
)

func TestPlanIsDrawnByItsSeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		shape := Shape{Cores: rapid.IntRange(1, 9).Draw(t, "cores"), Entries: rapid.IntRange(1, 9).Draw(t, "entries"), Runners: rapid.IntRange(1, 9).Draw(t, "runners")}
		span := time.Duration(rapid.IntRange(0, 60).Draw(t, "span")) * time.Second
		plan := DrawFaults(seed, shape, span)
		if !slices.Equal(plan, DrawFaults(seed, shape, span)) {
			t.Fatal("two plans of one seed")
		}
		most := map[Role]int{RoleEntry: shape.Entries, RoleCore: shape.Cores, RoleRunner: shape.Runners, RoleList: 1}
		wipes, last := 0, time.Duration(0)
		for _, f := range plan {
			if f.At < last || f.At >= span || f.For < minFaultTime || f.For > maxFaultTime || f.Number < 0 || f.Number >= most[f.Role] {
				t.Fatalf("%v", f)
			}
			if !slices.Contains(kinds[f.Role], f.Kind) || seed%plannedOnlyEvery == 0 && !f.Kind.Planned() {
				t.Fatalf("%v", f)
			}
			if f.Kind == Wipe {
				wipes++
			}
			last = f.At
		}
		if wipes > 1 {
			t.Fatalf("%d disks are lost", wipes)
		}
	})
}

func TestEachKindIsDrawn(t *testing.T) {
	seen := map[Kind]bool{}
	for seed := range uint64(60) {
		for _, f := range DrawFaults(seed, Shape{4, 4, 9}, 15*time.Second) {
			seen[f.Kind] = true
		}
	}
	for role, list := range kinds {
		for _, k := range list {
			if !seen[k] {
				t.Errorf("%s of %s in none of 60 plans", k, role)
			}
		}
	}
}

// Each extra kind is drawn, and seeds of planned work have no other faults.
func TestLaterFaults(t *testing.T) {
	drawn := map[Kind]int{}
	for seed := range uint64(40) {
		for _, f := range DrawExtraFaults(seed, Shape{Cores: 3, Entries: 3, Runners: 9}, time.Minute) {
			drawn[f.Kind]++
			if seed%plannedOnlyEvery == 0 && !f.Kind.Planned() {
				t.Errorf("seed %d of planned work has %v", seed, f)
			}
			if f.At < 0 || f.At >= time.Minute || f.For <= 0 {
				t.Errorf("seed %d: %v", seed, f)
			}
		}
	}
	if len(drawn) != 2 || drawn[RestartRunner] == 0 || drawn[ForeignEntries] == 0 {
		t.Errorf("drawn: %v", drawn)
	}
}
