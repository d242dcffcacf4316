package route

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	herdRouters  = 9
	herdTargets  = 12
	herdRequests = 8
)

// herd lets several instances decide between two reports, with target 0 idle
// and a short queue at the others, and returns the largest share of requests
// that one target got.
func herd(decide func(i int, q *Request) int) float64 {
	var got [herdTargets]int
	for k := range herdRequests {
		for i := range herdRouters {
			got[decide(i, &Request{ID: uint64(k*herdRouters + i), Service: "llm", PromptTokens: 1000, OutputTokens: 50})]++
		}
	}
	most := 0
	for _, n := range got {
		most = max(most, n)
	}
	return float64(most) / (herdRouters * herdRequests)
}

func herdReport(i int) Report {
	r := Report{Target: modelTarget(i, "here").ID, At: epoch, Running: 4, WaitingTokens: 500}
	if i == 0 {
		r.Running, r.WaitingTokens = 0, 0
	}
	return r
}

// Guards against a thundering herd: nine instances decide on the same lagging
// reports. If each takes the least reported load and ignores the others, the
// target that looked idle gets everything, and a second later another one does.
func TestInstancesDoNotAllPickTheIdleTarget(t *testing.T) {
	naive := herd(func(int, *Request) int {
		best := 0
		for i := range herdTargets {
			if herdReport(i).WaitingTokens < herdReport(best).WaitingTokens {
				best = i
			}
		}
		return best
	})
	if naive != 1 {
		t.Fatalf("the naive rule spreads: %v", naive)
	}
	var routers []*Router
	now := epoch.Add(200 * time.Millisecond)
	for i := range herdRouters {
		r := New(Config{Region: "here", Zone: "a", Instances: herdRouters}, rand.New(rand.NewPCG(uint64(i), 0)))
		var specs []TargetSpec
		for k := range herdTargets {
			specs = append(specs, modelTarget(k, "here"))
		}
		r.SetTargets(epoch, specs)
		for k := range herdTargets {
			r.Report(now, herdReport(k))
		}
		routers = append(routers, r)
	}
	number := make(map[TargetID]int)
	for k := range herdTargets {
		number[modelTarget(k, "here").ID] = k
	}
	share := herd(func(i int, q *Request) int {
		now = now.Add(time.Millisecond)
		d := routers[i].Decide(now, q)
		routers[i].Sent(now, AttemptID(q.ID), q, d)
		return number[d.Target]
	})
	t.Logf("greatest share of one target: %.2f, even would be %.2f", share, 1.0/herdTargets)
	if share > 0.25 {
		t.Fatalf("one target got %v", share)
	}
}
