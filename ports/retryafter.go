package ports

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxRetryAfter bounds the delay of a Retry-After header; longer ones count as this.
const MaxRetryAfter = time.Hour

// RetryAfter returns the delay of a Retry-After header, 0 if there is none or it is malformed.
func RetryAfter(h http.Header) time.Duration {
	d, _ := ParseSeconds(h.Get("Retry-After"), MaxRetryAfter)
	return d
}

// ParseSeconds parses a time in seconds, which may have a fraction. A malformed or negative one
// counts as 0, one above longest as that; valid is false for all of these.
func ParseSeconds(text string, longest time.Duration) (d time.Duration, valid bool) {
	text = strings.TrimSpace(text)
	seconds, err := strconv.ParseFloat(text, 64)
	switch {
	case strings.Trim(text, "0123456789.eE+-") != "":
		return 0, false
	case seconds > longest.Seconds(): // also if it is out of a float's range
		return longest, false
	case err != nil || seconds < 0:
		return 0, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}
