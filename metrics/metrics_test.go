package metrics

import (
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/gullhaven/gullhaven/coord/fixedseed"
	"github.com/gullhaven/gullhaven/operate/burn"
)

// Burn against a plain list of all requests.
func TestBurnCountsEachWindow(t *testing.T) {
	type request struct {
		at   time.Time
		kept bool
	}
	rapid.Check(t, func(t *rapid.T) {
		b, now := NewBurn(), time.Unix(1_000_000_020, 0)
		var all []request
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "seconds")) * time.Second)
			kept := rapid.Bool().Draw(t, "kept")
			b.Observe(now, "s", kept)
			all = append(all, request{now, kept})
		}
		report := burn.NewReport(b.Snapshot(now, "i", "r"), []burn.Objective{{Service: "s", Share: 0.9}}, now)
		for i, r := range report.Rows[0].Windows {
			length := 30 * time.Second
			if burn.Windows[i] == burn.Longest {
				length = 5 * time.Minute
			}
			var requests, missed int64
			for _, q := range all {
				age := now.UnixNano()/int64(length) - q.at.UnixNano()/int64(length)
				if age < int64(burn.Windows[i]/length) {
					requests++
					if !q.kept {
						missed++
					}
				}
			}
			want := float64(missed) / float64(requests) / 0.1
			if r.Requests != requests || r.Missed != missed || requests > 0 && math.Abs(r.Rate-want) > 1e-9 {
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
