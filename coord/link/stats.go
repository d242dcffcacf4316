package link

import "sync/atomic"

// Stats are the counters of a Hub since New.
type Stats struct {
	// Channels by name, for channels that this instance sends or handles.
	Channels map[string]ChannelStats
	// Peers by id, for peers that this instance sent to or was dialled by.
	Peers map[string]PeerStats
	// Connections is the number of open connections.
	Connections int
	// Dials and DialFailures count connection attempts of this instance;
	// Accepts and AcceptRefusals those of peers that succeeded and failed.
	Dials, DialFailures, Accepts, AcceptRefusals uint64
	// Pings counts pings sent, PingTimeouts the connections closed because no
	// pong arrived in time.
	Pings, PingTimeouts uint64
	// LateAnswers counts answers that were dropped because nobody waited for
	// them any more, as duplicates, or because they came from another instance
	// than the called one.
	LateAnswers uint64
	// BadBatches counts batches that could not be decoded or were too long;
	// each ended its connection.
	BadBatches uint64
	// Unhandled counts messages and requests for a channel without a handler.
	Unhandled uint64
	// BlockedReceived counts messages that were received from a peer that
	// Options.AllowPeer blocks, and dropped.
	BlockedReceived uint64
}

// ChannelStats are the counters of the messages of one channel, including calls
// and answers; bytes are payload bytes.
type ChannelStats struct {
	Sent, SentBytes, Received, ReceivedBytes uint64
	// Refused counts messages that were not queued: full ring to the peer, too
	// long, or a call to an unreachable peer.
	Refused uint64
	// Dropped counts messages that were queued and then not written: too old,
	// abandoned by their caller, unreachable or blocked peer, or lost
	// connection.
	Dropped uint64
	// Overflow counts messages and requests that were received and dropped
	// because the handler's ring was full.
	Overflow uint64
}

// PeerStats are the state and counters of one peer.
type PeerStats struct {
	Connected bool
	// Reconnects counts connections after the first.
	Reconnects uint64
	// Refused counts messages that were not queued because a ring was full.
	Refused uint64
}

// failuresChannel is the name under which failures are counted.
const failuresChannel = "failures"

type hubCounters struct {
	dials, dialFailures, accepts, acceptRefusals        atomic.Uint64
	pings, pingTimeouts                                 atomic.Uint64
	lateAnswers, badBatches, unhandled, blockedReceived atomic.Uint64
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

// Stats returns the current counters.
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
		BlockedReceived: n.blockedReceived.Load(),
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
