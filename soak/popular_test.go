package soak

import (
	"testing"
	"time"
)

// Guards against an entry instance that refuses a plain request which any target would answer,
// for over 40 s after the last fault, as one that crashes its targets (request_crashes_targets).
// Callers repeat the same request, so copies of it were in flight at two targets that crashed
// within two seconds, and none finished in between. As it is refused everywhere from then on,
// it never finishes, which alone would clear it, until its entry expires after ten minutes.
func TestPopularRequestIsServedAfterTwoCrashes(t *testing.T) { runSeed(t, 109, 15*time.Second, true) }
