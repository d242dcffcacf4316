package place

import (
	"math"
	"time"
)

// A region may be at its peak, or have lost targets, while others are idle.

const (
	// refusedCostMillis is the extra cost of forwarding to a region that has refused a request for
	// the service within RefusedFor, or whose load is unknown. It exceeds any wait, so such a
	// region is chosen only if there is no other.
	//
	// Without it, a region that looks healthy by its summary but serves nothing, for example while
	// its targets warm up after an evacuation, looks idle. All others forward to it, and each
	// request loses two wide-area round trips.
	refusedCostMillis = 1e5
)

// RefusedFor is how long a region's refusal counts: less than targets take to warm up or come back,
// so a region that serves again is found within half a second.
const RefusedFor = 500 * time.Millisecond

// RegionCandidate is a reachable region that may serve a request.
type RegionCandidate struct {
	Region string
	// RoundTrip is the cost of the way there and back in milliseconds, see RoundTrips.
	RoundTrip float64
	// Cost is the cost at its targets in milliseconds, see pick.Pool.RegionCost.
	Cost float64
	// Refused says that the region has recently refused a request for the service, LoadUnknown that
	// its load is not known. Such a region is chosen only if there is no other.
	Refused, LoadUnknown bool
}

// Wait is the time until the first event of a request forwarded there, in milliseconds.
func (o *RegionCandidate) Wait() float64 { return o.RoundTrip + o.Cost }

// NoTargetCost is the cost in the own region if it has no target for a request. It must not be
// modified.
var NoTargetCost = math.Inf(1)

// ChooseRegion returns the region to forward a request to if one is better than the own region,
// where the request costs local milliseconds; nil otherwise. Of regions with equal cost it returns
// the first by name.
func ChooseRegion(local float64, candidates []RegionCandidate) *RegionCandidate {
	var best *RegionCandidate
	bestCost := local
	for i := range candidates {
		o := &candidates[i]
		cost := o.Wait()
		if o.Refused || o.LoadUnknown {
			cost += refusedCostMillis
		}
		if cost < bestCost || cost == bestCost && best != nil && o.Region < best.Region {
			best, bestCost = o, cost
		}
	}
	return best
}
