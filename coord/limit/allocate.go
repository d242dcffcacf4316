package limit

import (
	"slices"
	"time"
)

const (
	// headroom is the factor by which a request exceeds the demand, which fluctuates.
	// It is small because under contention others could use the excess; further
	// headroom comes from capacity that nobody asks for.
	headroom = 1.05
	// newcomerReserve is the share of the limit that is set aside for instances
	// without demand, so that one that starts to ask gets something at once. With
	// the hysteresis, at most a tenth of the limit is not granted to those that ask.
	newcomerReserve = 0.05
	// firstRound is the time after the first demand for a limit in which not all
	// instances may have reported on it. Until it has passed no spare capacity is
	// divided: the first to ask would get what others are about to ask for.
	firstRound = 1200 * time.Millisecond
	// firstRoundShare is the minimum that an instance gets in the first round, as a
	// fraction of its equal share: its demand until then says little.
	firstRoundShare = 0.5
	// maxAllocationAge is how long an allocation is reused unless some demand
	// changes by more than the fraction demandChange. An old one costs fairness for
	// a moment, never the bound.
	maxAllocationAge = 500 * time.Millisecond
	demandChange     = 0.2
)

// allocation is the max-min fair division of a limit, in fractions of it.
type allocation struct {
	// ceiling is the most of its request that an instance gets, scale the factor
	// applied to that.
	ceiling, scale float64
	// spare is what each instance that asks gets of the capacity that nobody asks
	// for, less the reserve for newcomers.
	spare float64
}

// desiredShare returns the fraction of the limit that a holder should get. With
// max-min fairness, who requests less than an equal share gets the request with
// headroom, and the others divide the rest equally; with proportional division all
// get the same fraction of their requests. Capacity that nobody asks for is divided
// equally among all that ask.
func (d *limitState) desiredShare(now time.Time, holder string, lim Limit, instances int, proportional bool) float64 {
	if d.allocatedAt.IsZero() || now.Sub(d.allocatedAt) >= maxAllocationAge {
		d.allocatedAt = now
		d.allocation = d.allocate(lim, instances, proportional)
	}
	want := d.holdings[holder].requestedShare(lim)
	if now.Sub(d.createdAt) < firstRound {
		return max(want, firstRoundShare/float64(max(1, instances)))
	}
	return min(want, d.allocation.ceiling)*d.allocation.scale + d.allocation.spare
}

// requestedShare returns the fraction of the limit that a holder asks for, with headroom.
func (h *holderState) requestedShare(lim Limit) float64 { return min(1, headroom*h.demand/lim.Rate) }

// allocate serves the smallest requests first; the ceiling is where the rest divides
// equally. If proportional is set, all requests are scaled alike.
func (d *limitState) allocate(lim Limit, instances int, proportional bool) allocation {
	wants := make([]float64, 0, len(d.holdings))
	f := allocation{ceiling: 1, scale: 1}
	sum := 0.0
	for _, h := range d.holdings {
		if h.demand > 0 {
			wants = append(wants, h.requestedShare(lim))
			sum += h.requestedShare(lim)
		}
	}
	if proportional && sum > 1 {
		f.scale = 1 / sum
		return f
	}
	slices.Sort(wants)
	left := 1.0
	for i, w := range wants {
		equal := left / float64(len(wants)-i)
		if w > equal {
			f.ceiling = equal
			return f
		}
		left -= w
	}
	others := float64(max(0, instances-len(wants))) / float64(max(1, instances))
	f.spare = max(0, left-newcomerReserve*others) / float64(max(1, len(wants)))
	return f
}
