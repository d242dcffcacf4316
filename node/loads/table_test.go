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

// Symptom: engines are polled by every instance, or by none after a failure.
// Events: members come and go; observations of the owner reach the others.
// Cause: an owner chosen by each instance for itself, or none in its place.
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

// Symptom: nobody knows the load of an engine whose owner is cut off.
// Events: the owner's observations stay out.
// Cause: no deputy.
func TestTheDeputyPollsInTheOwnersSilence(t *testing.T) {
	members := []string{"a", "b", "c"}
	polled := 0
	for _, m := range members {
		b := NewTable(m)
		b.SetTargets(targets(1))
		b.SetMembers(members)
		b.Merge(start, Observation{Target: "t0"})
		silent := start.Add(b.pace.BackupDelay + time.Millisecond)
		for i := range 3 {
			now := silent.Add(time.Duration(i) * b.pace.PollInterval)
			polled += len(b.Due(now))
			b.HandlePoll(now, "t0", ports.LoadReport{At: now}, nil)
		}
	}
	if polled != 2*3 {
		t.Fatalf("%d polls of owner and deputy in three intervals", polled)
	}
}

// Symptom: a target is lost for good after one bad moment, or gets work while
// it is down. Events: polls fail and succeed in any order; time passes.
// Cause: one failure taken for death, or death never forgotten.
func TestDownNeedsSeveralFailuresAndIsForgotten(t *testing.T) {
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
			if (state == route.Down) != (failures >= downAfter) {
				t.Fatalf("%v after %d failures in a row", state, failures)
			}
		}
		if state, known := b.State(now.Add(b.pace.DownExpiry+time.Second), "t0"); known && state == route.Down {
			t.Fatal("down for good although nobody says so")
		}
	})
}

// Symptom: a leaving target gets new work. Events: bundle, engine or platform
// say that it leaves, in any combination with what is observed.
// Cause: an observation that overwrites what operators decided.
func TestLeavingStands(t *testing.T) {
	warm := route.TargetSpec{ID: "t0", State: route.Warm}
	leaving := route.TargetSpec{ID: "t0", State: route.Leaving}
	for _, tc := range []struct {
		name     string
		spec     route.TargetSpec
		report   ports.LoadReport
		platform []string
		want     route.State
	}{
		{"nobody says so", warm, ports.LoadReport{}, nil, route.Warm},
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

// Symptom: two crashes of an engine are taken for one.
// Events: it goes down and comes back, or tells when it started.
// Cause: lives that are not told apart.
func TestLivesAreNumbered(t *testing.T) {
	b := NewTable("a")
	b.SetTargets(targets(1))
	b.SetMembers([]string{"a"})
	lives := map[uint64]bool{}
	for range 3 {
		for range downAfter {
			b.HandlePoll(start, "t0", ports.LoadReport{}, errPoll)
		}
		o, _ := b.HandlePoll(start, "t0", ports.LoadReport{At: start}, nil)
		lives[o.Incarnation] = true
	}
	o, _ := b.HandlePoll(start, "t0", ports.LoadReport{At: start, Started: start}, nil)
	if len(lives) != 3 || o.Incarnation != uint64(start.UnixMilli()) {
		t.Fatalf("lives %v and %d", lives, o.Incarnation)
	}
}
