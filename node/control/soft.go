package control

import (
	"context"
	"time"

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
	// listTime bounds one reading of one page, and callShare is added for each page of the
	// last one: a wide-area trip.
	listTime  = 600 * time.Millisecond
	callShare = 200 * time.Millisecond
	// rateShare is the part of the platform's rate that readings take: a deputy may read
	// beside the reader for a while.
	rateShare = 0.4
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
		if i.isOutside() {
			continue
		}
		now := time.Now()
		due := i.interval() + time.Duration(i.board.Rank(now))*deputyDelay
		if now.Before(notBefore) || now.Sub(i.board.List().ReadAt) < due {
			continue
		}
		if err := i.readList(ctx); err != nil {
			notBefore = time.Now().Add(i.interval())
			i.log.Warn("the list of targets was not read", zap.Error(err))
		}
	}
}

func (i *Instance) readList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTime+time.Duration(i.listCalls)*callShare)
	defer cancel()
	before := i.board.List()
	at := time.Now()
	targets, calls, err := i.o.ReadList(ctx)
	if err != nil {
		return err
	}
	i.listCalls = calls
	list := feed.NewList(targets, at, before)
	i.board.Listed(list, true)
	if list.Digest != before.Digest {
		i.log.Info("list of targets changed", zap.Int("targets", len(targets)))
		i.hurryGossip()
	}
	return nil
}

// interval is the time between two readings: a long list is read less often, to stay
// within the part of the platform's rate that one reader takes.
func (i *Instance) interval() time.Duration {
	if i.o.ListRate <= 0 {
		return listInterval
	}
	return max(listInterval, time.Duration(float64(i.listCalls)/(rateShare*i.o.ListRate)*float64(time.Second)))
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
		if i.isOutside() {
			continue
		}
		i.gossip()
	}
}

func (i *Instance) gossip() {
	now := time.Now()
	regions := map[string]string{}
	for _, c := range i.board.Cores(now) {
		regions[c.ID] = c.Region
	}
	// Encoded once for those of the region and once for the others.
	payloads := map[bool][]byte{}
	for _, id := range i.others() {
		near := regions[id] == i.o.Self.Region
		if payloads[near] == nil {
			payload, err := cbor.Marshal(i.board.Gossip(now, near))
			if err != nil {
				i.log.Error("gossip cannot be written", zap.Error(err))
				return
			}
			payloads[near] = payload
		}
		i.hub.Send(id, channelGossip, payloads[near])
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
	question, err := cbor.Marshal(i.board.List().Digest)
	if err != nil {
		i.log.Error("a question for the list cannot be written", zap.Error(err))
		return
	}
	answer, err := i.hub.Call(ctx, from, channelList, question)
	if err != nil {
		// The next gossip tells of it again.
		return
	}
	var n *feed.ListNews
	if err := cbor.Unmarshal(answer, &n); err != nil {
		i.log.Warn("a list of targets cannot be read", zap.String("from", from), zap.Error(err))
		return
	}
	if n == nil {
		return
	}
	at := heard.Add(-time.Duration(g.ListAgeMillis) * time.Millisecond)
	if list, ok := i.board.List().Apply(n, time.Now(), at); ok {
		i.board.Listed(list, false)
	}
}

func (i *Instance) serveList(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var known uint64
	if err := cbor.Unmarshal(payload, &known); err != nil {
		return nil, err
	}
	if n := i.board.News(time.Now(), known, ""); n != nil {
		return n, nil
	}
	return cbor.Marshal((*feed.ListNews)(nil))
}
