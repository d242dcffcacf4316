package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/platform/platformtest"
)

// ledgerOfArrivals returns a ledger with a runner in region r0 and an entry instance there, at
// which requests arrive at these times after began.
func ledgerOfArrivals(first platformtest.Arrival, later ...time.Duration) *Ledger {
	l := &Ledger{Events: 3, Runs: func(string) int { return 1 }, Deadline: time.Minute}
	l.AddEntry("e", "r0")
	target := l.AddTarget(0, platformtest.ServiceDesk, "r0", "v1", began)
	for n, at := range append([]time.Duration{0}, later...) {
		a := platformtest.Arrival{}
		if n == 0 {
			a = first
		}
		a.ID, a.At = fmt.Sprint("q", n), began.Add(at)
		l.AddArrival(target, a)
		l.AddRequest(Request{ID: a.ID, Path: platformtest.PathSafe, Entry: "e", Start: a.At, End: a.At, Outcome: platformtest.Outcome{
			Status: 200, Signed: true, Body: platformtest.Answer(a.ID),
		}})
	}
	return l
}

// Guards against checks that find nothing, or what is allowed.
func TestLedgerFindsRequestsAtRestingAndLeavingTargets(t *testing.T) {
	rests, leaves := platformtest.Arrival{TurnedAway: true, RetryAfter: "3"}, platformtest.Arrival{Leaving: "1"}
	at := func(seconds ...float64) (out []time.Duration) {
		for _, s := range seconds {
			out = append(out, time.Duration(s*float64(time.Second)))
		}
		return out
	}
	for _, c := range []struct {
		name string
		l    *Ledger
		want string
	}{
		{"two during a rest", ledgerOfArrivals(rests, at(1, 2)...), ""},
		{"three during a rest", ledgerOfArrivals(rests, at(1, 2, 2.9)...), "3 requests from e reached runner 0"},
		{"requests before the answer is known, and after the rest", ledgerOfArrivals(rests, at(0.1, 0.2, 0.3, 0.4, 3.1, 3.2, 3.3)...), ""},
		{"no rest", ledgerOfArrivals(platformtest.Arrival{TurnedAway: true}, at(1, 2, 3)...), ""},
		{"a malformed rest", ledgerOfArrivals(platformtest.Arrival{TurnedAway: true, RetryAfter: "soon"}, at(1, 2, 3)...), ""},
		{"at once after it has said that it is leaving", ledgerOfArrivals(leaves, at(0.4)...), ""},
		{"after it has said that it is leaving", ledgerOfArrivals(leaves, at(0.6)...), "had said that it was leaving"},
	} {
		got := strings.Join(c.l.Violations(), "; ")
		if (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: %q", c.name, got)
		}
	}
}

// Guards against violations that a restart of the entry instance excuses, and against excuses by
// faults elsewhere.
func TestFaultsOfTheInstanceExcuseRequestsDuringARest(t *testing.T) {
	for entry, excused := range map[string]bool{"e": true, "other": false} {
		l := ledgerOfArrivals(platformtest.Arrival{TurnedAway: true, RetryAfter: "3"}, time.Second, 2*time.Second, 2500*time.Millisecond)
		l.AddDisturbance(Disturbance{Fault: Fault{Kind: Restart, Role: RoleEntry}, Entry: entry, From: began, To: began.Add(time.Minute)})
		if got := l.Violations(); (len(got) == 0) != excused {
			t.Errorf("a restart of %s: %v", entry, got)
		}
	}
}

// Guards against plans without rests or leaving runners.
func TestTargetFaultsAreDrawn(t *testing.T) {
	drawn := map[Kind]int{}
	for seed := range uint64(10) {
		for _, f := range DrawTargetFaults(seed, Shape{Runners: 9}, time.Minute) {
			drawn[f.Kind]++
			if f.At < 0 || f.At >= time.Minute || f.For <= 0 || f.Number < 0 || f.Number >= 9 || !f.Kind.Planned() {
				t.Errorf("seed %d: %v", seed, f)
			}
		}
	}
	if len(drawn) != 2 || drawn[TurnAway] == 0 || drawn[Leave] == 0 {
		t.Errorf("drawn: %v", drawn)
	}
}
