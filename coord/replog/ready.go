package replog

import "math"

// maxCommittedBytes bounds the data of the entries that one Ready hands out.
const maxCommittedBytes = 4 << 20

// outbox gathers what the host is to do, and what an unfinished Ready covers.
type outbox struct {
	immediate, messages []Message
	reads               []ReadState
	snapshot            *Snapshot
	// appendDue: windows of peers may have room for entries.
	appendDue bool
	// saved is the hard state known to be synced, emitted the one last given
	// out.
	saved, emitted HardState
	// waiting is true between Ready and Advance. What it covers follows:
	// entries up to syncing, applies up to applying.
	waiting           bool
	syncing, applying uint64
}

// truncated notes that entries from index on were replaced while a Ready may be
// under way. Without this, Advance would count the new entries as synced
// because the old ones of the same indexes were.
func (o *outbox) truncated(index uint64) {
	if index == 0 {
		o.syncing = 0
		return
	}
	o.syncing = min(o.syncing, index-1)
}

// send queues a message that rests on this node's state: it goes out after that
// is synced.
func (n *Node) send(m Message) {
	n.out.messages = append(n.out.messages, n.address(m))
}

// sendAsLeader queues a message of a leader, which rests only on its term and
// on entries that it need not hold synced itself, as it does not count itself
// before. Two cases have to wait. A term that is not synced yet could be used
// twice by a lone voter that starts again. A configuration that others hold and
// its leader lost could leave nobody able to win an election.
func (n *Node) sendAsLeader(m Message) {
	if n.out.saved.Term != n.hs.Term || n.log.config().index > n.log.persisted {
		n.send(m)
		return
	}
	n.out.immediate = append(n.out.immediate, n.address(m))
}

// address fills in what all messages carry; votes and their answers set a term
// of their own.
func (n *Node) address(m Message) Message {
	m.From, m.Group = n.opts.Self, n.hs.Group
	if m.Term == 0 {
		m.Term = n.hs.Term
	}
	return m
}

// Ready implements Log.
func (n *Node) Ready() Ready {
	if n.out.waiting {
		return Ready{}
	}
	n.flushLeader()
	o := &n.out
	r := Ready{
		Immediate: o.immediate, Messages: o.messages, ReadStates: o.reads, Snapshot: o.snapshot,
		Entries:   n.log.between(n.log.persisted+1, n.log.last(), math.MaxInt),
		Committed: n.log.between(n.log.handed+1, n.log.commit, maxCommittedBytes),
	}
	if n.hs != o.emitted {
		hs := n.hs
		r.HardState = &hs
	}
	r.MustSync = len(r.Entries) > 0 || r.Snapshot != nil || r.HardState != nil
	if r.Empty() {
		return r
	}
	n.log.handed += uint64(len(r.Committed))
	o.immediate, o.messages, o.reads, o.snapshot = nil, nil, nil, nil
	o.emitted = n.hs
	o.waiting, o.syncing, o.applying = true, n.log.last(), n.log.handed
	return r
}

// HasReady implements Log.
func (n *Node) HasReady() bool {
	o := &n.out
	return !o.waiting && (o.appendDue || n.lead.roundDue || n.hs != o.emitted || o.snapshot != nil ||
		len(o.immediate)+len(o.messages)+len(o.reads) > 0 ||
		n.log.persisted < n.log.last() || n.log.handed < n.log.commit)
}

// flushLeader turns what came up since the last Ready into messages, so that
// proposals and reads of one batch share them.
func (n *Node) flushLeader() {
	if n.role == Leader {
		if n.lead.roundDue {
			n.broadcastHeartbeat()
		}
		n.sendAppends()
		n.sendCommits()
	}
	n.out.appendDue = false
}

// Advance implements Log.
func (n *Node) Advance() {
	o := &n.out
	if !o.waiting {
		return
	}
	o.waiting = false
	o.saved = o.emitted
	n.log.persisted = max(n.log.persisted, o.syncing)
	n.log.applied = max(n.log.applied, o.applying)
	n.maybeCommit()
}
