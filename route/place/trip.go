package place

import (
	"math"
	"sync"
)

// The load pattern: regions lie a few milliseconds apart, or half a world.

const (
	// startTrip is what passing a request to another region is taken to cost it, in
	// milliseconds, until one has come back from there: two trips of 80 ms and a few more in
	// between.
	startTrip = 170.0
	// tripKeep is how much of the old cost stays with each request: a dozen count, so that
	// a path that has changed is known in a second of a peak.
	tripKeep = 0.9
	// mostTrip bounds what one request tells, in milliseconds: a lost packet is sent again
	// within a second, and says little of the next request.
	mostTrip = 1000.0
)

// Trips are what passing requests to other regions costs them beside their wait there, as
// it was lately: the way there and back over a kept connection. It is safe for several
// goroutines.
//
// What goes wrong with a constant: regions 10 ms apart leave each other alone while one is
// crowded, and between regions 300 ms apart requests cross to be late.
type RoundTrips struct {
	mu sync.Mutex
	by map[string]float64
}

// To is the cost of passing to a region, in milliseconds.
func (t *RoundTrips) To(region string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.by[region]; ok {
		return known
	}
	return startTrip
}

// Learn takes in a request that took so many milliseconds until its answer began, there of
// them in the other region. What cannot be is left out.
func (t *RoundTrips) Learn(region string, took, there float64) {
	trip := took - there
	if !(there >= 0) || !(trip >= 0) || math.IsInf(trip, 0) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.by == nil {
		t.by = map[string]float64{}
	}
	known, ok := t.by[region]
	if !ok {
		known = startTrip
	}
	t.by[region] = tripKeep*known + (1-tripKeep)*min(trip, mostTrip)
}
