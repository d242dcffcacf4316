package pick_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/route/pick"
)

const (
	needStep = 20 * time.Millisecond
	needSpan = 4 * time.Second
	// needSettles is when the bound begins to hold after a target has first named its limit, and
	// needTold when an instance counts after it has got such an answer.
	needSettles = 6 * time.Second
	needTold    = 500 * time.Millisecond
)

// needWorld is the entry instances of a region before targets of which one is in need.
type needWorld struct {
	t       *rapid.T
	now     time.Time
	ids     []string
	pools   []*pick.Pool
	targets []pick.Target
	// limit is what the target in need names now; namedAt when it first did.
	limit   pick.TargetLimit
	namedAt time.Time
	// toldAt is when each instance first got an answer with a limit.
	toldAt  []time.Time
	sent    []sentAt
	pending []answer
}

// answer is one on its way from a target.
type answer struct {
	at   time.Time
	take func()
}

type sentAt struct {
	at   time.Time
	from int
}

const inNeedID = "t0"

func newNeedWorld(t *rapid.T, instances, others int) *needWorld {
	w := &needWorld{t: t, now: t0, targets: targets(1 + others), toldAt: make([]time.Time, instances)}
	for k := range instances {
		w.ids = append(w.ids, fmt.Sprint("e", k))
		w.pools = append(w.pools, pick.New(w.ids[k]))
	}
	for k := range w.pools {
		w.sees(k, w.ids)
	}
	return w
}

// sees has an instance know these entry instances.
func (w *needWorld) sees(k int, ids []string) {
	w.pools[k].Update(w.now, pick.Snapshot{Targets: w.targets, Entries: ids, Rules: engines()})
}

func (w *needWorld) index(id string) int {
	for k := range w.ids {
		if w.ids[k] == id {
			return k
		}
	}
	return -1
}

// ask is a request at an instance: its decider chooses, or, where that does not answer, the
// instance itself.
func (w *needWorld) ask(k int, answers, tells bool) {
	c := call(uint64(rapid.IntRange(1, 5).Draw(w.t, "subject")))
	asker, decider := w.pools[k], w.pools[k]
	if d := w.index(asker.Owner(c)); answers {
		decider = w.pools[d]
	}
	var decided, own *pick.Choice
	if decider != asker {
		decider.LearnLimits(w.now, asker.KnownLimits(w.now, c.Service))
		if decided, _ = decider.Pick(w.now, c); decided != nil {
			own = asker.PickAt(w.now, c, decided.ID)
		} else {
			asker.LearnLimits(w.now, decider.KnownLimits(w.now, c.Service))
		}
	}
	if own == nil {
		if own, _ = asker.Pick(w.now, c); own == nil {
			return
		}
	}
	if own.ID == inNeedID {
		w.sent = append(w.sent, sentAt{w.now, k})
	}
	limit := pick.TargetLimit{}
	if own.ID == inNeedID {
		limit = w.limit
	}
	at := w.now.Add(needStep * time.Duration(rapid.IntRange(1, 20).Draw(w.t, "answer")))
	w.pending = append(w.pending, answer{at, func() {
		own.LearnLimit(w.now, limit)
		if limit.Limited && w.toldAt[k].IsZero() {
			w.toldAt[k] = w.now
		}
		own.Done(w.now, pick.Good)
		if decided != nil {
			if tells && decided.Limit != limit {
				decided.LearnLimit(w.now, limit)
			}
			decided.Done(w.now, pick.Good)
		}
	}})
}

func (w *needWorld) step() {
	w.now = w.now.Add(needStep)
	w.pending = slices.DeleteFunc(w.pending, func(a answer) bool {
		if w.now.Before(a.at) {
			return false
		}
		a.take()
		return true
	})
}

// over reports how many requests of the span that ends now count against the limit, if they are
// more than it allows.
func (w *needWorld) over() (int, bool) {
	from := w.now.Add(-needSpan)
	if from.Before(w.namedAt.Add(needSettles)) {
		from = w.namedAt.Add(needSettles)
	}
	n := 0
	for _, s := range w.sent {
		told := w.toldAt[s.from]
		if s.at.After(from) && !told.IsZero() && !s.at.Before(told.Add(needTold)) {
			n++
		}
	}
	return n, float64(n) > 1.5*w.limit.PerSecond*needSpan.Seconds()+5
}

// Guards against more requests to a target in need than it names, from all instances together,
// while news of it are lost, deciders do not answer, and another instance begins to decide.
func TestTargetInNeedGetsItsRateFromAllInstancesTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "instances")
		w := newNeedWorld(t, n, rapid.IntRange(0, 3).Draw(t, "others"))
		for range 50 {
			w.ask(rapid.IntRange(0, n-1).Draw(t, "at"), true, true)
			w.step()
		}
		w.limit = pick.TargetLimit{Limited: true, PerSecond: rapid.SampledFrom([]float64{0, 0.3, 1, 1.9, 12}).Draw(t, "limit")}
		w.namedAt = w.now
		ids := w.ids
		for k := range 900 {
			if k%150 == 149 {
				ids = w.ids[:rapid.IntRange(1, n).Draw(t, "entries")]
			}
			if k%10 == 0 {
				// Instances hear of each other one after the other.
				w.sees(rapid.IntRange(0, n-1).Draw(t, "hears"), ids)
			}
			w.ask(rapid.IntRange(0, n-1).Draw(t, "at"), rapid.IntRange(0, 9).Draw(t, "answers") > 0, rapid.Bool().Draw(t, "tells"))
			w.step()
			if n, over := w.over(); over {
				t.Fatalf("%d requests in %v at a limit of %v a second", n, needSpan, w.limit.PerSecond)
			}
		}
	})
}

// Guards against a target that has recovered and stays nearly idle, as each instance goes on
// with the limit that it heard of.
func TestTargetThatHasRecoveredGetsItsShareAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "instances")
		w := newNeedWorld(t, n, 1)
		w.limit = pick.TargetLimit{Limited: true, PerSecond: rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "limit")}
		w.namedAt = w.now
		ask := func(steps int) {
			for range steps {
				w.ask(rapid.IntRange(0, n-1).Draw(t, "at"), true, true)
				w.step()
			}
		}
		ask(400)
		w.limit = pick.TargetLimit{}
		ask(300)
		w.sent = nil
		ask(200)
		if len(w.sent) < 30 {
			t.Fatalf("%d of 200 requests", len(w.sent))
		}
	})
}

// Guards against limits that cannot be meant and shut a target out, or break the rate.
func TestLimitsThatCannotBeMeantAreNone(t *testing.T) {
	for _, perSecond := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		p := pick.New("e")
		p.Update(t0, pick.Snapshot{Targets: targets(1), Entries: []string{"e"}, Rules: engines()})
		c, _ := p.Pick(t0, call(1))
		if c.LearnLimit(t0, pick.TargetLimit{Limited: true, PerSecond: perSecond}) {
			t.Errorf("%v is news", perSecond)
		}
		p.LearnLimits(t0, []pick.KnownLimit{
			{Target: "t0", Limit: pick.TargetLimit{Limited: true}, AgeMillis: -5}, {Target: "t0", Limit: pick.TargetLimit{Limited: true}, AgeMillis: math.MaxInt64},
			{Target: "none", Limit: pick.TargetLimit{Limited: true}},
		})
		if again, _ := p.Pick(t0, call(1)); again == nil {
			t.Errorf("%v shuts the target out", perSecond)
		}
	}
}

// Guards against an older word of another instance that undoes what the target said since.
func TestOlderWordOfALimitDoesNotCount(t *testing.T) {
	p := pick.New("e")
	p.Update(t0, pick.Snapshot{Targets: targets(1), Entries: []string{"e"}, Rules: engines()})
	c, _ := p.Pick(t0, call(1))
	now := t0.Add(time.Minute)
	c.LearnLimit(now, pick.TargetLimit{Limited: true, PerSecond: 2})
	c.LearnLimit(now.Add(time.Second), pick.TargetLimit{})
	p.LearnLimits(now.Add(2*time.Second), []pick.KnownLimit{{Target: "t0", Limit: pick.TargetLimit{Limited: true, PerSecond: 2}, AgeMillis: 1500}})
	if got := p.KnownLimits(now, "s"); len(got) != 0 {
		t.Fatalf("known: %v", got)
	}
	p.LearnLimits(now.Add(2*time.Second), []pick.KnownLimit{{Target: "t0", Limit: pick.TargetLimit{Limited: true, PerSecond: 2}, AgeMillis: 500}})
	if got := p.KnownLimits(now.Add(2*time.Second), "s"); len(got) != 1 || got[0].AgeMillis != 500 {
		t.Fatalf("known: %v", got)
	}
}
