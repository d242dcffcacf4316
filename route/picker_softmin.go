package route

import "math/rand/v2"

// softminCutoff is the distance from the best score, in temperatures, beyond
// which a candidate is never picked.
const softminCutoff = 5.0

// softminPicker picks randomly among the best candidates: the weight falls by
// about a factor of e per temperature of distance from the best score. The
// temperature is PickTemperature times the best candidate's predicted time to
// first token, at least MinPickTemperature. Candidates with equal scores are
// equally likely.
//
// Without it, instances that see the same lagging reports would all pick the
// same target.
type softminPicker struct {
	rng *rand.Rand
}

func (p softminPicker) Pick(s *Snapshot, in []Candidate) int {
	best := 0
	for i := range in {
		if in[i].Score < in[best].Score {
			best = i
		}
	}
	low := in[best].Score
	temperature := max(s.Config.MinPickTemperature.Seconds(), s.Config.PickTemperature*in[best].FirstToken)
	sum := 0.0
	for i := range in {
		in[i].weight = softminWeight((in[i].Score - low) / temperature)
		sum += in[i].weight
	}
	left := p.rng.Float64() * sum
	for i := range in {
		left -= in[i].weight
		if left < 0 {
			return i
		}
	}
	return best
}

// softminWeight returns the weight of a candidate d temperatures from the best.
// It uses the inverse of the truncated series of exp(d): with hundreds of
// equally good idle targets, math.Exp costs more than the rest of the decision.
func softminWeight(d float64) float64 {
	if d > softminCutoff {
		return 0
	}
	return 1 / (1 + d*(1+d*(1.0/2+d*(1.0/6+d/24))))
}
