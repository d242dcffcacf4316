package limit

import (
	"math"
	"time"
)

const (
	// slowMemory and fastMemory are the time constants of two averages of what
	// is asked for. Bursts make the fast one waver; the slow one lags behind
	// load that comes or leaves.
	slowMemory = 3 * time.Second
	fastMemory = time.Second
	// refillTime is how soon a bucket is to have what it lacks. Where it is
	// shorter, shares go to and fro and are lost for what can't be granted before
	// a smaller one is in use.
	refillTime = 2 * time.Second
	// leastCounted is the least time that an average counts.
	leastCounted = time.Second
)

// pace is how fast demand is followed, as a part of what serves a report every two seconds.
// A host that reports more often follows faster.
type pace float64

func (p pace) of(d time.Duration) time.Duration { return time.Duration(float64(p) * float64(d)) }

// demand measures what is asked of a bucket, refused or not.
type demand struct {
	pace       pace
	slow, fast average
	// asked are the units since at.
	asked float64
	at    time.Time
}

// average is an exponential average that starts without a value.
type average struct{ sum, weight float64 }

// rate is in units per second. It counts at least one second at a pace of 1: a single request
// just before the first report would else look like a high rate.
func (a average) rate(memory, least time.Duration) float64 {
	minWeight := -math.Expm1(-least.Seconds() / memory.Seconds())
	return a.sum / max(a.weight, minWeight)
}

// add counts units asked for in d.
func (a *average) add(units float64, d, memory time.Duration) {
	k := -math.Expm1(-d.Seconds() / memory.Seconds())
	a.sum += k * (units/d.Seconds() - a.sum)
	a.weight += k * (1 - a.weight)
}

// measure moves the averages on to now.
func (m *demand) measure(now time.Time) {
	d := now.Sub(m.at)
	if d <= 0 {
		return
	}
	m.slow.add(m.asked, d, m.pace.of(slowMemory))
	m.fast.add(m.asked, d, m.pace.of(fastMemory))
	m.asked, m.at = 0, now
}

// rate is the slow average in units per second.
func (m *demand) rate() float64 { return m.slow.rate(m.pace.of(slowMemory), m.pace.of(leastCounted)) }

// need is the rate to ask for, in units per second, with so many tokens left.
// A bucket that holds a second of its demand has time to find that it needs
// more, so it asks for the lower average, and load that left is seen soon. Any
// other asks for what it lacks too.
func (m *demand) need(tokens float64) float64 {
	slow, fast := m.rate(), m.fast.rate(m.pace.of(fastMemory), m.pace.of(leastCounted))
	lack := max(slow, fast)*m.pace.of(time.Second).Seconds() - tokens
	if lack <= 0 {
		return min(slow, fast)
	}
	return slow + lack/m.pace.of(refillTime).Seconds()
}
