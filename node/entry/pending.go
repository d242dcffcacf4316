package entry

import (
	"cmp"
	"slices"

	"github.com/gullhaven/gullhaven/coord/suspect"
)

const (
	// maxReportedSuspects bounds the suspects in one message to a core instance: some 20 KB.
	maxReportedSuspects = 256
	// maxPending bounds the entries that wait for a report; evictedPending are dropped at once beyond it.
	maxPending, evictedPending = 8192, 512
	// sameExpiry is up to how much later an entry may expire than a known one and tell nothing new. Renewals
	// are later by more.
	sameExpiry = poisonTTL / 8
)

// pendingSuspects are the entries that were not reported yet, one for each digest and crash.
//
// When many targets end at once, an instance finds and clears thousands within seconds. If each report had all
// of them, and each one that failed were sent again with all that is new, the core instances would spend their
// processor on them, more reports would fail, and configurations would not take effect.
type pendingSuspects struct {
	entries map[suspectKey]pendingSuspect
	last    uint64
}

// suspectKey is what an entry is about.
type suspectKey struct {
	digest suspect.Digest
	crash  suspect.Crash
}

type pendingSuspect struct {
	suspect.Entry
	// number orders the entries by when they were added.
	number uint64
	// published says that it was sent ahead of its report.
	published bool
}

// add adds entries; of the same digest and crash only what they say together is kept.
func (p *pendingSuspects) add(entries []suspect.Entry) { p.addAs(entries, false) }

// restore adds entries whose report failed.
func (p *pendingSuspects) restore(entries []suspect.Entry) { p.addAs(entries, true) }

func (p *pendingSuspects) addAs(entries []suspect.Entry, published bool) {
	if p.entries == nil {
		p.entries = map[suspectKey]pendingSuspect{}
	}
	for _, e := range entries {
		key := suspectKey{e.Digest, e.Crash}
		if known, ok := p.entries[key]; ok {
			joined := joinEntries(known.Entry, e)
			if !published && (joined.Status != known.Status || joined.Round != known.Round) {
				known.published = false
			}
			known.Entry = joined
			p.entries[key] = known
			continue
		}
		p.last++
		p.entries[key] = pendingSuspect{Entry: e, number: p.last, published: published}
	}
	if len(p.entries) > maxPending {
		inOrder := p.inOrder()
		p.remove(inOrder[maxPending-evictedPending:])
	}
}

// joinEntries returns what two entries of the same digest and crash say together.
func joinEntries(a, b suspect.Entry) suspect.Entry {
	if b.Round > a.Round {
		a.Round, a.SentAt, a.CrashedAt = b.Round, b.SentAt, b.CrashedAt
	}
	if b.Until.After(a.Until) {
		a.Until = b.Until
	}
	a.Status, a.Trial = max(a.Status, b.Status), a.Trial || b.Trial
	return a
}

// inOrder returns all entries, suspects before those that are cleared, the oldest first: a suspect that is told
// late may crash another target.
func (p *pendingSuspects) inOrder() []suspect.Entry {
	all := make([]pendingSuspect, 0, len(p.entries))
	for _, e := range p.entries {
		all = append(all, e)
	}
	return sortedEntries(all)
}

func sortedEntries(all []pendingSuspect) []suspect.Entry {
	slices.SortFunc(all, func(a, b pendingSuspect) int {
		return cmp.Or(cmp.Compare(a.clearedRank(), b.clearedRank()), cmp.Compare(a.number, b.number))
	})
	var out []suspect.Entry
	for _, e := range all {
		out = append(out, e.Entry)
	}
	return out
}

func (e *pendingSuspect) clearedRank() int {
	if e.Status == suspect.Cleared {
		return 1
	}
	return 0
}

func (p *pendingSuspects) remove(entries []suspect.Entry) {
	for _, e := range entries {
		delete(p.entries, suspectKey{e.Digest, e.Crash})
	}
}

// take returns and removes the entries for the next report.
func (p *pendingSuspects) take() []suspect.Entry {
	out := p.inOrder()
	out = out[:min(len(out), maxReportedSuspects)]
	p.remove(out)
	return out
}

// takeUnpublished returns the newest suspects that were added since the last call, and keeps them for their
// report.
func (p *pendingSuspects) takeUnpublished() []suspect.Entry {
	var fresh []pendingSuspect
	for key, e := range p.entries {
		if e.published {
			continue
		}
		if e.Status != suspect.Cleared {
			fresh = append(fresh, e)
		}
		e.published = true
		p.entries[key] = e
	}
	out := sortedEntries(fresh)
	return out[max(0, len(out)-maxReportedSuspects):]
}

// removeTold removes entries that a core instance has told: it need not hear of them.
func (p *pendingSuspects) removeTold(entries []suspect.Entry) {
	for _, e := range entries {
		key := suspectKey{e.Digest, e.Crash}
		own, ok := p.entries[key]
		if ok && own.Status <= e.Status && own.Round <= e.Round && (e.Trial || !own.Trial) && own.Until.Sub(e.Until) < sameExpiry {
			delete(p.entries, key)
		}
	}
}
