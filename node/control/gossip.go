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

// GossipInterval is the time between two messages to each other core instance. With five
// instances, the four messages come to 2 KB/s in all.
const GossipInterval = 500 * time.Millisecond

// clock is the log's clock.
func (i *Instance) clock() time.Time { return replhost.BootClock{}.Now() }

// wakeInterval is how often a core instance checks whether entry instances must learn that
// others leave.
const wakeInterval = 20 * time.Millisecond

func (i *Instance) runWakes(ctx context.Context) { duty.Every(ctx, wakeInterval, i.store.WakeIfDue) }

func (i *Instance) triggerGossip() { trigger(i.gossipNow) }

func trigger(now chan<- struct{}) {
	select {
	case now <- struct{}{}:
	default:
	}
}

// runGossip sends this instance's state to the other core instances until ctx ends.
func (i *Instance) runGossip(ctx context.Context) {
	tick := time.NewTicker(GossipInterval)
	defer tick.Stop()
	// The first message opens the links. Otherwise the first list would wait for them, for two
	// round trips to another region.
	if !i.isStandby() {
		i.sendGossip(false)
	}
	suspectsDue := time.NewTimer(0)
	defer suspectsDue.Stop()
	for {
		listChanged := false
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-i.suspectsNow:
			if at, due := i.store.SuspectsRoundAt(); due {
				suspectsDue.Reset(time.Until(at))
			}
			continue
		case <-suspectsDue.C:
		case <-i.gossipNow:
			listChanged = true
		}
		if i.isStandby() {
			continue
		}
		i.sendGossip(listChanged)
		if _, due := i.store.SuspectsRoundAt(); due {
			trigger(i.suspectsNow)
		}
	}
}

// sendGossip sends one round of gossip; listChanged says that the list has just changed.
func (i *Instance) sendGossip(listChanged bool) {
	now := time.Now()
	suspects := i.store.NextSuspectsRound(now)
	regions := map[string]string{}
	for _, c := range i.store.Cores(now) {
		regions[c.ID] = c.Region
	}
	// Encoded once for the instances of this region and once for the others.
	payloads := map[bool][]byte{}
	for _, id := range i.others() {
		sameRegion := regions[id] == i.o.Self.Region
		if payloads[sameRegion] == nil {
			g := i.store.Gossip(now, sameRegion, listChanged)
			g.Suspects = suspects
			payload, err := cbor.Marshal(g)
			if err != nil {
				i.log.Error("gossip cannot be encoded", zap.Error(err))
				return
			}
			payloads[sameRegion] = payload
		}
		i.hub.Send(id, channelGossip, payloads[sameRegion])
	}
}

func (i *Instance) handleGossip(from string, payload []byte) {
	var g feed.Gossip
	if err := cbor.Unmarshal(payload, &g); err != nil {
		i.log.Warn("gossip cannot be read", zap.String("from", from), zap.Error(err))
		return
	}
	now := time.Now()
	if i.store.AddSuspects(now, g.Suspects, false) {
		i.suspectsFile.markChanged()
	}
	i.compareSuspects(now, from, g.SuspectsDigest)
	if !i.store.MergeGossip(now, g) || i.applyList(from, &g, now) {
		return
	}
	i.wg.Go(func() { i.fetchList(from, g, now) })
}

// applyList applies the list update in a gossip message. It returns false if the update is
// based on a list that this instance does not hold.
func (i *Instance) applyList(from string, g *feed.Gossip, receivedAt time.Time) bool {
	if len(g.List) == 0 {
		return false
	}
	var n feed.ListUpdate
	if err := cbor.Unmarshal(g.List, &n); err != nil {
		i.log.Warn("a list of targets cannot be read", zap.String("from", from), zap.Error(err))
		return false
	}
	list, ok := i.store.List().Apply(&n, time.Now(), readAt(g, receivedAt))
	if ok {
		i.store.SetList(list, false)
	}
	return ok
}

// readAt returns when the list in a gossip message was read.
func readAt(g *feed.Gossip, receivedAt time.Time) time.Time {
	return receivedAt.Add(-time.Duration(g.ListAgeMillis) * time.Millisecond)
}

// fetchList fetches a list that another core instance has read.
func (i *Instance) fetchList(from string, g feed.Gossip, receivedAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), listCallTimeout)
	defer cancel()
	request, err := cbor.Marshal(i.store.List().Digest)
	if err != nil {
		i.log.Error("a request for the list cannot be encoded", zap.Error(err))
		return
	}
	answer, err := i.hub.Call(ctx, from, channelList, request)
	if err != nil {
		// The next gossip message announces the list again.
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
	if list, ok := i.store.List().Apply(n, time.Now(), readAt(&g, receivedAt)); ok {
		i.store.SetList(list, false)
	}
}

func (i *Instance) serveList(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var known uint64
	if err := cbor.Unmarshal(payload, &known); err != nil {
		return nil, err
	}
	if n := i.store.EncodeListUpdate(time.Now(), known, ""); n != nil {
		return n, nil
	}
	return cbor.Marshal((*feed.ListUpdate)(nil))
}
