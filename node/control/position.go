package control

import (
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/coord/replhost"
)

// positionTTL is how long a position is reused: a small fraction of a heartbeat.
const positionTTL = 20 * time.Millisecond

// positionCache caches the place of this instance in the group.
//
// Without it, each report would query the log's goroutine several times. With hundreds of entry
// instances, thousands of queries per second would delay votes and heartbeats there, so that
// leaders are lost and no configuration is accepted.
type positionCache struct {
	mu     sync.Mutex
	readAt time.Time
	position
}

type position struct {
	// leader is the id of the leader that this instance hears from; empty if there is none.
	leader string
	// hasLeader says that there is a leader; if that is this instance, it holds a lease.
	hasLeader bool
	// member says that the log names this instance.
	member bool
	// behind says that entries are committed which this instance has not applied.
	behind bool
}

// position returns the place of this instance in the group, at most positionTTL old.
func (i *Instance) position() position { return i.positionCache.get(time.Now(), i.readPosition) }

// get returns the cached position, or a new one from read if that is older than positionTTL.
func (s *positionCache) get(now time.Time, read func() position) position {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.readAt) >= positionTTL {
		s.position, s.readAt = read(), now
	}
	return s.position
}

func (i *Instance) readPosition() position {
	s := i.node.Status()
	_, member := s.Core.Config.Lookup(i.o.Self.ID)
	p := position{leader: s.Core.Leader.ID, member: member, behind: s.Applied < s.Core.Commit}
	if s.State == replhost.Running && p.leader != "" {
		p.hasLeader = p.leader != i.o.Self.ID || !i.node.LeaseUntil().IsZero()
	}
	return p
}

// hasLeader reports whether this instance hears from a leader, or leads under a lease.
func (i *Instance) hasLeader() bool { return i.position().hasLeader }
