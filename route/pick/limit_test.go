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
	limitStep = 20 * time.Millisecond
	limitSpan = 4 * time.Second
	// limitGrace is when the bound begins to hold after a target first announced its limit.
	// learnDelay is when an instance's requests begin to count after it first received the limit.
	limitGrace = 6 * time.Second
	learnDelay = 500 * time.Millisecond
)

// limitWorld is the entry instances of a region and targets of which one is limited.
type limitWorld struct {
	transit
	t       *rapid.T
	ids     []string
	pools   []*pick.Pool
	targets []pick.Target
	// limit is what the limited target announces now; announcedAt is when it first did.
	limit       pick.TargetLimit
	announcedAt time.Time
	// learnedAt is when each instance first received the limit.
	learnedAt []time.Time
	sent      []sentAt
}

// transit is virtual time in steps, and the responses in transit from targets.
type transit struct {
	now     time.Time
	pending []answer
}

// answer is a response in transit.
type answer struct {
	at      time.Time
	deliver func()
}

// answerLater delivers an answer after 1 to 20 steps.
func (w *transit) answerLater(t *rapid.T, deliver func()) {
	at := w.now.Add(limitStep * time.Duration(rapid.IntRange(1, 20).Draw(t, "answer")))
	w.pending = append(w.pending, answer{at, deliver})
}

func (w *transit) step() {
	w.now = w.now.Add(limitStep)
	w.pending = slices.DeleteFunc(w.pending, func(a answer) bool {
		if w.now.Before(a.at) {
			return false
		}
		a.deliver()
		return true
	})
}

type sentAt struct {
	at   time.Time
	from int
}

const limitedID = "t0"

func newLimitWorld(t *rapid.T, instances, others int) *limitWorld {
	w := &limitWorld{t: t, transit: transit{now: t0}, targets: targets(1 + others), learnedAt: make([]time.Time, instances)}
	for k := range instances {
		w.ids = append(w.ids, fmt.Sprint("e", k))
		w.pools = append(w.pools, pick.New(w.ids[k]))
	}
	for k := range w.pools {
		w.update(k, w.ids)
	}
	return w
}

// update gives an instance a snapshot with these entry instances.
func (w *limitWorld) update(k int, ids []string) {
	w.pools[k].Update(w.now, pick.Snapshot{Targets: w.targets, Entries: ids, Rules: engines()})
}

func (w *limitWorld) index(id string) int {
	for k := range w.ids {
		if w.ids[k] == id {
			return k
		}
	}
	return -1
}

// request runs a request at instance k. The group owner chooses the target, or instance k itself if
// the owner does not respond. reports says whether k reports the announced limit to the owner.
func (w *limitWorld) request(k int, ownerResponds, reports bool) {
	c := call(uint64(rapid.IntRange(1, 5).Draw(w.t, "subject")))
	requester, owner := w.pools[k], w.pools[k]
	if d := w.index(requester.Owner(c)); ownerResponds {
		owner = w.pools[d]
	}
	var chosen, own *pick.Choice
	if owner != requester {
		owner.LearnLimits(w.now, requester.KnownLimits(w.now, c.Service))
		if chosen, _ = owner.Pick(w.now, c); chosen != nil {
			own = requester.PickAt(w.now, c, chosen.ID)
		} else {
			requester.LearnLimits(w.now, owner.KnownLimits(w.now, c.Service))
		}
	}
	if own == nil {
		if own, _ = requester.Pick(w.now, c); own == nil {
			return
		}
	}
	if own.ID == limitedID {
		w.sent = append(w.sent, sentAt{w.now, k})
	}
	limit := pick.TargetLimit{}
	if own.ID == limitedID {
		limit = w.limit
	}
	w.answerLater(w.t, func() {
		own.LearnLimit(w.now, limit)
		if limit.Limited && w.learnedAt[k].IsZero() {
			w.learnedAt[k] = w.now
		}
		own.Done(w.now, pick.Good)
		if chosen != nil {
			if reports && chosen.Limit != limit {
				chosen.LearnLimit(w.now, limit)
			}
			chosen.Done(w.now, pick.Good)
		}
	})
}

// over returns how many requests of the span that ends now count against the limit, and whether
// they are more than it allows.
func (w *limitWorld) over() (int, bool) {
	from := w.now.Add(-limitSpan)
	if from.Before(w.announcedAt.Add(limitGrace)) {
		from = w.announcedAt.Add(limitGrace)
	}
	n := 0
	for _, s := range w.sent {
		learned := w.learnedAt[s.from]
		if s.at.After(from) && !learned.IsZero() && !s.at.Before(learned.Add(learnDelay)) {
			n++
		}
	}
	return n, float64(n) > 1.5*w.limit.PerSecond*limitSpan.Seconds()+5
}

// Guards against more requests to a limited target than it announced, from all instances together,
// while updates about it are lost, owners do not respond, and ownership moves to another instance.
func TestLimitedTargetGetsItsRateFromAllInstancesTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "instances")
		w := newLimitWorld(t, n, rapid.IntRange(0, 3).Draw(t, "others"))
		for range 50 {
			w.request(rapid.IntRange(0, n-1).Draw(t, "at"), true, true)
			w.step()
		}
		w.limit = pick.TargetLimit{Limited: true, PerSecond: rapid.SampledFrom([]float64{0, 0.3, 1, 1.9, 12}).Draw(t, "limit")}
		w.announcedAt = w.now
		ids := w.ids
		for k := range 900 {
			if k%150 == 149 {
				ids = w.ids[:rapid.IntRange(1, n).Draw(t, "entries")]
			}
			if k%10 == 0 {
				// Instances learn of each other one after the other.
				w.update(rapid.IntRange(0, n-1).Draw(t, "updated"), ids)
			}
			w.request(rapid.IntRange(0, n-1).Draw(t, "at"), rapid.IntRange(0, 9).Draw(t, "owner responds") > 0, rapid.Bool().Draw(t, "reports"))
			w.step()
			if n, over := w.over(); over {
				t.Fatalf("%d requests in %v at a limit of %v a second", n, limitSpan, w.limit.PerSecond)
			}
		}
	})
}

// Guards against a recovered target that stays nearly idle because instances keep the old limit.
func TestRecoveredTargetGetsItsShareAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "instances")
		w := newLimitWorld(t, n, 1)
		w.limit = pick.TargetLimit{Limited: true, PerSecond: rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "limit")}
		w.announcedAt = w.now
		ask := func(steps int) {
			for range steps {
				w.request(rapid.IntRange(0, n-1).Draw(t, "at"), true, true)
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

// Guards against invalid limits that exclude a target or break its rate.
func TestInvalidLimitsAreIgnored(t *testing.T) {
	for _, perSecond := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		p := pick.New("e")
		p.Update(t0, pick.Snapshot{Targets: targets(1), Entries: []string{"e"}, Rules: engines()})
		c, _ := p.Pick(t0, call(1))
		if c.LearnLimit(t0, pick.TargetLimit{Limited: true, PerSecond: perSecond}) {
			t.Errorf("%v is reported as a change", perSecond)
		}
		p.LearnLimits(t0, []pick.KnownLimit{
			{Target: "t0", Limit: pick.TargetLimit{Limited: true}, AgeMillis: -5}, {Target: "t0", Limit: pick.TargetLimit{Limited: true}, AgeMillis: math.MaxInt64},
			{Target: "none", Limit: pick.TargetLimit{Limited: true}},
		})
		if again, _ := p.Pick(t0, call(1)); again == nil {
			t.Errorf("%v excludes the target", perSecond)
		}
	}
}

// Guards against an older limit from another instance that overrides what the target announced
// since.
func TestOlderLimitIsIgnored(t *testing.T) {
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
