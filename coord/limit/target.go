package limit

import (
	"slices"
	"time"
)

const (
	// headroom is given above the need, which wavers. It is small because under
	// contention others could use it; the rest of the headroom comes out of what
	// nobody asks for.
	headroom = 1.05
	// newcomers is the part of the limit that is set aside for instances that
	// don't ask, so that one that begins to is given something at once. With the
	// hysteresis a tenth of the limit at most is not granted to those that ask.
	newcomers = 0.05
	// firstRound is how long not all instances have reported of a new limit.
	// The first to ask would be given what others are about to ask for.
	firstRound = 1200 * time.Millisecond
	// firstPart of its equal part is what an instance gets at least in the first
	// round: what it asked for until then says little.
	firstPart = 0.5
	// fillAge is how long a filling is used where no demand swings by more than
	// swing. An old one costs fairness for a moment, never the bound.
	fillAge = 500 * time.Millisecond
	swing   = 0.2
)

// filling is the division of a limit, in parts of it.
type filling struct {
	// level is the most that an instance gets of what it asks for, scale the part of it.
	level, scale float64
	// spare is what nobody asks for, less what is kept for newcomers, for each
	// that asks.
	spare float64
}

// target is the part of the limit for an instance: who asks for less than an
// equal part gets what it asks for with headroom, and the others divide the
// rest equally; or all get the same part of what they ask for. What nobody asks
// for is divided equally among all that ask.
func (d *division) target(now time.Time, holder string, lim Limit, instances int, proportional bool) float64 {
	if d.filledAt.IsZero() || now.Sub(d.filledAt) >= fillAge {
		d.filledAt = now
		d.fill = d.filled(lim, instances, proportional)
	}
	want := d.holdings[holder].want(lim)
	if now.Sub(d.born) < firstRound {
		return max(want, firstPart/float64(max(1, instances)))
	}
	return min(want, d.fill.level)*d.fill.scale + d.fill.spare
}

// want is the part of the limit that an instance asks for.
func (h *holding) want(lim Limit) float64 { return min(1, headroom*h.demand/lim.Rate) }

// filled fills the smallest wants first; the level is where the rest divides
// equally. A proportional one scales all alike.
func (d *division) filled(lim Limit, instances int, proportional bool) filling {
	wants := make([]float64, 0, len(d.holdings))
	f := filling{level: 1, scale: 1}
	sum := 0.0
	for _, h := range d.holdings {
		if h.demand > 0 {
			wants = append(wants, h.want(lim))
			sum += h.want(lim)
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
			f.level = equal
			return f
		}
		left -= w
	}
	others := float64(max(0, instances-len(wants))) / float64(max(1, instances))
	f.spare = max(0, left-newcomers*others) / float64(max(1, len(wants)))
	return f
}
