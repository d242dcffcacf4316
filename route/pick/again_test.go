package pick_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/route/pick"
)

// Guards against a target that gets more requests than its limit allows, because a request returns to it.
func TestReturningRequestsKeepTheLimit(t *testing.T) {
	const returning = 5
	c := call(1)
	limited := pick.TargetLimit{Limited: true, PerSecond: 1}
	for name, owns := range map[string]bool{"the owner of its group": true, "another instance": false} {
		Convey(name, t, func() {
			p := pick.New("e0")
			entries := []string{"e0"}
			for k := 1; !owns && p.Owner(c) == "e0"; k++ {
				entries = append(entries, fmt.Sprint("e", k))
				p.Update(t0, pick.Snapshot{Targets: targets(1), Entries: entries, Rules: engines()})
			}
			p.Update(t0, pick.Snapshot{Targets: targets(1), Entries: entries, Rules: engines()})
			first := p.PickAgain(t0, c, "t0")
			So(first, ShouldNotBeNil)
			first.LearnLimit(t0, limited)
			got := 0
			for range returning {
				if p.PickAgain(t0, c, "t0") != nil {
					got++
				}
			}
			want := 0
			if owns {
				want = 1
			}
			So(got, ShouldEqual, want)
		})
	}
}

// Guards against a request that returns to a target which must not get it, and against one that does not return
// to a target that is only in a backoff.
func TestRequestReturnsOnlyToATargetThatMayRunIt(t *testing.T) {
	later := t0.Add(time.Millisecond)
	for name, c := range map[string]struct {
		change func(x *pick.Target, ran *pick.Choice)
		again  bool
	}{
		"a target that has broken off":      {func(_ *pick.Target, ran *pick.Choice) { ran.Done(t0, pick.Lost) }, true},
		"a target that rests":               {func(_ *pick.Target, ran *pick.Choice) { ran.Rest(t0, time.Minute) }, false},
		"a target that says it is leaving":  {func(_ *pick.Target, ran *pick.Choice) { ran.Leaving() }, false},
		"a target that is listed draining":  {func(x *pick.Target, _ *pick.Choice) { x.Draining = true }, false},
		"a target in an evacuated zone":     {func(x *pick.Target, _ *pick.Choice) { x.Zone = "evacuated" }, false},
		"a cold target":                     {func(x *pick.Target, _ *pick.Choice) { x.ColdUntil = t0.Add(time.Minute) }, false},
		"a target of other software":        {func(x *pick.Target, _ *pick.Choice) { x.Software = "v2" }, false},
		"a target that is no longer listed": {func(x *pick.Target, _ *pick.Choice) { x.ID = "other" }, false},
	} {
		Convey(name, t, func() {
			p := pick.New("e0")
			listed := targets(1)
			listed[0].Software = "v1"
			s := pick.Snapshot{Targets: listed, Entries: []string{"e0"}, Evacuated: map[string]bool{"evacuated": true}, Rules: engines()}
			p.Update(t0, s)
			request := call(1)
			request.Software, request.Tried = "v1", []string{"t0"}
			ran := p.PickAgain(t0, request, "t0")
			So(ran, ShouldNotBeNil)
			changed := listed[0]
			c.change(&changed, ran)
			s.Targets = []pick.Target{changed}
			p.Update(t0, s)
			So(p.PickAgain(later, request, "t0") != nil, ShouldEqual, c.again)
		})
	}
}
