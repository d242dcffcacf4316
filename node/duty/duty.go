// Package duty has helpers for the background goroutines of an instance.
package duty

import (
	"context"
	"time"
)

// Every calls do with the time of each tick until ctx ends. Ticks are dropped while do runs.
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

// Pause waits for d, or until ctx ends, and then returns ctx.Err(). A loop that checks ctx
// itself may ignore the error.
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
