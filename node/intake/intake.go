// Package intake logs when clients take up more than an instance has for them.
package intake

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/metrics"
)

const (
	// interval is the time between two looks.
	interval = time.Second
	// calm is for how long nobody was ended or refused until that counts as over.
	calm = 10 * time.Second
)

// Change is a change of state.
type Change uint8

const (
	// None: the state is the same.
	None Change = iota
	// Pressed: clients are ended or refused because of what others take up.
	Pressed
	// Calmed: that is over.
	Calmed
)

// Observer follows the state. The zero value has seen nothing. Time is passed in.
type Observer struct {
	pressed bool
	last    int64
	lastAt  time.Time
}

// Observe returns how the state changes by the count of clients that were ended or refused since the start.
func (o *Observer) Observe(now time.Time, count int64) Change {
	if count > o.last {
		o.last, o.lastAt = count, now
		if o.pressed {
			return None
		}
		o.pressed = true
		return Pressed
	}
	if o.pressed && now.Sub(o.lastAt) >= calm {
		o.pressed = false
		return Calmed
	}
	return None
}

// Watch logs each change until ctx ends.
func Watch(ctx context.Context, log *zap.Logger, read func() metrics.Intake) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var o Observer
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		i := read()
		fields := []zap.Field{
			zap.Int64("held", i.Memory.Held), zap.Int64("limit", i.Memory.Limit), zap.Int64("yielded", i.Memory.Yielded), zap.Int64("without_memory", i.Memory.Refused),
			zap.Int64("connections", i.Conns.Open), zap.Int64("connections_ended", i.Conns.Ended), zap.Int64("connections_refused", i.Conns.Refused),
		}
		switch o.Observe(time.Now(), i.Pressed()) {
		case Pressed:
			log.Warn("clients are ended or refused for what they take up", fields...)
		case Calmed:
			log.Info("no client is ended or refused for what it takes up any more", fields...)
		}
	}
}
