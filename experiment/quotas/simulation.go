package quotas

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// Regions is the number of regions, Instances the number of instances in each.
	Regions   = 3
	Instances = 25
	// timeStep is the resolution of virtual time; demandJitter the standard deviation of the
	// logarithm of a second's demand.
	timeStep     = 10 * time.Millisecond
	demandJitter = 0.22
	// crossRegionDelay is the one-way delay between two regions, inRegionDelay that inside one.
	crossRegionDelay = 80 * time.Millisecond
	inRegionDelay    = time.Millisecond
)

// Scheme decides for each request of one workspace whether it passes.
type Scheme interface {
	// Take consumes units at an instance of a region, and reports whether they are allowed.
	Take(now time.Time, region, instance int, units float64) bool
	// Step is called at each time step.
	Step(now time.Time)
}

// Result of a scheme under a load.
type Result struct {
	// Excess is the most that passed in a window beyond the limit's allowance, as a fraction of
	// the allowance.
	Excess float64
	// FalseRefusals is the fraction that did not pass of what one limiter for all would have
	// allowed, WorstFalseRefusals that of the worst two seconds.
	FalseRefusals, WorstFalseRefusals float64
}

// window is the length of the windows in which the limit is checked.
const window = 8 * time.Second

// idealLimiter allows what the limit allows in any window, for all instances together.
type idealLimiter struct {
	maxPerWindow, windowSum float64
	passed                  []float64
}

// take consumes units in the current time step, and reports whether they are allowed.
func (c *idealLimiter) take(units float64) bool {
	if c.windowSum+units > c.maxPerWindow {
		return false
	}
	c.windowSum += units
	c.passed[len(c.passed)-1] += units
	return true
}

func (c *idealLimiter) step() {
	c.passed = append(c.passed, 0)
	if old := len(c.passed) - 1 - int(window/timeStep); old >= 0 {
		c.windowSum -= c.passed[old]
	}
}

// Simulate runs a scheme under a load for length in virtual time.
func Simulate(seed uint64, l *Load, s Scheme, length time.Duration) Result {
	r := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1_800_000_000, 0)
	limiter := &idealLimiter{maxPerWindow: l.allowance()}
	steps := int(length / timeStep)
	passed, ideal := make([]float64, steps), make([]float64, steps)
	var jitter [Regions]float64
	for k := range steps {
		at := time.Duration(k) * timeStep
		now := start.Add(at)
		s.Step(now)
		limiter.step()
		for region := range Regions {
			if k%int(time.Second/timeStep) == 0 {
				jitter[region] = math.Exp(demandJitter * r.NormFloat64())
			}
			requests := l.demand(region, at) * jitter[region] * timeStep.Seconds() / requestMean
			for n := poisson(r, requests); n > 0; n-- {
				units := size(r)
				allowed := limiter.take(units)
				ok := s.Take(now, region, r.IntN(Instances), units)
				if ok {
					passed[k] += units
				}
				if allowed {
					ideal[k] += units
				}
			}
		}
	}
	return judge(l, passed, ideal)
}

func poisson(r *rand.Rand, mean float64) int {
	n, p, bound := 0, 1.0, math.Exp(-mean)
	for p *= r.Float64(); p > bound; p *= r.Float64() {
		n++
	}
	return n
}

// judge compares what passed with the limit, and with what one limiter for all allowed. Only sums
// count, as another request may have used the units that one was refused.
func judge(l *Load, passed, ideal []float64) Result {
	var res Result
	w := int(window / timeStep)
	sum := 0.0
	for k := range passed {
		sum += passed[k]
		if k >= w {
			sum -= passed[k-w]
		}
		res.Excess = max(res.Excess, sum/l.allowance()-1)
	}
	const interval = int(2 * time.Second / timeStep)
	var idealTotal, missingTotal float64
	for k := 0; k+interval <= len(ideal); k += interval {
		var o, p float64
		for j := k; j < k+interval; j++ {
			o += ideal[j]
			p += passed[j]
		}
		idealTotal += o
		missingTotal += max(0, o-p)
		if o > 0 {
			res.WorstFalseRefusals = max(res.WorstFalseRefusals, max(0, o-p)/o)
		}
	}
	if idealTotal > 0 {
		res.FalseRefusals = missingTotal / idealTotal
	}
	return res
}
