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
	// listInterval is the time between two readings of the platform's list, which
	// are counted and paid for. With the list's own lag it keeps the last sending
	// to a draining target under 1.5 s after the list shows it.
	listInterval = 700 * time.Millisecond
	// callGap is the mean time between two calls of all readings, and mostInterval bounds the
	// time between two readings of a long list by it: calls are paid for, and what a reading
	// finds is known everywhere 2 s after it was listed.
	callGap      = 30 * time.Millisecond
	mostInterval = 1500 * time.Millisecond
	// deputyDelay is how much longer each further core instance, by rank, waits
	// for a list of the others before it reads by itself: a reading, a gossip and a
	// wide-area trip.
	deputyDelay = 700 * time.Millisecond
	// listTime bounds one call: a wide-area trip and a busy platform.
	listTime = 600 * time.Millisecond
	// rateShare is the part of the platform's rate that a reader takes: a deputy may read
	// beside it for a while, and what is refused is asked for again.
	rateShare = 0.7
	// listTick is how often a reader looks whether a reading is due.
	listTick = 100 * time.Millisecond
	// fewCalls is the length of a reading that any instance may make: all core instances
	// may have started at once and none knows a list.
	fewCalls = 4
	// longestCalls is how many calls a first reading is waited for.
	longestCalls = 100
)

// Throttle waits until the next call of the platform's list may be made. refused says that
// the last one was, as one too many. An error ends the reading.
type Throttle func(ctx context.Context, refused bool) error

// errLeftToAnother: a long first reading is made by the core instance of the first rank.
const errLeftToAnother = errors.ConstError("the first list is read by another core instance")

// reading is the state of the reading duty.
type reading struct {
	pace    feed.Pace
	started time.Time
}

// runList reads the platform's list whenever the newest one that is known is older
// than this instance's rank allows. So one instance reads as a rule; when it is
// dead, frozen or cut off, the next one takes over by itself, on each side of a cut.
func (i *Instance) runList(ctx context.Context) {
	i.reading = reading{started: time.Now(), pace: feed.Pace{PerSecond: rateShare * i.o.ListRate}}
	var notBefore time.Time
	duty.Every(ctx, listTick, func(time.Time) {
		if i.isOutside() {
			return
		}
		now := time.Now()
		if now.Before(notBefore) || now.Sub(i.board.List().ReadAt) < i.due(i.board.Rank(now)) {
			return
		}
		err := i.readList(ctx)
		switch {
		case err == nil:
		case errors.Is(err, errLeftToAnother):
			notBefore = i.reading.started.Add(i.patience())
		default:
			notBefore = time.Now().Add(i.interval())
			i.log.Warn("the list of targets was not read", zap.Error(err), zap.Duration("age_of_the_last", now.Sub(i.board.List().ReadAt)))
		}
	})
}

// due is the age of the newest list at which an instance of a rank reads. A deputy waits
// for what the reader before it is reading, too.
func (i *Instance) due(rank int) time.Duration {
	if rank == 0 {
		return i.interval()
	}
	return i.interval() + i.callsTime(i.board.Calls()) + time.Duration(rank)*deputyDelay
}

// interval is the time between two readings: a long list is read less often, to stay
// within the part of the platform's rate that one reader takes.
func (i *Instance) interval() time.Duration {
	calls := i.board.Calls()
	return readingInterval(calls, i.callsTime(calls))
}

// readingInterval is the time between two readings of so many calls, which take so long.
func readingInterval(calls int, takes time.Duration) time.Duration {
	return max(listInterval, min(mostInterval, time.Duration(calls)*callGap), takes)
}

// callsTime is how long calls take at the reader's rate.
func (i *Instance) callsTime(calls int) time.Duration {
	rate := i.reading.pace.PerSecond
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(calls) / rate * float64(time.Second))
}

func (i *Instance) readList(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := i.board.List()
	at := time.Now()
	targets, calls, err := i.o.ReadList(ctx, i.turns(cancel, before.ReadAt.IsZero()))
	if err != nil {
		return err
	}
	i.board.ReadTook(calls)
	list := feed.NewList(targets, at, before)
	i.board.Listed(list, true)
	if list.Digest != before.Digest {
		i.log.Info("list of targets changed", zap.Int("targets", len(targets)))
		i.hurryGossip()
	}
	return nil
}

// turns paces the calls of one reading, which may be made beside each other, and cancels
// it where none comes to its end in time.
func (i *Instance) turns(cancel context.CancelFunc, first bool) Throttle {
	var mu sync.Mutex
	calls := 0
	late := time.AfterFunc(listTime, cancel)
	return func(ctx context.Context, refused bool) error {
		mu.Lock()
		now := time.Now()
		calls++
		if first && calls > fewCalls && now.Sub(i.reading.started) < i.patience() {
			mu.Unlock()
			return errLeftToAnother
		}
		wait := i.reading.pace.Turn(now, refused, rand.Float64())
		mu.Unlock()
		late.Reset(wait + listTime)
		return duty.Pause(ctx, wait)
	}
}

// patience is how long after its start an instance leaves a long first reading to those
// of lower ranks: the time that such a reading takes, for each of them, as it may not
// reach the platform.
func (i *Instance) patience() time.Duration {
	return time.Duration(i.board.Rank(time.Now())) * i.callsTime(longestCalls)
}
