package metrics

import (
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Burn against a plain list of all requests.
func TestBurnCountsEachWindow(t *testing.T) {
	type request struct {
		slot int64
		kept bool
	}
	rapid.Check(t, func(t *rapid.T) {
		b, now := NewBurn(), time.Unix(1_000_000_020, 0)
		var all []request
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "seconds")) * time.Second)
			kept := rapid.Bool().Draw(t, "kept")
			b.Observe(now, "s", kept)
			all = append(all, request{slotNumber(now), kept})
		}
		for _, r := range b.Rates(now, "s", 0.9) {
			var requests, missed int64
			for _, q := range all {
				if slotNumber(now)-q.slot < int64(r.Window/burnSlot) {
					requests++
					if !q.kept {
						missed++
					}
				}
			}
			want := float64(missed) / float64(requests) / 0.1
			if r.Requests != requests || r.Missed != missed || math.Abs(r.Rate-want) > 1e-9 {
				t.Fatalf("%+v, want %d of %d, %g", r, missed, requests, want)
			}
		}
	})
}

func TestPage(t *testing.T) {
	s := NewSet()
	s.Requests.Inc(3)
	s.FirstByteTime.Update(700 * time.Microsecond)
	s.FirstByteTime.Update(time.Hour)
	s.Gauge(InFlight, func() int64 { return 4 })
	var page strings.Builder
	if err := s.WritePage(&page); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		"# TYPE gullhaven_requests_total counter\ngullhaven_requests_total 3\n",
		"gullhaven_in_flight 4\n",
		"gullhaven_first_byte_seconds_bucket{le=\"0.0005\"} 0\ngullhaven_first_byte_seconds_bucket{le=\"0.001\"} 1\n",
		"gullhaven_first_byte_seconds_bucket{le=\"+Inf\"} 2\n",
		"gullhaven_first_byte_seconds_count 2\n",
	} {
		if !strings.Contains(page.String(), line) {
			t.Fatalf("no %q in\n%s", line, page.String())
		}
	}
}
