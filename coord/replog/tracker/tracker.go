// Package tracker holds what a leader knows of the log of each other member.
package tracker

import "time"

// State says how a leader sends entries to a peer.
type State uint8

const (
	// Probe sends one append at a time until the place where the logs agree is
	// found.
	Probe State = iota
	// Replicate sends appends ahead of their answers.
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
	// Active is the time of the last answer in this term.
	Active time.Time
	// Round is the newest heartbeat round that was answered, and LeaseFrom the
	// time at which that round was sent.
	Round     uint64
	LeaseFrom time.Time

	// inflight are the appends, or the snapshot, that were not answered yet.
	inflight []appended
	waiting  bool
	// overtaken says that the peer rejected an append that reached it before an earlier one.
	overtaken bool
	// resent counts appends that were taken as lost since the peer last took one.
	resent int
}

// appended is an append that was not answered yet.
type appended struct {
	// prev and last are the places before and of its last entry.
	prev, last uint64
	bytes      int
	at         time.Time
}

// slowest is the rate in bytes a second below which an append under way is taken as lost.
//
// What goes wrong without it: a long append takes longer than a heartbeat, whose answer lets
// a short append go out. The transport may let short messages overtake long ones, the peer
// rejects it for the lack of the entries before, and the long one is sent again while the
// first is still on its way, with each heartbeat. One would notice links between members
// that are full of one entry.
const slowest = 256 << 10

// maxResent bounds how often the wait for an append doubles: a peer that takes less than a
// sixteenth of the slowest rate does not keep up with anything.
const maxResent = 4

// lost reports whether an append must be taken as lost: a peer of the slowest rate would
// have answered. Each one that is sent again is given twice the time, so that any rate will
// do in the end.
func (p *Progress) lost(now time.Time, a appended) bool {
	patience := time.Duration(a.bytes) * time.Second / slowest
	return now.Sub(a.at) >= patience<<min(p.resent, maxResent)
}

// New returns the state at an election: nothing is known, and the first guess
// is that the peer holds all before next.
func New(next uint64, now time.Time) *Progress { return &Progress{Next: next, Active: now} }

// MaySend reports whether an append may go out now, with at most limit in
// flight.
func (p *Progress) CanSend(limit int) bool {
	switch p.State {
	case Probe:
		return !p.waiting
	case Replicate:
		return len(p.inflight) < limit
	}
	return false
}

// Sent notes an append whose last entry is last; n entries with so many bytes went out.
func (p *Progress) RecordAppend(now time.Time, last uint64, n, bytes int) {
	a := appended{prev: last - uint64(n), last: last, bytes: bytes, at: now}
	if p.State == Probe {
		p.waiting, p.inflight = true, []appended{a}
		return
	}
	if n == 0 {
		return
	}
	p.inflight = append(p.inflight, a)
	p.Next = last + 1
}

// SentSnapshot notes a snapshot of so many bytes.
func (p *Progress) RecordSnapshot(now time.Time, index uint64, bytes int) {
	p.State, p.Next, p.overtaken = Snapshot, index+1, false
	p.inflight = []appended{{last: index, bytes: bytes, at: now}}
}

// Ack notes that the peer holds all up to index, and reports whether that is
// news.
func (p *Progress) Ack(index uint64) bool {
	news := index > p.Match
	p.Match = max(p.Match, index)
	p.Next = max(p.Next, p.Match+1)
	p.waiting = false
	for len(p.inflight) > 0 && p.inflight[0].last <= index {
		p.inflight = p.inflight[1:]
	}
	if news {
		p.resent = 0
	}
	// What the peer rejected because it came too early is sent again.
	again := p.overtaken && news
	if p.State == Probe || again || (p.State == Snapshot && p.Match+1 >= p.Next) {
		p.State, p.inflight, p.Next, p.overtaken = Replicate, nil, p.Match+1, false
	}
	return news
}

// Reject notes that the peer lacks the entry at index, and that the logs can
// agree at agree at most. It reports whether that was news: an answer that was
// overtaken is not, and neither is one to an append that came before an earlier one which
// is still on its way.
func (p *Progress) Reject(now time.Time, index, agree uint64) bool {
	if index <= p.Match || p.State == Snapshot || (p.State == Probe && index != p.Next-1) {
		return false
	}
	if p.State == Replicate && len(p.inflight) > 0 && index > p.inflight[0].prev && !p.lost(now, p.inflight[0]) {
		p.overtaken = true
		return false
	}
	p.probe(min(index, agree+1))
	return true
}

// probe looks for the place where the logs agree, from next on downwards.
func (p *Progress) probe(next uint64) {
	p.State, p.inflight, p.waiting, p.overtaken = Probe, nil, false, false
	p.Next = max(p.Match+1, next)
}

// Heard takes in an answer to a heartbeat. It lets one more append go out where those under
// way must be taken as lost: the next one is rejected and the peer probed again. A snapshot
// is given patience at least, as the peer has to write it.
func (p *Progress) HandleHeartbeatResp(now time.Time, limit int, patience time.Duration) (mayAppend bool) {
	if len(p.inflight) > 0 && !p.lost(now, p.inflight[0]) {
		return false
	}
	if p.State == Snapshot && now.Sub(p.inflight[0].at) <= patience {
		return false
	}
	if len(p.inflight) > 0 && p.inflight[0].bytes > 0 {
		p.resent++
	}
	if p.State == Snapshot {
		p.probe(p.Match + 1)
	}
	if p.overtaken {
		p.probe(p.Match + 1)
	}
	p.waiting = false
	if len(p.inflight) >= limit {
		p.inflight = p.inflight[1:]
	}
	return p.CanSend(limit)
}
