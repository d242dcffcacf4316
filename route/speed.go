package route

import "math"

const (
	// speedWeight is the weight of one observation of a target's speed.
	speedWeight = 0.2
	// speedHalfLife is the time in seconds after which half of what was learned
	// is forgotten if nothing new was seen. Without it a target that was slow
	// once would never be tried again.
	speedHalfLife = 60.0
	// speedClamp bounds one observation, as a factor of the expected time.
	speedClamp = 20.0
	// speedFloor is added to both sides of a comparison, in seconds, so that
	// noise in very short times does not look like a change of speed.
	speedFloor = 0.02
	// speedFull is the expected time in seconds from which an observation has its
	// full weight, speedLeast the least part of it. Short times are mostly
	// overhead and tell little of a rate.
	speedFull  = 0.5
	speedLeast = 0.1
	// fastest bounds how much faster than rated a target is believed to
	// prefill. A request that overtook others looks like a fast target.
	fastest = 0.8
	// speedEnough is the number of observations from which they are believed.
	speedEnough = 3
)

// ratio is a learned ratio of observed to expected time, kept as a logarithm so
// that twice as fast and twice as slow weigh the same.
type ratio struct {
	log  float64
	at   float64
	seen int
	// value is the ratio as of at, 0 until something was learned. It is kept
	// because a decision reads it for each target.
	value float64
}

// observe takes one pair of times in seconds.
func (r *ratio) observe(now, observed, expected float64) {
	q := (observed + speedFloor) / (expected + speedFloor)
	q = min(max(q, 1/speedClamp), speedClamp)
	r.fade(now)
	w := speedWeight * min(max(expected/speedFull, speedLeast), 1)
	r.log += w * (math.Log(q) - r.log)
	r.value = math.Exp(r.log)
	r.seen++
}

// fade forgets a part of what was learned, by the time since.
func (r *ratio) fade(now float64) {
	if r.log != 0 && now > r.at {
		r.log *= math.Exp2(-(now - r.at) / speedHalfLife)
		r.value = math.Exp(r.log)
	}
	r.at = now
}

// factor returns the ratio, 1 if nothing was learned.
func (r *ratio) factor() float64 {
	if r.value == 0 {
		return 1
	}
	return r.value
}

// speed is what is learned of one target's speed.
type speed struct {
	// first and decode compare times to first token and times of output tokens
	// with what the rated speeds and the queue led to expect.
	first, decode ratio
}

// slow is the greater of both, for comparison between targets.
func (s *speed) slow() float64 {
	return max(s.first.factor(), s.decode.factor())
}

func (s *speed) fade(now float64) {
	s.first.fade(now)
	s.decode.fade(now)
}

func (s *speed) seen() int {
	return max(s.first.seen, s.decode.seen)
}
