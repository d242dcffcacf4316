package route

import "math"

const (
	// speedWeight is the weight of one speed observation.
	speedWeight = 0.2
	// speedHalfLifeSeconds is the time after which half of the learned
	// deviation is forgotten without new observations. Without decay, a target
	// that was slow once would never be tried again.
	speedHalfLifeSeconds = 60.0
	// maxSpeedRatio bounds the ratio of a single observation in both
	// directions.
	maxSpeedRatio = 20.0
	// speedFloorSeconds is added to both times of a comparison, so that noise
	// in very short times does not look like a change of speed.
	speedFloorSeconds = 0.02
	// fullWeightSeconds is the expected time from which an observation has its
	// full weight, minWeightFactor the lowest fraction of that weight. Short
	// times are mostly overhead and say little about a rate.
	fullWeightSeconds = 0.5
	minWeightFactor   = 0.1
	// minPrefillFactor bounds how much faster than rated a target's prefill is
	// assumed to be, since a request that overtook others looks like a fast
	// target.
	minPrefillFactor = 0.8
	// minObservations is the number of observations from which the learned
	// speed is used to detect grey targets.
	minObservations = 3
)

// ratio is a learned ratio of observed to expected time. It is kept as a
// logarithm, so that twice as fast and twice as slow have the same weight.
type ratio struct {
	log          float64
	at           float64
	observations int
	// value is the ratio at time at; 0 before the first observation. It is
	// cached because each decision reads it for every target.
	value float64
}

// observe records an observed and an expected time in seconds.
func (r *ratio) observe(now, observed, expected float64) {
	q := (observed + speedFloorSeconds) / (expected + speedFloorSeconds)
	q = min(max(q, 1/maxSpeedRatio), maxSpeedRatio)
	r.decay(now)
	w := speedWeight * min(max(expected/fullWeightSeconds, minWeightFactor), 1)
	r.log += w * (math.Log(q) - r.log)
	r.value = math.Exp(r.log)
	r.observations++
}

// decay moves the ratio towards 1 by the time since the last update.
func (r *ratio) decay(now float64) {
	if r.log != 0 && now > r.at {
		r.log *= math.Exp2(-(now - r.at) / speedHalfLifeSeconds)
		r.value = math.Exp(r.log)
	}
	r.at = now
}

// factor returns the ratio, or 1 before the first observation.
func (r *ratio) factor() float64 {
	if r.value == 0 {
		return 1
	}
	return r.value
}

// speed is the learned speed of one target.
type speed struct {
	// firstToken and decode compare times to first token and output token times
	// with those expected from the rated speeds and the queue.
	firstToken, decode ratio
}

// slowdown returns the greater of the two ratios, to compare targets.
func (s *speed) slowdown() float64 {
	return max(s.firstToken.factor(), s.decode.factor())
}

func (s *speed) decay(now float64) {
	s.firstToken.decay(now)
	s.decode.decay(now)
}

func (s *speed) observations() int {
	return max(s.firstToken.observations, s.decode.observations)
}
