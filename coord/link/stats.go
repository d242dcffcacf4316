package link

import "sync/atomic"

// Stats are the counters of a Hub since its making.
type Stats struct {
	// Channels by name, for channels that this instance sends or handles.
	Channels map[string]ChannelStats
	// Peers by id, for peers that were spoken to.
	Peers map[string]PeerStats
	// Connections open now.
	Connections int
	// Dials and DialFailures are attempts to connect; Accepts and
	// AcceptRefusals those of peers.
	Dials, DialFailures, Accepts, AcceptRefusals uint64
	// Pings sent, and connections given up because no pong came in time.
	Pings, PingTimeouts uint64
	// LateAnswers came when nobody waited for them any more, or twice, or from
	// an instance that was not asked; they are dropped.
	LateAnswers uint64
	// BadBatches could not be decoded or were too long; each ended its connection.
	BadBatches uint64
	// Unhandled were received for a channel without a handler.
	Unhandled uint64
	// CutIn were received from a peer that Options.Allow cuts, and dropped.
	BlockedReceived uint64
}

// ChannelStats count the messages of one channel, calls and answers among
// them; bytes are payload bytes.
type ChannelStats struct {
	Sent, SentBytes, Received, ReceivedBytes uint64
	// Refused were turned away by a full ring to the peer, as too long, or as
	// a call to an unreachable peer.
	Refused uint64
	// Dropped were taken and then not written: too old, given up by their
	// caller, unreachable peer, cut pair or lost connection.
	Dropped uint64
	// Overflow were received and dropped because the handler's ring was full.
	Overflow uint64
}

// PeerStats count what concerns one peer.
type PeerStats struct {
	Connected bool
	// Reconnects counts connections after the first.
	Reconnects uint64
	// Refused were turned away by a full ring.
	Refused uint64
}

// failuresChannel is the name under which failures are counted.
const failuresChannel = "failures"

type hubCounters struct {
	dials, dialFailures, accepts, acceptRefusals atomic.Uint64
	pings, pingTimeouts                          atomic.Uint64
	lateAnswers, badBatches, unhandled, cutIn    atomic.Uint64
}

type channelCounters struct {
	sent, sentBytes, received, receivedBytes atomic.Uint64
	refused, dropped, overflow               atomic.Uint64
}

func (c *channelCounters) stats() ChannelStats {
	return ChannelStats{
		Sent:          c.sent.Load(),
		SentBytes:     c.sentBytes.Load(),
		Received:      c.received.Load(),
		ReceivedBytes: c.receivedBytes.Load(),
		Refused:       c.refused.Load(),
		Dropped:       c.dropped.Load(),
		Overflow:      c.overflow.Load(),
	}
}

// Stats returns the counters now.
func (h *Hub) Stats() Stats {
	n := &h.counters
	s := Stats{
		Channels:        map[string]ChannelStats{},
		Peers:           map[string]PeerStats{},
		Dials:           n.dials.Load(),
		DialFailures:    n.dialFailures.Load(),
		Accepts:         n.accepts.Load(),
		AcceptRefusals:  n.acceptRefusals.Load(),
		Pings:           n.pings.Load(),
		PingTimeouts:    n.pingTimeouts.Load(),
		LateAnswers:     n.lateAnswers.Load(),
		BadBatches:      n.badBatches.Load(),
		Unhandled:       n.unhandled.Load(),
		BlockedReceived: n.cutIn.Load(),
	}
	h.byChannel.Range(func(name, c any) bool {
		s.Channels[name.(string)] = c.(*channelCounters).stats()
		return true
	})
	h.mu.RLock()
	defer h.mu.RUnlock()
	for id, p := range h.peers {
		ps, conns := p.stats()
		s.Peers[id] = ps
		s.Connections += conns
	}
	return s
}

func (h *Hub) channelCounters(name string) *channelCounters {
	if c, ok := h.byChannel.Load(name); ok {
		return c.(*channelCounters)
	}
	c, _ := h.byChannel.LoadOrStore(name, new(channelCounters))
	return c.(*channelCounters)
}
