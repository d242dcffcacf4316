package quotas

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// Regions and Instances of each.
	Regions   = 3
	Instances = 25
	// step is the resolution of virtual time; swing how much the demand of a second wavers.
	step  = 10 * time.Millisecond
	swing = 0.22
	// trip is the way between two regions, near inside of one.
	trip = 80 * time.Millisecond
	near = time.Millisecond
)

// Scheme decides for each request of one workspace whether it passes.
type Scheme interface {
	// Take asks at an instance of a region.
	Take(now time.Time, region, instance int, units float64) bool
	// Step is called at each step of time.
	Step(now time.Time)
}

// Result of a scheme under a load.
type Result struct {
	// Excess is the most that passed in a window over what the limit gives in it.
	Excess float64
	// Needless is the part of what one limiter for all would have let through that did not pass, and WorstNeedless the same of the worst two seconds.
	FalseRefusals, WorstFalseRefusals float64
}

// window is the length of the windows in which passing is judged.
const window = 8 * time.Second

// central lets pass what the limit gives in any window, for all instances at once.
type central struct {
	most, sum float64
	passed    []float64
}

// take asks at a step of time.
func (c *central) take(units float64) bool {
	if c.sum+units > c.most {
		return false
	}
	c.sum += units
	c.passed[len(c.passed)-1] += units
	return true
}

func (c *central) step() {
	c.passed = append(c.passed, 0)
	if old := len(c.passed) - 1 - int(window/step); old >= 0 {
		c.sum -= c.passed[old]
	}
}

// Play has a scheme serve a load for a time.
func Simulate(seed uint64, l *Load, s Scheme, length time.Duration) Result {
	r := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1_800_000_000, 0)
	ideal := &central{most: l.gives()}
	steps := int(length / step)
	passed, owed := make([]float64, steps), make([]float64, steps)
	var wavers [Regions]float64
	for k := range steps {
		at := time.Duration(k) * step
		now := start.Add(at)
		s.Step(now)
		ideal.step()
		for region := range Regions {
			if k%int(time.Second/step) == 0 {
				wavers[region] = math.Exp(swing * r.NormFloat64())
			}
			left := l.demand(region, at) * wavers[region] * step.Seconds() / requestMean
			for n := poisson(r, left); n > 0; n-- {
				units := size(r)
				allowed := ideal.take(units)
				ok := s.Take(now, region, r.IntN(Instances), units)
				if ok {
					passed[k] += units
				}
				if allowed {
					owed[k] += units
				}
			}
		}
	}
	return judge(l, passed, owed)
}

func poisson(r *rand.Rand, mean float64) int {
	n, p, bound := 0, 1.0, math.Exp(-mean)
	for p *= r.Float64(); p > bound; p *= r.Float64() {
		n++
	}
	return n
}

// judge compares what passed with the limit, and with what one limiter for all let through. What one
// request was refused another one may have had in its place: only the sum counts.
func judge(l *Load, passed, owed []float64) Result {
	var res Result
	w := int(window / step)
	sum := 0.0
	for k := range passed {
		sum += passed[k]
		if k >= w {
			sum -= passed[k-w]
		}
		res.Excess = max(res.Excess, sum/l.gives()-1)
	}
	const two = int(2 * time.Second / step)
	var allOwed, allLack float64
	for k := 0; k+two <= len(owed); k += two {
		var o, p float64
		for j := k; j < k+two; j++ {
			o += owed[j]
			p += passed[j]
		}
		allOwed += o
		allLack += max(0, o-p)
		if o > 0 {
			res.WorstFalseRefusals = max(res.WorstFalseRefusals, max(0, o-p)/o)
		}
	}
	if allOwed > 0 {
		res.FalseRefusals = allLack / allOwed
	}
	return res
}
