package place_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/route/place"
)

// Guards against an instance that refuses though it has processor time, that is overloaded and accepts
// everything, or that refuses for longer than a second in a row: the load changes at any time, and
// measurements are late.
func TestRefusalsForLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const cores = 0.2
		p, now, used := place.NewProcessorLoad(cores), time.Unix(1000, 0), time.Duration(0)
		type sample struct {
			at   time.Time
			used time.Duration
		}
		var samples []sample
		inRow, sinceRefusal := time.Duration(0), time.Hour
		for range rapid.IntRange(1, 80).Draw(t, "measurements") {
			const step = 10 * time.Millisecond
			for range rapid.SampledFrom([]int{10, 10, 10, 40}).Draw(t, "steps") {
				now, sinceRefusal, inRow = now.Add(step), sinceRefusal+step, inRow+step
				if !now.Before(p.RefuseUntil()) {
					inRow = 0
				} else if sinceRefusal = 0; inRow > time.Second {
					t.Fatalf("refuses for %v in a row", inRow)
				}
			}
			used += rapid.SampledFrom([]time.Duration{0, 18, 20, 20, 20, 20}).Draw(t, "used") * time.Millisecond
			samples = append(samples, sample{now, used})
			want := false
			for _, s := range samples {
				if span := now.Sub(s.at); span >= time.Second {
					want = float64(used-s.used) > 0.95*cores*float64(span)
				}
			}
			if got := p.Observe(now, used); got != want {
				t.Fatalf("overloaded: %v, want %v, samples %v", got, want, samples)
			}
			if refuses := now.Before(p.RefuseUntil()); refuses && !want || want && !refuses && sinceRefusal > time.Second {
				t.Fatalf("overloaded: %v, refuses: %v, last did %v ago", want, refuses, sinceRefusal)
			}
		}
	})
}
