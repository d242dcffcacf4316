// Package duty has what the goroutines of an instance's duties have in common.
package duty

import (
	"context"
	"time"
)

// Every calls do with the time of each tick until ctx ends. A tick that comes while do
// runs is left out.
func Every(ctx context.Context, interval time.Duration, do func(now time.Time)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			do(now)
		}
	}
}

// Pause waits for d, or until ctx ends, which it reports. A loop that looks at ctx by
// itself need not look at the error.
func Pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
