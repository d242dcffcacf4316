package place_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/route/place"
)

// Guards against requests that are forwarded for nothing, or wait in their region while others are
// idle, because the comparison leaves out the round trip, refusals, or regions with unknown load.
func TestRequestLeavesRegionOnlyForBetterOne(t *testing.T) {
	candidate := func(region string, cost float64) place.RegionCandidate {
		return place.RegionCandidate{Region: region, RoundTrip: 170, Cost: cost}
	}
	refused := func(region string, cost float64) place.RegionCandidate {
		return place.RegionCandidate{Region: region, RoundTrip: 170, Cost: cost, Refused: true}
	}
	unknown := func(region string) place.RegionCandidate {
		return place.RegionCandidate{Region: region, RoundTrip: 170, LoadUnknown: true}
	}
	for name, row := range map[string]struct {
		local      float64
		candidates []place.RegionCandidate
		want       string
	}{
		"no other":                        {900, nil, ""},
		"better by less than the trips":   {400, []place.RegionCandidate{candidate("q", 230)}, ""},
		"better by more":                  {400, []place.RegionCandidate{candidate("q", 229)}, "q"},
		"the best of two":                 {900, []place.RegionCandidate{candidate("q", 70), candidate("p", 60)}, "p"},
		"equal ones":                      {900, []place.RegionCandidate{candidate("q", 60), candidate("p", 60)}, "p"},
		"one that has just refused":       {900, []place.RegionCandidate{refused("q", 0)}, ""},
		"one whose load is not known":     {900, []place.RegionCandidate{unknown("q")}, ""},
		"nowhere else than where unknown": {place.NoTargetCost, []place.RegionCandidate{unknown("q")}, "q"},
		"nowhere else":                    {place.NoTargetCost, []place.RegionCandidate{candidate("q", 5000)}, "q"},
		"nowhere else than where refused": {place.NoTargetCost, []place.RegionCandidate{refused("q", 0)}, "q"},
		"nowhere at all":                  {place.NoTargetCost, nil, ""},
	} {
		if got := regionOf(place.ChooseRegion(row.local, row.candidates)); got != row.want {
			t.Errorf("%s: %q, want %q", name, got, row.want)
		}
	}
}

func regionOf(o *place.RegionCandidate) string {
	if o == nil {
		return ""
	}
	return o.Region
}

func TestChooseRegionIgnoresOrderOfCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var candidates []place.RegionCandidate
		for n := range rapid.IntRange(0, 6).Draw(t, "regions") {
			candidates = append(candidates, place.RegionCandidate{
				Region: string(rune('a' + n)), Cost: float64(rapid.IntRange(0, 8).Draw(t, "cost") * 100), Refused: rapid.Bool().Draw(t, "refused"),
			})
		}
		local := float64(rapid.IntRange(0, 20).Draw(t, "local") * 100)
		a := regionOf(place.ChooseRegion(local, candidates))
		b := regionOf(place.ChooseRegion(local, rapid.Permutation(candidates).Draw(t, "order")))
		if a != b {
			t.Fatalf("%q and %q", a, b)
		}
	})
}

func TestOverloaded(t *testing.T) {
	for _, row := range []struct {
		queueWait float64
		aim       time.Duration
		want      bool
	}{{999, time.Second, false}, {1001, time.Second, true}, {1e9, 0, false}, {math.Inf(1), time.Second, true}} {
		if got := place.Overloaded(row.queueWait, row.aim); got != row.want {
			t.Errorf("queue wait %v, aim %v: %v", row.queueWait, row.aim, got)
		}
	}
}

// Guards against callers told to retry after their deadline, or all at once and too soon, because
// the delay ignores the time they have left.
func TestRetryAfter(t *testing.T) {
	for _, row := range []struct {
		why        place.RetryReason
		left, want time.Duration
	}{
		{place.Busy, 10 * time.Second, 250 * time.Millisecond},
		{place.Busy, 300 * time.Millisecond, 100 * time.Millisecond},
		{place.Busy, 60 * time.Millisecond, 50 * time.Millisecond},
		{place.Busy, 0, 250 * time.Millisecond},
		{place.Starting, 0, 350 * time.Millisecond},
		{place.Leaving, 10 * time.Second, 20 * time.Millisecond},
		{place.Leaving, 30 * time.Millisecond, 20 * time.Millisecond},
		{place.PoisonRequest, 0, time.Second},
	} {
		if got := place.RetryAfter(row.why, row.left); got != row.want {
			t.Errorf("%d with %v left: %v, want %v", row.why, row.left, got, row.want)
		}
	}
}

// Guards against callers that retry before their workspace has units, or are told to wait for
// longer than they can.
func TestLimitRetryAfter(t *testing.T) {
	for wait, want := range map[time.Duration]time.Duration{
		0:                       100 * time.Millisecond,
		1500 * time.Millisecond: 1500 * time.Millisecond,
		time.Hour:               10 * time.Second,
	} {
		if got := place.LimitRetryAfter(wait); got != want {
			t.Errorf("units after %v: %v, want %v", wait, got, want)
		}
	}
}
