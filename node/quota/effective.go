package quota

import (
	"time"

	"github.com/gullhaven/gullhaven/coord/limit"
)

// Tolerance is how much all instances together may pass beyond a limit in a Window: Share
// (0 to 1) of what the limit allows in the window, plus Units. The zero value allows nothing.
type Tolerance struct {
	Window time.Duration
	Share  float64
	Units  float64
}

const (
	// rateTolerance is the fraction of a tolerance that is added to the rate, burstTolerance the
	// one that is given to bursts. The rest covers requests that overdraw a bucket and the
	// cases in the package comment.
	rateTolerance  = 0.5
	burstTolerance = 0.35
)

// Effective returns the limit that is divided among holders. l allows rate*window + burst in
// each window, so a lasting flood passes at that amount over the window and a little more, as
// what holders can't use at once is lost. The rest is for two bursts, which coord/limit may pass.
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
