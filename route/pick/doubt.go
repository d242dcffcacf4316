package pick

import "time"

// doubtTime is how old a loss of contact must be for the list to tell what runs at the target now: a restart of a
// second and a half and the lag of the list, 0.8 s on the platform.
const doubtTime = 2500 * time.Millisecond

// LostContact records that a connection to the target has ended or failed without the end of an answer. The target is
// in doubt then: it may have started again under its ID with another software version, well before the list
// says so.
func (c *Choice) LostContact(now time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.t.lostAt = now
	c.t.inDoubt.Store(true)
}

// reorderTime is by how much bytes of one connection to a target may arrive later than the end of another one that was
// sent after them. Both are in one region.
const reorderTime = 100 * time.Millisecond

// InDoubt reports whether the target is in doubt. Its cost is small.
func (c *Choice) InDoubt() bool { return c.t.inDoubt.Load() }

// Heard records that the target has gone on with its answer after nothing of it was left to be read at a time: what was
// on its way as contact was lost tells nothing.
func (c *Choice) Heard(quietAt time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.t.inDoubt.Load() && c.at.Before(c.t.lostAt) && quietAt.After(c.t.lostAt.Add(reorderTime)) {
		// It has not ended since.
		c.t.endDoubt()
	}
}

func (t *target) endDoubt() {
	t.lostAt = time.Time{}
	t.inDoubt.Store(false)
}

// Listed records when the list of the last Update was read last, and the software versions of each service that
// were listed recently in any region.
func (p *Pool) Listed(readAt time.Time, software map[string][]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.software = software
	for _, t := range p.targets {
		if t.inDoubt.Load() && readAt.After(t.lostAt.Add(doubtTime)) {
			t.endDoubt()
		}
	}
}

// hasSoftware reports whether a target surely has a software version; true if any will do. While targets of a
// service have had one version only of late, one that returns has it too.
func (p *Pool) hasSoftware(t *target, version string) bool {
	mixed := p.versions[t.Service] > 1 || len(p.software[t.Service]) > 1
	return version == "" || t.Software == version && !(mixed && t.inDoubt.Load())
}
