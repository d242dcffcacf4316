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
	// historyServers is how many instances may recall theirs at once.
	historyServers = 2
	// historyRing bounds handed-over histories that wait for the loop.
	historyRing = 64
	// recallTimeout bounds the wait for a neighbour's copy.
	recallTimeout = 2 * time.Second
)

// history keeps what burns the objectives of services over a restart of this
// instance: on its disk if it has one, and with two neighbours.
type history struct {
	node  *Node
	own   *burn.History
	shelf *burn.PeerParts
	inbox *ring.Ring[burn.Snapshot]
}

func newHistory(n *Node) *history {
	h := &history{
		node:  n,
		own:   burn.NewHistory(n.s.Instance, n.s.Region, n.life()),
		shelf: &burn.PeerParts{},
		inbox: ring.New[burn.Snapshot](historyRing),
	}
	n.hub.Handle(channelHistory, h.receive)
	n.hub.Serve(channelRecall, historyServers, h.serveRecall)
	return h
}

// refused is how many snapshots found the inbox full.
func (h *history) refused() uint64 { return h.inbox.Stats().Refused }

// observer feeds figures and history from the request path.
func (h *history) observer(t *served.Table) pipeline.Observer {
	return &served.Observer{Table: t, Burn: h.own, Price: h.node.price, Now: time.Now}
}

// price is what a second of one request at a target weighs.
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

// snapshot is what this instance has seen and what neighbours have handed it.
func (h *history) snapshot(now time.Time) burn.Snapshot {
	return burn.Merge(h.own.Snapshot(now), h.shelf.All())
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
	return h.shelf.ForInstance(from).Encode(burn.HandoverBytes)
}

// run takes the earlier history back, then keeps and hands over until ctx ends.
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
			h.shelf.Add(time.Now(), s)
		case <-recall.C:
			h.recall(ctx)
		case <-tick.C:
			h.save()
			h.handOver()
		}
	}
}

func (h *history) path() string { return filepath.Join(h.node.s.DataDir, historyFile) }

// restore reads the disk's copy. History is a report, not a promise: a missing
// or damaged file costs the past, nothing else.
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
		h.node.log.Warn("history of burn is damaged and left out", zap.Error(err))
		return
	}
	h.own.Restore(s)
}

// save replaces the disk's copy by way of another name, so that a crash leaves
// a whole file.
func (h *history) save() {
	if h.node.s.DataDir == "" {
		return
	}
	data, err := h.own.Snapshot(time.Now()).Encode(link.DefaultMaxMessage)
	if err != nil {
		return
	}
	fresh := h.path() + ".new"
	if os.WriteFile(fresh, data, 0o600) == nil {
		_ = os.Rename(fresh, h.path())
	}
}

// handOver gives this instance's own history to some others of the region.
func (h *history) handOver() {
	data, err := h.own.Snapshot(time.Now()).Encode(burn.HandoverBytes)
	if err != nil {
		return
	}
	for _, id := range h.holders() {
		h.node.hub.Send(id, channelHistory, data)
	}
}

// holders are the neighbours that keep this instance's history, the same over
// its restarts.
func (h *history) holders() []string {
	others := regionView{h.node}.Others()
	return nearest(h.node.s.Instance, others, burn.HandoverPeers)
}

// recall asks the neighbours for what an earlier life handed them.
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
