package replog

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/gullhaven/gullhaven/coord/fixedseed"
	"github.com/gullhaven/gullhaven/coord/replog/confchange"
	"github.com/gullhaven/gullhaven/coord/replog/quorum"
)

// injectFault injects one random fault or change, or none for "quiet".
func (s *sim) injectFault(t *rapid.T) {
	id := rapid.SampledFrom(s.ids).Draw(t, "host")
	h := s.hosts[id]
	switch rapid.SampledFrom([]string{
		"crash", "crash leader", "freeze", "freeze leader", "cut", "cut one way", "cut pair", "heal", "wipe", "wipe leader", "transfer", "change", "quiet",
	}).Draw(t, "fault") {
	case "crash leader":
		if l := s.currentLeader(); l != nil {
			s.crash(l.disk.self.ID)
		}
	case "crash":
		s.crash(id)
	case "freeze leader":
		if l := s.currentLeader(); l != nil {
			s.freeze(l)
		}
	case "freeze":
		s.freeze(h)
	case "cut":
		for _, o := range s.ids {
			s.cut[[2]string{id, o}], s.cut[[2]string{o, id}] = true, true
		}
	case "cut one way":
		for _, o := range s.ids {
			s.cut[[2]string{id, o}] = true
		}
	case "cut pair":
		o := rapid.SampledFrom(s.ids).Draw(t, "other")
		s.cut[[2]string{id, o}], s.cut[[2]string{o, id}] = true, true
	case "heal":
		clear(s.cut)
	case "wipe leader":
		if l := s.currentLeader(); l != nil {
			s.wipeAndRestart(l.disk.self.ID)
		}
	case "wipe":
		s.wipeAndRestart(id)
	case "transfer":
		if l := s.currentLeader(); l != nil {
			l.leaseEnd = 0
			_ = l.node.TransferLeader(s.local(l), id)
		}
	case "change":
		s.change(rapid.SampledFrom([]confchange.Kind{confchange.AddLearner, confchange.Promote, confchange.Remove}).Draw(t, "kind"), id)
	}
}

func (s *sim) freeze(h *host) {
	if h.node != nil && h.frozenUntil == 0 {
		h.frozenAt = s.local(h)
		h.frozenUntil = s.now + time.Duration(s.rng.Int64N(int64(4*simElection)))
	}
}

// toleratesLoss reports whether the configuration tolerates the loss of one more disk:
// a majority of its voters still has theirs after it.
func (s *sim) toleratesLoss(c Config) bool {
	lost := 1
	for _, v := range c.Voters {
		if s.hosts[v.ID].disk.self != v {
			lost++
		}
	}
	return len(c.Voters)-lost >= quorum.Size(len(c.Voters))
}

// wipeAndRestart wipes a disk if the group tolerates it, by the newest committed
// configuration and by those that nodes already count by.
func (s *sim) wipeAndRestart(id string) {
	if !s.toleratesLoss(s.config) {
		return
	}
	for _, h := range s.hosts {
		if h.node != nil && h.node.log.config().index >= s.configIndex && !s.toleratesLoss(h.node.log.config().config) {
			return
		}
	}
	s.crash(id)
	s.wipe(id)
	s.start(id)
	s.wipes++
}

func (s *sim) change(kind confchange.Kind, id string) {
	l := s.currentLeader()
	if l == nil || (kind == confchange.Remove && (len(s.config.Voters) < 4 || !s.toleratesLoss(s.config))) {
		return
	}
	_, _ = l.node.ProposeConfChange(s.local(l), ConfChange{Kind: kind, Member: s.hosts[id].disk.self})
}

// generateLoad proposes and reads at random nodes, and starts stopped hosts.
func (s *sim) generateLoad() {
	for _, id := range s.ids {
		h := s.hosts[id]
		switch {
		case h.node == nil:
			if s.rng.IntN(60) == 0 {
				s.start(id)
			}
		case s.now < h.frozenUntil:
		case s.rng.IntN(s.meanProposalSteps) == 0:
			s.proposed++
			_, _ = h.node.Propose(s.local(h), fmt.Appendf(nil, "%s-%d", id, s.proposed))
		case s.rng.IntN(6) == 0:
			read := s.rng.Uint64()
			h.reads[read] = uint64(len(s.committed))
			_ = h.node.ReadIndex(s.local(h), read)
		}
	}
}

// converge ends all faults and checks that the group serves again with all that was
// acknowledged.
func (s *sim) converge() {
	clear(s.cut)
	s.lossy, s.meanProposalSteps = false, 6
	for _, id := range s.ids {
		if s.hosts[id].node == nil {
			s.start(id)
		}
	}
	s.run(40*simElection, nil)
	before := len(s.committed)
	s.run(10*simElection, s.generateLoad)
	s.run(5*simElection, nil)
	if len(s.committed) <= before {
		s.fail("nothing is committed after all faults ended: config %v", s.config)
		return
	}
	for _, m := range s.config.Members() {
		if h := s.hosts[m.ID]; h.disk.self != m || h.applied != uint64(len(s.committed)) {
			s.fail("%v holds %d of %d entries as %v", m, h.applied, len(s.committed), h.disk.self)
		}
	}
}

// Guards against two leaders, differing logs, a lost acknowledged entry, overlapping
// leases, a stale read and an empty voter that counts, under any sequence of message
// loss, delay, repetition and reordering, crashes that lose what was not synced, lost
// disks, frozen processes, partitions, clocks that drift within the bound, leader
// transfers and configuration changes.
func TestGroupUnderFaults(t *testing.T) {
	var wiped, served, leases, changes, committed int
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{1, 3, 3, 5}).Draw(t, "voters")
		learners := rapid.IntRange(0, 1).Draw(t, "learners")
		s := newSim(rapid.Uint64().Draw(t, "seed"), voters, learners, t.Fatalf)
		s.meanProposalSteps = rapid.SampledFrom([]int{6, 40, 400}).Draw(t, "idle")
		s.run(5*simElection, s.generateLoad)
		for range rapid.IntRange(5, 40).Draw(t, "faults") {
			s.injectFault(t)
			s.run(simElection*time.Duration(rapid.IntRange(0, 6).Draw(t, "pause"))/2, s.generateLoad)
		}
		s.converge()
		wiped, served, leases = wiped+s.wipes, served+s.readsServed, leases+s.leaseChecks
		changes, committed = changes+s.configChanges, committed+len(s.committed)
	})
	t.Logf("%d entries, %d configurations, %d lost disks, %d reads, %d times a lease", committed, changes, wiped, served, leases)
	if wiped == 0 || served == 0 || leases == 0 || changes == 0 {
		t.Fatal("the runs did not reach what they are to check")
	}
}
