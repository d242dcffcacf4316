package quota

import (
	"time"

	"github.com/gullhaven/gullhaven/coord/limit"
)

// Tolerance is what the platform lets all instances together pass beyond a limit in a
// window: Share of what the limit gives in it, and Units beside it. The zero value is none.
type Tolerance struct {
	Window time.Duration
	Share  float64
	Units  float64
}

const (
	// rateTolerance is the part of a tolerance that is spent on the rate, and burstTolerance
	// on bursts. The rest is for requests in debt and for the cases of the package comment.
	rateTolerance  = 0.5
	burstTolerance = 0.35
)

// Effective is the limit that is divided. A limit gives rate*window + burst in each window,
// so a flood that lasts is let through at that over the window, and a little more: what the
// holders cannot use at once is lost. Two bursts, as coord/limit may pass, fill the rest.
func (t Tolerance) Effective(l limit.Limit) limit.Limit {
	window := t.Window.Seconds()
	if window <= 0 {
		return limit.Limit{Rate: l.Rate, Burst: l.Burst / 2}
	}
	gives := l.Rate*window + l.Burst
	tolerance := t.Share*gives + t.Units
	return limit.Limit{
		Rate:  (gives + rateTolerance*tolerance) / window,
		Burst: burstTolerance * tolerance / 2,
	}
}
