package feed

import (
	"slices"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// maxRemoved is how many removed entry instances a core instance remembers for updates: an instance
// that reports a few times a second misses a few at most.
const maxRemoved = 256

// EntriesUpdate lists the entry instances: all of them, or what has changed since the receiver's
// last update.
type EntriesUpdate struct {
	// Epoch identifies the numbering of changes, which each start of a core instance restarts. Base
	// is the number of the last change that the receiver knew, 0 if the update is complete, and At
	// the number of the last one that it knows then.
	Epoch uint64 `cbor:"1,keyasint"`
	Base  uint64 `cbor:"2,keyasint,omitempty"`
	At    uint64 `cbor:"3,keyasint"`
	// Entries are new or changed, without loads. Removed are the IDs of removed ones.
	Entries []Entry  `cbor:"4,keyasint,omitempty"`
	Removed []string `cbor:"5,keyasint,omitempty"`

	// encode returns the encoded form, made once for all receivers of the update.
	encode func() ([]byte, error)
}

// MarshalCBOR implements cbor.Marshaler. The encoded form is shared by all receivers.
//
// If each answer were encoded by itself, after a start a core instance would encode hundreds of
// entry instances for hundreds of receivers, several times a second.
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

// Known is what an instance knows of the entry instances other than itself.
type Known struct {
	// Self is the ID of the instance.
	Self string
	// Entries are in the order of IDs.
	Entries []Entry
	// Epoch and At are those of the last update.
	Epoch, At uint64
}

// Apply applies a received update. It returns false if the update is based on a state other than
// the one known here.
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

// changeLog numbers the changes of the entry instances.
type changeLog struct {
	epoch uint64
	// last is the number of the newest change; the first one is 1.
	last      uint64
	published map[string]publishedEntry
	// removed are the newest removals, oldest first. Removals up to number droppedUpTo are no
	// longer in it.
	removed     []removedEntry
	droppedUpTo uint64
	// updates caches the updates to change updatesUpTo by their base.
	updates     map[uint64]*EntriesUpdate
	updatesUpTo uint64
}

type publishedEntry struct {
	entry  Entry
	number uint64
}

type removedEntry struct {
	id     string
	number uint64
}

// record compares the live entry instances with the published ones and numbers the changes.
func (c *changeLog) record(live []entryRecord) {
	alive := make(map[string]bool, len(live))
	for _, h := range live {
		e := h.entry
		e.Loads, e.PrefillSums, e.AgeMillis = nil, nil, 0
		alive[e.ID] = true
		if old, known := c.published[e.ID]; known && old.entry.samePublished(&e) {
			continue
		}
		c.last++
		c.published[e.ID] = publishedEntry{e, c.last}
	}
	for id := range c.published {
		if alive[id] {
			continue
		}
		c.last++
		delete(c.published, id)
		c.removed = append(c.removed, removedEntry{id, c.last})
	}
	for len(c.removed) > maxRemoved {
		c.droppedUpTo, c.removed = c.removed[0].number, c.removed[1:]
	}
}

// samePublished compares what is published of an entry: all but loads, prefill sums and age.
func (e *Entry) samePublished(o *Entry) bool {
	return e.ID == o.ID && e.Region == o.Region && e.Zone == o.Zone && e.CallerAddress == o.CallerAddress && e.Ready == o.Ready && e.Leaving == o.Leaving && e.Capacity == o.Capacity
}

// update returns what an instance at a given epoch and number misses, possibly with its own entry;
// nil if it misses nothing. All instances that miss the same get the same update.
func (c *changeLog) update(epoch, at uint64) *EntriesUpdate {
	base := uint64(0)
	if epoch == c.epoch && at <= c.last && at >= c.droppedUpTo {
		base = at
	}
	if c.last == 0 || base == c.last {
		return nil
	}
	if c.updates == nil || c.updatesUpTo != c.last {
		c.updates, c.updatesUpTo = map[uint64]*EntriesUpdate{}, c.last
	}
	if c.updates[base] == nil {
		c.updates[base] = c.buildUpdate(base)
	}
	return c.updates[base]
}

func (c *changeLog) buildUpdate(base uint64) *EntriesUpdate {
	n := &EntriesUpdate{Epoch: c.epoch, Base: base, At: c.last}
	for _, s := range c.published {
		if s.number > base {
			n.Entries = append(n.Entries, s.entry)
		}
	}
	for _, g := range c.removed {
		_, rejoined := c.published[g.id]
		if base > 0 && g.number > base && !rejoined {
			n.Removed = append(n.Removed, g.id)
		}
	}
	sortEntries(n.Entries)
	n.encode = sync.OnceValues(n.marshal)
	return n
}
