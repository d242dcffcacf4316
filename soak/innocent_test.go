package soak

import (
	"testing"
	"time"
)

// For over 40 s after the last fault an entry instance refuses a plain request that any target
// would answer, as one that crashes its targets (request_crashes_targets). Callers send the
// same request again and again, so a copy of it was under way at two targets that crashed
// within two seconds, and none finished in between. Refused everywhere from then on, it never
// finishes, which alone would clear it, until its entry expires after ten minutes.
func TestPopularRequestIsServedAfterTwoCrashes(t *testing.T) { playSeed(t, 109, 15*time.Second, true) }
