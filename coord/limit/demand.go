package limit

import (
	"math"
	"time"
)

const (
	// slowTimeConstant and fastTimeConstant belong to two exponential averages of
	// demand. The fast one follows bursts; the slow one lags behind load that
	// starts or stops.
	slowTimeConstant = 3 * time.Second
	fastTimeConstant = time.Second
	// refillTime is how soon a bucket should get what it lacks. If it is shorter,
	// shares oscillate, and what was taken from one instance can't be granted to
	// another before the smaller share is in use.
	refillTime = 2 * time.Second
	// minMeasured is the shortest time over which an average is computed.
	minMeasured = time.Second
)

// timeScale multiplies the time constants. It is 1 for a report every two seconds; a
// host that reports more often uses a smaller one to follow demand faster.
type timeScale float64

func (p timeScale) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(p) * float64(d))
}

// demand measures what is requested from a bucket, whether refused or not.
type demand struct {
	scale      timeScale
	slow, fast average
	// requested counts units since at.
	requested float64
	at        time.Time
}

// average is an exponential moving average that starts without a value.
type average struct{ sum, weight float64 }

// rate returns units per second, averaged over at least minTime: otherwise a single
// request just before the first report would look like a high rate.
func (a average) rate(timeConstant, minTime time.Duration) float64 {
	minWeight := -math.Expm1(-minTime.Seconds() / timeConstant.Seconds())
	return a.sum / max(a.weight, minWeight)
}

// add counts units that were requested within d.
func (a *average) add(units float64, d, timeConstant time.Duration) {
	k := -math.Expm1(-d.Seconds() / timeConstant.Seconds())
	a.sum += k * (units/d.Seconds() - a.sum)
	a.weight += k * (1 - a.weight)
}

// update advances the averages to now.
func (m *demand) update(now time.Time) {
	d := now.Sub(m.at)
	if d <= 0 {
		return
	}
	m.slow.add(m.requested, d, m.scale.scaled(slowTimeConstant))
	m.fast.add(m.requested, d, m.scale.scaled(fastTimeConstant))
	m.requested, m.at = 0, now
}

// rate returns the slow average in units per second.
func (m *demand) rate() float64 {
	return m.slow.rate(m.scale.scaled(slowTimeConstant), m.scale.scaled(minMeasured))
}

// need returns the rate to request, in units per second, with tokens left in the
// bucket. A bucket that holds a second of its demand has time to notice that it
// needs more, so it requests the lower average and releases capacity soon after
// load stops. Any other bucket also requests what it lacks.
func (m *demand) need(tokens float64) float64 {
	slow, fast := m.rate(), m.fast.rate(m.scale.scaled(fastTimeConstant), m.scale.scaled(minMeasured))
	deficit := max(slow, fast)*m.scale.scaled(time.Second).Seconds() - tokens
	if deficit <= 0 {
		return min(slow, fast)
	}
	return slow + deficit/m.scale.scaled(refillTime).Seconds()
}
