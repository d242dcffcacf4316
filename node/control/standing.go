package control

import (
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/coord/replhost"
)

// standingLife is how long an answer of the log is used again: a small part of a heartbeat.
const standingLife = 20 * time.Millisecond

// standing is the place of this instance in the group.
//
// What goes wrong without it: each report asks the log's goroutine a few times. With hundreds
// of entry instances thousands of questions a second wait before votes and heartbeats there,
// so that leaders are lost and no configuration is accepted.
type standing struct {
	mu sync.Mutex
	at time.Time
	placed
}

type placed struct {
	// leader is the id of the leader that is heard; empty if there is none.
	leader string
	// led says that there is one, which holds a lease if it is this instance.
	led bool
	// member says that the log names this instance.
	member bool
}

// stands tells the place of this instance, as of a moment ago.
func (i *Instance) stands() placed { return i.standing.of(time.Now(), i.askStanding) }

// of is the answer of standingLife ago at most, or a new one.
func (s *standing) of(now time.Time, ask func() placed) placed {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.at) >= standingLife {
		s.placed, s.at = ask(), now
	}
	return s.placed
}

func (i *Instance) askStanding() placed {
	s := i.node.Status()
	_, member := s.Core.Config.Lookup(i.o.Self.ID)
	p := placed{leader: s.Core.Leader.ID, member: member}
	if s.State == replhost.Running && p.leader != "" {
		p.led = p.leader != i.o.Self.ID || !i.node.LeaseUntil().IsZero()
	}
	return p
}

// led reports whether this instance hears from a leader.
func (i *Instance) led() bool { return i.stands().led }
