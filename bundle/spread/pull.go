package spread

import (
	"time"

	"github.com/gullhaven/gullhaven/bundle"
)

// pull is a newer version on its way here. One at a time: a second peer is
// asked only after the first has kept silent for pullTimeout.
type pull struct {
	head  bundle.Identity
	from  string
	since time.Time
	// manifest and sections collect a whole copy.
	manifest   *bundle.Manifest
	signatures []bundle.Signature
	sections   map[bundle.Digest][]byte
}

// onHave compares versions: it asks a peer that is ahead and tells one that is
// behind.
func (c *Core) onHave(now time.Time, from string, head bundle.Identity) []Out {
	if head.Version < c.head.Version {
		return []Out{c.to(from, Message{Kind: Have})}
	}
	if head.Version == c.head.Version {
		return nil
	}
	if c.pull != nil && now.Sub(c.pull.since) <= pullTimeout {
		return nil
	}
	c.pull = &pull{head: head, from: from, since: now}
	return []Out{c.to(from, Message{Kind: Ask})}
}

// onAsk answers with the steps that follow the asker's version, or else with
// the manifest.
func (c *Core) onAsk(now time.Time, from string, head bundle.Identity) []Out {
	if head.Version > c.head.Version {
		return c.onHave(now, from, head)
	}
	if c.current == nil || head.Version == c.head.Version {
		return nil
	}
	if steps := c.stepsAfter(head); len(steps) > 0 {
		return []Out{c.to(from, Message{Kind: Steps, Steps: steps})}
	}
	manifest, _, err := bundle.Split(&c.current.Bundle)
	if err != nil {
		return nil // The bundle in force was split before, when its digest was verified.
	}
	return []Out{c.to(from, Message{Kind: Whole, Manifest: &manifest, Signatures: c.current.Signatures})}
}

// stepsAfter returns the kept steps that follow a version, as many as fit one
// message; none if they don't reach back that far.
func (c *Core) stepsAfter(head bundle.Identity) []Step {
	size := 0
	var found []Step
	for _, s := range c.steps {
		if len(found) == 0 && s.ID.Parent != head.Digest {
			continue
		}
		size += len(s.Delta)
		if size > maxStepBytes {
			break
		}
		found = append(found, s)
	}
	return found
}

// onSteps applies what follows the version in force. A gap is closed by asking
// the sender.
func (c *Core) onSteps(now time.Time, from string, m Message) []Out {
	var out []Out
	for _, s := range m.Steps {
		if s.ID.Version <= c.head.Version {
			c.stats.Late++
			continue
		}
		if s.ID.Parent != c.head.Digest || c.current == nil {
			break
		}
		next, err := c.verified(s)
		if err != nil {
			c.stats.Refused++
			return out
		}
		out = append(out, c.install(now, s.ID, next, &s)...)
	}
	if m.Head.Version > c.head.Version {
		c.pull = &pull{head: m.Head, from: from, since: now}
		out = append(out, c.to(from, Message{Kind: Ask}))
	}
	return out
}

// verified applies a step to the bundle in force. The digest covers the
// content, and the sign-offs of the operators that the bundle in force trusts
// cover the digest: a peer can pass on a step but can't make one.
func (c *Core) verified(s Step) (*bundle.Signed, error) {
	if err := bundle.Verify(s.ID, s.Signatures, c.current.Bundle.Next()); err != nil {
		return nil, err
	}
	delta := new(bundle.Delta)
	if err := delta.UnmarshalBinary(s.Delta); err != nil {
		return nil, err
	}
	next, err := delta.Apply(&c.current.Bundle)
	if err != nil {
		return nil, err
	}
	id, err := next.Identity()
	if err != nil {
		return nil, err
	}
	if id != s.ID {
		return nil, bundle.ErrDamaged
	}
	return &bundle.Signed{Bundle: *next, Signatures: s.Signatures}, nil
}

// onWhole begins a whole copy; sections that the bundle in force has already
// are not asked for.
func (c *Core) onWhole(now time.Time, from string, m Message) []Out {
	if m.Head.Version <= c.head.Version || m.Manifest == nil {
		c.stats.Late++
		return nil
	}
	digest, err := m.Manifest.Digest()
	if err != nil || digest != m.Head.Digest {
		c.stats.Refused++
		return nil
	}
	c.pull = &pull{head: m.Head, from: from, since: now, manifest: m.Manifest, signatures: m.Signatures}
	c.pull.sections = c.ownSections()
	return c.continuePull(now)
}

// ownSections are the sections of the bundle in force.
func (c *Core) ownSections() map[bundle.Digest][]byte {
	if c.current == nil {
		return map[bundle.Digest][]byte{}
	}
	_, sections, err := bundle.Split(&c.current.Bundle)
	if err != nil {
		return map[bundle.Digest][]byte{}
	}
	return sections
}

// onWant answers with sections, as many as fit one message. The asker asks
// again for the rest. Nothing is said about a version that is gone: the asker
// times out and asks anew.
func (c *Core) onWant(from string, m Message) []Out {
	sections := c.ownSections()
	var found [][]byte
	size := 0
	for _, digest := range m.Digests {
		data, here := sections[digest]
		if !here {
			continue
		}
		size += len(data)
		if len(found) > 0 && size > maxPartBytes {
			break
		}
		found = append(found, data)
	}
	if len(found) == 0 {
		return []Out{c.to(from, Message{Kind: Have})}
	}
	return []Out{c.to(from, Message{Kind: Parts, Sections: found})}
}

// onParts takes in sections of the whole copy under way.
func (c *Core) onParts(now time.Time, from string, m Message) []Out {
	if c.pull == nil || c.pull.manifest == nil || c.pull.from != from {
		c.stats.Late++
		return nil
	}
	wanted := map[bundle.Digest]bool{}
	for _, ref := range c.pull.manifest.Sections {
		wanted[ref.Digest] = true
	}
	progress := false
	for _, data := range m.Sections {
		digest := bundle.SumOf(data)
		if !wanted[digest] {
			c.stats.Refused++
			continue
		}
		c.pull.sections[digest] = data
		progress = true
	}
	if !progress {
		return nil
	}
	return c.continuePull(now)
}

// continuePull asks for what is missing, or installs the bundle when nothing is.
func (c *Core) continuePull(now time.Time) []Out {
	p := c.pull
	p.since = now
	missing := bundle.Missing(*p.manifest, func(d bundle.Digest) bool { return p.sections[d] != nil })
	if len(missing) > 0 {
		return []Out{c.to(p.from, Message{Kind: Want, Digests: missing[:min(maxWant, len(missing))]})}
	}
	c.pull = nil
	b, err := bundle.Join(*p.manifest, p.sections)
	if err != nil {
		c.stats.Refused++
		return nil
	}
	id, err := b.Identity()
	if err != nil || id != p.head || id.Version <= c.head.Version {
		c.stats.Refused++
		return nil
	}
	c.stats.WholeCopies++
	return c.install(now, id, &bundle.Signed{Bundle: *b, Signatures: p.signatures}, nil)
}
