package entry

import (
	"context"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/node/duty"
	"github.com/gullhaven/gullhaven/node/feed"
	"github.com/gullhaven/gullhaven/route/place"
)

// processorInterval is the time between two measurements of processor time, each of which costs a few
// microseconds.
const processorInterval = 100 * time.Millisecond

// milliPerCore is the number of thousandths of a core in a core.
const milliPerCore = 1000

// watchProcessor measures the processor load of the process until ctx ends. Without a known capacity
// there is nothing to compare it with.
func (i *Instance) watchProcessor(ctx context.Context) {
	if i.o.Self.Capacity <= 0 || !feed.ValidCapacity(i.o.Self.Capacity) {
		return
	}
	load := place.NewProcessorLoad(i.o.Self.Capacity / milliPerCore)
	duty.Every(ctx, processorInterval, func(now time.Time) {
		used, err := processorTime()
		if err != nil {
			i.log.Error("processor time cannot be measured", zap.Error(err))
			return
		}
		i.applyProcessorLoad(now, load, used)
	})
}

// applyProcessorLoad records a measurement of processor time and what follows from it.
func (i *Instance) applyProcessorLoad(now time.Time, load *place.ProcessorLoad, used time.Duration) {
	overloaded := load.Observe(now, used)
	if i.overloaded.Swap(overloaded) != overloaded {
		i.log.Info("processor load changed", zap.Bool("overloaded", overloaded))
	}
	var until time.Time
	if i.othersTakeCallers() {
		until = load.RefuseUntil()
	}
	i.refuseUntil.Store(&until)
}

// maxOverloadedShare is the share of a region's ready instances, at least one, that may be overloaded
// while overloaded ones refuse requests. In a trial at 97% load, without it 11% of the requests were
// refused twice, none of which would have been late.
const maxOverloadedShare = 0.25

// othersTakeCallers reports whether so few ready entry instances of the region are overloaded, this one
// included, that the others can take the callers of these. Where all have the same capacity, none is
// overloaded by its size, and all go on serving.
func (i *Instance) othersTakeCallers() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	ready, overloaded, uneven := 1, 1, false
	for _, e := range i.known.entries.Entries {
		if e.Region != i.o.Self.Region || !e.Ready {
			continue
		}
		ready++
		uneven = uneven || e.Capacity != i.o.Self.Capacity
		if e.Overloaded {
			overloaded++
		}
	}
	return uneven && overloaded < ready && overloaded <= max(1, int(maxOverloadedShare*float64(ready)))
}

// refusesCallers reports whether new requests of callers are refused, as the process has used up its
// share of the processor.
func (i *Instance) refusesCallers(now time.Time) bool {
	until := i.refuseUntil.Load()
	return until != nil && now.Before(*until)
}

// processorTime returns the processor time that the process has used.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
