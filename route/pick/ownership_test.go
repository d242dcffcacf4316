package pick_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/route/pick"
)

// Guards against instances that start together, each of which takes itself for the group owner of a
// cold target until it learns of the others.
func TestColdTargetWhileInstancesLearnOfEachOther(t *testing.T) {
	const (
		perSecond, slack = 2.2 * 1.5, 3
		step             = 20 * time.Millisecond
	)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 25).Draw(t, "instances")
		delay := rapid.SampledFrom([]time.Duration{0, 1200 * time.Millisecond, 2 * time.Second}).Draw(t, "delay")
		maxUpdate := max(680, int(delay.Milliseconds())-20)
		list := targets(1)
		list[0].ColdUntil = t0.Add(time.Hour)
		var pools []*pick.Pool
		var ids []string
		// startAt is when each begins to serve, joinedAt when a core instance knows of it.
		var startAt, joinedAt []time.Time
		ms := func(least, most int, label string) time.Duration {
			return time.Duration(rapid.IntRange(least, most).Draw(t, label)) * time.Millisecond
		}
		for k := range n {
			ids = append(ids, fmt.Sprint("e", k))
			pools = append(pools, pick.New(ids[k]))
			startAt = append(startAt, t0.Add(ms(0, 1500, "start")))
			joinedAt = append(joinedAt, startAt[k].Add(ms(20, 1500, "joins")))
		}
		// learnsAt is when each learns of each other one.
		learnsAt := make([][]time.Time, n)
		for k := range n {
			for other := range n {
				at := joinedAt[other].Add(ms(20, maxUpdate, "update"))
				if at.Before(joinedAt[k]) {
					at = joinedAt[k]
				}
				learnsAt[k] = append(learnsAt[k], at)
			}
		}
		var sent []time.Time
		for now := t0; now.Before(t0.Add(8 * time.Second)); now = now.Add(step) {
			for k, p := range pools {
				if now.Before(startAt[k]) {
					continue
				}
				known := []string{ids[k]}
				for other := range n {
					if other != k && !now.Before(learnsAt[k][other]) {
						known = append(known, ids[other])
					}
				}
				p.Update(now, pick.Snapshot{Targets: list, Entries: known, Joining: now.Before(joinedAt[k]), PropagationDelay: delay, Rules: engines()})
				if c, _ := p.Pick(now, call(5)); c != nil {
					sent = append(sent, now)
					c.Done(now, pick.Good)
				}
			}
			if got := inLastSecond(sent, now); float64(got) > perSecond+slack {
				t.Fatalf("%d requests in a second", got)
			}
		}
		if len(sent) == 0 {
			t.Fatal("no request at all")
		}
	})
}

// Guards against an instance that has just started, is short of CPU, and gives requests to a cold
// target by a view that is seconds old.
func TestColdTargetOfInstanceWithoutUpdates(t *testing.T) {
	list := targets(1)
	list[0].ColdUntil = t0.Add(time.Hour)
	s := pick.Snapshot{Targets: list, Entries: []string{"e"}, Rules: engines()}
	sends := func(p *pick.Pool, now time.Time) bool {
		c, _ := p.Pick(now, call(5))
		return c != nil
	}
	young := pick.New("e")
	young.Update(t0, s)
	if sends(young, t0.Add(2*time.Second)) {
		t.Error("an instance without updates for two seconds after its start sends requests")
	}
	young.UpdateLoads(t0.Add(2*time.Second), nil)
	if !sends(young, t0.Add(2100*time.Millisecond)) {
		t.Error("an instance with updates does not send requests")
	}
	old := pick.New("e")
	old.Update(t0, s)
	old.UpdateLoads(t0.Add(time.Minute), nil)
	if !sends(old, t0.Add(2*time.Minute)) {
		t.Error("an instance that is cut off for a minute does not send requests")
	}
}
