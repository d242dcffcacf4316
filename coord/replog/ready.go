package replog

import "math"

// maxCommittedBytes bounds the data of the committed entries in one Ready.
const maxCommittedBytes = 4 << 20

// outbox collects the host's next work, and what an unfinished Ready covers.
type outbox struct {
	immediate, messages []Message
	reads               []ReadState
	snapshot            *Snapshot
	// appendDue: there may be entries to send to peers.
	appendDue bool
	// synced is the hard state known to be synced, emitted the one returned last by Ready.
	synced, emitted HardState
	// inProgress is true between Ready and Advance. That Ready covers entries up to
	// syncing and applies up to applying.
	inProgress        bool
	syncing, applying uint64
}

// truncated records that entries from index on were replaced while a Ready may be in
// progress; index 0 means all of them. Without it, Advance would count the new entries
// as synced because the old ones of the same indexes were.
func (o *outbox) truncated(index uint64) {
	if index == 0 {
		o.syncing = 0
		return
	}
	o.syncing = min(o.syncing, index-1)
}

// send queues a message that depends on this node's state: it goes out once that is
// synced.
func (n *Node) send(m Message) {
	n.out.messages = append(n.out.messages, n.address(m))
}

// sendAsLeader queues a message of a leader, which depends only on its term and on
// entries that the leader need not have synced itself, as it does not count itself
// before it has. In two cases the message has to wait. A term that is not synced yet could be
// used twice by a single voter that restarts. A configuration that others hold and that
// its leader lost could leave nobody able to win an election.
func (n *Node) sendAsLeader(m Message) {
	if n.out.synced.Term != n.hs.Term || n.log.config().index > n.log.persisted {
		n.send(m)
		return
	}
	n.out.immediate = append(n.out.immediate, n.address(m))
}

// address sets the sender, the group and, unless it is set already (votes and their
// responses), the term.
func (n *Node) address(m Message) Message {
	m.From, m.Group = n.opts.Self, n.hs.Group
	if m.Term == 0 {
		m.Term = n.hs.Term
	}
	return m
}

// Ready implements Log.
func (n *Node) Ready() Ready {
	if n.out.inProgress {
		return Ready{}
	}
	n.flushLeader()
	o := &n.out
	r := Ready{
		Immediate: o.immediate, Messages: o.messages, ReadStates: o.reads, Snapshot: o.snapshot,
		Entries:   n.log.between(n.log.persisted+1, n.log.last(), math.MaxInt),
		Committed: n.log.between(n.log.delivered+1, n.log.commit, maxCommittedBytes),
	}
	if n.hs != o.emitted {
		hs := n.hs
		r.HardState = &hs
	}
	r.MustSync = len(r.Entries) > 0 || r.Snapshot != nil || r.HardState != nil
	if r.Empty() {
		return r
	}
	n.log.delivered += uint64(len(r.Committed))
	o.immediate, o.messages, o.reads, o.snapshot = nil, nil, nil, nil
	o.emitted = n.hs
	o.inProgress, o.syncing, o.applying = true, n.log.last(), n.log.delivered
	return r
}

// HasReady implements Log.
func (n *Node) HasReady() bool {
	o := &n.out
	return !o.inProgress && (o.appendDue || n.lead.roundDue || n.hs != o.emitted || o.snapshot != nil ||
		len(o.immediate)+len(o.messages)+len(o.reads) > 0 ||
		n.log.persisted < n.log.last() || n.log.delivered < n.log.commit)
}

// flushLeader turns what happened since the last Ready into messages, so that proposals
// and reads of one batch share them.
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
	if !o.inProgress {
		return
	}
	o.inProgress = false
	o.synced = o.emitted
	n.log.persisted = max(n.log.persisted, o.syncing)
	n.log.applied = max(n.log.applied, o.applying)
	n.maybeCommit()
}
