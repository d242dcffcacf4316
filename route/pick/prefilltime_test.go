package pick

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against requests that are refused as late but would have been in time, or are all late
// before one is refused, because the prefill time is a constant of one engine and the engines are
// up to 8 times faster or slower.
func TestPrefillTimeFollowsEngines(t *testing.T) {
	for _, times := range []float64{1.0 / 8, 0.4, 1, 8} {
		p := newPrefillTime()
		perKilo := initialMillisPerKilo * times
		for n := range 400 {
			x := float64(200 + n*n*7919%30000)
			p.learn(x, perKilo*x/1000)
		}
		for _, x := range []float64{500, 5000, 30000} {
			want := perKilo * x / 1000
			if got := p.firstEventMillis(x); math.Abs(got-want) > 0.1*want {
				t.Errorf("%v times: %v ms for %v tokens, want %v", times, got, x, want)
			}
		}
	}
}

// Guards against memory that grows with each service that configurations ever named.
func TestPrefillTimesOfRemovedServicesAreDropped(t *testing.T) {
	p := New("e")
	for n := range 30 {
		name := fmt.Sprint("s", n)
		p.Update(time.Unix(int64(n), 0), Snapshot{Rules: map[string]ServiceRules{name: {Engine: true}}})
		p.RegionCost("q", RegionLoad{Targets: 1}, Call{Service: name})
		p.Pick(time.Unix(int64(n), 0), Call{Service: name})
		p.prefillTime(name).learn(1000, 50)
	}
	if len(p.prefillTimes) != 1 {
		t.Errorf("%d prefill times are kept for one service", len(p.prefillTimes))
	}
}

// Guards against a service that looks unusable for seconds because a hung engine's first event, or
// an invalid time, decides the estimate.
func TestOutliersDoNotDecidePrefillTime(t *testing.T) {
	p := newPrefillTime()
	for n := range 300 {
		x := float64(500 + n*37%9000)
		p.learn(x, initialMillisPerKilo*x/1000)
		if n%50 == 0 {
			p.learn(1000, 60000)
		}
		p.learn(1000, math.NaN())
		p.learn(1000, math.Inf(1))
		p.learn(math.NaN(), 10)
		p.learn(-5, 10)
		p.learn(1000, -10)
	}
	if got := p.firstEventMillis(5000); got > 2*initialMillisPerKilo*5 {
		t.Fatalf("%v ms for 5,000 tokens", got)
	}
}

func TestPrefillTimeStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPrefillTime()
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			p.learn(rapid.Float64Range(0, 1e6).Draw(t, "tokens"), rapid.Float64Range(0, 1e6).Draw(t, "millis"))
			if perKilo := p.millisPerKilo(); !(perKilo >= minMillisPerKilo && perKilo <= maxMillisPerKilo) {
				t.Fatalf("%v ms for 1,000 tokens", perKilo)
			}
		}
	})
}
