package place_test

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/route/place"
)

// Symptom: regions 10 ms apart leave each other alone at a peak; between regions 300 ms
// apart requests cross to be late.
// Events: requests are passed on and come back, some with odd times.
// Cause: the way was taken to be that of one deployment.
func TestTripsAreThoseOfTheRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var trips place.RoundTrips
		start := trips.To("q")
		way := rapid.Float64Range(0.2, 900).Draw(t, "way")
		for range 60 {
			there := rapid.Float64Range(0, 5000).Draw(t, "there")
			trips.Learn("q", there+way, there)
			if rapid.Bool().Draw(t, "odd") {
				trips.Learn("q", 10, 20)
				trips.Learn("q", math.Inf(1), 5)
				trips.Learn("q", math.NaN(), 5)
				trips.Learn("q", 5, -5)
			}
		}
		if got := trips.To("q"); math.Abs(got-way) > 0.01*math.Abs(start-way)+1 {
			t.Fatalf("%v ms, %v are right", got, way)
		}
		if got := trips.To("p"); got != start {
			t.Fatalf("%v ms to a region of which nothing is known", got)
		}
	})
}

// Symptom: nothing crosses for seconds after one packet was lost.
// Events: one request takes ten seconds more than its target.
// Cause: one odd time decided.
func TestOneOddTripDecidesNothing(t *testing.T) {
	var trips place.RoundTrips
	for range 60 {
		trips.Learn("q", 360, 200)
	}
	trips.Learn("q", 10_200, 200)
	if got := trips.To("q"); got > 250 {
		t.Errorf("%v ms after one odd request", got)
	}
}
