package limit

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a workspace that gets less than its weight, or a low priority that gets
// nothing, while every workspace of every priority has a backlog: tags that ignore weight
// or cost, or priorities without a floor.
func TestBacklogIsSharedByWeightAndNobodyStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewFairQueue(1 << 20)
		const maxCost = 10
		workspaces := rapid.IntRange(1, 5).Draw(t, "workspaces")
		priorities := rapid.SliceOfNDistinct(rapid.IntRange(0, Priorities-1), 1, 4, rapid.ID[int]).Draw(t, "priorities")
		weights := make([]float64, workspaces)
		next := uint64(0)
		push := func(p, w int) {
			next++
			it := Item{Request: next, Workspace: fmt.Sprint(w), Weight: weights[w], Priority: p}
			it.Cost = float64(rapid.IntRange(1, maxCost).Draw(t, "cost"))
			if err := f.Push(it); err != nil {
				t.Fatal(err)
			}
		}
		for w := range workspaces {
			weights[w] = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
			for _, p := range priorities {
				push(p, w)
				push(p, w)
			}
		}
		served := map[int][]float64{}
		total := 0.0
		for range rapid.IntRange(50, 400).Draw(t, "pops") {
			it, ok := f.Pop()
			if !ok {
				t.Fatal("nothing served from a backlog")
			}
			w := int(it.Workspace[0] - '0')
			if served[it.Priority] == nil {
				served[it.Priority] = make([]float64, workspaces)
			}
			served[it.Priority][w] += it.Cost
			total += it.Cost
			push(it.Priority, w)
		}
		for _, p := range priorities {
			checkClass(t, served[p], weights, maxCost)
			got := 0.0
			for _, s := range served[p] {
				got += s
			}
			slack := float64(maxCost * len(priorities))
			if got < FloorShare*total/(1+FloorShare*Priorities)-slack {
				t.Fatalf("priority %d got %v of %v", p, got, total)
			}
		}
	})
}

// checkClass checks the bound of start-time fair queueing: the normalised service of two
// backlogged workspaces differs by at most one item of each.
func checkClass(t *rapid.T, served, weights []float64, maxCost float64) {
	for i := range served {
		for j := range served {
			diff := served[i]/weights[i] - served[j]/weights[j]
			if diff > maxCost/weights[i]+maxCost/weights[j]+1e-9 {
				t.Fatalf("served %v under weights %v", served, weights)
			}
		}
	}
}

// Guards against a request that is lost in the queue or served twice, and growing memory,
// with random pushes, pops and removals: wrong heap indexes, or tags that are never dropped.
func TestEveryItemLeavesOnce(t *testing.T) {
	for _, bad := range []Item{{Cost: 1}, {Weight: 1}, {Weight: math.NaN(), Cost: 1}} {
		if err := NewFairQueue(20).Push(bad); err != ErrInvalidItem {
			t.Fatalf("%+v: %v", bad, err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		f := NewFairQueue(20)
		waiting := map[uint64]bool{}
		for i := range uint64(300) {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				it := Item{Request: i, Workspace: fmt.Sprint(i % 100), Weight: 1, Cost: 1, Priority: int(i % 12)}
				if err := f.Push(it); (err == nil) != (len(waiting) < 20) {
					t.Fatalf("push with %d waiting: %v", len(waiting), err)
				} else if err == nil {
					waiting[i] = true
				}
			case 2:
				it, ok := f.Pop()
				if ok != (len(waiting) > 0) || ok && !waiting[it.Request] {
					t.Fatalf("popped %+v, %v with %d waiting", it, ok, len(waiting))
				}
				delete(waiting, it.Request)
			case 3:
				r := uint64(rapid.IntRange(0, int(i)).Draw(t, "request"))
				if f.Remove(r) != waiting[r] {
					t.Fatalf("removal of %d", r)
				}
				delete(waiting, r)
			}
			for p := range f.classes {
				if n := len(f.classes[p].finishTags); n > 120 {
					t.Fatalf("%d tags kept", n)
				}
			}
		}
		if f.Len() != len(waiting) {
			t.Fatalf("%d held, %d waiting", f.Len(), len(waiting))
		}
	})
}

func BenchmarkFairTenThousandWorkspaces(b *testing.B) {
	f := NewFairQueue(20_000)
	names := make([]string, 10_000)
	for i := range names {
		names[i] = fmt.Sprint("w", i)
		_ = f.Push(Item{Request: uint64(i), Workspace: names[i], Weight: 1, Cost: 1, Priority: i % Priorities})
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		it, _ := f.Pop()
		_ = f.Push(it)
	}
}
