package feed

import (
	"slices"
	"strings"
)

// keptGone is how many entry instances that went a core instance remembers, to tell of
// them: an instance that reports a few times a second lacks a few at most.
const keptGone = 256

// EntryNews tell of the entry instances that are there: of all, or of what has changed
// since the asker heard last.
type EntryNews struct {
	// Epoch names the numbering of changes, which each start of a core instance begins
	// anew. Base is the number up to which the asker knew, 0 if the news are whole, and
	// At the number up to which it knows now.
	Epoch uint64 `cbor:"1,keyasint"`
	Base  uint64 `cbor:"2,keyasint,omitempty"`
	At    uint64 `cbor:"3,keyasint"`
	// Entries are new or changed, without loads, Gone the ids of those that went.
	Entries []Entry  `cbor:"4,keyasint,omitempty"`
	Gone    []string `cbor:"5,keyasint,omitempty"`
}

// Known is what an instance knows of the entry instances, itself left out.
type Known struct {
	// Entries are in the order of ids.
	Entries []Entry
	// Epoch and At are those of the last news.
	Epoch, At uint64
}

// Apply adds news that have come; false if they are about what is not known here.
func (k *Known) Apply(n *EntryNews) bool {
	if n.Base == 0 {
		k.Entries = nil
	} else if n.Epoch != k.Epoch || n.Base != k.At {
		return false
	}
	changed := map[string]bool{}
	for _, id := range n.Gone {
		changed[id] = true
	}
	for _, e := range n.Entries {
		changed[e.ID] = true
	}
	// A new slice, as readers may hold the old one.
	entries := make([]Entry, 0, len(k.Entries)+len(n.Entries))
	for _, e := range k.Entries {
		if !changed[e.ID] {
			entries = append(entries, e)
		}
	}
	entries = append(entries, n.Entries...)
	sortEntries(entries)
	k.Entries, k.Epoch, k.At = entries, n.Epoch, n.At
	return true
}

func sortEntries(entries []Entry) {
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
}

// changes numbers what happens to the entry instances.
type changes struct {
	epoch uint64
	// last is the number of the newest change; the first has 1.
	last  uint64
	shown map[string]shownEntry
	// gone are the newest that went, oldest first; what went up to forgotten is not among
	// them any more.
	gone      []goneEntry
	forgotten uint64
}

type shownEntry struct {
	entry  Entry
	number uint64
}

type goneEntry struct {
	id     string
	number uint64
}

// take compares who is there now with who was.
func (c *changes) take(now []heardEntry) {
	here := make(map[string]bool, len(now))
	for _, h := range now {
		e := h.entry
		e.Loads, e.Read, e.AgeMillis = nil, nil, 0
		here[e.ID] = true
		if old, known := c.shown[e.ID]; known && old.entry.same(&e) {
			continue
		}
		c.last++
		c.shown[e.ID] = shownEntry{e, c.last}
	}
	for id := range c.shown {
		if here[id] {
			continue
		}
		c.last++
		delete(c.shown, id)
		c.gone = append(c.gone, goneEntry{id, c.last})
	}
	for len(c.gone) > keptGone {
		c.forgotten, c.gone = c.gone[0].number, c.gone[1:]
	}
}

// same compares what others are told.
func (e *Entry) same(o *Entry) bool {
	return e.ID == o.ID && e.Region == o.Region && e.Zone == o.Zone && e.Callers == o.Callers && e.Ready == o.Ready && e.Leaving == o.Leaving
}

// news tell an instance what it lacks; nil if that is nothing. It is not told of itself.
func (c *changes) news(epoch, at uint64, asker string) *EntryNews {
	n := &EntryNews{Epoch: c.epoch, At: c.last}
	if epoch == c.epoch && at <= c.last && at >= c.forgotten {
		n.Base = at
	}
	if c.last == 0 || n.Base == c.last {
		return nil
	}
	for id, s := range c.shown {
		if s.number > n.Base && id != asker {
			n.Entries = append(n.Entries, s.entry)
		}
	}
	for _, g := range c.gone {
		_, back := c.shown[g.id]
		if n.Base > 0 && g.number > n.Base && !back {
			n.Gone = append(n.Gone, g.id)
		}
	}
	sortEntries(n.Entries)
	return n
}
