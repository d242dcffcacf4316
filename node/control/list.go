package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/node/duty"
	"github.com/gullhaven/gullhaven/node/feed"
)

const (
	// listInterval is the time between two reads of the platform's list, whose calls are counted
	// and paid for. Together with the list's own lag it ends the attempts to a draining target
	// within 1.5 s after the list shows it.
	listInterval = 700 * time.Millisecond
	// callSpacing is the mean time between two calls over all reads. maxListInterval bounds the
	// time between two reads of a long list that follows from it: calls are paid for, but a
	// change must be known everywhere 2 s after it was listed.
	callSpacing     = 30 * time.Millisecond
	maxListInterval = 1500 * time.Millisecond
	// backupDelay is how much longer each further core instance, by rank, waits for a list of
	// the others before it reads by itself: a read, a gossip round and a wide-area trip.
	backupDelay = 700 * time.Millisecond
	// listCallTimeout bounds one call: a wide-area trip and a busy platform.
	listCallTimeout = 600 * time.Millisecond
	// rateShare is the share of the platform's rate that a reader uses. A backup may read at
	// the same time for a while, and refused calls are repeated.
	rateShare = 0.7
	// listCheckInterval is how often an instance checks whether a read is due.
	listCheckInterval = 100 * time.Millisecond
	// anyReaderCalls is the number of calls that any instance may make for a first read: all
	// core instances may have started at once, and none knows a list.
	anyReaderCalls = 4
	// maxAwaitedCalls is the length, in calls, of the longest first read that others wait for.
	maxAwaitedCalls = 100
)

// Throttle waits until the next call to the platform's list may be made. refused says that the
// platform refused the previous call as over its rate. An error ends the read.
type Throttle func(ctx context.Context, refused bool) error

// errReadElsewhere: a long first read is left to the core instance of the first rank.
const errReadElsewhere = errors.ConstError("the first list is read by another core instance")

// listReader is the state of the goroutine that reads the list.
type listReader struct {
	pacer   feed.Pacer
	started time.Time
}

// runList reads the platform's list whenever the newest known list is older than this
// instance's rank allows. So normally one instance reads. When it is dead, frozen or
// partitioned, the next one takes over by itself, on each side of a partition.
func (i *Instance) runList(ctx context.Context) {
	i.listReader = listReader{started: time.Now(), pacer: feed.Pacer{PerSecond: rateShare * i.o.ListRate}}
	var notBefore time.Time
	duty.Every(ctx, listCheckInterval, func(time.Time) {
		if i.isStandby() {
			return
		}
		now := time.Now()
		if now.Before(notBefore) || now.Sub(i.store.List().ReadAt) < i.readAfter(i.store.Rank(now)) {
			return
		}
		err := i.readList(ctx)
		switch {
		case err == nil:
		case errors.Is(err, errReadElsewhere):
			notBefore = i.listReader.started.Add(i.firstReadDelay())
		default:
			notBefore = time.Now().Add(i.readInterval())
			i.log.Warn("reading the list of targets failed", zap.Error(err), zap.Duration("age_of_the_last", now.Sub(i.store.List().ReadAt)))
		}
	})
}

// readAfter returns the age of the newest list at which an instance of a rank reads. A backup
// also waits for a read that is in progress elsewhere.
func (i *Instance) readAfter(rank int) time.Duration {
	if rank == 0 {
		return i.readInterval()
	}
	return i.readInterval() + i.callsDuration(i.store.ReadCalls()) + time.Duration(rank)*backupDelay
}

// readInterval returns the time between two reads. A long list is read less often, to stay
// within one reader's share of the platform's rate.
func (i *Instance) readInterval() time.Duration {
	calls := i.store.ReadCalls()
	return readIntervalFor(calls, i.callsDuration(calls))
}

// readIntervalFor returns the time between two reads of so many calls that take so long.
func readIntervalFor(calls int, duration time.Duration) time.Duration {
	return max(listInterval, min(maxListInterval, time.Duration(calls)*callSpacing), duration)
}

// callsDuration returns how long calls take at the reader's rate.
func (i *Instance) callsDuration(calls int) time.Duration {
	rate := i.listReader.pacer.PerSecond
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(calls) / rate * float64(time.Second))
}

func (i *Instance) readList(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := i.store.List()
	at := time.Now()
	targets, calls, err := i.o.ReadList(ctx, i.throttle(cancel, before.ReadAt.IsZero()))
	if err != nil {
		return err
	}
	i.store.SetReadCalls(calls)
	list := feed.NewList(targets, at, before)
	i.store.SetList(list, true)
	if list.Digest != before.Digest {
		i.log.Info("list of targets changed", zap.Int("targets", len(targets)))
		i.triggerGossip()
	}
	return nil
}

// throttle returns the Throttle of one read, whose calls may run concurrently. It cancels the
// read if a call does not end in time.
func (i *Instance) throttle(cancel context.CancelFunc, first bool) Throttle {
	var mu sync.Mutex
	calls := 0
	timeout := time.AfterFunc(listCallTimeout, cancel)
	return func(ctx context.Context, refused bool) error {
		mu.Lock()
		now := time.Now()
		calls++
		if first && calls > anyReaderCalls && now.Sub(i.listReader.started) < i.firstReadDelay() {
			mu.Unlock()
			return errReadElsewhere
		}
		wait := i.listReader.pacer.Delay(now, refused, rand.Float64())
		mu.Unlock()
		timeout.Reset(wait + listCallTimeout)
		return duty.Pause(ctx, wait)
	}
}

// firstReadDelay returns how long after its start an instance leaves a long first read to those
// of lower ranks: the time of such a read for each of them, as each may fail to reach the
// platform.
func (i *Instance) firstReadDelay() time.Duration {
	return time.Duration(i.store.Rank(time.Now())) * i.callsDuration(maxAwaitedCalls)
}
