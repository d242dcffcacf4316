package replog

import (
	"time"

	"github.com/gullhaven/gullhaven/coord/replog/quorum"
	"github.com/gullhaven/gullhaven/coord/replog/tracker"
)

// pendingRead waits for a majority to answer a round that began after the read arrived,
// or, with round zero, for the first commit of the term.
type pendingRead struct {
	from         Member
	id           uint64
	index, round uint64
}

// ReadIndex implements Log.
//
// A read is linearizable at the commit index if this node was the leader at some time
// after the read arrived, and has committed in its term. A lease in force shows that;
// otherwise a majority has to answer a heartbeat round that begins after now. A round
// that began before would not do: its answers may have been given before a successor
// committed more.
func (n *Node) ReadIndex(now time.Time, id uint64) error {
	n.advanceClock(now)
	if n.role == Leader {
		n.beginRead(pendingRead{from: n.opts.Self, id: id})
		return nil
	}
	if n.leader == (Member{}) {
		return ErrNotLeader
	}
	n.readsSent[id] = n.now
	n.send(Message{Kind: MsgReadIndex, To: n.leader, ReadID: id})
	return nil
}

func (n *Node) beginRead(r pendingRead) {
	switch {
	case !n.hasCommittedInTerm():
		n.lead.reads = append(n.lead.reads, r)
	case n.lead.transferee == (Member{}) && n.now.Before(n.leaseEnd()):
		r.index = n.log.commit
		n.completeRead(r)
	default:
		r.index, r.round = n.log.commit, n.lead.round+1
		n.lead.roundDue = true
		n.lead.reads = append(n.lead.reads, r)
	}
}

// startReads starts the reads that waited for the first commit of the term.
func (n *Node) startReads() {
	reads := n.lead.reads
	n.lead.reads = nil
	for _, r := range reads {
		if r.round > 0 {
			n.lead.reads = append(n.lead.reads, r)
		} else {
			n.beginRead(r)
		}
	}
}

// confirmReads completes the reads whose round a majority has answered.
func (n *Node) confirmReads() {
	if len(n.lead.reads) == 0 {
		return
	}
	rounds := perVoter(n, n.lead.round, func(p *tracker.Progress) uint64 { return p.Round })
	done := quorum.Index(rounds)
	reads := n.lead.reads
	n.lead.reads = nil
	for _, r := range reads {
		if r.round > 0 && r.round <= done {
			n.completeRead(r)
		} else {
			n.lead.reads = append(n.lead.reads, r)
		}
	}
}

// expireReads drops reads that the leader did not answer within an election timeout.
func (n *Node) expireReads() {
	for id, at := range n.readsSent {
		if n.now.Sub(at) > n.opts.ElectionTimeout {
			delete(n.readsSent, id)
		}
	}
}

func (n *Node) completeRead(r pendingRead) {
	if r.from == n.opts.Self {
		n.out.reads = append(n.out.reads, ReadState{ID: r.id, Index: r.index})
		return
	}
	n.send(Message{Kind: MsgReadIndexResp, To: r.from, ReadID: r.id, Index: r.index})
}

// handleReadIndex starts a read of another member. At a node that is not the leader the
// read is dropped; its host retries.
func (n *Node) handleReadIndex(m Message) {
	if n.role == Leader && n.lead.peers[m.From] != nil {
		n.beginRead(pendingRead{from: m.From, id: m.ReadID})
	}
}

func (n *Node) handleReadIndexResp(m Message) {
	if _, ok := n.readsSent[m.ReadID]; ok {
		delete(n.readsSent, m.ReadID)
		n.out.reads = append(n.out.reads, ReadState{ID: m.ReadID, Index: m.Index})
	}
}
