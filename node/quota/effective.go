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

// usedTolerance is the part of a tolerance that is spent on larger bursts. The rest is for
// requests in debt and for the cases of the package comment.
const usedTolerance = 0.5

// Effective is the limit that is divided: with a burst so large that two of them, as
// coord/limit may pass, stay within the tolerance.
//
// What goes wrong with half of the burst: a region whose share is small refuses the second
// long request of a second, though the workspace is far below its limit.
func (t Tolerance) Effective(l limit.Limit) limit.Limit {
	more := t.Share*(l.Rate*t.Window.Seconds()+l.Burst) + t.Units
	return limit.Limit{Rate: l.Rate, Burst: (l.Burst + usedTolerance*more) / 2}
}
