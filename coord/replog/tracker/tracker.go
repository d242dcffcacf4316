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
	// SnapshotSent is the time of the last snapshot, for the Snapshot state.
	SnapshotSent time.Time

	inflight []uint64
	waiting  bool
}

// New returns the state at an election: nothing is known, and the first guess
// is that the peer holds all before next.
func New(next uint64, now time.Time) *Progress { return &Progress{Next: next, Active: now} }

// MaySend reports whether an append may go out now, with at most limit in
// flight.
func (p *Progress) MaySend(limit int) bool {
	switch p.State {
	case Probe:
		return !p.waiting
	case Replicate:
		return len(p.inflight) < limit
	}
	return false
}

// Sent notes an append whose last entry is last; n entries went out.
func (p *Progress) Sent(last uint64, n int) {
	if p.State == Probe {
		p.waiting = true
		return
	}
	if n == 0 {
		return
	}
	p.inflight = append(p.inflight, last)
	p.Next = last + 1
}

// SentSnapshot notes a snapshot.
func (p *Progress) SentSnapshot(index uint64, now time.Time) {
	p.State, p.SnapshotSent, p.Next, p.inflight = Snapshot, now, index+1, nil
}

// Ack notes that the peer holds all up to index, and reports whether that is
// news.
func (p *Progress) Ack(index uint64) bool {
	news := index > p.Match
	p.Match = max(p.Match, index)
	p.Next = max(p.Next, p.Match+1)
	p.waiting = false
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	if p.State == Probe || (p.State == Snapshot && p.Match+1 >= p.Next) {
		p.State, p.inflight, p.Next = Replicate, nil, p.Match+1
	}
	return news
}

// Reject notes that the peer lacks the entry at index, and that the logs can
// agree at agree at most. It reports whether that was news: an answer that was
// overtaken is not.
func (p *Progress) Reject(index, agree uint64) bool {
	if index <= p.Match || p.State == Snapshot || (p.State == Probe && index != p.Next-1) {
		return false
	}
	p.State, p.inflight, p.waiting = Probe, nil, false
	p.Next = max(p.Match+1, min(index, agree+1))
	return true
}

// Heard lets one more append go out, after an answer to a heartbeat: if
// appends were lost, the next one is rejected and the peer probed again. A
// snapshot older than patience is taken as lost.
func (p *Progress) Heard(now time.Time, limit int, patience time.Duration) {
	p.waiting = false
	if len(p.inflight) >= limit {
		p.inflight = p.inflight[1:]
	}
	if p.State == Snapshot && now.Sub(p.SnapshotSent) > patience {
		p.State, p.Next = Probe, p.Match+1
	}
}
