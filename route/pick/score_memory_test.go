package pick_test

import (
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/route/pick"
)

// Symptom: answers stop in the middle for seconds, and their prompts are read once more.
// Events: long prompts come at three engines, of which one reads soonest; their answers
// take a while.
// Cause: the engine that reads soonest got them all, beyond what its memory holds.
func TestLongPromptsDoNotOverfillAnEngine(t *testing.T) {
	const memory, prompt = 100000, 6000
	p := pick.New("e")
	list := targets(3)
	rules := map[string]pick.ServiceRules{"s": {Engine: true, MemoryTokens: memory}}
	// At the others prompts wait.
	loads := map[string]pick.Load{"t1": {Unread: pick.QueueOf(0, 20000)}, "t2": {Unread: pick.QueueOf(0, 20000)}}
	p.Update(t0, pick.Snapshot{Targets: list, Entries: []string{"e"}, Rules: rules, Loads: loads})
	now := t0
	for n := range uint64(36) {
		now = now.Add(100 * time.Millisecond)
		c, _ := p.Pick(now, pick.Call{
			Service: "s", PromptTokens: prompt, OutputTokens: 50, Parts: []pick.Part{{ID: n, Tokens: prompt}},
		})
		if c.ID == "t0" {
			c.First(now.Add(240 * time.Millisecond))
		}
	}
	held := p.Loads(now)["t0"].Held
	if held > memory+5*prompt {
		t.Fatalf("%d tokens are held where %d have a place", held, memory)
	}
	if held < memory/2 {
		t.Fatalf("%d tokens are held at the engine that reads soonest", held)
	}
}

func TestExpectedAnswers(t *testing.T) {
	held := func(c pick.Call) int {
		p := pick.New("e")
		p.Update(t0, pick.Snapshot{Targets: targets(1), Entries: []string{"e"}, Rules: engines()})
		c.Service = "s"
		_, _ = p.Pick(t0, c)
		return p.Loads(t0)["t0"].Held
	}
	for name, row := range map[string]struct {
		call pick.Call
		want int
	}{
		"an answer":             {pick.Call{PromptTokens: 100, OutputTokens: 1000}, 450},
		"one of unknown length": {pick.Call{PromptTokens: 100}, 100},
	} {
		if got := held(row.call); got != row.want {
			t.Errorf("%s: %d tokens, want %d", name, got, row.want)
		}
	}
}
