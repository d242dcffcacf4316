package pick

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Symptom: requests are refused as late that would have been in time, or all are late
// before one is refused.
// Events: engines that are 8 times faster or slower than those the constants were made for.
// Cause: the time that a prompt takes was worked out from one engine's reading rate.
func TestPaceIsThatOfTheEngines(t *testing.T) {
	for _, times := range []float64{1.0 / 8, 0.4, 1, 8} {
		p := newPace()
		perKilo := startPerKilo * times
		for n := range 400 {
			x := float64(200 + n*n*7919%30000)
			p.learn(x, perKilo*x/1000)
		}
		for _, x := range []float64{500, 5000, 30000} {
			want := perKilo * x / 1000
			if got := p.until(x); math.Abs(got-want) > 0.1*want {
				t.Errorf("%v times: %v ms for %v tokens, want %v", times, got, x, want)
			}
		}
	}
}

// Symptom: an instance grows with each service that ever was.
// Events: configurations name other services again and again.
// Cause: the pace of a service stayed when the service had gone.
func TestPacesOfServicesThatAreGoneAreForgotten(t *testing.T) {
	p := New("e")
	for n := range 30 {
		name := fmt.Sprint("s", n)
		p.Update(time.Unix(int64(n), 0), Snapshot{Rules: map[string]ServiceRules{name: {Engine: true}}})
		p.RegionCost("q", RegionLoad{Targets: 1}, Call{Service: name})
		p.Pick(time.Unix(int64(n), 0), Call{Service: name})
		p.pace(name).learn(1000, 50)
	}
	if len(p.paces) != 1 {
		t.Errorf("%d paces are kept, one service is there", len(p.paces))
	}
}

// Symptom: a service looks hopeless for seconds after one engine has hung.
// Events: some first events come after a minute, or at times that cannot be.
// Cause: one odd answer decided.
func TestOddFirstEventsDoNotDecideThePace(t *testing.T) {
	p := newPace()
	for n := range 300 {
		x := float64(500 + n*37%9000)
		p.learn(x, startPerKilo*x/1000)
		if n%50 == 0 {
			p.learn(1000, 60000)
		}
		p.learn(1000, math.NaN())
		p.learn(1000, math.Inf(1))
		p.learn(math.NaN(), 10)
		p.learn(-5, 10)
		p.learn(1000, -10)
	}
	if got := p.until(5000); got > 2*startPerKilo*5 {
		t.Fatalf("%v ms for 5,000 tokens", got)
	}
}

func TestPaceStaysInItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPace()
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			p.learn(rapid.Float64Range(0, 1e6).Draw(t, "tokens"), rapid.Float64Range(0, 1e6).Draw(t, "millis"))
			if perKilo := p.perKilo(); !(perKilo >= leastPerKilo && perKilo <= mostPerKilo) {
				t.Fatalf("%v ms for 1,000 tokens", perKilo)
			}
		}
	})
}
