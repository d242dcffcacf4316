package control

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/replhost"
	"github.com/gullhaven/gullhaven/node/duty"
	"github.com/gullhaven/gullhaven/node/feed"
)

// GossipInterval is the time between two messages to each other core instance: four
// of them for five instances are 2 KB/s in all.
const GossipInterval = 500 * time.Millisecond

// clock is that of the log.
func (i *Instance) clock() time.Time { return replhost.BootClock{}.Now() }

// wakeTick is how often a core instance looks whether entry instances have to hear that
// others leave.
const wakeTick = 20 * time.Millisecond

func (i *Instance) runWakes(ctx context.Context) { duty.Every(ctx, wakeTick, i.board.WakeIfDue) }

func (i *Instance) hurryGossip() {
	select {
	case i.gossipNow <- struct{}{}:
	default:
	}
}

// runGossip tells the other core instances what this one knows.
func (i *Instance) runGossip(ctx context.Context) {
	tick := time.NewTicker(GossipInterval)
	defer tick.Stop()
	// The first one opens the links. Without it a first list waits for them: two trips to
	// another region and back.
	if !i.isOutside() {
		i.gossip(false)
	}
	for {
		fresh := false
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-i.gossipNow:
			fresh = true
		}
		if i.isOutside() {
			continue
		}
		i.gossip(fresh)
	}
}

// gossip tells the others; fresh says that the list has just changed.
func (i *Instance) gossip(fresh bool) {
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
			payload, err := cbor.Marshal(i.board.Gossip(now, near, fresh))
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
	i.board.AddSuspects(now, g.Suspects, false)
	if !i.board.MergeGossip(now, g) || i.takeList(from, &g, now) {
		return
	}
	i.wg.Go(func() { i.fetchList(from, g, now) })
}

// takeList takes the news of a list that came with a gossip; false if they are about a list
// that is not held here.
func (i *Instance) takeList(from string, g *feed.Gossip, heard time.Time) bool {
	if len(g.List) == 0 {
		return false
	}
	var n feed.ListUpdate
	if err := cbor.Unmarshal(g.List, &n); err != nil {
		i.log.Warn("a list of targets cannot be read", zap.String("from", from), zap.Error(err))
		return false
	}
	list, ok := i.board.List().Apply(&n, time.Now(), readAt(g, heard))
	if ok {
		i.board.SetList(list, false)
	}
	return ok
}

// readAt is when a list was read of which a gossip told.
func readAt(g *feed.Gossip, heard time.Time) time.Time {
	return heard.Add(-time.Duration(g.ListAgeMillis) * time.Millisecond)
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
	var n *feed.ListUpdate
	if err := cbor.Unmarshal(answer, &n); err != nil {
		i.log.Warn("a list of targets cannot be read", zap.String("from", from), zap.Error(err))
		return
	}
	if n == nil {
		return
	}
	if list, ok := i.board.List().Apply(n, time.Now(), readAt(&g, heard)); ok {
		i.board.SetList(list, false)
	}
}

func (i *Instance) serveList(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var known uint64
	if err := cbor.Unmarshal(payload, &known); err != nil {
		return nil, err
	}
	if n := i.board.EncodeListUpdate(time.Now(), known, ""); n != nil {
		return n, nil
	}
	return cbor.Marshal((*feed.ListUpdate)(nil))
}
