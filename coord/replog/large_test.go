package replog

import (
	"testing"
	"time"
)

// largeBytes is the length of an entry that takes longer on its way than some heartbeats.
const largeBytes = 1 << 20

func isLarge(m Message) bool {
	for _, e := range m.Entries {
		if len(e.Data) == largeBytes {
			return true
		}
	}
	return false
}

// slowForLarge is a group with a leader whose links take three election timeouts for a large
// entry while short messages overtake it. sent counts how often each member was sent one.
func slowForLarge(t *testing.T) (s *sim, leader *host, sent map[Member]int) {
	o := Options{HeartbeatInterval: simElection / 10, ElectionTimeout: simElection, MaxDrift: simDrift}
	s = newSimOf(o, 1, 3, 0, t.Fatalf)
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
	if leader = s.leading(); leader == nil {
		t.Fatal("no leader")
	}
	return s, leader, sent
}

func propose(t *testing.T, s *sim, leader *host, bytes int) Position {
	t.Helper()
	place, err := leader.node.Propose(s.local(leader), make([]byte, bytes))
	if err != nil {
		t.Fatal(err)
	}
	return place
}

func mustHaveCommitted(t *testing.T, leader *host, place Position) {
	t.Helper()
	if got := leader.node.Status(); got.Role != Leader || got.Commit < place.Index {
		t.Fatalf("entry %d is not committed: %+v", place.Index, got)
	}
}

// The links between the members were full of copies of one entry for seconds, and what was
// proposed behind it was committed seconds later. The entry took longer on its way than a
// heartbeat; the answer to the heartbeat let a short append go out, which overtook it and was
// rejected for the lack of the entry, and so it was sent again: 31 times to each member in
// this test, though no message is lost.
func TestLargeEntryIsSentOnceToEachMember(t *testing.T) {
	s, leader, sent := slowForLarge(t)
	place := propose(t, s, leader, largeBytes)
	s.run(10*simElection, nil)
	mustHaveCommitted(t, leader, place)
	for m, n := range sent {
		if n != 1 {
			t.Errorf("the entry was sent to %v %d times", m, n)
		}
	}
	if len(sent) != 2 {
		t.Errorf("the entry was sent to %d members", len(sent))
	}
}

// A short entry that is proposed while a long one is on its way overtakes it and is rejected.
// It is sent again as soon as the long one has arrived, and the long one is not.
func TestEntryThatOvertakesALargeOneIsSentAgain(t *testing.T) {
	s, leader, sent := slowForLarge(t)
	propose(t, s, leader, largeBytes)
	s.run(simElection, nil)
	place := propose(t, s, leader, 1)
	s.run(3*simElection, nil)
	mustHaveCommitted(t, leader, place)
	for m, n := range sent {
		if n != 1 {
			t.Errorf("the long entry was sent to %v %d times", m, n)
		}
	}
}

// A long entry is lost on its way. It is sent again once a slow member would have answered,
// so the group goes on; not with each heartbeat, of which there are some hundred meanwhile.
func TestLargeEntryThatIsLostIsSentAgain(t *testing.T) {
	s, leader, sent := slowForLarge(t)
	lost := map[Member]bool{}
	s.drop = func(m Message) bool {
		first := isLarge(m) && !lost[m.To]
		if first {
			lost[m.To] = true
		}
		return first
	}
	place := propose(t, s, leader, largeBytes)
	s.run(60*simElection, nil)
	mustHaveCommitted(t, leader, place)
	for m, n := range sent {
		if n > 2 {
			t.Errorf("the entry was sent to %v %d times", m, n)
		}
	}
}
