package spread

import (
	"time"

	"github.com/gullhaven/gullhaven/bundle"
)

// pull is the transfer of a newer version from a peer. There is one at a time: another peer is
// asked only after the pacer's timeout without progress.
type pull struct {
	head  bundle.Identity
	from  string
	since time.Time
}

// wholeCopy collects the sections of a version. It outlives the pulls that fill it.
//
// Otherwise, over a slow link, where an answer takes longer than a pull's timeout, each pull
// would drop the sections received so far and the next one would start from the beginning
// while answers to earlier pulls fill the link. The instance would never get a version in
// force, and its link would stay saturated.
type wholeCopy struct {
	head       bundle.Identity
	manifest   *bundle.Manifest
	signatures []bundle.Signature
	sections   map[bundle.Digest][]byte
}

// missing lists the sections that haven't been received.
func (w *wholeCopy) missing() []bundle.Digest {
	return bundle.Missing(*w.manifest, func(d bundle.Digest) bool { return w.sections[d] != nil })
}

// add stores a section if the manifest names it. It reports whether the manifest does and
// whether the section is new.
func (w *wholeCopy) add(digest bundle.Digest, data []byte) (named, isNew bool) {
	for _, ref := range w.manifest.Sections {
		if ref.Digest == digest {
			isNew = w.sections[digest] == nil
			w.sections[digest] = data
			return true, isNew
		}
	}
	return false, false
}

// pacer decides how many bytes a pull requests at once and how long it waits for them.
type pacer struct {
	bytes, failures int
}

func newPacer() pacer { return pacer{bytes: firstSectionBytes} }

// timeout returns how long a pull may go without progress.
func (p *pacer) timeout() time.Duration { return pullTimeout << min(p.failures, maxTimeoutDoublings) }

// recordFailure makes the next request smaller and its timeout longer, so that in the end a
// section passes any link.
func (p *pacer) recordFailure() {
	p.failures++
	p.bytes = max(1, p.bytes/4)
}

// recordProgress records that a request brought content after a time.
func (p *pacer) recordProgress(after time.Duration) {
	p.failures = 0
	if after < fastResponse {
		p.bytes = min(2*p.bytes, maxSectionBytes)
	}
}

// onAnnounce compares versions: it pulls from a peer that is ahead, unless a pull is
// in progress, and announces its own version to one that is behind.
func (c *Core) onAnnounce(now time.Time, from string, head bundle.Identity) []Out {
	if head.Version < c.head.Version {
		return []Out{c.message(from, Message{Kind: KindAnnounce})}
	}
	if head.Version == c.head.Version {
		return nil
	}
	if c.pull != nil && now.Sub(c.pull.since) <= c.pacer.timeout() {
		return nil
	}
	if c.pull != nil {
		c.pacer.recordFailure()
	}
	return c.pullFrom(now, from, head)
}

// pullFrom starts a pull. It continues a whole copy of the version that the peer has, and
// otherwise requests the steps that follow.
func (c *Core) pullFrom(now time.Time, from string, head bundle.Identity) []Out {
	c.pull = &pull{head: head, from: from, since: now}
	if c.copy != nil && c.copy.head == head {
		return c.continuePull(now)
	}
	return []Out{c.message(from, Message{Kind: KindStepsRequest, MaxBytes: c.pacer.bytes})}
}

// onStepsRequest answers with the steps that follow the sender's version, or
// with the manifest if these steps aren't kept.
func (c *Core) onStepsRequest(now time.Time, from string, m Message) []Out {
	head := m.Head
	if head.Version > c.head.Version {
		return c.onAnnounce(now, from, head)
	}
	if c.current == nil || head.Version == c.head.Version {
		return nil
	}
	if steps := c.stepsAfter(head, limitTo(m.MaxBytes, maxStepBytes)); len(steps) > 0 {
		return []Out{c.message(from, Message{Kind: KindSteps, Steps: steps})}
	}
	manifest, _, err := bundle.Split(&c.current.Bundle)
	if err != nil {
		return nil // Can't happen: the bundle in force was split when its digest was verified.
	}
	return []Out{c.message(from, Message{Kind: KindManifest, Manifest: &manifest, Signatures: c.current.Signatures})}
}

// limitTo returns the bound that a request gives, but at most limit. A bound of 0 means limit.
func limitTo(requested, limit int) int {
	if requested <= 0 {
		return limit
	}
	return min(requested, limit)
}

// stepsAfter returns the kept steps that follow a version, as many as fit into
// maxBytes of deltas but at least one of up to maxStepBytes. It returns none if the
// kept steps don't reach back to that version.
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

// onSteps applies the steps that follow the version in force. If it stays behind
// the sender, it pulls the rest from there.
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
		next, err := c.applyStep(s)
		if err != nil {
			c.stats.Refused++
			return out
		}
		out = append(out, c.install(now, s.ID, next, &s)...)
	}
	if c.pull != nil && c.pull.from == from && len(out) > 0 {
		c.pacer.recordProgress(now.Sub(c.pull.since))
	}
	if m.Head.Version > c.head.Version {
		out = append(out, c.pullFrom(now, from, m.Head)...)
	}
	return out
}

// applyStep verifies a step and applies it to the bundle in force. The digest
// covers the content, and the sign-offs of the operators that the bundle in force
// trusts cover the digest: a peer can forward a step but can't forge one.
func (c *Core) applyStep(s Step) (*bundle.Signed, error) {
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

// onManifest starts a whole copy. It doesn't request sections that the bundle in force or an
// unfinished copy already has.
func (c *Core) onManifest(now time.Time, from string, m Message) []Out {
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
		c.startCopy(m)
	}
	c.pull = &pull{head: c.copy.head, from: from, since: now}
	return c.continuePull(now)
}

// startCopy starts the whole copy of a manifest with the sections that are here already.
func (c *Core) startCopy(m Message) {
	previous := c.copy
	c.copy = &wholeCopy{head: m.Head, manifest: m.Manifest, signatures: m.Signatures, sections: map[bundle.Digest][]byte{}}
	for digest, data := range c.ownSections() {
		c.copy.add(digest, data)
	}
	if previous == nil {
		return
	}
	for digest, data := range previous.sections {
		c.copy.add(digest, data)
	}
}

// ownSections returns the sections of the bundle in force by digest.
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

// onSectionsRequest answers with sections, as many as fit one message but at least
// one. The sender requests the rest again. If none is here, as the version was
// replaced, it announces the version in force instead.
func (c *Core) onSectionsRequest(from string, m Message) []Out {
	sections := c.ownSections()
	limit := limitTo(m.MaxBytes, maxSectionBytes)
	var found [][]byte
	size := 0
	for _, digest := range m.Digests {
		data, here := sections[digest]
		if !here {
			continue
		}
		size += len(data)
		if len(found) > 0 && size > limit {
			break
		}
		found = append(found, data)
	}
	if len(found) == 0 {
		return []Out{c.message(from, Message{Kind: KindAnnounce})}
	}
	return []Out{c.message(from, Message{Kind: KindSections, Sections: found})}
}

// onSections adds sections to the whole copy in progress. Late ones count too: they were
// requested, and their digest identifies them.
func (c *Core) onSections(now time.Time, from string, m Message) []Out {
	if c.copy == nil {
		c.stats.Late++
		return nil
	}
	progress := false
	for _, data := range m.Sections {
		named, isNew := c.copy.add(bundle.DigestOf(data), data)
		if !named {
			c.stats.Refused++
		}
		progress = progress || isNew
	}
	if !progress {
		return nil
	}
	if c.pull == nil {
		// The pull has just timed out, but the peer does answer.
		c.pull = &pull{head: c.copy.head, from: from, since: now}
	}
	c.pacer.recordProgress(now.Sub(c.pull.since))
	if c.pull.from != from && len(c.copy.missing()) > 0 {
		// The rest was requested from another peer.
		return nil
	}
	return c.continuePull(now)
}

// continuePull requests missing sections, or installs the bundle if none is missing.
func (c *Core) continuePull(now time.Time) []Out {
	c.pull.since = now
	w := c.copy
	if missing := w.missing(); len(missing) > 0 {
		return []Out{c.message(c.pull.from, Message{Kind: KindSectionsRequest, Digests: missing[:min(maxSectionsRequested, len(missing))], MaxBytes: c.pacer.bytes})}
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
