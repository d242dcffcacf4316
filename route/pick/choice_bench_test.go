package pick_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/route/pick"
)

// BenchmarkChoiceBySize measures the cost of one request at the group owner and at the instance
// that asks it, by the number of targets.
func BenchmarkChoiceBySize(b *testing.B) {
	for _, n := range []int{20, 400, 4000, 8000} {
		pools, _ := regionPools(1, n, pick.ServiceRules{Engine: true})
		p := pools["e0"]
		b.Run(fmt.Sprint("decide/", n), func(b *testing.B) {
			for k := uint64(0); b.Loop(); k++ {
				now := t0.Add(time.Duration(k) * 10 * time.Millisecond)
				c, _ := p.Pick(now, call(k%1000))
				c.FirstEvent(now)
				c.Done(now, pick.Good)
			}
		})
		b.Run(fmt.Sprint("ask/", n), func(b *testing.B) {
			for k := uint64(0); b.Loop(); k++ {
				p.Owner(call(k % 1000))
				p.KnownLimits(t0, "s")
			}
		})
	}
}
