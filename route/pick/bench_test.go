package pick_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/route/pick"
)

// BenchmarkPick measures one choice with its end, among busy engines.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{18, 90} {
		b.Run(fmt.Sprint(n, "_engines"), func(b *testing.B) {
			p := pick.New("e")
			loads := map[string]pick.Load{}
			for k := range n {
				loads[fmt.Sprint("t", k)] = pick.Load{Running: 30, PendingPrefill: pick.QueueOf(1, 15000), PrefillMillis: 2000}
			}
			rules := map[string]pick.ServiceRules{"s": {Engine: true}}
			p.Update(t0, pick.Snapshot{Targets: targets(n), Entries: []string{"e"}, Rules: rules, Loads: loads})
			now := t0
			for k := 0; b.Loop(); k++ {
				now = now.Add(time.Millisecond)
				c, _ := p.Pick(now, call(uint64(k%130)))
				c.FirstEvent(now)
				c.Done(now, pick.Good)
			}
		})
	}
}
