package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var precedenceStart = time.Unix(1000, 0)

// Guards against refusing for more urgent requests that do not come, or that have room: all without pressure
// are admitted, and the most urgent rank always.
func TestPrecedenceNeedsPressureOfAMoreUrgentRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Precedence
		now := precedenceStart
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "gap")) * time.Millisecond)
			rank, pressure := rapid.IntRange(0, 3).Draw(t, "rank"), rapid.Float64Range(0, 3).Draw(t, "pressure")
			admitted := p.Admit(now, rank, pressure)
			calm := p.Urgent(now, rank) <= easyPressure
			if !admitted && (rank == 0 || calm) {
				t.Fatalf("rank %d refused, pressure of more urgent ones %.2f", rank, p.Urgent(now, rank))
			}
		}
		if !p.Admit(now.Add(3*time.Second), 3, 1) {
			t.Fatal("refused 3 s after the last request")
		}
	})
}

// Guards against a rank that is starved: a tenth of its requests is admitted whatever more urgent ones ask.
func TestPrecedenceLeavesAFloor(t *testing.T) {
	var p Precedence
	admitted, now := 0, precedenceStart
	const asked = 1000
	for range asked {
		now = now.Add(10 * time.Millisecond)
		p.Admit(now, 0, maxPressure)
		if p.Admit(now, 2, 1) {
			admitted++
		}
	}
	if admitted < asked/10-1 || admitted > asked/10+10 {
		t.Errorf("%d of %d admitted", admitted, asked)
	}
}

// Guards against a clock that steps back, and values that no target has.
func TestPrecedenceBearsAnyInput(t *testing.T) {
	var p Precedence
	for _, rank := range []int{-5, 0, 9, 400} {
		p.Admit(precedenceStart, rank, -3)
		p.Admit(precedenceStart.Add(-time.Hour), rank, 1e300)
		if u := p.Urgent(precedenceStart, rank); u < 0 || u > maxPressure {
			t.Errorf("rank %d: %v", rank, u)
		}
	}
}

// playOverload plays ten seconds of a group that gets twice the work it can do, short urgent requests and long
// ones that are less urgent. It returns the shares of each that are admitted.
func playOverload(admit func(now time.Time, rank int, pressure float64) bool) (urgent, rest float64) {
	const targets, tick = 20.0, time.Millisecond
	// work and aim are in milliseconds.
	kinds := []struct {
		rank               int
		perTick, work, aim float64
	}{{0, 0.25, 100, 800}, {2, 0.1, 150, 2000}}
	rng := rand.New(rand.NewPCG(1, 2))
	// Slots are shared: what is queued of any rank delays the urgent as well once they are taken.
	queued := 0.0
	var asked, admitted [3]float64
	for now := precedenceStart; now.Before(precedenceStart.Add(10 * time.Second)); now = now.Add(tick) {
		queued = max(0, queued-targets)
		for _, kind := range kinds {
			if rng.Float64() >= kind.perTick {
				continue
			}
			asked[kind.rank]++
			pressure := queued / targets / kind.aim
			if pressure <= 1 && (admit == nil || admit(now, kind.rank, pressure)) {
				admitted[kind.rank]++
				queued += kind.work
			}
		}
	}
	return admitted[0] / asked[0], admitted[2] / asked[2]
}

// Guards against urgent requests that are refused while less urgent ones are let in by their longer aim.
func TestUrgentRequestsAreAdmittedFirstUnderOverload(t *testing.T) {
	var p Precedence
	urgentBefore, restBefore := playOverload(nil)
	urgent, rest := playOverload(p.Admit)
	if urgentBefore >= restBefore {
		t.Fatalf("without precedence %.2f of the urgent and %.2f of the rest: no such load", urgentBefore, restBefore)
	}
	if urgent < rest || urgent <= urgentBefore {
		t.Errorf("%.2f of the urgent and %.2f of the rest; without precedence %.2f and %.2f", urgent, rest, urgentBefore, restBefore)
	}
	t.Logf("urgent %.2f, rest %.2f; before %.2f and %.2f", urgent, rest, urgentBefore, restBefore)
}
