package metrics

import (
	"strings"
	"testing"
	"time"
)

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
