package replay_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/gullhaven/gullhaven/experiment/replay"
)

const site = "site"

func play(t *testing.T, p *replay.Pattern, decider string, seed uint64) *replay.Figures {
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

// Symptom: urgent requests are refused as they would be late while their engine reads them
// first.
// Events: all instances lose power; all callers come back together, a quarter of them with
// long prompts of the last rank.
// Cause: what waits behind a request counted as in front of it.
func TestUrgentRequestsAreServedWhenAllReturn(t *testing.T) {
	p := load(t, "all-return")
	f := play(t, p, site, 1)
	check, reply := f.Kinds["check"], f.Kinds["reply"]
	if check.Refused > 0 || reply.Refused > reply.Arrived/100 {
		t.Errorf("refused: %d of the first rank, %d of %d of the second", check.Refused, reply.Refused, reply.Arrived)
	}
	// What was sent in the 2.4 s without an instance is late in any case.
	if got := f.InTime("check"); got < 0.86 {
		t.Errorf("%.3f of the first rank in time", got)
	}
}

// Symptom: a region's long prompts are late while the engines of others stand idle.
// Events: one region is at 2.3 times its mean and the others at 0.3, in turn.
// Cause: each region keeps its own, as plain balancers do.
func TestPeakOfARegionIsSharedOut(t *testing.T) {
	p := load(t, "peak-of-one-region")
	f, plain := play(t, p, site, 1), play(t, p, "least_outstanding", 1)
	if f.Worth() < 0.97 || f.Worth() < plain.Worth()+0.04 {
		t.Errorf("worth %.3f, of least outstanding %.3f", f.Worth(), plain.Worth())
	}
	if f.Forwarded == 0 {
		t.Error("nothing was passed on")
	}
}

// Symptom: most long prompts are late or refused in a region at its peak, beside two regions
// with a sixth of their load.
// Events: three regions of 36, 26 and 18 engines with some sixty instances each reach 2.8
// times their mean in turn; a quarter of all engines is lost for two seconds.
// Cause: the idle regions were judged by the pace of the crowded one, and left alone.
func TestPeaksOfALargeSiteAreSharedOut(t *testing.T) {
	p := load(t, "large-regions-in-turn")
	f, plain := play(t, p, site, 1), play(t, p, "least_outstanding", 1)
	if f.Worth() < plain.Worth()+0.3 {
		t.Errorf("worth %.3f, of least outstanding %.3f", f.Worth(), plain.Worth())
	}
	asked := 0
	for _, k := range f.Kinds {
		asked += k.Arrived
	}
	// The peaks have 0.8 of all arrivals, and half of the engines stand in other regions.
	if share := float64(f.Forwarded) / float64(asked); share < 0.4 {
		t.Errorf("%.2f of all passed on", share)
	}
}

// Symptom: in an overload all wait behind each other and all are late.
// Events: for 10 s more comes everywhere than can be read.
// Cause: nobody is refused; or the urgent are refused with the rest.
func TestOverloadRefusesTheLeastUrgent(t *testing.T) {
	p := load(t, "overload")
	f, plain := play(t, p, site, 1), play(t, p, "least_outstanding", 1)
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

// Symptom: a thirtieth of the long answers is not whole at its deadline though the engines
// have room for all.
// Events: long prompts of a few subjects come among long answers.
// Cause: long answers went to the few engines that read little, whatever ran there.
func TestLongAnswersDoNotCrowd(t *testing.T) {
	p := load(t, "long-among-running")
	f, plain := play(t, p, site, 1), play(t, p, "least_outstanding", 1)
	if f.Worth() < plain.Worth()-0.004 {
		t.Errorf("worth %.3f, of least outstanding %.3f", f.Worth(), plain.Worth())
	}
}

// Symptom: the decisions fit one engine only.
// Events: a peak of one region, with engines 8 times faster and 4 times slower, and as much
// less or more that comes.
// Cause: a constant of one engine.
func TestDecisionsFitOtherEngines(t *testing.T) {
	for _, times := range []float64{8, 0.25} {
		p := load(t, "peak-of-one-region").WithSpeed(times)
		p.Seconds /= 2
		for i := range p.Regions {
			p.Regions[i].PerSecond *= min(times, 2)
		}
		f, plain := play(t, p, site, 1), play(t, p, "least_outstanding", 1)
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
	a, b, other := play(t, p, site, 1), play(t, p, site, 1), play(t, p, site, 2)
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
			for kind, k := range play(t, p, d, 3).Kinds {
				if sum := k.InTime + k.Late + k.Unfinished + k.Unserved + k.Refused; sum != k.Arrived || k.Arrived == 0 {
					t.Errorf("%s, %s: %d of %d %s ended", name, d, sum, k.Arrived, kind)
				}
			}
		}
	}
}

func TestPatternsAndDecidersThatAreNotThere(t *testing.T) {
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

// Symptom: one in twenty-five answers is late, each for one pause between events.
// Events: long prompts come in a row among long answers, at engines that read a third
// slower.
// Cause: only the share of time that an engine reads was counted, not for how long it does
// so without a break.
func TestLongPromptsInARowDelayFewAnswers(t *testing.T) {
	p := load(t, "long-prompts-in-a-row")
	late, asked := 0, 0
	for seed := range uint64(3) {
		reply := play(t, p, site, seed+1).Kinds["reply"]
		late, asked = late+reply.Late, asked+reply.Arrived
	}
	if late > asked/50 {
		t.Errorf("%d of %d answers late", late, asked)
	}
}

// Symptom: requests of hot subjects wait where their parts are kept, or have them read
// again elsewhere.
// Events: for 10 s more comes everywhere than can be read; prompts share some hundred subjects.
// Cause: parts that another engine keeps counted as unread.
func TestFetchedPartsSpareReading(t *testing.T) {
	p := load(t, "overload")
	never := *p
	never.Engine.FetchPerKilo = 1e9
	with, without := play(t, p, site, 1), play(t, &never, site, 1)
	if with.PrefillTokens > without.PrefillTokens*95/100 {
		t.Errorf("%d tokens read, %d without fetching", with.PrefillTokens, without.PrefillTokens)
	}
	if with.Worth() < without.Worth()+0.008 {
		t.Errorf("worth %.3f, without fetching %.3f", with.Worth(), without.Worth())
	}
}
