package ports_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/ports"
)

// Guards against delays that are read as others: fractions as none, huge ones as short ones.
func TestRetryAfterIsRead(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": 0, "0": 0, "2": 2 * time.Second, "0.5": 500 * time.Millisecond, " 3 ": 3 * time.Second,
		"-1": 0, "soon": 0, "NaN": 0, "Inf": 0, "Wed, 21 Oct 2026 07:28:00 GMT": 0,
		"1e9": time.Hour, strings.Repeat("9", 400): time.Hour,
	} {
		if got := ports.RetryAfter(http.Header{"Retry-After": {text}}); got != want {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}
