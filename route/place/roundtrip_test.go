package place_test

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/route/place"
)

// Guards against regions 10 ms apart that do not help each other at a peak, and requests forwarded
// over 300 ms only to be late, because the round trip is a constant. Invalid times must not count.
func TestRoundTripsFollowRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var trips place.RoundTrips
		start := trips.To("q")
		roundTrip := rapid.Float64Range(0.2, 900).Draw(t, "round trip")
		for range 60 {
			there := rapid.Float64Range(0, 5000).Draw(t, "there")
			trips.Learn("q", there+roundTrip, there)
			if rapid.Bool().Draw(t, "odd") {
				trips.Learn("q", 10, 20)
				trips.Learn("q", math.Inf(1), 5)
				trips.Learn("q", math.NaN(), 5)
				trips.Learn("q", 5, -5)
			}
		}
		if got := trips.To("q"); math.Abs(got-roundTrip) > 0.01*math.Abs(start-roundTrip)+1 {
			t.Fatalf("%v ms, %v are right", got, roundTrip)
		}
		if got := trips.To("p"); got != start {
			t.Fatalf("%v ms to a region of which nothing is known", got)
		}
	})
}

// Guards against one request that stops forwarding for seconds: a lost packet delays it by ten
// seconds.
func TestOutlierDoesNotDecideRoundTrip(t *testing.T) {
	var trips place.RoundTrips
	for range 60 {
		trips.Learn("q", 360, 200)
	}
	trips.Learn("q", 10_200, 200)
	if got := trips.To("q"); got > 250 {
		t.Errorf("%v ms after one odd request", got)
	}
}
