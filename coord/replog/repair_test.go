package replog

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/coord/replog/confchange"
	"github.com/gullhaven/gullhaven/coord/replog/quorum"
)

// newServingSim returns a group of voters that serves, on a network without message
// loss.
func newServingSim(t *testing.T, seed uint64, voters int) *sim {
	s := newSim(seed, voters, 0, t.Fatalf)
	s.lossy = false
	s.run(10*simElection, s.generateLoad)
	if s.currentLeader() == nil || len(s.committed) < 3 {
		t.Fatalf("seed %d: no leader, or %d entries only", seed, len(s.committed))
	}
	return s
}

func (s *sim) follower() string {
	l := s.currentLeader()
	i := slices.IndexFunc(s.ids, func(id string) bool { return s.hosts[id] != l })
	return s.ids[i]
}

// Guards against losing an acknowledged entry after two repairs in a row: a voter loses
// its disk and is readmitted; as soon as its promotion is in force, another voter
// (possibly the leader) loses its disk. The first one must not count before it holds
// the log.
func TestSecondLossRightAfterRepair(t *testing.T) {
	for seed := range uint64(40) {
		s := newServingSim(t, seed, 3)
		for range 3 {
			id := s.follower()
			if s.rng.IntN(2) == 0 {
				id = s.currentLeader().disk.self.ID
			}
			before := s.wipes
			s.wipeAndRestart(id)
			if s.wipes == before {
				t.Fatalf("seed %d: the group is not whole: %v", seed, s.config)
			}
			repaired := func() bool { return s.config.IsVoter(s.hosts[id].disk.self) }
			for i := 0; !repaired() && i < 1000; i++ {
				s.run(simStep, s.generateLoad)
			}
			if !repaired() {
				t.Fatalf("seed %d: %v is not readmitted: %v", seed, s.hosts[id].disk.self, s.config)
			}
		}
		s.converge()
	}
}

// Guards against replacing entries that two of three voters acknowledged. The third
// voter was partitioned off while they were written; one of the two loses its disk, the
// other one is stopped. The empty voter, which can reach the third one, must not vote
// or acknowledge in place of its old incarnation.
func TestEmptyVoterDoesNotCount(t *testing.T) {
	for seed := range uint64(20) {
		s := newServingSim(t, seed, 3)
		leader, behind := s.currentLeader().disk.self.ID, s.follower()
		for _, id := range s.ids {
			s.cut[[2]string{id, behind}], s.cut[[2]string{behind, id}] = true, true
		}
		s.run(5*simElection, s.generateLoad)
		other := s.ids[slices.IndexFunc(s.ids, func(id string) bool { return id != leader && id != behind })]
		s.wipeAndRestart(other)
		s.crash(leader)
		clear(s.cut)
		commit, terms := s.commit, len(s.leaders)
		s.run(20*simElection, nil)
		if s.commit != commit || len(s.leaders) != terms {
			t.Fatalf("seed %d: commit %d to %d, %d to %d leaders without a majority", seed, commit, s.commit, terms, len(s.leaders))
		}
		s.converge()
	}
}

// Guards against two groups under one name, of which one loses what it committed. Disks
// are lost while the group forms, and then the founder's; the empty founder must not
// act as at a first start.
func TestFormingWithLostDisks(t *testing.T) {
	formed := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{2, 3, 5}).Draw(t, "voters"), 0, t.Fatalf)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			s.run(simStep*rapid.SampledFrom([]time.Duration{1, 2, 5, 20, 80}).Draw(t, "pause"), s.generateLoad)
			id := rapid.SampledFrom(s.ids).Draw(t, "host")
			if rapid.Bool().Draw(t, "founder") {
				id = s.ids[0]
			}
			switch {
			case rapid.Bool().Draw(t, "stop"):
				s.crash(id)
			case s.commit == 0:
				s.crash(id)
				s.wipe(id)
			default:
				s.wipeAndRestart(id)
			}
		}
		s.run(20*simElection, s.generateLoad)
		if s.commit > 0 {
			formed++
		}
	})
	if formed == 0 {
		t.Fatal("no group was ever formed")
	}
}

// Guards against a leader that serves reads or holds a lease after a long stop. It is
// frozen for three election timeouts while the others elect a successor, and resumes
// with its old state and messages. Its lease must end by its own clock.
func TestFrozenLeaderResumesWithoutLease(t *testing.T) {
	for seed := range uint64(20) {
		s := newServingSim(t, seed, 3)
		h := s.currentLeader()
		s.freeze(h)
		h.frozenUntil = s.now + 3*simElection
		s.run(3*simElection-simStep, nil)
		if s.currentLeader() == nil || s.currentLeader() == h {
			t.Fatalf("seed %d: no successor", seed)
		}
		now := s.local(h)
		if until := h.node.LeaseUntil(now); !until.IsZero() {
			t.Fatalf("seed %d: a lease until %v at %v after a long stop", seed, until, now)
		}
		const id = 1
		err := h.node.ReadIndex(now, id)
		h.ready = nil
		h.node.Advance()
		if reads := h.node.Ready().ReadStates; slices.ContainsFunc(reads, func(r ReadState) bool { return r.ID == id }) {
			t.Fatalf("seed %d: a read is served after a long stop (%v)", seed, err)
		}
	}
}

// Guards against two configurations that decide independently: after any change of any
// configuration, each new majority must share a voter with each old one.
func TestNeighbouringMajoritiesOverlap(t *testing.T) {
	member := rapid.Custom(func(t *rapid.T) Member {
		return Member{ID: rapid.StringMatching("[a-f]").Draw(t, "id"), Incarnation: rapid.Uint64Range(1, 2).Draw(t, "inc")}
	})
	rapid.Check(t, func(t *rapid.T) {
		id := func(m Member) string { return m.ID }
		all := rapid.SliceOfNDistinct(member, 1, 6, id).Draw(t, "members")
		cut := rapid.IntRange(1, len(all)).Draw(t, "voters")
		c, err := confchange.New(all[:cut], all[cut:])
		if err != nil {
			t.Fatal(err)
		}
		ch := ConfChange{Kind: confchange.Kind(rapid.IntRange(1, 4).Draw(t, "kind")), Member: member.Draw(t, "member")}
		next, err := c.Apply(ch)
		if err != nil {
			return
		}
		shared := 0
		for _, v := range c.Voters {
			if next.IsVoter(v) {
				shared++
			}
		}
		union := len(c.Voters) + len(next.Voters) - shared
		if quorum.Size(len(c.Voters))+quorum.Size(len(next.Voters)) <= union {
			t.Fatalf("%v of %v gives %v", ch, c, next)
		}
		if next.Check() != nil || next.Equal(c) {
			t.Fatalf("%v of %v gives %v", ch, c, next)
		}
	})
}
