package replog

import (
	"testing"
	"time"
)

// largeBytes is the length of an entry that is in transit for longer than some
// heartbeats.
const largeBytes = 1 << 20

func isLarge(m Message) bool {
	for _, e := range m.Entries {
		if len(e.Data) == largeBytes {
			return true
		}
	}
	return false
}

// newSlowLargeEntrySim returns a group with a leader whose links take three election
// timeouts for a large entry while short messages overtake it. sent counts how often a
// large entry was sent to each member.
func newSlowLargeEntrySim(t *testing.T) (s *sim, leader *host, sent map[Member]int) {
	o := Options{HeartbeatInterval: simElection / 10, ElectionTimeout: simElection, MaxDrift: simDrift}
	s = newSimWithOptions(o, 1, 3, 0, t.Fatalf)
	s.lossy = false
	s.delay = func(m Message) time.Duration {
		if isLarge(m) {
			return 3 * simElection
		}
		return 4 * time.Millisecond
	}
	sent = map[Member]int{}
	s.count = func(m Message) {
		if isLarge(m) {
			sent[m.To]++
		}
	}
	s.run(10*simElection, nil)
	if leader = s.currentLeader(); leader == nil {
		t.Fatal("no leader")
	}
	return s, leader, sent
}

func propose(t *testing.T, s *sim, leader *host, bytes int) Position {
	t.Helper()
	position, err := leader.node.Propose(s.local(leader), make([]byte, bytes))
	if err != nil {
		t.Fatal(err)
	}
	return position
}

func mustHaveCommitted(t *testing.T, leader *host, position Position) {
	t.Helper()
	if got := leader.node.Status(); got.Role != Leader || got.Commit < position.Index {
		t.Fatalf("entry %d is not committed: %+v", position.Index, got)
	}
}

// Guards against sending a large entry repeatedly though no message is lost. The entry
// takes longer than a heartbeat, whose answer lets a short append go out; that
// overtakes the entry and is rejected, and the entry is sent again, without the guard
// 31 times to each member in this test. The links are then full of copies, and later
// proposals are committed seconds late.
func TestLargeEntryIsSentOnceToEachMember(t *testing.T) {
	s, leader, sent := newSlowLargeEntrySim(t)
	position := propose(t, s, leader, largeBytes)
	s.run(10*simElection, nil)
	mustHaveCommitted(t, leader, position)
	for m, n := range sent {
		if n != 1 {
			t.Errorf("the entry was sent to %v %d times", m, n)
		}
	}
	if len(sent) != 2 {
		t.Errorf("the entry was sent to %d members", len(sent))
	}
}

// A short entry proposed while a large one is in transit overtakes it and is rejected.
// Only the short one is sent again, as soon as the large one has arrived.
func TestEntryThatOvertakesALargeOneIsSentAgain(t *testing.T) {
	s, leader, sent := newSlowLargeEntrySim(t)
	propose(t, s, leader, largeBytes)
	s.run(simElection, nil)
	position := propose(t, s, leader, 1)
	s.run(3*simElection, nil)
	mustHaveCommitted(t, leader, position)
	for m, n := range sent {
		if n != 1 {
			t.Errorf("the large entry was sent to %v %d times", m, n)
		}
	}
}

// A large entry that is lost is sent again once a slow member would have answered, so
// that the group makes progress; not with each of the hundred or so heartbeats
// meanwhile.
func TestLargeEntryThatIsLostIsSentAgain(t *testing.T) {
	s, leader, sent := newSlowLargeEntrySim(t)
	lost := map[Member]bool{}
	s.drop = func(m Message) bool {
		first := isLarge(m) && !lost[m.To]
		if first {
			lost[m.To] = true
		}
		return first
	}
	position := propose(t, s, leader, largeBytes)
	s.run(60*simElection, nil)
	mustHaveCommitted(t, leader, position)
	for m, n := range sent {
		if n > 2 {
			t.Errorf("the entry was sent to %v %d times", m, n)
		}
	}
}
