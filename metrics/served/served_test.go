package served

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/gullhaven/gullhaven/coord/fixedseed"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/metrics/burn"
	"github.com/gullhaven/gullhaven/pipeline"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
)

func TestCauses(t *testing.T) {
	for _, c := range []struct {
		name   string
		out    pipeline.Outcome
		cause  burn.Cause
		counts bool
	}{
		{"kept", pipeline.Outcome{MetObjective: true}, burn.Met, true},
		{"kept elsewhere", pipeline.Outcome{MetObjective: true, SpillRegion: "bali"}, burn.Met, true},
		{"late", pipeline.Outcome{Verdict: verdict.Ran}, burn.Late, true},
		{"late elsewhere", pipeline.Outcome{Verdict: verdict.Ran, SpillRegion: "bali"}, burn.Spilled, true},
		{"no room", pipeline.Outcome{Code: pipeline.CodeOverloaded}, burn.Refused, true},
		{"out of time, not sent", pipeline.Outcome{Code: pipeline.CodeDeadline}, burn.Refused, true},
		{"out of time, sent", pipeline.Outcome{Code: pipeline.CodeDeadline, Verdict: verdict.MayHaveRun}, burn.Late, true},
		{"target died", pipeline.Outcome{Code: ports.CodeStreamCut, Verdict: verdict.MayHaveRun}, burn.TargetLost, true},
		{"region unreached", pipeline.Outcome{Code: pipeline.CodeRegionUnreached}, burn.Spilled, true},
		{"limit", pipeline.Outcome{Code: pipeline.CodeOverLimit}, burn.Limit, true},
		{"wrong body", pipeline.Outcome{Code: pipeline.CodeBodyMalformed}, burn.Met, false},
		{"caller left", pipeline.Outcome{Code: pipeline.CodeCallerGone, Verdict: verdict.MayHaveRun}, burn.Met, false},
	} {
		if cause, counts := CauseOf(c.out); cause != c.cause || counts != c.counts {
			t.Errorf("%s: %v %v", c.name, cause, counts)
		}
	}
}

// Guards against figures of an hour ago in the status, or missing requests: a slot is not
// cleared, or cleared too early.
func TestFiguresAreThoseOfTheWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		history := burn.NewHistory("i", "r", 1)
		o := &Observer{Table: NewTable(now), Burn: history, Now: func() time.Time { return now }}
		o.Price = func(route.TargetID) Price { return Price{Share: 0.25, PerSecond: 2} }
		type request struct {
			at  time.Time
			out pipeline.Outcome
		}
		var all []request
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
			out := pipeline.Outcome{Service: "s", Target: "r1", Took: 3 * time.Second, TargetTime: time.Second, MetObjective: true}
			out.FirstByte = time.Duration(rapid.IntRange(1, 100_000).Draw(t, "first")) * unit
			switch rapid.IntRange(0, 3).Draw(t, "end") {
			case 0:
				out = pipeline.Outcome{Service: "s", Code: pipeline.CodeOverloaded}
			case 1:
				out.SpillRegion = "bali"
			}
			o.Observe(out)
			all = append(all, request{now, out})
		}
		var want Figures
		var times []time.Duration
		for _, r := range all {
			if slotNumber(now)-slotNumber(r.at) >= slotCount {
				continue
			}
			want.Requests++
			want.Refused += boolCount(r.out.Code != "")
			want.SpilledShare += float64(boolCount(r.out.SpillRegion != ""))
			if r.out.Target != "" {
				want.TargetSeconds += 0.25
				times = append(times, r.out.FirstByte)
			}
		}
		got := o.Table.Figures(now)[0]
		if got.Requests != want.Requests || got.Refused != want.Refused || got.TargetSeconds != want.TargetSeconds ||
			got.Cost != 2*want.TargetSeconds || math.Abs(got.SpilledShare*float64(got.Requests)-want.SpilledShare) > 1e-9 {
			t.Fatalf("%+v, want %+v", got, want)
		}
		slices.Sort(times)
		if n := len(times); n > 0 {
			last := float64(times[n-1])
			if math.Abs(float64(got.P999)-last) > 0.01*last+float64(unit) {
				t.Fatalf("p99.9 %v, want %v", got.P999, times[n-1])
			}
		}
	})
}

func TestTableIsBounded(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := NewTable(now)
	for i := range 10 * maxServices {
		table.Observe(now, Request{Service: fmt.Sprint(i)})
	}
	if n := len(table.services); n > maxServices+1 {
		t.Fatalf("%d services", n)
	}
}

// BenchmarkObserve measures the cost of one request; B/service is the memory of a service
// with a full window.
func BenchmarkObserve(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	o := &Observer{Table: NewTable(now), Burn: burn.NewHistory("i", "r", 1), Now: func() time.Time { return now }}
	o.Price = func(route.TargetID) Price { return Price{Share: 0.1, PerSecond: 1} }
	out := pipeline.Outcome{Service: "s", Workspace: "w", Target: "t", FirstByte: 300 * time.Millisecond, Took: 3 * time.Second, TargetTime: time.Second, MetObjective: true}
	for b.Loop() {
		o.Observe(out)
	}
	b.ReportMetric(float64(slotCount*newHistogram().ByteSize()), "B/service")
}
