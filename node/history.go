package node

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/coord/ring"
	"github.com/gullhaven/gullhaven/metrics/burn"
	"github.com/gullhaven/gullhaven/metrics/served"
	"github.com/gullhaven/gullhaven/pipeline"
	"github.com/gullhaven/gullhaven/route"
)

// Link channels of burn histories.
const (
	channelHistory = "history"
	channelRecall  = "history-recall"
)

const (
	// historyFile is where an instance with a disk keeps its own history.
	historyFile = "burn.cbor"
	// maxRecalls bounds the instances that recall their histories at once.
	maxRecalls = 2
	// historyInboxSize bounds the handed-over histories that wait for the loop.
	historyInboxSize = 64
	// recallTimeout bounds the wait for a neighbour's copy.
	recallTimeout = 2 * time.Second
)

// history keeps the burn history of the services' objectives over restarts of this instance: on
// its disk if it has one, and with two neighbours.
type history struct {
	node       *Node
	own        *burn.History
	handedOver *burn.Shelf
	inbox      *ring.Ring[burn.Snapshot]
}

func newHistory(n *Node) *history {
	h := &history{
		node:       n,
		own:        burn.NewHistory(n.s.Instance, n.s.Region, n.incarnation()),
		handedOver: &burn.Shelf{},
		inbox:      ring.New[burn.Snapshot](historyInboxSize),
	}
	n.hub.Handle(channelHistory, h.receive)
	n.hub.Serve(channelRecall, maxRecalls, h.serveRecall)
	return h
}

// refused returns how many snapshots found the inbox full.
func (h *history) refused() uint64 { return h.inbox.Stats().Refused }

// observer returns the Observer that feeds the figures and the history from the request path.
func (h *history) observer(t *served.Table) pipeline.Observer {
	return &served.Observer{Table: t, Burn: h.own, Price: h.node.price, Now: time.Now}
}

// price returns what one request costs at a target: its share of the target's slots, and the
// target's cost per second.
func (n *Node) price(id route.TargetID) served.Price {
	v := n.bundleView()
	if v == nil {
		return served.Price{}
	}
	t := v.Target(id)
	if t == nil {
		return served.Price{}
	}
	return served.Price{Share: 1 / float64(max(1, t.Slots)), PerSecond: t.CostPerSecond}
}

// snapshot returns this instance's history merged with those that neighbours have handed over.
func (h *history) snapshot(now time.Time) burn.Snapshot {
	return burn.Merge(h.own.Snapshot(now), h.handedOver.All())
}

func (h *history) receive(from string, data []byte) {
	s, err := burn.Decode(data)
	if err != nil {
		h.node.log.Debug("malformed history", zap.String("from", from), zap.Error(err))
		return
	}
	h.inbox.TryPush(s)
}

func (h *history) serveRecall(_ context.Context, from string, _ []byte) ([]byte, error) {
	return h.handedOver.Of(from).Encode(burn.HandoverBytes)
}

// run restores the earlier history, then saves and hands it over until ctx ends.
func (h *history) run(ctx context.Context) {
	h.restore()
	tick := time.NewTicker(burn.HandoverInterval)
	defer tick.Stop()
	recall := time.NewTimer(recallTimeout)
	defer recall.Stop()
	for {
		select {
		case <-ctx.Done():
			h.save()
			return
		case s := <-h.inbox.C():
			h.handedOver.Keep(time.Now(), s)
		case <-recall.C:
			h.recall(ctx)
		case <-tick.C:
			h.save()
			h.handOver()
		}
	}
}

func (h *history) path() string { return filepath.Join(h.node.s.DataDir, historyFile) }

// restore reads the copy on disk. The history is only reported: if the file is missing or
// damaged, nothing but past figures is lost.
func (h *history) restore() {
	if h.node.s.DataDir == "" {
		return
	}
	data, err := os.ReadFile(h.path())
	if err != nil {
		return
	}
	s, err := burn.Decode(data)
	if err != nil {
		h.node.log.Warn("burn history on disk is damaged and ignored", zap.Error(err))
		return
	}
	h.own.Restore(s)
}

// save replaces the copy on disk by a rename, so that a crash leaves a whole file.
func (h *history) save() {
	if h.node.s.DataDir == "" {
		return
	}
	data, err := h.own.Snapshot(time.Now()).Encode(link.DefaultMaxMessage)
	if err != nil {
		return
	}
	temp := h.path() + ".new"
	if os.WriteFile(temp, data, 0o600) == nil {
		_ = os.Rename(temp, h.path())
	}
}

// handOver sends this instance's history to its holders.
func (h *history) handOver() {
	data, err := h.own.Snapshot(time.Now()).Encode(burn.HandoverBytes)
	if err != nil {
		return
	}
	for _, id := range h.holders() {
		h.node.hub.Send(id, channelHistory, data)
	}
}

// holders returns the neighbours that keep this instance's history; they stay the same over its
// restarts.
func (h *history) holders() []string {
	others := regionView{h.node}.Others()
	return lowestRanked(h.node.s.Instance, others, burn.HandoverPeers)
}

// recall fetches what an earlier incarnation of this instance handed to its neighbours.
func (h *history) recall(ctx context.Context) {
	for _, id := range h.holders() {
		ctx, cancel := context.WithTimeout(ctx, recallTimeout)
		data, err := h.node.hub.Call(ctx, id, channelRecall, nil)
		cancel()
		if err != nil {
			continue
		}
		if s, err := burn.Decode(data); err == nil {
			h.own.Restore(s)
		}
	}
}
