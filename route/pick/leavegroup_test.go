package pick

import (
	"fmt"
	"testing"
	"time"
)

// Guards against group owners that meet at the same targets, where prompts queue up while other
// targets are idle. This happens if a group is left because of the cost to other requests, for
// targets of which the owner knows only what others report.
func TestGroupIsLeftForItsWaitOnly(t *testing.T) {
	const all = 2 * groupSize
	at := time.Unix(1000, 0)
	c := Call{Service: "s", PromptTokens: 6000, OutputTokens: 1000, Parts: []Part{{ID: 1, Tokens: 5000}, {ID: 2, Tokens: 1000}}}
	own := groupOf(all, c.chain(), 0)
	chosen := func(pending int) int {
		p := New("e")
		s := Snapshot{Entries: []string{"e"}, Rules: map[string]ServiceRules{"s": {Engine: true}}, Loads: map[string]Load{}}
		for k := range all {
			s.Targets = append(s.Targets, Target{ID: fmt.Sprint("t", k), Service: "s", Zone: "z", Slots: 64})
		}
		p.Update(at, s)
		for id, x := range p.targets {
			s.Loads[id] = Load{Running: 20}
			if x.group == own {
				s.Loads[id] = Load{Running: 40, PendingPrefill: QueueOf(0, pending)}
			}
		}
		p.Update(at, s)
		got, _ := p.Pick(at, c)
		return p.targets[got.ID].group
	}
	if g := chosen(0); g != own {
		t.Errorf("group %d of a prompt of group %d, where nothing waits", g, own)
	}
	if g := chosen(40000); g == own {
		t.Error("the group was not left with 40,000 tokens waiting at each of its targets")
	}
}
