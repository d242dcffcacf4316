package pick

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a region that keeps late requests at its peak while two others are idle, because
// their cost is computed with its own prefill time, which is ten times higher under load.
func TestOtherRegionsAreCostedByTheirOwnPrefillTime(t *testing.T) {
	p, now := New("i"), time.Unix(100, 0)
	p.Update(now, Snapshot{
		Targets: []Target{{ID: "x", Service: "s", Address: "x", Slots: 32}}, Entries: []string{"i"},
		Rules: map[string]ServiceRules{"s": {Engine: true}},
	})
	call := Call{Service: "s", PromptTokens: 9000, Parts: []Part{{ID: 1, Tokens: 6000}, {ID: 2, Tokens: 3000}}}
	idle := RegionLoad{Targets: 10, Slots: 320, Prefill: PrefillSums{Tokens: 1e6, Millis: 25e3}}
	before := p.RegionCost("q", idle, call)
	for n := range 300 {
		call.Parts = []Part{{ID: uint64(n), Tokens: 6000}, {ID: uint64(1000 + n), Tokens: 3000}}
		ch, _ := p.Pick(now, call)
		now = now.Add(2500 * time.Millisecond)
		ch.FirstEvent(now)
		ch.Done(now, Good)
	}
	call.Parts = []Part{{ID: 1, Tokens: 6000}, {ID: 2, Tokens: 3000}}
	if after := p.RegionCost("q", idle, call); after != before {
		t.Errorf("%v ms elsewhere after a peak in the own region, %v before", after, before)
	}
	// 9,000 tokens at 25 ms for 1,000 of them, and the weight of the initial estimate.
	if before > 1.1*9*25 {
		t.Errorf("%v ms at an idle region", before)
	}
	if reported := p.PrefillSums(now)["s"]; reported.millisPerKilo() < 60 {
		t.Errorf("others get a report of %v ms for 1,000 tokens", reported.millisPerKilo())
	}
}

// Guards against a region that looks as fast or as slow as minutes ago because the reported sums do
// not decay.
func TestReportedPrefillSumsDecay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := newPrefillTime(), time.Unix(100, 0)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			p.report(now, rapid.Float64Range(0, 2e4).Draw(t, "tokens"), rapid.Float64Range(0, 1e5).Draw(t, "millis"))
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
		}
		at, later := p.recentSums(now), p.recentSums(now.Add(10*prefillSpan))
		if later.Tokens > at.Tokens/1e4 || later.Millis > at.Millis/1e4 {
			t.Fatalf("%v has decayed to %v only", at, later)
		}
		if k := later.millisPerKilo(); math.Abs(k-initialMillisPerKilo) > 1 {
			t.Fatalf("%v ms where nothing is known", k)
		}
	})
}

// Guards against a region that looks idle or unusable for the lifetime of a summary because invalid
// sums from an instance of another version were added.
func TestInvalidSumsAreIgnored(t *testing.T) {
	var s PrefillSums
	s.Add(PrefillSums{Tokens: 1000, Millis: 30})
	for _, odd := range []PrefillSums{{-1, 5}, {5, -1}, {math.NaN(), 1}, {1, math.Inf(1)}} {
		s.Add(odd)
	}
	if (s != PrefillSums{Tokens: 1000, Millis: 30}) {
		t.Errorf("sums %v", s)
	}
}

// Guards against all instances of a region forwarding everything on the same update, with each
// subject's parts prefilled in every region, because nothing orders which requests go first at a
// growing peak.
func TestSubjectsSpillOverInOneOrder(t *testing.T) {
	call := func(subject int) *Call {
		return &Call{PromptTokens: 9000, Parts: []Part{{ID: uint64(subject), Tokens: 6000}, {ID: 7, Tokens: 3000}}}
	}
	firstElsewhere, sum := 0, 0.0
	const subjects = 2000
	for n := range subjects {
		here, there := call(n).prefillTokensIn("q"), call(n).prefillTokensIn("p")
		for _, pending := range []float64{here, there} {
			if pending < 3000 || pending > 9000 {
				t.Fatalf("subject %d: %v of 9000 tokens to prefill", n, pending)
			}
		}
		if call(n).prefillTokensIn("q") != here {
			t.Fatal("one subject has two positions")
		}
		sum += here
		if there < here {
			firstElsewhere++
		}
	}
	if mean := sum / subjects; math.Abs(mean-6000) > 100 {
		t.Errorf("%v tokens to prefill in the mean, want 6000", mean)
	}
	if share := float64(firstElsewhere) / subjects; math.Abs(share-0.5) > 0.05 {
		t.Errorf("%v of the subjects go to one of two regions first", share)
	}
	plain := &Call{PromptTokens: 300}
	if got := fmt.Sprint(plain.prefillTokensIn("q")); got != "300" {
		t.Errorf("%s tokens of a prompt without shared parts", got)
	}
}
