package quotas

import (
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/coord/limit"
	"github.com/gullhaven/gullhaven/node/quota"
)

const length = 48 * time.Second

var tolerance = quota.Tolerance{Window: window, Share: 0.1, Units: 110_000}

func loads() map[string]*Load {
	l := func(rate, mean float64) *Load {
		return &Load{Limit: limit.Limit{Rate: rate, Burst: rate}, Mean: mean}
	}
	hot := func(l *Load) *Load {
		l.Hot, l.HotAt, l.HotFor = 6, 6*time.Second, 9*time.Second
		return l
	}
	return map[string]*Load{
		"1 large":       l(1_170_000, 650_000),
		"2 middle":      l(186_000, 103_000),
		"3 small":       l(29_000, 16_000),
		"4 large, hot":  hot(l(1_170_000, 650_000)),
		"5 middle, hot": hot(l(186_000, 103_000)),
		"6 small, hot":  hot(l(29_000, 16_000)),
		"7 lowered":     l(186_000, 300_000),
	}
}

func schemes(l *Load) map[string]Scheme {
	return map[string]Scheme{
		"a each instance":   NewShares(l, Instances, tolerance),
		"b one of a region": NewShares(l, 1, tolerance),
		"c told use":        NewTold(l),
	}
}

func TestSchemesUnderLoad(t *testing.T) {
	for _, name := range sorted(loads()) {
		for _, scheme := range sorted(schemes(loads()[name])) {
			var sum, worst Result
			const seeds = 5
			for seed := range uint64(seeds) {
				l := loads()[name]
				r := Play(seed, l, schemes(l)[scheme], length, nil)
				sum.Needless += r.Needless / seeds
				sum.WorstNeedless += r.WorstNeedless / seeds
				sum.Excess += r.Excess / seeds
				worst.Excess = max(worst.Excess, r.Excess)
				worst.WorstNeedless = max(worst.WorstNeedless, r.WorstNeedless)
			}
			t.Logf("%-14s %-18s excess %6.3f (most %6.3f)  needless %6.4f  worst 2 s %6.3f (most %6.3f)", name, scheme,
				sum.Excess, worst.Excess, sum.Needless, sum.WorstNeedless, worst.WorstNeedless)
		}
	}
}
