package place

import (
	"math"
	"time"
)

// The load pattern: a region is at its peak, or has lost targets, while others are idle.

const (
	// refusedCost is what passing a request to a region costs more that has refused one of
	// the service within RefusedFor, or whose load is not known, in milliseconds: more than
	// any wait, so that it is a place only where there is none else.
	//
	// What goes wrong without it: a region that is well by its summary and serves nothing,
	// as while its targets warm up after an evacuation, looks idle. All others pass on to
	// it, and each request loses two trips over the wide area.
	refusedCost = 1e5
)

// RefusedFor is how long a refusal of a region counts: less than targets take to warm up or
// come back, so that a region that serves again is found within half a second.
const RefusedFor = 500 * time.Millisecond

// Offer is a region that may serve a request and can be reached.
type RegionCandidate struct {
	Region string
	// Trip is what the way there and back costs it, see Trips.
	RoundTrip float64
	// Cost is what the request costs at its targets, see pick.Pool.RegionCost.
	Cost float64
	// Refused says that it has refused a request for the service lately, Untold that its load
	// is not known: it is a place only where there is none else.
	Refused, LoadUnknown bool
}

// Wait is what a request passed on there meets until its first event, in milliseconds.
func (o *RegionCandidate) Wait() float64 { return o.RoundTrip + o.Cost }

// Nowhere is the cost in the own region where it has no target for a request.
var NoTargetCost = math.Inf(1)

// Region chooses the region that a request is passed on to, where that is better than the
// own one, in which it costs local; nil for none. Of equal ones it is the first by name.
func ChooseRegion(local float64, offers []RegionCandidate) *RegionCandidate {
	var best *RegionCandidate
	bestCost := local
	for i := range offers {
		o := &offers[i]
		cost := o.Wait()
		if o.Refused || o.LoadUnknown {
			cost += refusedCost
		}
		if cost < bestCost || cost == bestCost && best != nil && o.Region < best.Region {
			best, bestCost = o, cost
		}
	}
	return best
}
