package replay_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/gullhaven/gullhaven/experiment/replay"
)

const site = "site"

func run(t *testing.T, p *replay.Pattern, decider string, seed uint64) *replay.Figures {
	t.Helper()
	f, err := replay.Run(p, decider, seed)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func load(t *testing.T, name string) *replay.Pattern {
	t.Helper()
	p, err := replay.Load(name)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against urgent requests refused as late although their engine would prefill them
// first. All instances lose power and all callers return together, a quarter of them with
// long prompts of the last rank: requests behind another must not count as in front of it.
func TestUrgentRequestsAreServedWhenAllReturn(t *testing.T) {
	p := load(t, "all-return")
	f := run(t, p, site, 1)
	check, reply := f.Kinds["check"], f.Kinds["reply"]
	if check.Refused > 0 || reply.Refused > reply.Arrived/100 {
		t.Errorf("refused: %d of the first rank, %d of %d of the second", check.Refused, reply.Refused, reply.Arrived)
	}
	// Requests of the 2.4 s without an instance are late in any case.
	if got := f.InTime("check"); got < 0.86 {
		t.Errorf("%.3f of the first rank in time", got)
	}
}

// Guards against late long prompts in a region while the engines of others are idle. The
// regions are in turn at 2.3 times their mean and the others at 0.3; plain balancers keep
// all requests in their region.
func TestPeakOfARegionIsSharedOut(t *testing.T) {
	p := load(t, "peak-of-one-region")
	f, plain := run(t, p, site, 1), run(t, p, "least_outstanding", 1)
	if f.Worth() < 0.97 || f.Worth() < plain.Worth()+0.04 {
		t.Errorf("worth %.3f, of least outstanding %.3f", f.Worth(), plain.Worth())
	}
	if f.Forwarded == 0 {
		t.Error("nothing was forwarded")
	}
}

// Guards against late or refused long prompts in a region at its peak, next to two regions
// with a sixth of their load. Three regions of 36, 26 and 18 engines with some sixty
// instances each reach 2.8 times their mean in turn; a quarter of all engines is lost for
// two seconds. The idle regions must not be judged by the speed of the overloaded one.
func TestPeaksOfALargeSiteAreSharedOut(t *testing.T) {
	p := load(t, "large-regions-in-turn")
	f, plain := run(t, p, site, 1), run(t, p, "least_outstanding", 1)
	if f.Worth() < plain.Worth()+0.3 {
		t.Errorf("worth %.3f, of least outstanding %.3f", f.Worth(), plain.Worth())
	}
	arrived := 0
	for _, k := range f.Kinds {
		arrived += k.Arrived
	}
	// The peaks have 0.8 of all arrivals, and half of the engines are in other regions.
	if share := float64(f.Forwarded) / float64(arrived); share < 0.4 {
		t.Errorf("%.2f of all forwarded", share)
	}
}

// Guards against an overload in which all requests queue up and are late, as none is
// refused, or urgent ones are refused with the rest. For 10 s more tokens arrive everywhere
// than can be prefilled.
func TestOverloadRefusesTheLeastUrgent(t *testing.T) {
	p := load(t, "overload")
	f, plain := run(t, p, site, 1), run(t, p, "least_outstanding", 1)
	if f.Worth() < plain.Worth()+0.03 {
		t.Errorf("worth %.3f, of least outstanding %.3f", f.Worth(), plain.Worth())
	}
	if f.Kinds["check"].Refused > 0 || f.Kinds["long"].Refused == 0 {
		t.Errorf("refused: %d urgent, %d of the last rank", f.Kinds["check"].Refused, f.Kinds["long"].Refused)
	}
	if f.InTime("check") < 0.98 || f.InTime("reply") < 0.95 {
		t.Errorf("in time: %.3f urgent, %.3f of the second rank", f.InTime("check"), f.InTime("reply"))
	}
}

// Guards against long answers that miss their deadline (one in thirty) although the engines
// have room for all. Long prompts of a few subjects arrive among long answers: these must not
// all go to the few engines with little prefill, whatever runs there.
func TestLongAnswersDoNotCrowd(t *testing.T) {
	p := load(t, "long-among-running")
	f, plain := run(t, p, site, 1), run(t, p, "least_outstanding", 1)
	if f.Worth() < plain.Worth()-0.004 {
		t.Errorf("worth %.3f, of least outstanding %.3f", f.Worth(), plain.Worth())
	}
}

// Guards against decisions that depend on the constants of one engine: a peak of one region
// with engines 8 times faster, at twice the load, and 4 times slower, at a quarter of it.
func TestDecisionsFitOtherEngines(t *testing.T) {
	for _, times := range []float64{8, 0.25} {
		p := load(t, "peak-of-one-region").WithSpeed(times)
		p.Seconds /= 2
		for i := range p.Regions {
			p.Regions[i].PerSecond *= min(times, 2)
		}
		f, plain := run(t, p, site, 1), run(t, p, "least_outstanding", 1)
		if f.Worth() < plain.Worth()-0.005 {
			t.Errorf("engines %v times as fast: worth %.3f, of least outstanding %.3f", times, f.Worth(), plain.Worth())
		}
	}
}

func TestEqualSeedsAreEqualRuns(t *testing.T) {
	// A crash and a loss of power lose many requests at one moment.
	p := load(t, "burst-with-losses")
	p.Seconds = 14
	p.Faults = append(p.Faults, replay.Fault{Kind: "dark", At: 11, For: 1})
	a, b, other := run(t, p, site, 1), run(t, p, site, 1), run(t, p, site, 2)
	if a.Worth() != b.Worth() || a.Forwarded != b.Forwarded {
		t.Error("equal seeds differ")
	}
	if a.Worth() == other.Worth() && a.Kinds["long"].Arrived == other.Kinds["long"].Arrived {
		t.Error("another seed has the same arrivals")
	}
}

func TestEachRequestEndsOnce(t *testing.T) {
	for _, name := range replay.Names() {
		p := load(t, name)
		p.Seconds = 3
		for _, d := range replay.Deciders {
			for kind, k := range run(t, p, d, 3).Kinds {
				if sum := k.InTime + k.Late + k.Unfinished + k.Unserved + k.Refused; sum != k.Arrived || k.Arrived == 0 {
					t.Errorf("%s, %s: %d of %d %s ended", name, d, sum, k.Arrived, kind)
				}
			}
		}
	}
}

func TestUnknownPatternsAndDeciders(t *testing.T) {
	if _, err := replay.Load("none"); err == nil || !strings.Contains(err.Error(), "all-return") {
		t.Errorf("error %v", err)
	}
	if _, err := replay.Run(load(t, "overload"), "none", 1); err == nil {
		t.Error("a decider that is not there plays")
	}
	var out bytes.Buffer
	if err := replay.WriteTable(&out, []string{"none"}, replay.Deciders, 1); err == nil {
		t.Error("a pattern that is not there has a table")
	}
}

// Guards against answers that are late (one in twenty-five) for one long pause between
// events. Long prompts arrive in a row among long answers, at engines with a third less
// prefill speed: not only an engine's share of prefill time counts, but also how long it
// prefills without a break.
func TestLongPromptsInARowDelayFewAnswers(t *testing.T) {
	p := load(t, "long-prompts-in-a-row")
	late, arrived := 0, 0
	for seed := range uint64(3) {
		reply := run(t, p, site, seed+1).Kinds["reply"]
		late, arrived = late+reply.Late, arrived+reply.Arrived
	}
	if late > arrived/50 {
		t.Errorf("%d of %d answers late", late, arrived)
	}
}

// Guards against requests of hot subjects that wait where their parts are cached, or prefill
// them again elsewhere. For 10 s more tokens arrive everywhere than can be prefilled, and
// prompts share some hundred subjects: parts cached at another engine can be fetched.
func TestFetchedPartsSavePrefill(t *testing.T) {
	p := load(t, "overload")
	never := *p
	never.Engine.FetchPerKilo = 1e9
	with, without := run(t, p, site, 1), run(t, &never, site, 1)
	if with.PrefillTokens > without.PrefillTokens*95/100 {
		t.Errorf("%d tokens read, %d without fetching", with.PrefillTokens, without.PrefillTokens)
	}
	if with.Worth() < without.Worth()+0.008 {
		t.Errorf("worth %.3f, without fetching %.3f", with.Worth(), without.Worth())
	}
}

// Guards against requests to engines that rest or leave, against engines that stay idle after
// that, and against callers that come back together: a part of the engines, all of a region and
// all engines ask for rest in turn, then a third says that it is leaving.
func TestRestingAndLeavingEnginesAreLeftAlone(t *testing.T) {
	p := load(t, "targets-that-rest")
	for seed := range uint64(3) {
		f, plain := run(t, p, site, seed+1), run(t, p, "least_outstanding", seed+1)
		if f.DuringRest > 0 || f.AfterLeaving > 0 || f.TurnedAway == 0 {
			t.Errorf("of %d requests turned away %d were sent during a rest, %d to leaving engines", f.TurnedAway, f.DuringRest, f.AfterLeaving)
		}
		if f.Worth() < plain.Worth() {
			t.Errorf("worth %.3f, of least outstanding %.3f", f.Worth(), plain.Worth())
		}
	}
}
