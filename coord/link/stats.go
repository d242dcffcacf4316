package link

// Stats are the counters of a Hub since its making.
type Stats struct {
	// Channels by name, for channels that were used or handled.
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
	// BadFrames could not be decoded or were too long.
	BadFrames uint64
}

// ChannelStats count the messages of one channel; bytes are payload bytes.
type ChannelStats struct {
	Sent, SentBytes, Received, ReceivedBytes uint64
	// Refused were turned away by a full ring to the peer or as too long.
	Refused uint64
	// Dropped were taken and then not written: too old, unreachable peer, cut
	// pair or lost connection.
	Dropped uint64
	// Overflow were received and dropped because the handler's ring was full,
	// and Unhandled because nobody handles the channel.
	Overflow, Unhandled uint64
}

// PeerStats count what concerns one peer.
type PeerStats struct {
	Connected bool
	// Reconnects counts connections after the first.
	Reconnects uint64
	// Refused were turned away by a full ring.
	Refused uint64
}
