package pick_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/route/pick"
)

// restWorld is the entry instances of a region and targets, of which the first turns requests away
// and asks for rest while rest is above 0.
type restWorld struct {
	transit
	t       *rapid.T
	ids     []string
	pools   []*pick.Pool
	targets []pick.Target
	rest    time.Duration
	// restsUntil is until when the target has asked each instance for rest.
	restsUntil []time.Time
	// served counts the requests that the first target has accepted.
	served int
}

const restingID = "t0"

func newRestWorld(t *rapid.T, instances, others int) *restWorld {
	w := &restWorld{t: t, transit: transit{now: t0}, targets: targets(1 + others), restsUntil: make([]time.Time, instances)}
	for k := range instances {
		w.ids = append(w.ids, fmt.Sprint("e", k))
		w.pools = append(w.pools, pick.New(w.ids[k]))
	}
	for k := range w.pools {
		w.update(k, w.ids, w.targets)
	}
	return w
}

func (w *restWorld) update(k int, ids []string, listed []pick.Target) {
	w.pools[k].Update(w.now, pick.Snapshot{Targets: listed, Entries: ids, Rules: engines()})
}

// choose chooses a target for a request at instance k: the group owner does, as in package
// deciding, or instance k if the owner does not respond.
func (w *restWorld) choose(k int, ownerResponds bool) (own, atOwner *pick.Choice) {
	c := call(uint64(rapid.IntRange(1, 5).Draw(w.t, "subject")))
	requester := w.pools[k]
	if d := slices.Index(w.ids, requester.Owner(c)); ownerResponds && d != k {
		asked := c
		asked.Tried = slices.Concat(c.Tried, requester.Resting(w.now, c.Service))
		if atOwner, _ = w.pools[d].Pick(w.now, asked); atOwner != nil {
			own = requester.PickAt(w.now, c, atOwner.ID)
		}
	}
	if own == nil {
		own, _ = requester.Pick(w.now, c)
	}
	return own, atOwner
}

// request runs a request at instance k. The first target must not get it while it rests.
func (w *restWorld) request(k int, ownerResponds bool) {
	own, atOwner := w.choose(k, ownerResponds)
	end := func(r pick.Result) {
		for _, c := range []*pick.Choice{own, atOwner} {
			if c != nil {
				c.Done(w.now, r)
			}
		}
	}
	if own == nil || own.ID != restingID {
		w.answerLater(w.t, func() { end(pick.Good) })
		return
	}
	if w.now.Before(w.restsUntil[k]) {
		w.t.Fatalf("instance %d sends a request %v before the end of the rest", k, w.restsUntil[k].Sub(w.now))
	}
	rest := w.rest
	w.answerLater(w.t, func() {
		if rest == 0 {
			w.served++
			end(pick.Good)
			return
		}
		own.Rest(w.now, rest)
		if until := w.now.Add(rest); until.After(w.restsUntil[k]) {
			w.restsUntil[k] = until
		}
		end(pick.Rested)
	})
}

// run makes requests while snapshots come, some of which lack the first target.
func (w *restWorld) run(steps int) {
	for k := range steps {
		if k%10 == 0 {
			listed := w.targets
			if rapid.IntRange(0, 3).Draw(w.t, "listed") == 0 {
				listed = listed[1:]
			}
			w.update(rapid.IntRange(0, len(w.pools)-1).Draw(w.t, "updated"), w.ids, listed)
		}
		w.request(rapid.IntRange(0, len(w.pools)-1).Draw(w.t, "at"), rapid.IntRange(0, 9).Draw(w.t, "owner responds") > 0)
		w.step()
	}
}

func drawRest(t *rapid.T) time.Duration {
	return rapid.SampledFrom([]time.Duration{50 * time.Millisecond, time.Second, 3 * time.Second, time.Hour}).Draw(t, "rest")
}

// Guards against requests to a target from an instance that it has asked for rest, whichever
// instance chooses, and while lists come that lack the target for a moment.
func TestInstanceKeepsTheRestThatATargetAsksFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newRestWorld(t, rapid.IntRange(1, 5).Draw(t, "instances"), rapid.IntRange(0, 3).Draw(t, "others"))
		for range 4 {
			w.rest = drawRest(t)
			w.run(150)
			w.rest = 0
			w.run(50)
		}
	})
}

// Guards against a target that stays idle after its rest.
func TestRestedTargetGetsItsShareAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newRestWorld(t, rapid.IntRange(1, 5).Draw(t, "instances"), 1)
		w.rest = time.Second
		w.run(200)
		w.rest = 0
		w.run(200)
		for k := range w.pools {
			w.update(k, w.ids, w.targets)
		}
		w.served = 0
		for range 200 {
			w.request(rapid.IntRange(0, len(w.pools)-1).Draw(t, "at"), true)
			w.step()
		}
		if w.served < 30 {
			t.Fatalf("%d of 200 requests", w.served)
		}
	})
}

// Guards against many requests at once to a target that turns requests away again after its rest.
func TestOneRequestTestsATargetAfterItsRest(t *testing.T) {
	p := pick.New("e")
	p.Update(t0, pick.Snapshot{Targets: targets(1), Entries: []string{"e"}, Rules: engines()})
	pickNow := func(now time.Time) *pick.Choice {
		c, _ := p.Pick(now, call(1))
		return c
	}
	first := pickNow(t0)
	first.Rest(t0, time.Second)
	first.Done(t0, pick.Rested)
	if pickNow(t0.Add(999*time.Millisecond)) != nil {
		t.Fatal("chosen while it rests")
	}
	now := t0.Add(time.Second)
	test := pickNow(now)
	if test == nil || pickNow(now) != nil || len(p.Resting(now, "s")) != 1 {
		t.Fatal("not exactly one request tests it")
	}
	// The target has accepted the request; the answer goes on for long.
	test.FirstEvent(now)
	if pickNow(now) == nil || len(p.Resting(now, "s")) != 0 {
		t.Fatal("not chosen after it has accepted a request")
	}
}

// Guards against a rest that is shortened by a shorter one, asked for in a later answer.
func TestOfSeveralRestsTheLastToEndHolds(t *testing.T) {
	p := pick.New("e")
	p.Update(t0, pick.Snapshot{Targets: targets(1), Entries: []string{"e"}, Rules: engines()})
	c, _ := p.Pick(t0, call(1))
	c.Rest(t0, 3*time.Second)
	c.Rest(t0.Add(time.Second), time.Second)
	c.Done(t0.Add(time.Second), pick.Rested)
	if again, _ := p.Pick(t0.Add(2500*time.Millisecond), call(1)); again != nil {
		t.Fatal("chosen during the longer rest")
	}
	if again, _ := p.Pick(t0.Add(3*time.Second), call(1)); again == nil {
		t.Fatal("not chosen after the rests")
	}
}

// Guards against refusals that tell a time although a target has room, or another time than the
// end of the first rest.
func TestRestLeftIsThatOfTheFirstTargetToEndItsRest(t *testing.T) {
	p := pick.New("e")
	p.Update(t0, pick.Snapshot{Targets: targets(2), Entries: []string{"e"}, Rules: engines()})
	a, _ := p.Pick(t0, call(1))
	b, _ := p.Pick(t0, pick.Call{Service: "s", PromptTokens: 9000, Tried: []string{a.ID}})
	a.Rest(t0, 3*time.Second)
	if _, ok := p.RestLeft(t0, "s"); ok {
		t.Fatal("one target has room")
	}
	b.Rest(t0, 2*time.Second)
	got, ok := p.RestLeft(t0.Add(500*time.Millisecond), "s")
	if want := (pick.RestLeft{Left: 1500 * time.Millisecond, Asked: 2 * time.Second}); !ok || got != want {
		t.Fatalf("%+v", got)
	}
	if _, ok := p.RestLeft(t0.Add(2*time.Second), "s"); ok {
		t.Fatal("a rest has ended")
	}
	if _, ok := p.RestLeft(t0, "unknown"); ok {
		t.Fatal("a service without targets rests")
	}
}

// Guards against requests that are refused although a target might accept them, and against
// requests at busy targets while another one is available.
func TestBusyTargetIsChosenIfThereIsNoOther(t *testing.T) {
	p := pick.New("e")
	p.Update(t0, pick.Snapshot{Targets: targets(2), Entries: []string{"e"}, Rules: engines()})
	busy, _ := p.Pick(t0, call(1))
	busy.Busy(t0, time.Second)
	busy.Done(t0, pick.Rested)
	now := t0.Add(100 * time.Millisecond)
	other, _ := p.Pick(now, call(1))
	if other.ID == busy.ID || !slices.Equal(p.Resting(now, "s"), []string{busy.ID}) {
		t.Fatal("the busy target is chosen beside a free one")
	}
	last, _ := p.Pick(now, pick.Call{Service: "s", PromptTokens: 9000, Tried: []string{other.ID}})
	if last == nil || last.ID != busy.ID || last.Wait < 900 {
		t.Fatalf("the busy target is not chosen as the last one, or without its wait: %+v", last)
	}
	last.Done(now, pick.Good)
	if again, _ := p.Pick(t0.Add(time.Second), call(1)); again.ID != busy.ID || again.Wait >= 900 {
		t.Fatal("not chosen as before after it was busy")
	}
	if _, ok := p.RestLeft(now, "s"); ok {
		t.Fatal("a busy target counts as resting")
	}
}

// Guards against several requests at once to a target that has failed, from an instance that knows
// it by a group owner that has just begun and does not.
func TestNewGroupOwnerKeepsToOneRequestAtATimeAfterAFailure(t *testing.T) {
	snapshot := pick.Snapshot{Targets: targets(1), Entries: []string{"e", "owner"}, Rules: engines()}
	asker, owner := pick.New("e"), pick.New("owner")
	asker.Update(t0, snapshot)
	owner.Update(t0, snapshot)
	lost, _ := asker.Pick(t0, call(1))
	lost.Done(t0, pick.Lost)
	now := t0.Add(10 * time.Second)
	ask := func() *pick.Choice {
		c := call(1)
		c.Tried = asker.Resting(now, "s")
		chosen, _ := owner.Pick(now, c)
		if chosen == nil {
			return nil
		}
		return asker.PickAt(now, call(1), chosen.ID)
	}
	if ask() == nil || ask() != nil {
		t.Fatal("not exactly one request tests the target")
	}
}
