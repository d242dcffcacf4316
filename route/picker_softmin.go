package route

import "math/rand/v2"

// softminCut is the distance from the best score, in temperatures, beyond which
// a candidate has no chance.
const softminCut = 5.0

// softminPicker picks by weighted chance among the near best: the weight falls
// about by e with each temperature of distance from the best score. The temperature is
// a part of the best predicted first token, at least PickFloor. Ties have equal
// chances.
//
// Always the best would be wrong: instances that see the same lagging reports
// would all pick the same target.
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
	heat := max(s.Config.MinPickTemperature.Seconds(), s.Config.PickTemperature*in[best].FirstToken)
	sum := 0.0
	for i := range in {
		in[i].weight = nearness((in[i].Score - low) / heat)
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

// nearness is the weight of a candidate d temperatures from the best. It is the
// inverse of the series of exp(d): the function itself costs more than the rest
// of the decision where hundreds of idle targets are equally good.
func nearness(d float64) float64 {
	if d > softminCut {
		return 0
	}
	return 1 / (1 + d*(1+d*(1.0/2+d*(1.0/6+d/24))))
}
