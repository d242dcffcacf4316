// Package quotas compares ways to keep a workspace within its limit over all instances of
// several regions, in virtual time: what passes beyond the limit, and what is refused that
// one bucket for all would have let through.
package quotas

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/gullhaven/gullhaven/coord/limit"
)

// Load is what one workspace asks for.
type Load struct {
	Limit limit.Limit
	// Mean is its use over all regions in units per second.
	Mean float64
	// Hot is the factor by which it asks for more from HotAt for HotFor.
	FloodFactor            float64
	FloodAt, FloodDuration time.Duration
}

// Sizes of requests: of eight, one is long and spread, six are short, one is plain.
const (
	longMean, longMost   = 9200.0, 57_000.0
	shortMean, shortMost = 1120.0, 5000.0
	plainUnits           = 200.0
	requestMean          = (longMean + 6*shortMean + plainUnits) / 8
)

func size(r *rand.Rand) float64 {
	switch r.IntN(8) {
	case 0:
		return min(longMost, longMean*math.Exp(0.7*r.NormFloat64()-0.245))
	case 7:
		return plainUnits
	}
	return min(shortMost, shortMean*math.Exp(0.8*r.NormFloat64()-0.32))
}

// shapes are the demand of each region over its mean by the second: peaks that move round
// the regions, from a sixth to nearly three times the mean within three seconds.
var shapes = [Regions]func(second float64) float64{
	peak(-8, 13), peak(10, 24.5), peak(22, 35.5),
}

const (
	offPeak, onPeak = 0.17, 2.8
	// ramp is how long a region takes from off its peak to it, in seconds.
	ramp = 3.0
)

// peak is the shape of a region whose peak lasts from one second to another, again and again.
func peak(from, to float64) func(float64) float64 {
	const day = 34.0
	return func(s float64) float64 {
		for s > to+ramp {
			s -= day
		}
		rise := min(1, max(0, (s-from)/ramp))
		fall := min(1, max(0, (to-s)/ramp))
		return offPeak + (onPeak-offPeak)*min(rise, fall)
	}
}

// gives is what the limit gives in a window.
func (l *Load) gives() float64 { return l.Limit.Rate*window.Seconds() + l.Limit.Burst }

// demand is what a region asks for at a time, in units per second.
func (l *Load) demand(region int, at time.Duration) float64 {
	d := l.Mean / Regions * shapes[region](at.Seconds())
	if l.FloodFactor > 0 && at >= l.FloodAt && at < l.FloodAt+l.FloodDuration {
		d *= l.FloodFactor
	}
	return d
}
