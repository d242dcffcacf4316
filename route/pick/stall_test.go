package pick_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/route/pick"
)

// busy is a pool of targets t0, t1 and so on with loads, whose events may pause for 600 ms.
func busy(loads ...pick.Load) *pick.Pool {
	p := pick.New("e")
	s := pick.Snapshot{
		Targets: targets(len(loads)), Entries: []string{"e"}, Loads: map[string]pick.Load{},
		Rules: map[string]pick.ServiceRules{"s": {Engine: true, GapAim: 600 * time.Millisecond}},
	}
	for n := range s.Targets {
		s.Targets[n].Slots = 64
		s.Loads[s.Targets[n].ID] = loads[n]
	}
	p.Update(t0, s)
	return p
}

// Symptom: all answers at an engine are late at once, each for one pause between events.
// Events: urgent requests come to an engine where 30 answers run and long prompts of a
// later rank wait; another engine reads less in all.
// Cause: what waits of a later rank is not in front of a request, but it is read in a row
// with it, and only the share of the time was counted that reading takes.
func TestReadingInARowIsSharedOut(t *testing.T) {
	p := busy(
		pick.Load{Running: 30, PendingPrefill: pick.QueueOf(2, 12000)},
		pick.Load{Running: 30, PendingPrefill: pick.QueueOf(0, 4000)},
	)
	c, _ := p.Pick(t0, pick.Call{Service: "s", PromptTokens: 6000, OutputTokens: 50, Parts: []pick.Part{{ID: 1, Tokens: 6000}}})
	if c.ID != "t1" {
		t.Errorf("sent to %s, where 18,000 tokens are read in a row", c.ID)
	}
}

// Symptom: a prompt that takes longer than events may pause delays the answers of a full
// engine while another one has few.
// Events: one very long prompt; the engine with the fewest answers has a short queue.
// Cause: as above.
func TestVeryLongPromptGoesWhereFewAnswersRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		few := rapid.IntRange(0, 5).Draw(t, "few")
		p := busy(pick.Load{Running: 30}, pick.Load{Running: few, PendingPrefill: pick.QueueOf(0, rapid.IntRange(0, 50000).Draw(t, "unread"))})
		c, _ := p.Pick(t0, pick.Call{Service: "s", PromptTokens: 40000, OutputTokens: 400, Parts: []pick.Part{{ID: 1, Tokens: 40000}}})
		if c.ID != "t1" {
			t.Fatalf("sent to %s", c.ID)
		}
	})
}

func TestReadingInARowCostsNothingWhereNoAnswerRuns(t *testing.T) {
	p := busy(pick.Load{}, pick.Load{Running: 10})
	c, _ := p.Pick(t0, pick.Call{Service: "s", PromptTokens: 90000, OutputTokens: 400, Parts: []pick.Part{{ID: 1, Tokens: 90000}}})
	if c.ID != "t0" {
		t.Errorf("sent to %s", c.ID)
	}
}
