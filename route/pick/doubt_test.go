package pick

import (
	"testing"
	"time"
)

// Guards against a stream that goes on at a target which has started again under its ID with another software
// version, before the list says so.
func TestTargetThatMayHaveStartedAgainGetsNoBegunStream(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	begun := Call{Service: "s", Software: "v1"}
	other := map[string][]string{"s": {"v1", "v2"}}
	for _, c := range []struct {
		name string
		// then is what happens after contact was lost, from now on; before was sent before it.
		then func(p *Pool, before *Choice)
		want bool
	}{
		{"nothing is known", func(*Pool, *Choice) {}, false},
		{"the list is read, but the target is not back", func(p *Pool, _ *Choice) { p.Listed(now.Add(time.Hour), other) }, false},
		{"it is back, the list is older", func(p *Pool, _ *Choice) {
			p.PickAt(now.Add(time.Second), Call{Service: "s"}, "t0").FirstEvent(now.Add(time.Second))
			p.Listed(now.Add(time.Second+listLag), other)
		}, false},
		{"it is back, and a later list shows it as before", func(p *Pool, _ *Choice) {
			p.PickAt(now.Add(time.Second), Call{Service: "s"}, "t0").FirstEvent(now.Add(time.Second))
			p.Listed(now.Add(2*time.Second+listLag), other)
		}, true},
		{"it goes on with an answer of before", func(_ *Pool, before *Choice) { before.Heard(now.Add(time.Second)) }, true},
		{"no target has had another version", func(p *Pool, _ *Choice) { p.Listed(now, map[string][]string{"s": {"v1"}}) }, true},
	} {
		p := New("self")
		p.Update(now, engines("v1"))
		p.Listed(now, other)
		before := p.PickAt(now.Add(-time.Second), Call{Service: "s"}, "t0")
		p.PickAt(now, begun, "t0").LostContact(now)
		c.then(p, before)
		choice := p.PickAt(now.Add(time.Hour), begun, "t0")
		if (choice != nil) != c.want {
			t.Errorf("%s: chosen %v", c.name, choice != nil)
		}
		if again := p.PickAgain(now.Add(time.Hour), begun, "t0"); (again != nil) != c.want {
			t.Errorf("%s: chosen again %v", c.name, again != nil)
		}
		if p.PickAt(now.Add(time.Hour), Call{Service: "s"}, "t0") == nil {
			t.Errorf("%s: a new stream is not taken", c.name)
		}
	}
}

// Guards against a stream that begins at a target which may have started again, and is taken for one of the version
// that the list tells.
func TestSoftwareOfATargetInDoubtIsNotKnown(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := New("self")
	p.Update(now, engines("v1", "v2"))
	call := Call{Service: "s"}
	before := p.PickAt(now, call, "t0")
	lost := p.PickAt(now, call, "t0")
	lost.LostContact(now.Add(time.Second))
	inDoubt := p.PickAt(now.Add(2*time.Second), call, "t0")
	if !lost.SoftwareKnown() || inDoubt.SoftwareKnown() {
		t.Errorf("known: %v of the run that was lost, %v of one after it", lost.SoftwareKnown(), inDoubt.SoftwareKnown())
	}
	before.Heard(now.Add(3 * time.Second))
	if !inDoubt.SoftwareKnown() {
		t.Error("not known once the target has shown that it is the same")
	}
	lost.LostContact(now.Add(4 * time.Second))
	if !inDoubt.SoftwareKnown() {
		t.Error("not known any more after a later doubt")
	}
}
