// Package tracker holds a leader's view of the log of each other member.
package tracker

import "time"

// State is the way in which a leader sends entries to a peer.
type State uint8

const (
	// Probe sends one append at a time until the position at which the logs agree is
	// found.
	Probe State = iota
	// Replicate sends appends without waiting for their responses.
	Replicate
	// Snapshot waits until a snapshot has arrived.
	Snapshot
)

// Progress is the state of one peer.
type Progress struct {
	State State
	// Match is the highest index known to be synced at the peer and to agree
	// with the leader's log. It never falls.
	Match uint64
	// Next is the first index of the next append; always above Match.
	Next uint64
	// SentCommit is the highest commit index sent.
	SentCommit uint64
	// Active is the time of the last response in this term, or that given to New.
	Active time.Time
	// Round is the newest heartbeat round that the peer answered, and LeaseFrom the time
	// at which the newest answered round was sent that was recent enough for a lease when
	// its answer came; zero for none.
	Round     uint64
	LeaseFrom time.Time

	// inflight are the unanswered appends, or the unanswered snapshot.
	inflight  []inflightAppend
	probeSent bool
	// outOfOrder is true if the peer rejected an append that arrived before an earlier
	// one.
	outOfOrder bool
	// resends counts appends that were assumed lost since the peer last accepted one.
	resends int
}

// inflightAppend is an append that was not answered yet.
type inflightAppend struct {
	// prev and last are the indexes before the first and of the last entry.
	prev, last uint64
	bytes      int
	at         time.Time
}

// minBytesPerSecond is the rate below which an inflight append is assumed lost.
//
// Without it, an append that takes longer than a heartbeat is sent again and again: the
// answer to the heartbeat lets a short append go out, which the transport may deliver
// before the long one. The peer rejects it, as it lacks the entries before, and the
// long one is sent again with each heartbeat while the first is still on its way. The
// links between members fill up with copies of one entry.
const minBytesPerSecond = 256 << 10

// maxResends bounds how often the wait for an append doubles: a peer slower than a
// sixteenth of the minimum rate cannot keep up anyway.
const maxResends = 4

// timedOut reports whether an append must be assumed lost: a peer at the minimum rate
// would have answered. Each resend doubles the time, so that slower rates succeed in
// the end.
func (p *Progress) timedOut(now time.Time, a inflightAppend) bool {
	timeout := time.Duration(a.bytes) * time.Second / minBytesPerSecond
	return now.Sub(a.at) >= timeout<<min(p.resends, maxResends)
}

// New returns the state at an election, when nothing is known of the peer. The first
// append assumes that it holds all entries before next.
func New(next uint64, now time.Time) *Progress { return &Progress{Next: next, Active: now} }

// CanSend reports whether an append may be sent now, with at most limit in flight.
func (p *Progress) CanSend(limit int) bool {
	switch p.State {
	case Probe:
		return !p.probeSent
	case Replicate:
		return len(p.inflight) < limit
	}
	return false
}

// RecordAppend records that an append of n entries with bytes of data was sent, whose
// last entry is last.
func (p *Progress) RecordAppend(now time.Time, last uint64, n, bytes int) {
	a := inflightAppend{prev: last - uint64(n), last: last, bytes: bytes, at: now}
	if p.State == Probe {
		p.probeSent, p.inflight = true, []inflightAppend{a}
		return
	}
	if n == 0 {
		return
	}
	p.inflight = append(p.inflight, a)
	p.Next = last + 1
}

// RecordSnapshot records that the snapshot at index with bytes of data was sent.
func (p *Progress) RecordSnapshot(now time.Time, index uint64, bytes int) {
	p.State, p.Next, p.outOfOrder = Snapshot, index+1, false
	p.inflight = []inflightAppend{{last: index, bytes: bytes, at: now}}
}

// Ack records that the peer holds all entries up to index, and reports whether that
// raised Match.
func (p *Progress) Ack(index uint64) bool {
	advanced := index > p.Match
	p.Match = max(p.Match, index)
	p.Next = max(p.Next, p.Match+1)
	p.probeSent = false
	for len(p.inflight) > 0 && p.inflight[0].last <= index {
		p.inflight = p.inflight[1:]
	}
	if advanced {
		p.resends = 0
	}
	// An append that was rejected because it arrived too early is sent again.
	resend := p.outOfOrder && advanced
	if p.State == Probe || resend || (p.State == Snapshot && p.Match+1 >= p.Next) {
		p.State, p.inflight, p.Next, p.outOfOrder = Replicate, nil, p.Match+1, false
	}
	return advanced
}

// Reject records that the peer lacks the leader's entry at index, and that the logs
// agree up to maxMatch at most. It reports whether the peer is to be probed: not for an
// outdated response, nor for one to an append that arrived before an earlier one still
// in flight.
func (p *Progress) Reject(now time.Time, index, maxMatch uint64) bool {
	if index <= p.Match || p.State == Snapshot || (p.State == Probe && index != p.Next-1) {
		return false
	}
	if p.State == Replicate && len(p.inflight) > 0 && index > p.inflight[0].prev && !p.timedOut(now, p.inflight[0]) {
		p.outOfOrder = true
		return false
	}
	p.startProbe(min(index, maxMatch+1))
	return true
}

// startProbe switches to Probe, in which appends search from next downwards for the
// position up to which the logs agree.
func (p *Progress) startProbe(next uint64) {
	p.State, p.inflight, p.probeSent, p.outOfOrder = Probe, nil, false, false
	p.Next = max(p.Match+1, next)
}

// HandleHeartbeatResp handles a heartbeat response, and reports whether an append may
// be sent. It lets one more append go out if those in flight must be assumed lost: that
// append is rejected and the peer probed again. A snapshot is given minTimeout at
// least, as the peer has to write it.
func (p *Progress) HandleHeartbeatResp(now time.Time, limit int, minTimeout time.Duration) (mayAppend bool) {
	if len(p.inflight) > 0 && !p.timedOut(now, p.inflight[0]) {
		return false
	}
	if p.State == Snapshot && now.Sub(p.inflight[0].at) <= minTimeout {
		return false
	}
	if len(p.inflight) > 0 && p.inflight[0].bytes > 0 {
		p.resends++
	}
	if p.State == Snapshot {
		p.startProbe(p.Match + 1)
	}
	if p.outOfOrder {
		p.startProbe(p.Match + 1)
	}
	p.probeSent = false
	if len(p.inflight) >= limit {
		p.inflight = p.inflight[1:]
	}
	return p.CanSend(limit)
}
