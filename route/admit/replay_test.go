package admit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/route/admit"
	"github.com/gullhaven/gullhaven/route/place"
)

const (
	replayEngines = 18
	replayAim     = 800 * time.Millisecond
	replayWork    = 35.0
	// replayLoad is the load over what the engines can do, with one workspace sending half of it.
	replayLoad = 1.6
	replayTime = 30 * time.Second
)

// arrival is a request in the replay; it may come again once if it was refused.
type arrival struct {
	at        time.Time
	workspace int
	again     bool
}

// replay runs the load in virtual time through a rule, and returns which part of the requests of all
// workspaces but the first had their first event within the aim, and which part of the engines' time was
// used. A refused request comes again after place.Busy.
func replay(workspaces int, refused func(now time.Time, r admit.Request) bool) (inAim, used float64) {
	r := rand.New(rand.NewPCG(1, 2))
	freeAt := slices.Repeat([]time.Time{t0}, replayEngines)
	var again []arrival
	perSecond := replayLoad * replayEngines * 1000 / replayWork
	end, total, good, work := t0.Add(replayTime), 0.0, 0.0, 0.0
	for next := t0; next.Before(end); {
		a := arrival{at: next}
		if len(again) > 0 && again[0].at.Before(next) {
			a, again = again[0], again[1:]
		} else {
			if r.IntN(2) == 0 {
				a.workspace = 1 + r.IntN(workspaces-1)
			}
			next = next.Add(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)))
		}
		engine := slices.Index(freeAt, slices.MinFunc(freeAt, time.Time.Compare))
		queue, own := max(0, millis(freeAt[engine].Sub(a.at))), replayWork*(0.5+r.Float64())
		no := refused(a.at, admit.Request{
			Workspace: fmt.Sprint(a.workspace), QueueMillis: queue, WaitMillis: queue + own, WorkMillis: own, Aim: replayAim, Left: 15 * time.Second,
		})
		if a.workspace != 0 {
			total++
		}
		switch {
		case no && !a.again:
			again = append(again, arrival{at: a.at.Add(place.RetryAfter(place.Busy, 0)), workspace: a.workspace, again: true})
		case !no:
			freeAt[engine] = a.at.Add(time.Duration((queue + own) * float64(time.Millisecond)))
			work += own
			if a.workspace != 0 && queue+own <= millis(replayAim) {
				good++
			}
		}
	}
	for _, at := range freeAt {
		// What is queued at the end is not done yet.
		work -= max(0, millis(at.Sub(end)))
	}
	return good / total, work / (replayEngines * millis(replayTime))
}

// Guards against the workspaces that send their usual load being refused, or late, because of the one that
// sends half of all requests, and against engines that idle meanwhile.
func TestOthersAreServedInTimeBesideAFlood(t *testing.T) {
	for _, workspaces := range []int{16, 10_000} {
		before, usedBefore := replay(workspaces, func(_ time.Time, r admit.Request) bool { return place.Overloaded(r.QueueMillis, r.Aim) })
		s := admit.NewShares()
		after, usedAfter := replay(workspaces, func(now time.Time, r admit.Request) bool {
			d, _ := s.Decide(now, r)
			return d.Refused()
		})
		t.Logf("%d workspaces: in the aim %.3f before, %.3f after; engines used %.3f before, %.3f after", workspaces, before, after, usedBefore, usedAfter)
		if after <= before || usedAfter < 0.99*usedBefore {
			t.Error("the others gain nothing, or engines idle")
		}
	}
}

// BenchmarkDecide measures a decision with 0.7 of the aim queued ahead, among all workspaces tracked.
func BenchmarkDecide(b *testing.B) {
	s := admit.NewShares()
	for k := 0; b.Loop(); k++ {
		r := admit.Request{Workspace: fmt.Sprint(k * k % admit.MaxWorkspaces), QueueMillis: 700 + float64(k%4)*150, WorkMillis: 30, Aim: time.Second, Left: time.Hour}
		s.Decide(t0.Add(time.Duration(k)*time.Millisecond), r)
	}
}
