package replog

import (
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/coord/replog/quorum"
	"github.com/gullhaven/gullhaven/coord/replog/tracker"
)

// Lease safety. Let E be the election timeout and d the bound on drift: while a clock
// advances by t, true time advances by between t/(1+d) and t/(1-d).
//
// A voter that handles a heartbeat at true time r refuses votes for E(1+d) on its
// clock, hence at least until r+E. The leader sent the round at a true time s before r.
// It holds its lease for E(1-d) on its clock from s, hence at most until s+E, and that
// is before r+E for each voter that answered the round in the same term. A majority
// answered. Whoever is elected next needs a vote from a member of that majority (it
// votes after s+E, or it voted in a higher term before it saw the heartbeat and then
// did not answer it in this term). So the lease has ended in true time before the next
// leader exists.
//
// Counting from the time at which the answer arrived would be wrong: the heartbeat may
// have waited in a queue of a stopped process for any time.
//
// A voter's promise is lost with its process, so a node that starts refuses votes for a
// whole E(1+d) first. A leader's own vote is bound until the end of the last lease it
// returned (becomeFollower). A change of the configuration is refused while a lease
// returned under an earlier one reaches further than what a majority of the present one
// has promised (ProposeConfChange), since only majorities of neighbouring
// configurations overlap.

// voterTimeout is how long a voter refuses votes, by its own clock, rounded up.
func (n *Node) voterTimeout() time.Duration {
	return time.Duration(float64(n.opts.ElectionTimeout)*(1+n.opts.MaxDrift)) + 1
}

// leaseTime is the length of a lease by the leader's clock, rounded down.
func (n *Node) leaseTime() time.Duration {
	return time.Duration(float64(n.opts.ElectionTimeout) * (1 - n.opts.MaxDrift))
}

// LeaseUntil implements Log.
func (n *Node) LeaseUntil(now time.Time) time.Time {
	n.advanceClock(now)
	end := n.leaseEnd()
	if !n.hasCommittedInTerm() || n.lead.transferee != (Member{}) || !n.now.Before(end) {
		return time.Time{}
	}
	if end.After(n.returnedLeaseEnd) {
		n.returnedLeaseEnd = end
	}
	return end
}

// hasCommittedInTerm reports whether this node leads and has committed in its term;
// only then does its commit index cover all that was ever committed.
func (n *Node) hasCommittedInTerm() bool {
	return n.role == Leader && n.log.matches(n.log.commit, n.hs.Term)
}

// leaseEnd returns the time until which a majority of the configuration in force
// refuses votes, or zero if none does.
func (n *Node) leaseEnd() time.Time {
	if n.role != Leader {
		return time.Time{}
	}
	from := perVoter(n, n.now, func(p *tracker.Progress) time.Time { return p.LeaseFrom })
	slices.SortFunc(from, time.Time.Compare)
	start := from[len(from)-quorum.Size(len(from))]
	if start.IsZero() {
		return start
	}
	return start.Add(n.leaseTime())
}

// tickLeader steps down without a majority and sends due heartbeats.
func (n *Node) tickLeader() {
	if !n.majorityActive() {
		n.becomeFollower(n.hs.Term, Member{})
		return
	}
	if n.lead.transferee != (Member{}) && !n.now.Before(n.lead.transferEnd) {
		n.lead.transferee = Member{}
	}
	if !n.now.Before(n.lead.heartbeatAt) {
		n.broadcastHeartbeat()
	}
}

// majorityActive reports whether a majority answered within the last election timeout.
// A leader that is partitioned off or was stopped for long thereby steps down; its
// lease has ended before.
func (n *Node) majorityActive() bool {
	voters := n.log.config().config.Voters
	active := 0
	for _, v := range voters {
		if v == n.opts.Self || n.isActive(n.lead.peers[v]) {
			active++
		}
	}
	return active >= quorum.Size(len(voters))
}

func (n *Node) isActive(p *tracker.Progress) bool {
	return n.now.Sub(p.Active) < n.opts.ElectionTimeout
}

// broadcastHeartbeat starts a heartbeat round.
func (n *Node) broadcastHeartbeat() {
	l := &n.lead
	l.round++
	l.roundDue = false
	l.commitAtRound = n.log.commit
	l.heartbeatAt = n.now.Add(n.opts.HeartbeatInterval)
	l.roundTimes = append(l.roundTimes, n.now)
	for len(l.roundTimes) > 1 && n.now.Sub(l.roundTimes[0]) > n.opts.ElectionTimeout {
		l.roundTimes = l.roundTimes[1:]
	}
	n.eachPeer(func(m Member, p *tracker.Progress) {
		n.sendHeartbeat(m, p, l.round)
	})
}

// sendHeartbeat sends a heartbeat, or with round zero only the commit index, which is
// not answered. It sends no index beyond what the peer is known to hold: the rest of
// the peer's log may differ.
func (n *Node) sendHeartbeat(to Member, p *tracker.Progress, round uint64) {
	commit := min(p.Match, n.log.commit)
	p.SentCommit = max(p.SentCommit, commit)
	n.sendAsLeader(Message{Kind: MsgHeartbeat, To: to, Commit: commit, Round: round})
}

// roundTime returns when a round was sent, if it is recent enough to matter to a lease.
func (l *leadership) roundTime(round uint64) (time.Time, bool) {
	back := l.round - round
	if round > l.round || back >= uint64(len(l.roundTimes)) {
		return time.Time{}, false
	}
	return l.roundTimes[uint64(len(l.roundTimes))-1-back], true
}

func (n *Node) handleHeartbeat(m Message) {
	n.commitTo(m.Commit)
	if m.Round > 0 {
		n.send(Message{Kind: MsgHeartbeatResp, To: m.From, Round: m.Round})
	}
}

// ackRound records a peer's answer to a heartbeat round.
func (n *Node) ackRound(p *tracker.Progress, round uint64) {
	if round <= p.Round {
		return
	}
	p.Round = round
	if at, ok := n.lead.roundTime(round); ok {
		p.LeaseFrom = at
	}
	n.confirmReads()
}
