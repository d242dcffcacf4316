package duty_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/node/duty"
)

func TestEveryEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	calls := 0
	duty.Every(ctx, time.Microsecond, func(now time.Time) {
		if now.IsZero() {
			t.Error("a tick without a time")
		}
		if calls++; calls == 3 {
			cancel()
		}
	})
	// Ticks that are ready when the context ends may be called too.
	if calls < 3 {
		t.Fatalf("%d calls", calls)
	}
}

func TestPauseReportsCancellation(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	for _, d := range []time.Duration{-time.Second, 0, time.Microsecond} {
		if err := duty.Pause(ctx, d); err != nil {
			t.Errorf("%v: %v", d, err)
		}
	}
	cancel()
	for _, d := range []time.Duration{0, time.Hour} {
		if err := duty.Pause(ctx, d); !errors.Is(err, context.Canceled) {
			t.Errorf("%v: %v", d, err)
		}
	}
}
