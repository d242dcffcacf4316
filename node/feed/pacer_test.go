package feed_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/node/feed"
)

// Guards against a platform that allows 47 calls a second and refuses most of them: a list of many
// pages is read, some calls are refused, and the pages are requested as fast as the answers arrive.
func TestPacerKeepsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := feed.Pacer{PerSecond: float64(rapid.IntRange(1, 100).Draw(t, "rate"))}
		now := t0
		var calls []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "answer")) * time.Millisecond)
			refused := rapid.IntRange(0, 4).Draw(t, "refused") == 0
			wait := p.Delay(now, refused, rapid.Float64Range(0, 0.99).Draw(t, "random"))
			if wait < 0 || wait > 2*time.Second {
				t.Fatalf("wait %v", wait)
			}
			now = now.Add(wait)
			calls = append(calls, now)
		}
		for i, from := range calls {
			n := 0
			for _, at := range calls[i:] {
				if at.Sub(from) < time.Second {
					n++
				}
			}
			if float64(n) > p.PerSecond+1 {
				t.Fatalf("%d calls in a second, rate %v", n, p.PerSecond)
			}
		}
	})
}

func TestRefusedCallsWaitLonger(t *testing.T) {
	p, last := feed.Pacer{PerSecond: 1000}, time.Duration(0)
	for range 4 {
		wait := p.Delay(t0, true, 0)
		if wait <= last {
			t.Fatalf("%v after %v", wait, last)
		}
		last = wait
	}
	if wait := p.Delay(t0.Add(time.Minute), false, 0); wait != 0 {
		t.Fatalf("%v after an answer", wait)
	}
}
