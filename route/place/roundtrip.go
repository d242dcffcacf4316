package place

import (
	"math"
	"sync"
)

// Regions may be a few milliseconds apart or on opposite sides of the world.

const (
	// initialRoundTripMillis is the assumed cost of forwarding to another region until a request
	// has returned from there: two trips of 80 ms, and some milliseconds in between.
	initialRoundTripMillis = 170.0
	// roundTripDecay is the weight of the old cost when a request is added: about a dozen requests
	// count, so a changed path is known within a second at peak load.
	roundTripDecay = 0.9
	// maxRoundTripMillis caps the time learned from one request: a lost packet is retransmitted
	// within a second and says little about the next request.
	maxRoundTripMillis = 1000.0
)

// RoundTrips are the recent costs of forwarding requests to other regions in addition to the wait
// there: the way there and back over an open connection. The zero value is ready to use, and it is
// safe for concurrent use.
//
// With a constant, regions 10 ms apart would not help each other when one is crowded, and between
// regions 300 ms apart requests would be forwarded only to be late.
type RoundTrips struct {
	mu       sync.Mutex
	byRegion map[string]float64
}

// To returns the cost of forwarding to a region, in milliseconds.
func (t *RoundTrips) To(region string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.byRegion[region]; ok {
		return known
	}
	return initialRoundTripMillis
}

// Learn records a request whose answer began after took milliseconds, of which there were spent in
// the other region. Negative, NaN and infinite times are ignored.
func (t *RoundTrips) Learn(region string, took, there float64) {
	trip := took - there
	if !(there >= 0) || !(trip >= 0) || math.IsInf(trip, 0) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byRegion == nil {
		t.byRegion = map[string]float64{}
	}
	known, ok := t.byRegion[region]
	if !ok {
		known = initialRoundTripMillis
	}
	t.byRegion[region] = roundTripDecay*known + (1-roundTripDecay)*min(trip, maxRoundTripMillis)
}
