package loads

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/gullhaven/gullhaven/coord/fixedseed"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
)

var (
	start   = time.Unix(1000, 0)
	errPoll = errors.New("no answer")
)

func targets(n int) []Target {
	var list []Target
	for i := range n {
		list = append(list, Target{ID: fmt.Sprint("t", i), Address: fmt.Sprint("127.0.0.1:", 1000+i)})
	}
	return list
}

// Guards against engines that are polled by several instances or by none, with any
// members, while the owner's observations reach the others.
func TestEachEngineHasOnePoller(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []string
		for i := range rapid.IntRange(1, 12).Draw(t, "members") {
			members = append(members, fmt.Sprint("m", i))
		}
		list := targets(rapid.IntRange(1, 40).Draw(t, "targets"))
		polls := map[string]int{}
		for _, m := range members {
			b := NewTable(m)
			b.SetTargets(list)
			b.SetMembers(members)
			for _, target := range list {
				b.Merge(start, Observation{Target: target.ID})
			}
			for _, due := range b.Due(start.Add(PollInterval)) {
				polls[due.ID]++
			}
		}
		for _, target := range list {
			if polls[target.ID] != 1 {
				t.Fatalf("%s is polled by %d of %d members", target.ID, polls[target.ID], len(members))
			}
		}
	})
}

// Guards against an engine without load reports while its owner is cut off.
func TestBackupPollsWithoutReportsOfTheOwner(t *testing.T) {
	members := []string{"a", "b", "c"}
	polled := 0
	for _, m := range members {
		b := NewTable(m)
		b.SetTargets(targets(1))
		b.SetMembers(members)
		b.Merge(start, Observation{Target: "t0"})
		silent := start.Add(b.timing.BackupDelay + time.Millisecond)
		for i := range 3 {
			now := silent.Add(time.Duration(i) * b.timing.PollInterval)
			polled += len(b.Due(now))
			b.HandlePoll(now, "t0", ports.LoadReport{At: now}, nil)
		}
	}
	if polled != 2*3 {
		t.Fatalf("%d polls of owner and backup in three intervals", polled)
	}
}

// Guards against a target that counts as down after one failed poll, or forever, and
// against one that gets requests while it is down: polls fail and succeed in any order.
func TestDownNeedsSeveralFailuresAndExpires(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewTable("a")
		b.SetTargets(targets(1))
		b.SetMembers([]string{"a"})
		now, failures := start, 0
		for range rapid.IntRange(1, 30).Draw(t, "polls") {
			now = now.Add(PollInterval)
			if rapid.Bool().Draw(t, "fails") {
				failures++
				b.HandlePoll(now, "t0", ports.LoadReport{}, errPoll)
			} else {
				failures = 0
				b.HandlePoll(now, "t0", ports.LoadReport{At: now}, nil)
			}
			state, _ := b.State(now, "t0")
			if (state == route.Down) != (failures >= downAfterFailures) {
				t.Fatalf("%v after %d failures in a row", state, failures)
			}
		}
		if state, known := b.State(now.Add(b.timing.DownTTL+time.Second), "t0"); known && state == route.Down {
			t.Fatal("down forever although no instance reports it")
		}
	})
}

// Guards against new requests at a leaving target, if an observation overwrites what the
// bundle or the platform says.
func TestLeavingIsNotOverwritten(t *testing.T) {
	warm := route.TargetSpec{ID: "t0", State: route.Warm}
	leaving := route.TargetSpec{ID: "t0", State: route.Leaving}
	for _, tc := range []struct {
		name     string
		spec     route.TargetSpec
		report   ports.LoadReport
		platform []string
		want     route.State
	}{
		{"none", warm, ports.LoadReport{}, nil, route.Warm},
		{"the bundle", leaving, ports.LoadReport{}, nil, route.Leaving},
		{"the engine", warm, ports.LoadReport{Draining: true}, nil, route.Leaving},
		{"the platform", warm, ports.LoadReport{}, []string{"t0"}, route.Leaving},
		{"loading", warm, ports.LoadReport{Loading: true}, nil, route.Loading},
	} {
		b := NewTable("a")
		b.SetTargets(targets(1))
		b.SetMembers([]string{"a"})
		b.SetLeaving(tc.platform)
		tc.report.At = start
		b.HandlePoll(start, "t0", tc.report, nil)
		if got := b.Overlay(start, []route.TargetSpec{tc.spec})[0].State; got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// Guards against two crashes of an engine that count as one: it goes down and comes
// back, or reports when it started.
func TestIncarnationsAreDistinguished(t *testing.T) {
	b := NewTable("a")
	b.SetTargets(targets(1))
	b.SetMembers([]string{"a"})
	incarnations := map[uint64]bool{}
	for range 3 {
		for range downAfterFailures {
			b.HandlePoll(start, "t0", ports.LoadReport{}, errPoll)
		}
		o, _ := b.HandlePoll(start, "t0", ports.LoadReport{At: start}, nil)
		incarnations[o.Incarnation] = true
	}
	o, _ := b.HandlePoll(start, "t0", ports.LoadReport{At: start, Started: start}, nil)
	if len(incarnations) != 3 || o.Incarnation != uint64(start.UnixMilli()) {
		t.Fatalf("incarnations %v and %d", incarnations, o.Incarnation)
	}
}
