// Package quotas compares schemes that enforce a workspace's limit over all instances of
// several regions, in virtual time: what passes beyond the limit, and what is refused that
// one bucket for all instances would have allowed.
package quotas

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/gullhaven/gullhaven/coord/limit"
)

// Load is the demand of one workspace.
type Load struct {
	Limit limit.Limit
	// Mean is the mean demand over all regions in units per second.
	Mean float64
	// FloodFactor multiplies the demand from FloodAt for FloodDuration; 0 means no flood.
	FloodFactor            float64
	FloodAt, FloodDuration time.Duration
}

// Sizes of requests in units: of eight, one is long with a wide spread, six are short, one is plain.
const (
	longMean, maxLong   = 9200.0, 57_000.0
	shortMean, maxShort = 1120.0, 5000.0
	plainUnits          = 200.0
	requestMean         = (longMean + 6*shortMean + plainUnits) / 8
)

func size(r *rand.Rand) float64 {
	switch r.IntN(8) {
	case 0:
		return min(maxLong, longMean*math.Exp(0.7*r.NormFloat64()-0.245))
	case 7:
		return plainUnits
	}
	return min(maxShort, shortMean*math.Exp(0.8*r.NormFloat64()-0.32))
}

// regionShapes are the demand of each region relative to its mean, by the second: peaks that move
// from region to region, from a sixth to nearly three times the mean within three seconds.
var regionShapes = [Regions]func(second float64) float64{
	peak(-8, 13), peak(10, 24.5), peak(22, 35.5),
}

const (
	offPeakFactor, peakFactor = 0.17, 2.8
	// rampSeconds is the time from off-peak to peak demand and back.
	rampSeconds = 3.0
)

// peak returns the shape of a region whose peak lasts from one second to another, repeated every
// 34 seconds.
func peak(from, to float64) func(float64) float64 {
	const periodSeconds = 34.0
	return func(s float64) float64 {
		for s > to+rampSeconds {
			s -= periodSeconds
		}
		rise := min(1, max(0, (s-from)/rampSeconds))
		fall := min(1, max(0, (to-s)/rampSeconds))
		return offPeakFactor + (peakFactor-offPeakFactor)*min(rise, fall)
	}
}

// allowance returns the units that the limit allows in a window.
func (l *Load) allowance() float64 { return l.Limit.Rate*window.Seconds() + l.Limit.Burst }

// demand returns the demand of a region at a time, in units per second.
func (l *Load) demand(region int, at time.Duration) float64 {
	d := l.Mean / Regions * regionShapes[region](at.Seconds())
	if l.FloodFactor > 0 && at >= l.FloodAt && at < l.FloodAt+l.FloodDuration {
		d *= l.FloodFactor
	}
	return d
}
