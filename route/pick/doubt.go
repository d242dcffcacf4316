package pick

import "time"

// listLag is how much later than the start of a target the list says so, with the time of reading it. The
// platform's lag is 0.8 s.
const listLag = 1200 * time.Millisecond

// doubt is whether a target may have started again under its ID since the list was last right about it. A target to
// which contact was lost may be back with another software version well before the list says so.
type doubt struct {
	// lostAt is when contact was lost; zero if there is no doubt.
	lostAt time.Time
	// backAt is when it first answered a request that was sent after that; zero before.
	backAt time.Time
	// ended counts the doubts that came to nothing: the target is the one that it was before.
	ended int
}

// LostContact records that a connection to the target has ended or failed without the end of an answer.
func (c *Choice) LostContact(now time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.t.doubt.lostAt, c.t.doubt.backAt = now, time.Time{}
	c.t.inDoubt.Store(true)
}

// Heard records that the target goes on with its answer. Its cost is small while there is no doubt.
func (c *Choice) Heard(now time.Time) {
	if !c.t.inDoubt.Load() {
		return
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.t.heard(now, c.at)
}

// heard records that the target answers a request that was sent at a time.
func (t *target) heard(now, sentAt time.Time) {
	switch {
	case t.doubt.lostAt.IsZero():
	case sentAt.Before(t.doubt.lostAt):
		// It has not ended.
		t.endDoubt()
	case t.doubt.backAt.IsZero():
		t.doubt.backAt = now
	}
}

func (t *target) endDoubt() {
	t.doubt = doubt{ended: t.doubt.ended + 1}
	t.inDoubt.Store(false)
}

// Listed records when the list of the last Update was read last, and the software versions of each service that
// were listed recently in any region. A target that was back before the list shows it as the same is the same.
func (p *Pool) Listed(readAt time.Time, software map[string][]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.software = software
	for _, t := range p.targets {
		if back := t.doubt.backAt; !back.IsZero() && readAt.After(back.Add(listLag)) {
			t.endDoubt()
		}
	}
}

// SoftwareKnown reports whether the software version of the target that runs the request is surely that of the
// choice. It may become known later.
func (c *Choice) SoftwareKnown() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.doubtsEnded < 0 || c.t.doubt.ended > c.doubtsEnded || !c.pool.mixed(c.t.Service)
}

// mixed reports whether targets of a service have had several software versions of late. While there is one
// only, a target that returns has it too.
func (p *Pool) mixed(service string) bool {
	return p.versions[service] > 1 || len(p.software[service]) > 1
}

// hasSoftware reports whether a target surely has a software version; true if any will do.
func (p *Pool) hasSoftware(t *target, version string) bool {
	return version == "" || t.Software == version && (t.doubt.lostAt.IsZero() || !p.mixed(t.Service))
}
