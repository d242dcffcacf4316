package suspect

import (
	"cmp"
	"slices"
)

// evictFraction is the fraction of MaxEntries that is evicted beyond the excess, so that a full table
// is not sorted for each entry.
const evictFraction = 16

// evictExcess evicts entries until MaxEntries are left, or a little fewer.
func (t *Table) evictExcess() {
	over := t.entryCount - t.cfg.MaxEntries
	if over <= 0 {
		return
	}
	type ranked struct {
		Entry
		rank int
	}
	var all []ranked
	for _, e := range t.Entries() {
		all = append(all, ranked{e, t.evictionRank(e)})
	}
	slices.SortStableFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.Until.Compare(b.Until))
	})
	for _, e := range all[:over+t.cfg.MaxEntries/evictFraction] {
		t.removeEntry(e.Digest, e.Crash)
		t.evicted++
	}
}

// evictionRank orders entries by how much they tell: a caller can have many digests with a single crash
// recorded, but each further one costs a target.
func (t *Table) evictionRank(e Entry) int {
	switch {
	case e.Status == Cleared:
		return 0
	case uncleared(t.digests[e.Digest]) < QuarantineAfter:
		return 1
	}
	return 2
}

func (t *Table) removeEntry(d Digest, c Crash) {
	entries := t.digests[d]
	e := entries[c]
	delete(entries, c)
	t.entryCount--
	t.countAlone(d, e.status, Cleared)
	t.markChanged(d)
	if len(entries) == 0 {
		delete(t.digests, d)
	}
	left := slices.DeleteFunc(t.crashes[c], func(o Digest) bool { return o == d })
	t.crashes[c] = left
	if len(left) == 0 {
		delete(t.crashes, c)
	}
	t.forgetFound(c, e.crashedAt)
}
