package replog

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gullhaven/gullhaven/coord/replog/quorum"
)

// apply checks that all state machines go through the same states.
func (s *sim) apply(h *host, e Entry) {
	if e.Index != h.applied+1 {
		s.fail("%v applies %d after %d", h.disk.self, e.Index, h.applied)
		return
	}
	h.applied = e.Index
	h.chain = xxhash.Sum64(fmt.Appendf(nil, "%d %d %s %v", h.chain, e.Term, e.Data, e.Config))
	if int(e.Index) < len(s.chains) {
		if s.chains[e.Index] != h.chain {
			s.fail("%v applied %q of term %d at %d, another node %q of term %d: an acknowledged entry is lost", h.disk.self,
				e.Data, e.Term, e.Index, s.committed[e.Index-1].Data, s.committed[e.Index-1].Term)
		}
		return
	}
	s.chains = append(s.chains, h.chain)
	s.committed = append(s.committed, e)
	if e.Kind == EntryConfig {
		s.config, s.configIndex = *e.Config, e.Index
		s.configChanges++
	}
}

// checkCommit checks, after each event, that a majority of members has synced what a
// leader has newly committed.
func (s *sim) checkCommit(h *host) {
	l := h.node.log
	if h.node.role != Leader || l.commit <= s.commit {
		return
	}
	s.commit = l.commit
	term, _ := l.term(l.commit)
	p := Position{term, l.commit}
	s.checkMajority(l.config().config, h, fmt.Sprintf("commit of %+v", p), func(m Member) bool { return s.disks[m].holds(p) })
}

// checkMajority checks the disks, not the nodes: a member counts only by what this very
// incarnation has synced.
func (s *sim) checkMajority(conf Config, h *host, what string, has func(Member) bool) {
	n := 0
	for _, m := range conf.Voters {
		if has(m) {
			n++
		}
	}
	if n < quorum.Size(len(conf.Voters)) {
		s.fail("%s at %v without a majority of members of %v", what, h.disk.self, conf)
	}
}

// checkVote checks, after each write, that no vote is ever changed.
func (s *sim) checkVote(h *host) {
	if hs := h.disk.hs; hs.Vote != (Member{}) {
		votes := s.votes[h.disk.self]
		if votes == nil {
			votes = map[uint64]Member{}
			s.votes[h.disk.self] = votes
		}
		if old, ok := votes[hs.Term]; ok && old != hs.Vote {
			s.fail("%v voted for %v and %v in term %d", h.disk.self, old, hs.Vote, hs.Term)
		}
		votes[hs.Term] = hs.Vote
	}
}

// checkEntries checks, after each write, that all logs hold the same entry, after the
// same entry, at one position.
func (s *sim) checkEntries(h *host, entries []Entry) {
	for _, e := range entries {
		var prev Entry
		if i, ok := slices.BinarySearchFunc(h.disk.entries, e.Index-1, func(e Entry, x uint64) int { return int(e.Index) - int(x) }); ok {
			prev = h.disk.entries[i]
		} else if e.Index > 1 {
			continue
		}
		sum := xxhash.Sum64(fmt.Appendf(nil, "%d %d %s %v", prev.Term, e.Kind, e.Data, e.Config))
		p := groupPosition{h.disk.hs.Group, Position{e.Term, e.Index}}
		if old, ok := s.entries[p]; ok && old != sum {
			s.fail("logs differ at or before %+v, seen at %v", p, h.disk.self)
		}
		s.entries[p] = sum
	}
}

// checkLeader checks that a term has one leader, elected by a majority, and that no two
// leases overlap.
func (s *sim) checkLeader(h *host) {
	st := h.node.Status()
	if st.Role != Leader {
		return
	}
	term := groupTerm{st.Group, st.Term}
	if old, ok := s.leaders[term]; ok && old != st.Self {
		s.fail("%v and %v lead in term %d", old, st.Self, st.Term)
	}
	s.leaders[term] = st.Self
	if h.lastTerm != st.Term {
		h.lastTerm = st.Term
		s.checkMajority(st.Config, h, "election", func(m Member) bool { return m == st.Self || s.votes[m][st.Term] == st.Self })
	}
	until := h.node.LeaseUntil(s.local(h))
	if until.IsZero() {
		return
	}
	s.leaseChecks++
	h.leaseEnd = time.Duration(float64(until.Sub(time.Unix(1000, 0))) / h.rate)
	for id, o := range s.hosts {
		if o != h && o.leaseEnd > s.now {
			s.fail("%v has a lease of term %d at %v while %s holds one until %v", st.Self, st.Term, s.now, id, o.leaseEnd)
		}
	}
}
