package control

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/replhost"
	"github.com/gullhaven/gullhaven/node/feed"
)

const (
	// gossipInterval is the time between two messages to each other core instance:
	// four of them for five instances are 2 KB/s in all.
	gossipInterval = 500 * time.Millisecond
	// listInterval is the time between two readings of the platform's list, which
	// are counted and paid for. With the list's own lag it keeps the last sending
	// to a draining target under 1.5 s after the list shows it.
	listInterval = 700 * time.Millisecond
	// deputyDelay is how much longer each further core instance, by rank, waits
	// for a list of the others before it reads by itself: a reading, a gossip and a
	// wide-area trip.
	deputyDelay = 700 * time.Millisecond
	// listTime bounds one reading.
	listTime = 600 * time.Millisecond
	// listTick is how often a reader looks whether a reading is due.
	listTick = 100 * time.Millisecond
)

// clock is that of the log.
func (i *Instance) clock() time.Time { return replhost.BootClock{}.Now() }

// runList reads the platform's list whenever the newest one that is known is older
// than this instance's rank allows. So one instance reads as a rule; when it is
// dead, frozen or cut off, the next one takes over by itself, on each side of a cut.
func (i *Instance) runList(ctx context.Context) {
	tick := time.NewTicker(listTick)
	defer tick.Stop()
	var notBefore time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		due := listInterval + time.Duration(i.board.Rank(now))*deputyDelay
		if now.Before(notBefore) || now.Sub(i.board.List().ReadAt) < due {
			continue
		}
		if err := i.readList(ctx); err != nil {
			notBefore = time.Now().Add(listInterval)
			i.log.Warn("the list of targets was not read", zap.Error(err))
		}
	}
}

func (i *Instance) readList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	before := i.board.List().Digest
	at := time.Now()
	targets, err := i.o.ReadList(ctx)
	if err != nil {
		return err
	}
	digest, err := digestOf(targets)
	if err != nil {
		return err
	}
	i.board.Listed(feed.List{Targets: targets, Digest: digest, ReadAt: at}, true)
	if digest != before {
		i.log.Info("list of targets changed", zap.Int("targets", len(targets)))
		i.hurryGossip()
	}
	return nil
}

func digestOf(targets []feed.Target) (uint64, error) {
	data, err := cbor.Marshal(targets)
	if err != nil {
		return 0, err
	}
	// 0 means that there is no list.
	return max(1, xxhash.Sum64(data)), nil
}

func (i *Instance) hurryGossip() {
	select {
	case i.gossipNow <- struct{}{}:
	default:
	}
}

// runGossip tells the other core instances what this one knows.
func (i *Instance) runGossip(ctx context.Context) {
	tick := time.NewTicker(gossipInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-i.gossipNow:
		}
		i.gossip()
	}
}

func (i *Instance) gossip() {
	now := time.Now()
	known := map[string]feed.Core{}
	for _, c := range i.board.Cores(now) {
		known[c.ID] = c
	}
	for _, id := range i.others() {
		payload, err := cbor.Marshal(i.board.Gossip(now, known[id]))
		if err != nil {
			i.log.Error("gossip cannot be written", zap.Error(err))
			return
		}
		i.hub.Send(id, channelGossip, payload)
	}
}

func (i *Instance) gossiped(from string, payload []byte) {
	var g feed.Gossip
	if err := cbor.Unmarshal(payload, &g); err != nil {
		i.log.Warn("gossip cannot be read", zap.String("from", from), zap.Error(err))
		return
	}
	now := time.Now()
	i.board.Suspected(now, g.Suspects, false)
	if !i.board.Gossiped(now, g) {
		return
	}
	i.wg.Go(func() { i.fetchList(from, g, now) })
}

// fetchList gets a list that another core instance has read.
func (i *Instance) fetchList(from string, g feed.Gossip, heard time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), listTime)
	defer cancel()
	answer, err := i.hub.Call(ctx, from, channelList, nil)
	if err != nil {
		// The next gossip tells of it again.
		return
	}
	var targets []feed.Target
	if err := cbor.Unmarshal(answer, &targets); err != nil {
		i.log.Warn("a list of targets cannot be read", zap.String("from", from), zap.Error(err))
		return
	}
	digest, err := digestOf(targets)
	if err != nil {
		i.log.Error("a list of targets cannot be written", zap.Error(err))
		return
	}
	at := heard.Add(-time.Duration(g.ListAgeMillis) * time.Millisecond)
	i.board.Listed(feed.List{Targets: targets, Digest: digest, ReadAt: at}, false)
}

func (i *Instance) serveList(context.Context, string, []byte) ([]byte, error) {
	return cbor.Marshal(i.board.List().Targets)
}
