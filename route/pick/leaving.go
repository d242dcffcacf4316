package pick

// A target that is about to end says so in all its responses, possibly before the platform's list
// does, or while the list cannot be read. An instance that gets such a response sends it nothing
// more, and reports it to the owner of the target's group. Each request to a group owner also
// carries the leaving targets known to the sender.

// Leaving records that the target has said that it is leaving, and reports whether that was
// unknown. It holds until the target starts again.
func (c *Choice) Leaving() (changed bool) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	changed = !c.t.leaving
	c.t.leaving, c.t.Draining = true, true
	return changed
}

// KnownLeaving is a target that has said that it is leaving, as sent between instances.
type KnownLeaving struct {
	Target string `cbor:"1,keyasint"`
	// StartMillis is the target's start time in Unix milliseconds; 0 if unknown.
	StartMillis int64 `cbor:"2,keyasint,omitempty"`
}

// maxKnownLeaving bounds the leaving targets sent in one message between instances.
const maxKnownLeaving = 64

// KnownLeaving returns the targets of a service that have said that they are leaving, at most
// maxKnownLeaving.
func (p *Pool) KnownLeaving(service string) []KnownLeaving {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []KnownLeaving
	for _, t := range p.byService[service] {
		if t.leaving && len(out) < maxKnownLeaving {
			out = append(out, KnownLeaving{Target: t.ID, StartMillis: t.StartMillis})
		}
	}
	return out
}

// LearnLeaving records leaving targets known to another instance. Those that have started again
// since are ignored.
func (p *Pool) LearnLeaving(known []KnownLeaving) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range known {
		if t := p.targets[k.Target]; t != nil && t.StartMillis == k.StartMillis {
			t.leaving, t.Draining = true, true
		}
	}
}
