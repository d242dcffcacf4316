package route

import "math"

const (
	// speedWeight is the weight of one observation of a target's speed.
	speedWeight = 0.2
	// speedHalfLife is the time in seconds after which half of what was learned
	// is forgotten if nothing new was seen. Without it a target that was slow
	// once would never be tried again.
	speedHalfLife = 30.0
	// speedClamp bounds one observation, as a factor of the expected time.
	speedClamp = 20.0
	// speedFloor is added to both sides of a comparison, in seconds, so that
	// noise in very short times does not look like a change of speed.
	speedFloor = 0.02
	// speedEnough is the number of observations from which they are believed.
	speedEnough = 3
)

// ratio is a learned ratio of observed to expected time, kept as a logarithm so
// that twice as fast and twice as slow weigh the same.
type ratio struct {
	log  float64
	at   float64
	seen int
}

// observe takes one pair of times in seconds.
func (r *ratio) observe(now, observed, expected float64) {
	q := (observed + speedFloor) / (expected + speedFloor)
	q = min(max(q, 1/speedClamp), speedClamp)
	r.log = r.faded(now) + speedWeight*(math.Log(q)-r.faded(now))
	r.at = now
	r.seen++
}

func (r *ratio) faded(now float64) float64 {
	if r.log == 0 || now <= r.at {
		return r.log
	}
	return r.log * math.Exp2(-(now-r.at)/speedHalfLife)
}

// factor returns the ratio, 1 if nothing was learned.
func (r *ratio) factor(now float64) float64 {
	if r.log == 0 {
		return 1
	}
	return math.Exp(r.faded(now))
}

// speed is what is learned of one target's speed.
type speed struct {
	// first and decode compare times to first token and times of output tokens
	// with what the rated speeds and the queue led to expect.
	first, decode ratio
}

// slow is the greater of both, for comparison between targets.
func (s *speed) slow(now float64) float64 {
	return max(s.first.factor(now), s.decode.factor(now))
}

func (s *speed) seen() int {
	return max(s.first.seen, s.decode.seen)
}
