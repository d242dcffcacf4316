package pick

import (
	"fmt"
	"testing"
	"time"
)

func engines(software ...string) Snapshot {
	s := Snapshot{Entries: []string{"self"}, Rules: map[string]ServiceRules{"s": {Engine: true, FetchPerKilo: 1}}}
	for n, version := range software {
		s.Targets = append(s.Targets, Target{ID: fmt.Sprint("t", n), Address: fmt.Sprint("a", n), Service: "s", Zone: "z", Slots: 4, Software: version})
	}
	return s
}

// Guards against a stream that goes on at a target of another software version than the one that began
// it, chosen here or by the owner of its group.
func TestOnlyTargetsOfTheSoftwareVersionAreChosen(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := New("self")
	p.Update(now, engines("v1", "v2", "v1", "v2", "v2"))
	for range 20 {
		choice, _ := p.Pick(now, Call{Service: "s", Software: "v1"})
		if choice == nil || choice.Software != "v1" {
			t.Fatalf("%+v", choice)
		}
	}
	if p.PickAt(now, Call{Service: "s", Software: "v1"}, "t1") != nil {
		t.Error("another version was accepted from the owner")
	}
	if choice, why := p.Pick(now, Call{Service: "s", Software: "v3"}); choice != nil || why != ReasonNoneAvailable {
		t.Errorf("%+v %s", choice, why)
	}
	if !p.targets["t0"].startedAgain(Target{ID: "t0", Address: "a0", Software: "v2"}) {
		t.Error("a target that returns with another version is the old one")
	}
}

// Guards against prompt memory of one software version that a target of another one fetches.
func TestPromptMemoryIsFetchedFromTheSameSoftware(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := New("self")
	p.Update(now, engines("v1", "v2", "v1", "v2", "v1", "v2"))
	parts := []Part{{ID: 1, Tokens: 20000}, {ID: 2, Tokens: 10}}
	version := map[string]string{}
	for _, t := range p.targets {
		version[t.Address] = t.Software
	}
	fetched := 0
	for n := range 60 {
		parts[1].ID = uint64(100 + n)
		choice, _ := p.Pick(now, Call{Service: "s", Parts: parts, PromptTokens: 20010, OutputTokens: 10})
		choice.FirstEvent(now)
		if choice.Source != "" {
			fetched++
			if version[choice.Source] != choice.Software {
				t.Fatalf("%s of %s fetches from %s of %s", choice.ID, choice.Software, choice.Source, version[choice.Source])
			}
		}
	}
	if fetched == 0 {
		t.Error("nothing was fetched: the test shows nothing")
	}
}
