package replog

import (
	"time"

	"github.com/gullhaven/gullhaven/coord/replog/quorum"
	"github.com/gullhaven/gullhaven/coord/replog/tracker"
)

// resetElection draws the next time to campaign. If this node just received a message
// from a leader, that is no earlier than the time until which it refuses votes.
func (n *Node) resetElection() {
	jitter := time.Duration(n.rng.Int64N(int64(n.opts.ElectionTimeout)))
	n.electionAt = n.now.Add(n.voterTimeout() + jitter)
}

// promotable reports whether this incarnation is a voter in its own newest
// configuration.
func (n *Node) promotable() bool { return n.log.config().config.IsVoter(n.opts.Self) }

// becomeFollower enters a term, or stays in the current one without leading.
//
// A leader that steps down may still have a host that acts on a lease returned before.
// Its own vote helped to establish that lease, so it refuses to vote until the lease
// ends.
func (n *Node) becomeFollower(term uint64, leader Member) {
	if n.role == Leader && n.returnedLeaseEnd.After(n.refuseUntil) {
		n.refuseUntil = n.returnedLeaseEnd
	}
	if term > n.hs.Term {
		n.hs.Term, n.hs.Vote = term, Member{}
	}
	n.role, n.leader = Follower, leader
	n.lead, n.votes = leadership{}, nil
	n.resetElection()
}

// observeLeader records a message from the leader of this term and promises it to
// refuse votes for voterTimeout.
func (n *Node) observeLeader(leader Member) {
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(n.hs.Term, leader)
	}
	n.resetElection()
	n.refuseUntil = n.now.Add(n.voterTimeout())
}

// refusesVote reports whether a vote would break the promise behind a lease. A leader
// refuses as long as it leads: it steps down by itself when it does not hear from a
// majority.
func (n *Node) refusesVote(m Message) bool {
	return !m.Force && (n.role == Leader || n.now.Before(n.refuseUntil))
}

// campaign starts a pre-vote, which does not change the term, or an election.
func (n *Node) campaign(role Role, force bool) {
	kind, term := MsgPreVote, n.hs.Term+1
	if role == Candidate {
		kind = MsgVote
		n.hs.Term, n.hs.Vote = term, n.opts.Self
		n.resetElection()
	}
	n.role, n.leader = role, Member{}
	n.votes = map[Member]bool{n.opts.Self: true}
	for _, v := range n.log.config().config.Voters {
		if v == n.opts.Self {
			continue
		}
		n.send(Message{
			Kind: kind, To: v, Term: term, Force: force,
			Index: n.log.last(), LogTerm: n.log.lastTerm(),
		})
	}
	n.countVotes()
}

// handleVote answers a pre-vote or a vote. The candidate's configuration names this
// incarnation, or the message would have been rejected before; whether this node's own
// log already says so does not matter, as the candidate does the counting.
func (n *Node) handleVote(m Message) {
	if n.refusesVote(m) {
		return
	}
	if m.Kind == MsgPreVote {
		grant := m.Term > n.hs.Term && n.log.upToDate(m.Index, m.LogTerm)
		n.sendVoteResp(m, MsgPreVoteResp, grant)
		return
	}
	free := n.hs.Vote == m.From || (n.hs.Vote == Member{} && n.leader == Member{})
	grant := free && n.log.upToDate(m.Index, m.LogTerm)
	if grant {
		n.hs.Vote = m.From
		n.resetElection()
	}
	n.sendVoteResp(m, MsgVoteResp, grant)
}

// sendVoteResp grants in the requested term, or rejects with this node's own term.
func (n *Node) sendVoteResp(m Message, kind MessageKind, grant bool) {
	term := n.hs.Term
	if grant {
		term = m.Term
	}
	n.send(Message{Kind: kind, To: m.From, Term: term, Reject: !grant})
}

func (n *Node) handleVoteResp(m Message) {
	want := Candidate
	if m.Kind == MsgPreVoteResp {
		want = PreCandidate
	}
	stale := m.Kind == MsgPreVoteResp && !m.Reject && m.Term != n.hs.Term+1
	if n.role != want || stale {
		return
	}
	if _, known := n.votes[m.From]; !known {
		n.votes[m.From] = !m.Reject
	}
	n.countVotes()
}

// countVotes counts by member, so that a vote of another incarnation than the
// configuration's does not count.
func (n *Node) countVotes() {
	voters := n.log.config().config.Voters
	granted, rejected := 0, 0
	for _, v := range voters {
		if vote, ok := n.votes[v]; ok && vote {
			granted++
		} else if ok {
			rejected++
		}
	}
	switch quorum.Tally(len(voters), granted, rejected) {
	case quorum.Won:
		if n.role == PreCandidate {
			n.campaign(Candidate, false)
		} else {
			n.becomeLeader()
		}
	case quorum.Lost:
		n.becomeFollower(n.hs.Term, Member{})
	}
}

// becomeLeader starts the term with an empty entry: entries of earlier terms are
// committed only by one of the own term after them (section 5.4.2 of the paper).
func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.opts.Self, nil
	n.lead = leadership{
		peers:             make(map[Member]*tracker.Progress),
		otherIncarnations: make(map[string]Member),
		earlierLeaseEnd:   n.returnedLeaseEnd,
	}
	n.trackPeers(n.log.last() + 1)
	n.appendEntry(Entry{})
	n.broadcastHeartbeat()
}

// handleTimeoutNow campaigns at once. The leader of this term stepped down and gave up
// its lease before it sent the message, so the voters may break their promise to it.
func (n *Node) handleTimeoutNow() {
	if n.promotable() && n.role == Follower {
		n.campaign(Candidate, true)
	}
}
