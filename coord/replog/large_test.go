package replog

import (
	"testing"
	"time"
)

// Symptom: the links between the members are full of copies of one entry for seconds, and
// what is proposed behind it is committed seconds later.
// Events: an entry takes longer on its way than some heartbeats; short messages overtake it.
// No message is lost.
func TestLargeEntryIsSentOnceToEachMember(t *testing.T) {
	const large = 1 << 20
	o := Options{HeartbeatInterval: simElection / 10, ElectionTimeout: simElection, MaxDrift: simDrift}
	s := newSimOf(o, 1, 3, 0, t.Fatalf)
	s.lossy, s.idle = false, 0
	s.delay = func(m Message) time.Duration {
		if len(m.Entries) > 0 && len(m.Entries[0].Data) == large {
			return 3 * simElection
		}
		return 4 * time.Millisecond
	}
	sent := map[Member]int{}
	s.count = func(m Message) {
		for _, e := range m.Entries {
			if len(e.Data) == large {
				sent[m.To]++
			}
		}
	}
	s.run(10*simElection, nil)
	leader := s.leading()
	if leader == nil {
		t.Fatal("no leader")
	}
	place, err := leader.node.Propose(s.local(leader), make([]byte, large))
	if err != nil {
		t.Fatal(err)
	}
	s.run(10*simElection, nil)
	if got := leader.node.Status(); got.Role != Leader || got.Commit < place.Index {
		t.Fatalf("entry %d is not committed: %+v", place.Index, got)
	}
	for m, n := range sent {
		if n != 1 {
			t.Errorf("the entry was sent to %v %d times", m, n)
		}
	}
	if len(sent) != 2 {
		t.Errorf("the entry was sent to %d members", len(sent))
	}
}
