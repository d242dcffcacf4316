package admit_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/route/admit"
)

var t0 = time.Unix(1_700_000_000, 0)

// counted is one request of the model, which keeps all of them.
type counted struct {
	at              time.Time
	workspace       string
	asked, admitted float64
	grant           *admit.Grant
}

// sums returns the decayed work per workspace, and all that was admitted.
func sums(now time.Time, all []counted) (asked, admitted map[string]float64, total float64) {
	asked, admitted = map[string]float64{}, map[string]float64{}
	for _, c := range all {
		left := math.Exp(-now.Sub(c.at).Seconds() / admit.Decay.Seconds())
		asked[c.workspace] += c.asked * left
		admitted[c.workspace] += c.admitted * left
		total += c.admitted * left
	}
	return asked, admitted, total
}

// levelOf fills the workspaces from the one that asks for the least, each with at most an equal part of
// what is left.
func levelOf(asked map[string]float64, total float64) float64 {
	level, left := 0.0, total
	demands := slices.Sorted(maps.Values(asked))
	for k, a := range demands {
		level = min(a, left/float64(len(demands)-k))
		left -= level
	}
	return level
}

// Guards against a workspace that is refused though it has had less than its share, against one that
// keeps the others out, against sums that drift when requests decay, go elsewhere or come in bursts, and
// against expected times that are never corrected as all requests are refused for them.
func TestDecisionsFollowTheFairLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := admit.NewShares(), t0
		var all []counted
		lastTrial := t0.Add(-time.Hour)
		for range rapid.IntRange(1, 120).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 30, 400, 40_000}).Draw(t, "pause")) * time.Millisecond)
			if len(all) > 0 && rapid.IntRange(0, 5).Draw(t, "elsewhere") == 0 {
				c := &all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]
				// The second time must change nothing.
				s.Return(c.grant)
				s.Return(c.grant)
				c.asked, c.admitted = 0, 0
			}
			r := admit.Request{
				Workspace:   fmt.Sprint("w", rapid.IntRange(0, 6).Draw(t, "workspace")),
				QueueMillis: rapid.Float64Range(0, 1500).Draw(t, "queue"), WorkMillis: rapid.Float64Range(1, 5000).Draw(t, "work"),
				Aim: rapid.SampledFrom([]time.Duration{0, time.Second}).Draw(t, "aim"), Left: 2 * time.Second,
				Promised: rapid.IntRange(0, 9).Draw(t, "promised") == 0,
			}
			r.WaitMillis = r.QueueMillis + rapid.Float64Range(0, 2500).Draw(t, "own")
			all = append(all, counted{at: now, workspace: r.Workspace, asked: r.WorkMillis})
			c := &all[len(all)-1]
			asked, admitted, total := sums(now, all)
			level := levelOf(asked, total)
			var d admit.Decision
			d, c.grant = s.Decide(now, r)
			if !d.Refused() {
				c.admitted = r.WorkMillis
			}
			aim, slack := millis(r.Aim), 1e-6*(1+total)
			limited := aim > 0 && !r.Promised
			var want admit.Reason
			switch {
			case limited && r.QueueMillis > aim:
				want = admit.Overloaded
			case limited && r.QueueMillis > aim/2 && admitted[r.Workspace] > level+slack:
				want = admit.OverShare
			case aim > 0 && r.WaitMillis > millis(r.Left) && (r.QueueMillis > aim/2 || now.Sub(lastTrial) < admit.TrialInterval):
				want = admit.PastDeadline
			case aim > 0 && r.WaitMillis > millis(r.Left):
				lastTrial = now
			}
			near := math.Abs(admitted[r.Workspace]-level) <= slack
			if d.Reason != want && !(near && d.Reason == admit.OverShare) {
				t.Fatalf("refused as %q instead of %q: used %v, level %v, %+v", d.Reason, want, admitted[r.Workspace], level, r)
			}
			asked, _, total = sums(now, all)
			got := s.Level(now)
			if got < total/float64(s.Workspaces())*(1-1e-6) || math.Abs(got-levelOf(asked, total)) > 1e-6*(1+got) {
				t.Fatalf("level %v instead of %v, %v in all", got, levelOf(asked, total), total)
			}
		}
	})
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Guards against a flood that is held back though nobody else asks, and against a workspace that never
// gets its turn, as it comes rarely or with a long request.
func TestFloodGetsWhatNobodyElseAsksFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := admit.NewShares(), t0
		r := admit.Request{Workspace: "flood", WorkMillis: 100, Aim: time.Second, Left: time.Minute}
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(10 * time.Millisecond)
			r.QueueMillis = rapid.Float64Range(0, 1200).Draw(t, "queue")
			if d, _ := s.Decide(now, r); d.Refused() != (r.QueueMillis > 1000) {
				t.Fatalf("%+v: %+v", r, d)
			}
		}
		rare := admit.Request{Workspace: "rare", QueueMillis: min(1000, r.QueueMillis), WorkMillis: 1e6, Aim: time.Second, Left: time.Minute}
		if d, _ := s.Decide(now, rare); d.Refused() {
			t.Fatalf("the first request of a workspace: %+v", d)
		}
	})
}

// Guards against memory that grows with the names of workspaces, and against forgetting the one that has
// flooded a group.
func TestLeastUsedWorkspacesMakeRoom(t *testing.T) {
	s := admit.NewShares()
	s.Decide(t0, admit.Request{Workspace: "flood", WorkMillis: 1000})
	_, old := s.Decide(t0, admit.Request{Workspace: "w0", WorkMillis: 1})
	for k := range 2 * admit.MaxWorkspaces {
		s.Decide(t0, admit.Request{Workspace: fmt.Sprint("w", k+1), WorkMillis: 2})
	}
	if s.Workspaces() != admit.MaxWorkspaces || s.Work(t0, "flood").AdmittedMillis != 1000 {
		t.Fatal(s.Workspaces(), s.Work(t0, "flood"))
	}
	// The grant of a workspace that was forgotten must not take the work of its successor.
	s.Decide(t0, admit.Request{Workspace: "w0", WorkMillis: 5})
	s.Return(old)
	if s.Work(t0, "w0").AskedMillis != 5 {
		t.Fatal(s.Work(t0, "w0"))
	}
	if s.Idle(t0.Add(admit.Decay)) || !s.Idle(t0.Add(time.Minute)) {
		t.Fatal("idle too early or too late")
	}
}
