package replog

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/coord/replog/confchange"
	"github.com/gullhaven/gullhaven/coord/replog/tracker"
)

// ProposeConfChange implements Log.
//
// The new configuration takes effect when it is appended. The one before is applied,
// hence committed, and this leader has committed in its term, so no other configuration
// of an earlier term can still be committed beside it (the known flaw of single-server
// changes as first described in the Raft thesis). Neighbouring configurations differ by
// at most one voter, so their majorities overlap, and so do a majority that promised a
// lease and one that elects.
func (n *Node) ProposeConfChange(now time.Time, ch ConfChange) (Position, error) {
	n.advanceClock(now)
	if err := n.mayPropose(); err != nil {
		return Position{}, err
	}
	if !n.mayChangeConfig() {
		return Position{}, ErrConfPending
	}
	if ch.Member.ID == n.opts.Self.ID {
		return Position{}, ErrSelfChange
	}
	next, err := n.log.config().config.Apply(ch)
	if err != nil {
		return Position{}, errors.Trace(err)
	}
	if ch.Kind == confchange.Promote && !n.caughtUp(n.lead.peers[ch.Member]) {
		return Position{}, errors.Annotatef(ErrNotCaughtUp, "%v", ch.Member)
	}
	n.lead.earlierLeaseEnd = n.returnedLeaseEnd
	return n.appendEntry(Entry{Kind: EntryConfig, Config: &next}), nil
}

// mayChangeConfig reports whether the configuration may change now.
func (n *Node) mayChangeConfig() bool {
	covered := !n.lead.earlierLeaseEnd.After(n.now) || !n.leaseEnd().Before(n.lead.earlierLeaseEnd)
	return n.hasCommittedInTerm() && n.log.config().index <= n.log.applied && covered
}

// caughtUp reports whether a peer is active and holds all that was committed when the
// newest heartbeat round began.
func (n *Node) caughtUp(p *tracker.Progress) bool {
	return p != nil && p.Match > 0 && p.Match >= n.lead.commitAtRound && n.isActive(p)
}

// NextRepair implements Log.
func (n *Node) NextRepair(now time.Time, promote func(Member) bool) (ConfChange, bool) {
	n.advanceClock(now)
	if n.mayPropose() != nil || !n.mayChangeConfig() {
		return ConfChange{}, false
	}
	for _, m := range n.otherIncarnations() {
		ch := ConfChange{Kind: confchange.Readmit, Member: m}
		if _, err := n.log.config().config.Apply(ch); err == nil {
			return ch, true
		}
	}
	for _, m := range n.log.config().config.Learners {
		if promote != nil && promote(m) && n.caughtUp(n.lead.peers[m]) {
			return ConfChange{Kind: confchange.Promote, Member: m}, true
		}
	}
	return ConfChange{}, false
}

// recordOtherIncarnation records that another incarnation answers under a member's id.
// Late messages of old incarnations arrive too, so it counts only while the member
// itself is silent.
func (n *Node) recordOtherIncarnation(m Member) {
	if n.role != Leader || m.ID == n.opts.Self.ID {
		return
	}
	current, ok := n.log.config().config.Lookup(m.ID)
	if ok && current != m && !n.isActive(n.lead.peers[current]) {
		n.lead.otherIncarnations[m.ID] = m
	}
}

// otherIncarnations returns those whose member is still silent, sorted by id.
func (n *Node) otherIncarnations() []Member {
	var out []Member
	conf := n.log.config().config
	for _, id := range slices.Sorted(maps.Keys(n.lead.otherIncarnations)) {
		m := n.lead.otherIncarnations[id]
		if current, ok := conf.Lookup(id); ok && current != m && !n.isActive(n.lead.peers[current]) {
			out = append(out, m)
		}
	}
	return out
}

// sendWrongIncarnation tells the sender of a request that the addressed incarnation is
// not here. The message is otherwise ignored.
func (n *Node) sendWrongIncarnation(m Message) {
	if m.Kind.fromLeader() || m.Kind == MsgVote || m.Kind == MsgPreVote {
		n.out.messages = append(n.out.messages, Message{Kind: MsgWrongIncarnation, From: n.opts.Self, To: m.From})
	}
}

func (n *Node) peerStatus() []Peer {
	if n.role != Leader {
		return nil
	}
	var out []Peer
	conf := n.log.config().config
	n.eachPeer(func(m Member, p *tracker.Progress) {
		s := Peer{
			Member: m, Voter: conf.IsVoter(m), Match: p.Match,
			CaughtUp: n.caughtUp(p), Snapshotting: p.State == tracker.Snapshot,
		}
		if p.Match > 0 || p.Round > 0 {
			s.Active = p.Active
		}
		out = append(out, s)
	})
	slices.SortFunc(out, func(a, b Peer) int { return strings.Compare(a.Member.ID, b.Member.ID) })
	return out
}
