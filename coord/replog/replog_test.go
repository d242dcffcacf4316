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

// disturb does one random thing to the group.
func (s *sim) disturb(t *rapid.T) {
	id := rapid.SampledFrom(s.ids).Draw(t, "host")
	h := s.hosts[id]
	switch rapid.SampledFrom([]string{
		"crash", "crash leader", "freeze", "freeze leader", "cut", "cut one way", "cut pair", "heal", "wipe", "wipe leader", "transfer", "change", "quiet",
	}).Draw(t, "fault") {
	case "crash leader":
		if l := s.leading(); l != nil {
			s.crash(l.disk.self.ID)
		}
	case "crash":
		s.crash(id)
	case "freeze leader":
		if l := s.leading(); l != nil {
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
		if l := s.leading(); l != nil {
			s.lose(l.disk.self.ID)
		}
	case "wipe":
		s.lose(id)
	case "transfer":
		if l := s.leading(); l != nil {
			l.leaseEnd = 0
			_ = l.node.TransferLeader(s.local(l), id)
		}
	case "change":
		s.change(rapid.SampledFrom([]confchange.Kind{confchange.AddLearner, confchange.Promote, confchange.Remove}).Draw(t, "kind"), id)
	}
}

func (s *sim) freeze(h *host) {
	if h.node != nil && h.thaw == 0 {
		h.frozenAt = s.local(h)
		h.thaw = s.now + time.Duration(s.rng.Int64N(int64(4*simElection)))
	}
}

// bears reports whether the configuration can bear the loss of one more disk: a
// majority of its voters still has theirs after it.
func (s *sim) bears(c Config) bool {
	lost := 1
	for _, v := range c.Voters {
		if s.hosts[v.ID].disk.self != v {
			lost++
		}
	}
	return len(c.Voters)-lost >= quorum.Size(len(c.Voters))
}

// lose wipes a disk where the group can bear it, by the newest committed
// configuration and by those that nodes already count by.
func (s *sim) lose(id string) {
	if !s.bears(s.config) {
		return
	}
	for _, h := range s.hosts {
		if h.node != nil && h.node.log.config().index >= s.configIndex && !s.bears(h.node.log.config().config) {
			return
		}
	}
	s.crash(id)
	s.wipe(id)
	s.start(id)
	s.wiped++
}

func (s *sim) change(kind confchange.Kind, id string) {
	l := s.leading()
	if l == nil || (kind == confchange.Remove && (len(s.config.Voters) < 4 || !s.bears(s.config))) {
		return
	}
	_, _ = l.node.ProposeConfChange(s.local(l), ConfChange{Kind: kind, Member: s.hosts[id].disk.self})
}

// work proposes and reads at random nodes, and starts stopped hosts.
func (s *sim) work() {
	for _, id := range s.ids {
		h := s.hosts[id]
		switch {
		case h.node == nil:
			if s.rng.IntN(60) == 0 {
				s.start(id)
			}
		case s.now < h.thaw:
		case s.rng.IntN(s.idle) == 0:
			s.proposed++
			_, _ = h.node.Propose(s.local(h), fmt.Appendf(nil, "%s-%d", id, s.proposed))
		case s.rng.IntN(6) == 0:
			read := s.rng.Uint64()
			h.reads[read] = uint64(len(s.committed))
			_ = h.node.ReadIndex(s.local(h), read)
		}
	}
}

// converge ends all faults and expects the group to serve again with all that
// was acknowledged.
func (s *sim) converge() {
	clear(s.cut)
	s.lossy, s.idle = false, 6
	for _, id := range s.ids {
		if s.hosts[id].node == nil {
			s.start(id)
		}
	}
	s.run(40*simElection, nil)
	before := len(s.committed)
	s.run(10*simElection, s.work)
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

// Symptom: two leaders, differing logs, a lost acknowledged entry, overlapping
// leases, a stale read, an emptied voter that counts.
// Events: loss, delay, repetition and reordering of messages, stops that lose
// what was not synced, lost disks, frozen processes, cuts, clocks that drift
// within the bound, transfers and changes of the configuration, in any order.
// Cause: any rule of the log that is left out.
func TestGroupUnderFaults(t *testing.T) {
	var wiped, served, leases, changes, committed int
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{1, 3, 3, 5}).Draw(t, "voters")
		learners := rapid.IntRange(0, 1).Draw(t, "learners")
		s := newSim(rapid.Uint64().Draw(t, "seed"), voters, learners, t.Fatalf)
		s.idle = rapid.SampledFrom([]int{6, 40, 400}).Draw(t, "idle")
		s.run(5*simElection, s.work)
		for range rapid.IntRange(5, 40).Draw(t, "faults") {
			s.disturb(t)
			s.run(simElection*time.Duration(rapid.IntRange(0, 6).Draw(t, "pause"))/2, s.work)
		}
		s.converge()
		wiped, served, leases = wiped+s.wiped, served+s.served, leases+s.leases
		changes, committed = changes+s.changes, committed+len(s.committed)
	})
	t.Logf("%d entries, %d configurations, %d lost disks, %d reads, %d times a lease", committed, changes, wiped, served, leases)
	if wiped == 0 || served == 0 || leases == 0 || changes == 0 {
		t.Fatal("the runs did not reach what they are to check")
	}
}
