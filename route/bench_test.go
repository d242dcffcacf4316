package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const benchTargets = 690

// BenchmarkDecide measures a decision among 690 targets for a prompt of 64
// known blocks.
func BenchmarkDecide(b *testing.B) {
	for _, services := range []int{36, 1} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) { benchDecide(b, services) })
	}
}

// BenchmarkRefuse measures a decision while all 690 targets are full.
func BenchmarkRefuse(b *testing.B) {
	r := newRouter(1)
	var specs []TargetSpec
	for i := range benchTargets {
		specs = append(specs, modelTarget(i, "here"))
	}
	r.SetTargets(epoch, specs)
	for i := range specs {
		r.Report(epoch, Report{Target: specs[i].ID, At: epoch, Running: 32, Waiting: 99, WaitingTokens: 400_000})
	}
	q := prompt(1000)
	q.Deadline = epoch.Add(10 * time.Second)
	b.ReportAllocs()
	for b.Loop() {
		if d := r.Decide(epoch, q); d.Action != Refuse {
			b.Fatalf("%+v", d)
		}
	}
}

func benchDecide(b *testing.B, services int) {
	r := newRouter(1)
	var specs []TargetSpec
	for i := range benchTargets {
		s := modelTarget(i, "here")
		s.Service = fmt.Sprint("llm", i%services)
		specs = append(specs, s)
	}
	now := epoch
	r.SetTargets(now, specs)
	requests := make([]Request, 256)
	rng := rand.New(rand.NewPCG(2, 2))
	for i := range requests {
		q := Request{Service: fmt.Sprint("llm", i%services), PromptTokens: 64 * PrefixBlockTokens, OutputTokens: 100, Idempotent: true}
		family := uint64(rng.IntN(40))
		for k := range 64 {
			q.Prefix = append(q.Prefix, family*1000+uint64(k))
		}
		q.Deadline = now.Add(time.Hour)
		requests[i] = q
	}
	for i := range 2000 {
		q := &requests[i%len(requests)]
		r.Sent(now, AttemptID(i), q, r.Decide(now, q))
	}
	for i := range specs {
		r.Report(now, Report{Target: specs[i].ID, At: now, Running: 3, WaitingTokens: 300 * (i % 7), KVUsed: 0.5})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		if d := r.Decide(now, &requests[i%len(requests)]); d.Action != Send {
			b.Fatalf("%+v", d)
		}
	}
}
