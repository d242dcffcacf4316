package feed

import (
	"slices"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// keptGone is how many entry instances that went a core instance remembers, to tell of
// them: an instance that reports a few times a second lacks a few at most.
const keptGone = 256

// EntryNews tell of the entry instances that are there: of all, or of what has changed
// since the asker heard last.
type EntriesUpdate struct {
	// Epoch names the numbering of changes, which each start of a core instance begins
	// anew. Base is the number up to which the asker knew, 0 if the news are whole, and
	// At the number up to which it knows now.
	Epoch uint64 `cbor:"1,keyasint"`
	Base  uint64 `cbor:"2,keyasint,omitempty"`
	At    uint64 `cbor:"3,keyasint"`
	// Entries are new or changed, without loads, Gone the ids of those that went.
	Entries []Entry  `cbor:"4,keyasint,omitempty"`
	Removed []string `cbor:"5,keyasint,omitempty"`

	// encode makes the encoded form, once for all that are told the same.
	encode func() ([]byte, error)
}

// MarshalCBOR implements cbor.Marshaler.
//
// What goes wrong where each answer is encoded by itself: after a start a core instance tells
// hundreds of entry instances of hundreds, some times a second.
func (n *EntriesUpdate) MarshalCBOR() ([]byte, error) {
	if n.encode == nil {
		return n.marshal()
	}
	return n.encode()
}

func (n *EntriesUpdate) marshal() ([]byte, error) {
	type plain EntriesUpdate
	return cbor.Marshal((*plain)(n))
}

// Known is what an instance knows of the entry instances, itself left out.
type Known struct {
	// Self is the id of the instance.
	Self string
	// Entries are in the order of ids.
	Entries []Entry
	// Epoch and At are those of the last news.
	Epoch, At uint64
}

// Apply adds news that have come; false if they are about what is not known here.
func (k *Known) Apply(n *EntriesUpdate) bool {
	if n.Base == 0 {
		k.Entries = nil
	} else if n.Epoch != k.Epoch || n.Base != k.At {
		return false
	}
	changed := map[string]bool{k.Self: true}
	for _, id := range n.Removed {
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
	for _, e := range n.Entries {
		if e.ID != k.Self {
			entries = append(entries, e)
		}
	}
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
	// told are the news up to the change toldAt, by the change that they begin with.
	told   map[uint64]*EntriesUpdate
	toldAt uint64
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
		e.Loads, e.PrefillSums, e.AgeMillis = nil, nil, 0
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
	return e.ID == o.ID && e.Region == o.Region && e.Zone == o.Zone && e.CallerAddress == o.CallerAddress && e.Ready == o.Ready && e.Leaving == o.Leaving
}

// news tell an instance what it lacks, and perhaps of itself; nil if that is nothing. They
// are the same for all that lack the same.
func (c *changes) news(epoch, at uint64) *EntriesUpdate {
	base := uint64(0)
	if epoch == c.epoch && at <= c.last && at >= c.forgotten {
		base = at
	}
	if c.last == 0 || base == c.last {
		return nil
	}
	if c.told == nil || c.toldAt != c.last {
		c.told, c.toldAt = map[uint64]*EntriesUpdate{}, c.last
	}
	if c.told[base] == nil {
		c.told[base] = c.newsSince(base)
	}
	return c.told[base]
}

func (c *changes) newsSince(base uint64) *EntriesUpdate {
	n := &EntriesUpdate{Epoch: c.epoch, Base: base, At: c.last}
	for _, s := range c.shown {
		if s.number > base {
			n.Entries = append(n.Entries, s.entry)
		}
	}
	for _, g := range c.gone {
		_, back := c.shown[g.id]
		if base > 0 && g.number > base && !back {
			n.Removed = append(n.Removed, g.id)
		}
	}
	sortEntries(n.Entries)
	n.encode = sync.OnceValues(n.marshal)
	return n
}
