package spread

import (
	"time"

	"github.com/gullhaven/gullhaven/bundle"
)

// pull is a newer version on its way here. One at a time: a second peer is asked only after
// the first has kept silent for as long as the pace allows.
type pull struct {
	head  bundle.Identity
	from  string
	since time.Time
}

// wholeCopy collects the sections of a version. It outlives the pulls that fill it.
//
// What goes wrong without that: over a slow link a part takes longer than a pull may, the
// pull ends with all that has come, and the next one begins anew while parts of those before
// it fill the link. One would see an instance that never has a version in force and whose
// link is full.
type wholeCopy struct {
	head       bundle.Identity
	manifest   *bundle.Manifest
	signatures []bundle.Signature
	sections   map[bundle.Digest][]byte
}

// missing are the sections still to come.
func (w *wholeCopy) missing() []bundle.Digest {
	return bundle.Missing(*w.manifest, func(d bundle.Digest) bool { return w.sections[d] != nil })
}

// take keeps a section that the manifest names and reports whether it is new.
func (w *wholeCopy) take(digest bundle.Digest, data []byte) (named, isNew bool) {
	for _, ref := range w.manifest.Sections {
		if ref.Digest == digest {
			isNew = w.sections[digest] == nil
			w.sections[digest] = data
			return true, isNew
		}
	}
	return false, false
}

// pace is how much a pull asks for at once and how long it waits.
type pace struct {
	bytes, failures int
}

func newPace() pace { return pace{bytes: firstPartBytes} }

// patience is how long a pull may bring nothing.
func (p *pace) patience() time.Duration { return pullTimeout << min(p.failures, maxPatience) }

// failed asks for less next, and waits longer: any part passes any link in the end.
func (p *pace) failed() {
	p.failures++
	p.bytes = max(1, p.bytes/4)
}

// progressed takes in that something came after a time.
func (p *pace) progressed(after time.Duration) {
	p.failures = 0
	if after < quickAnswer {
		p.bytes = min(2*p.bytes, maxPartBytes)
	}
}

// onHave compares versions: it asks a peer that is ahead and tells one that is
// behind.
func (c *Core) onHave(now time.Time, from string, head bundle.Identity) []Out {
	if head.Version < c.head.Version {
		return []Out{c.to(from, Message{Kind: KindAnnounce})}
	}
	if head.Version == c.head.Version {
		return nil
	}
	if c.pull != nil && now.Sub(c.pull.since) <= c.pace.patience() {
		return nil
	}
	if c.pull != nil {
		c.pace.failed()
	}
	return c.pullFrom(now, from, head)
}

// pullFrom begins a pull: it goes on with a copy that the peer has as well, and else asks
// what follows.
func (c *Core) pullFrom(now time.Time, from string, head bundle.Identity) []Out {
	c.pull = &pull{head: head, from: from, since: now}
	if c.copy != nil && c.copy.head == head {
		return c.continuePull(now)
	}
	return []Out{c.to(from, Message{Kind: KindStepsRequest, MaxBytes: c.pace.bytes})}
}

// onAsk answers with the steps that follow the asker's version, or else with
// the manifest.
func (c *Core) onAsk(now time.Time, from string, m Message) []Out {
	head := m.Head
	if head.Version > c.head.Version {
		return c.onHave(now, from, head)
	}
	if c.current == nil || head.Version == c.head.Version {
		return nil
	}
	if steps := c.stepsAfter(head, within(m.MaxBytes, maxStepBytes)); len(steps) > 0 {
		return []Out{c.to(from, Message{Kind: KindSteps, Steps: steps})}
	}
	manifest, _, err := bundle.Split(&c.current.Bundle)
	if err != nil {
		return nil // The bundle in force was split before, when its digest was verified.
	}
	return []Out{c.to(from, Message{Kind: KindManifest, Manifest: &manifest, Signatures: c.current.Signatures})}
}

// within is what the asker wants at once, if it says so, and most otherwise.
func within(asked, most int) int {
	if asked <= 0 {
		return most
	}
	return min(asked, most)
}

// stepsAfter returns the kept steps that follow a version, as many as fit one
// message; none if they don't reach back that far.
func (c *Core) stepsAfter(head bundle.Identity, maxBytes int) []Step {
	size := 0
	var found []Step
	for _, s := range c.steps {
		if len(found) == 0 && s.ID.Parent != head.Digest {
			continue
		}
		size += len(s.Delta)
		if size > maxBytes && (len(found) > 0 || size > maxStepBytes) {
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
	if c.pull != nil && c.pull.from == from && len(out) > 0 {
		c.pace.progressed(now.Sub(c.pull.since))
	}
	if m.Head.Version > c.head.Version {
		out = append(out, c.pullFrom(now, from, m.Head)...)
	}
	return out
}

// verified applies a step to the bundle in force. The digest covers the
// content, and the sign-offs of the operators that the bundle in force trusts
// cover the digest: a peer can pass on a step but can't make one.
func (c *Core) verified(s Step) (*bundle.Signed, error) {
	if err := bundle.Verify(s.ID, s.Signatures, c.current.Bundle.NextTrust()); err != nil {
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

// onWhole begins a whole copy. Sections that the bundle in force has already, and those of
// a copy that was not finished, are not asked for.
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
	if c.copy == nil || c.copy.head.Version <= m.Head.Version {
		c.beginCopy(m)
	}
	c.pull = &pull{head: c.copy.head, from: from, since: now}
	return c.continuePull(now)
}

// beginCopy collects what a manifest names, with what is here of it.
func (c *Core) beginCopy(m Message) {
	before := c.copy
	c.copy = &wholeCopy{head: m.Head, manifest: m.Manifest, signatures: m.Signatures, sections: map[bundle.Digest][]byte{}}
	for digest, data := range c.ownSections() {
		c.copy.take(digest, data)
	}
	if before == nil {
		return
	}
	for digest, data := range before.sections {
		c.copy.take(digest, data)
	}
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
// hears of the newer one.
func (c *Core) onWant(from string, m Message) []Out {
	sections := c.ownSections()
	most := within(m.MaxBytes, maxPartBytes)
	var found [][]byte
	size := 0
	for _, digest := range m.Digests {
		data, here := sections[digest]
		if !here {
			continue
		}
		size += len(data)
		if len(found) > 0 && size > most {
			break
		}
		found = append(found, data)
	}
	if len(found) == 0 {
		return []Out{c.to(from, Message{Kind: KindAnnounce})}
	}
	return []Out{c.to(from, Message{Kind: KindSections, Sections: found})}
}

// onParts takes in sections of the whole copy under way, also late ones: they were asked
// for, and name themselves.
func (c *Core) onParts(now time.Time, from string, m Message) []Out {
	if c.copy == nil {
		c.stats.Late++
		return nil
	}
	progress := false
	for _, data := range m.Sections {
		named, isNew := c.copy.take(bundle.DigestOf(data), data)
		if !named {
			c.stats.Refused++
		}
		progress = progress || isNew
	}
	if !progress {
		return nil
	}
	if c.pull == nil {
		// The pull was given up a moment ago: the peer does answer.
		c.pull = &pull{head: c.copy.head, from: from, since: now}
	}
	c.pace.progressed(now.Sub(c.pull.since))
	if c.pull.from != from && len(c.copy.missing()) > 0 {
		// Another peer has been asked for the rest.
		return nil
	}
	return c.continuePull(now)
}

// continuePull asks for what is missing, or installs the bundle when nothing is.
func (c *Core) continuePull(now time.Time) []Out {
	c.pull.since = now
	w := c.copy
	if missing := w.missing(); len(missing) > 0 {
		return []Out{c.to(c.pull.from, Message{Kind: KindSectionsRequest, Digests: missing[:min(maxWant, len(missing))], MaxBytes: c.pace.bytes})}
	}
	c.pull, c.copy = nil, nil
	b, err := bundle.Join(*w.manifest, w.sections)
	if err != nil {
		c.stats.Refused++
		return nil
	}
	id, err := b.Identity()
	if err != nil || id != w.head || id.Version <= c.head.Version {
		c.stats.Refused++
		return nil
	}
	c.stats.WholeCopies++
	return c.install(now, id, &bundle.Signed{Bundle: *b, Signatures: w.signatures}, nil)
}
