package burn

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/gullhaven/gullhaven/coord/fixedseed"
)

// Compares the burn with a plain list of all requests.
func TestBurnCountsEachWindow(t *testing.T) {
	type request struct {
		at   time.Time
		kept bool
	}
	rapid.Check(t, func(t *rapid.T) {
		b, now := NewHistory("i", "r", 1), time.Unix(1_000_000_020, 0)
		var all []request
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "seconds")) * time.Second)
			kept := rapid.Bool().Draw(t, "kept")
			cause := Met
			if !kept {
				cause = Late
			}
			b.Observe(now, Event{Service: "s", Cause: cause})
			all = append(all, request{now, kept})
		}
		report := NewReport(b.Snapshot(now), []Objective{{Service: "s", Share: 0.9}}, now)
		for i, r := range report.Rows[0].Windows {
			length := 30 * time.Second
			if Windows[i] == LongestWindow {
				length = 5 * time.Minute
			}
			var requests, missed int64
			for _, q := range all {
				age := now.UnixNano()/int64(length) - q.at.UnixNano()/int64(length)
				if age < int64(Windows[i]/length) {
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
