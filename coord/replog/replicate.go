package replog

import (
	"math"
	"time"

	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/coord/replog/quorum"
	"github.com/gullhaven/gullhaven/coord/replog/tracker"
)

// snapshotElectionTimeouts is the least number of election timeouts after which an
// unanswered snapshot is sent again.
const snapshotElectionTimeouts = 4

// Propose implements Log.
func (n *Node) Propose(now time.Time, data []byte) (Position, error) {
	n.advanceClock(now)
	if len(data) == 0 {
		return Position{}, ErrEmpty
	}
	if err := n.mayPropose(); err != nil {
		return Position{}, err
	}
	if n.lead.uncommitted > 0 && n.lead.uncommitted+len(data) > n.opts.MaxUncommittedBytes {
		return Position{}, ErrOverloaded
	}
	return n.appendEntry(Entry{Data: data}), nil
}

func (n *Node) mayPropose() error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if n.lead.transferee != (Member{}) {
		return ErrTransferring
	}
	return nil
}

// appendEntry assigns the next position to the entry, appends it and returns the
// position.
func (n *Node) appendEntry(e Entry) Position {
	e.Term, e.Index = n.hs.Term, n.log.last()+1
	n.log.append(e)
	n.lead.uncommitted += len(e.Data)
	if e.Kind == EntryConfig {
		n.trackPeers(e.Index)
	}
	n.out.appendDue = true
	return Position{Term: e.Term, Index: e.Index}
}

// trackPeers creates a progress for each new member of the configuration in force,
// starting at next, and drops those of removed members.
func (n *Node) trackPeers(next uint64) {
	peers := make(map[Member]*tracker.Progress)
	for _, m := range n.log.config().config.Members() {
		if m == n.opts.Self {
			continue
		}
		peers[m] = n.lead.peers[m]
		if peers[m] == nil {
			peers[m] = tracker.New(next, n.now)
		}
	}
	n.lead.peers = peers
}

// eachPeer calls visit for each other member in the order of the configuration.
func (n *Node) eachPeer(visit func(Member, *tracker.Progress)) {
	for _, m := range n.log.config().config.Members() {
		if p := n.lead.peers[m]; p != nil {
			visit(m, p)
		}
	}
}

// perVoter returns a value for each voter of the configuration in force: own for this
// node, which must be the leader, and of's result for the others.
func perVoter[T any](n *Node, own T, of func(*tracker.Progress) T) []T {
	voters := n.log.config().config.Voters
	values := make([]T, 0, len(voters))
	for _, v := range voters {
		if v == n.opts.Self {
			values = append(values, own)
		} else {
			values = append(values, of(n.lead.peers[v]))
		}
	}
	return values
}

// sendAppends sends entries to all peers whose inflight window has room.
func (n *Node) sendAppends() {
	n.eachPeer(func(m Member, p *tracker.Progress) {
		for p.Next <= n.log.last() && p.CanSend(n.opts.MaxInflight) {
			n.sendAppend(m, p)
		}
	})
}

// sendAppend sends the entries from p.Next on, or the snapshot if they are compacted.
func (n *Node) sendAppend(to Member, p *tracker.Progress) {
	prev := p.Next - 1
	term, ok := n.log.term(prev)
	if !ok {
		n.sendSnapshot(to, p)
		return
	}
	entries := n.log.between(p.Next, n.log.last(), n.opts.MaxAppendBytes)
	p.RecordAppend(n.now, prev+uint64(len(entries)), len(entries), dataBytes(entries))
	p.SentCommit = max(p.SentCommit, min(n.log.commit, prev+uint64(len(entries))))
	n.sendAsLeader(Message{
		Kind: MsgAppend, To: to, Index: prev, LogTerm: term,
		Commit: n.log.commit, Entries: entries,
	})
}

// dataBytes returns the length of the entries' data in bytes.
func dataBytes(entries []Entry) (sum int) {
	for _, e := range entries {
		sum += len(e.Data)
	}
	return sum
}

func (n *Node) sendSnapshot(to Member, p *tracker.Progress) {
	s := n.log.snapshot
	p.RecordSnapshot(n.now, s.Index, len(s.Data))
	n.sendAsLeader(Message{Kind: MsgSnapshot, To: to, Index: s.Index, LogTerm: s.Term, Snapshot: &s})
}

// sendCommits sends a new commit index to peers to which no append will carry it.
func (n *Node) sendCommits() {
	n.eachPeer(func(m Member, p *tracker.Progress) {
		if min(p.Match, n.log.commit) > p.SentCommit {
			n.sendHeartbeat(m, p, 0)
		}
	})
}

// handleAppend appends entries after a position at which the logs agree.
func (n *Node) handleAppend(m Message) {
	if m.Index < n.log.commit {
		// Committed entries agree with any leader's log.
		n.send(Message{Kind: MsgAppendResp, To: m.From, Index: n.log.commit})
		return
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		n.rejectAppend(m)
		return
	}
	for _, e := range m.Entries {
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.last() {
			n.truncate(e.Index)
		}
		n.log.append(e)
	}
	last := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, last))
	n.send(Message{Kind: MsgAppendResp, To: m.From, Index: last})
}

// rejectAppend answers with the highest position at which the logs can agree: an entry
// of a term above the leader's at that position cannot, so each answer skips a whole
// term rather than one entry.
func (n *Node) rejectAppend(m Message) {
	hint, term := n.lastWithin(min(m.Index, n.log.last()), m.LogTerm)
	n.send(Message{
		Kind: MsgAppendResp, To: m.From, Reject: true,
		Index: m.Index, Hint: hint, HintTerm: term,
	})
}

// lastWithin returns the highest position at or below index whose term is at most term.
func (n *Node) lastWithin(index, term uint64) (uint64, uint64) {
	for {
		t, ok := n.log.term(index)
		if !ok {
			return n.log.prev.Index, n.log.prev.Term
		}
		if t <= term || index == n.log.prev.Index {
			return index, t
		}
		index--
	}
}

// handleSnapshot replaces the log if the snapshot reaches beyond what is committed
// here.
func (n *Node) handleSnapshot(m Message) {
	s := *m.Snapshot
	if s.Index > n.log.commit && n.log.matches(s.Index, s.Term) {
		n.commitTo(s.Index)
	}
	if s.Index > n.log.commit {
		n.log.restore(s)
		n.out.snapshot = &s
		n.out.truncated(0)
	}
	n.send(Message{Kind: MsgAppendResp, To: m.From, Index: n.log.commit})
}

func (n *Node) truncate(index uint64) {
	n.log.truncate(index)
	n.out.truncated(index)
}

// handlePeerResp handles a response of a peer. An incarnation that the configuration
// does not hold has no progress here and is ignored.
func (n *Node) handlePeerResp(m Message) {
	if n.role != Leader {
		return
	}
	p := n.lead.peers[m.From]
	if p == nil {
		return
	}
	p.Active = n.now
	delete(n.lead.otherIncarnations, m.From.ID)
	switch {
	case m.Kind == MsgHeartbeatResp:
		mayAppend := p.HandleHeartbeatResp(n.now, n.opts.MaxInflight, snapshotElectionTimeouts*n.opts.ElectionTimeout)
		n.ackRound(p, m.Round)
		if p.Match < n.log.last() && mayAppend {
			n.sendAppend(m.From, p)
		}
	case m.Reject:
		hint, _ := n.lastWithin(min(m.Hint, n.log.last()), m.HintTerm)
		if p.Reject(n.now, m.Index, hint) {
			n.sendAppend(m.From, p)
		}
	default:
		p.Ack(m.Index)
		n.maybeCommit()
		n.maybeTransfer()
	}
	n.out.appendDue = true
}

// maybeCommit commits what a majority of the configuration in force has synced, if the
// last such entry is of this term. An entry of an earlier term that a majority holds
// can still be replaced by a leader that does not have it (figure 8 of the Raft paper);
// followed by an entry of this term it cannot.
func (n *Node) maybeCommit() {
	if n.role != Leader {
		return
	}
	synced := perVoter(n, n.log.persisted, func(p *tracker.Progress) uint64 { return p.Match })
	index := quorum.Index(synced)
	if index > n.log.commit && n.log.matches(index, n.hs.Term) {
		n.commitTo(index)
		n.startReads()
	}
}

// commitTo raises the commit index, at most to the end of the log; the rest waits for
// an append.
func (n *Node) commitTo(index uint64) {
	index = min(index, n.log.last())
	if index <= n.log.commit {
		return
	}
	if n.role == Leader {
		for _, e := range n.log.between(n.log.commit+1, index, math.MaxInt) {
			n.lead.uncommitted -= len(e.Data)
		}
		n.lead.uncommitted = max(0, n.lead.uncommitted)
	}
	n.log.commit = index
}

// TransferLeader implements Log.
func (n *Node) TransferLeader(now time.Time, id string) error {
	n.advanceClock(now)
	if err := n.mayPropose(); err != nil {
		return err
	}
	to, _ := n.log.config().config.Lookup(id)
	if to == n.opts.Self || !n.log.config().config.IsVoter(to) {
		return errors.NotFoundf("other voter %q", id)
	}
	n.lead.transferee = to
	n.lead.transferEnd = n.now.Add(n.opts.ElectionTimeout)
	n.maybeTransfer()
	return nil
}

// maybeTransfer lets the transferee campaign once it holds the whole log.
//
// The message can arrive late, and the voters then break the promise that a lease
// depends on. So this node steps down when it sends the message and can lead, and hold
// a lease, only in a later term, in which the message has no effect.
func (n *Node) maybeTransfer() {
	to := n.lead.transferee
	if n.role != Leader || to == (Member{}) {
		return
	}
	if p := n.lead.peers[to]; p == nil || p.Match < n.log.last() {
		return
	}
	n.send(Message{Kind: MsgTimeoutNow, To: to})
	n.returnedLeaseEnd = time.Time{}
	n.becomeFollower(n.hs.Term, Member{})
}

// MakeSnapshot implements Log.
func (n *Node) MakeSnapshot(index uint64, data []byte) (Snapshot, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied || index == 0 {
		return Snapshot{}, errors.Annotatef(ErrCompacted, "%d", index)
	}
	return Snapshot{Group: n.hs.Group, Index: index, Term: term, Config: n.log.configAt(index), Data: data}, nil
}

// Compact implements Log.
func (n *Node) Compact(s Snapshot, keep uint64) error {
	if !n.log.matches(s.Index, s.Term) || s.Index > n.log.applied || s.Group != n.hs.Group {
		return errors.Annotatef(ErrCompacted, "%d of term %d", s.Index, s.Term)
	}
	if s.Index > n.log.snapshot.Index {
		n.log.snapshot = s
	}
	if s.Index > keep {
		n.log.compact(min(s.Index-keep, n.log.snapshot.Index))
	}
	return nil
}
