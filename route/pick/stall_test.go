package pick_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/route/pick"
)

// loadedPool returns a pool of targets t0, t1 and so on with these loads, whose events may pause
// for 600 ms.
func loadedPool(loads ...pick.Load) *pick.Pool {
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

// Guards against all answers at an engine being late at once. Urgent requests come to an engine
// with 30 running answers and long prompts of later rank; another engine has less prefill in total.
// Later ranks are not ahead of a request, but their prefill follows without a break, which its
// share of time alone does not show.
func TestContinuousPrefillIsSpread(t *testing.T) {
	p := loadedPool(
		pick.Load{Running: 30, PendingPrefill: pick.QueueOf(2, 12000)},
		pick.Load{Running: 30, PendingPrefill: pick.QueueOf(0, 4000)},
	)
	c, _ := p.Pick(t0, pick.Call{Service: "s", PromptTokens: 6000, OutputTokens: 50, Parts: []pick.Part{{ID: 1, Tokens: 6000}}})
	if c.ID != "t1" {
		t.Errorf("sent to %s, where 18,000 tokens are prefilled without a break", c.ID)
	}
}

// Guards against one very long prompt, whose prefill takes longer than events may pause, going to a
// full engine while another with few answers has a short queue.
func TestVeryLongPromptGoesWhereFewAnswersRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		few := rapid.IntRange(0, 5).Draw(t, "few")
		p := loadedPool(pick.Load{Running: 30}, pick.Load{Running: few, PendingPrefill: pick.QueueOf(0, rapid.IntRange(0, 50000).Draw(t, "pending"))})
		c, _ := p.Pick(t0, pick.Call{Service: "s", PromptTokens: 40000, OutputTokens: 400, Parts: []pick.Part{{ID: 1, Tokens: 40000}}})
		if c.ID != "t1" {
			t.Fatalf("sent to %s", c.ID)
		}
	})
}

func TestContinuousPrefillIsFreeWithoutAnswers(t *testing.T) {
	p := loadedPool(pick.Load{}, pick.Load{Running: 10})
	c, _ := p.Pick(t0, pick.Call{Service: "s", PromptTokens: 90000, OutputTokens: 400, Parts: []pick.Part{{ID: 1, Tokens: 90000}}})
	if c.ID != "t0" {
		t.Errorf("sent to %s", c.ID)
	}
}
