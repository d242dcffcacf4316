package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// Entry is the table's record of a name.
type Entry struct {
	Name string `cbor:"1,keyasint"`
	// Result is the result for the group that holds the name.
	Result Result `cbor:"2,keyasint"`
	// Replaced are the numbers that held the name before, oldest first.
	Replaced []uint64 `cbor:"3,keyasint,omitempty"`
}

// Table is the state machine. It is not safe for concurrent use.
type Table struct {
	// clock is in Unix milliseconds.
	clock int64
	// applied is the index of the last entry applied.
	applied uint64
	// maxLifetimeSeconds is the longest lifetime ever in force.
	maxLifetimeSeconds uint32
	groups             map[string]Entry
}

// New returns an empty table.
func New() *Table { return &Table{groups: make(map[string]Entry)} }

// Entries returns a copy of all entries, sorted by name.
func (t *Table) Entries() []Entry {
	out := make([]Entry, 0, len(t.groups))
	for _, name := range slices.Sorted(maps.Keys(t.groups)) {
		e := t.groups[name]
		e.Replaced = slices.Clone(e.Replaced)
		out = append(out, e)
	}
	return out
}

// ObserveLifetime records a lifetime that takes effect, at most MaxLifetime. All
// replicas must call it at the same position of the log.
func (t *Table) ObserveLifetime(lifetime time.Duration) {
	lifetime = min(max(lifetime, 0), MaxLifetime)
	t.maxLifetimeSeconds = max(t.maxLifetimeSeconds, uint32((lifetime+time.Second-1)/time.Second))
}

// Apply applies the committed entry at index and returns its Result in CBOR. An index
// at or below the last one is not applied again: if it were, with another registration
// in between, a group would seem to have been lost.
func (t *Table) Apply(index uint64, entry []byte) []byte {
	res := t.apply(index, entry)
	b, err := cbor.Marshal(res)
	if err != nil {
		panic(err) // A Result holds only plain values.
	}
	return b
}

func (t *Table) apply(index uint64, entry []byte) Result {
	if index <= t.applied {
		return Result{Reply: Invalid, Message: "the entry was applied before"}
	}
	t.applied = index
	r, err := Decode(entry)
	if err != nil {
		return Result{Reply: Invalid, Message: err.Error()}
	}
	t.clock = max(t.clock, r.Now)
	t.maxLifetimeSeconds = max(t.maxLifetimeSeconds, r.LifetimeSeconds)
	return t.register(r)
}

func (t *Table) register(r Register) Result {
	e, known := t.groups[r.Name]
	switch {
	case known && e.Result.Group == r.Group:
		return e.Result
	case known && slices.Contains(e.Replaced, r.Group):
		// A late request of the lost group. If it were granted, its successor, which
		// may serve, would count as lost.
		return Result{Reply: Replaced, Group: e.Result.Group, Losses: e.Result.Losses}
	case known:
		e = t.replace(e, r.Group)
	case len(t.groups) >= MaxGroups:
		return Result{Reply: Full}
	default:
		e = Entry{Name: r.Name, Result: Result{Reply: Granted, Group: r.Group}}
	}
	t.groups[r.Name] = e
	return e.Result
}

// replace gives a name to a new group, which has to wait for the longest lifetime.
func (t *Table) replace(e Entry, group uint64) Entry {
	lost := e.Result.Group
	replaced := append(slices.Clone(e.Replaced), lost)
	e.Replaced = replaced[max(0, len(replaced)-MaxReplaced):]
	e.Result = Result{
		Reply: Granted, Group: group, Lost: lost, WaitSeconds: t.maxLifetimeSeconds,
		BlockedUntil: t.clock + int64(t.maxLifetimeSeconds)*time.Second.Milliseconds(),
		Losses:       e.Result.Losses + 1,
	}
	return e
}

// snapshotImage is the encoded form of a snapshot.
type snapshotImage struct {
	Clock              int64   `cbor:"1,keyasint"`
	Applied            uint64  `cbor:"2,keyasint"`
	MaxLifetimeSeconds uint32  `cbor:"3,keyasint"`
	Entries            []Entry `cbor:"4,keyasint"`
}

// Snapshot returns the whole state; equal states give equal bytes.
func (t *Table) Snapshot() ([]byte, error) {
	b, err := cbor.Marshal(snapshotImage{t.clock, t.applied, t.maxLifetimeSeconds, t.Entries()})
	return b, errors.Annotate(err, "snapshot of the registry")
}

// Restore returns the table of a snapshot. It returns an error for malformed CBOR, a
// name that occurs twice or a group 0.
func Restore(snapshot []byte) (*Table, error) {
	var im snapshotImage
	if err := cbor.Unmarshal(snapshot, &im); err != nil {
		return nil, errors.Annotate(err, "snapshot of the registry")
	}
	t := New()
	t.clock, t.applied, t.maxLifetimeSeconds = im.Clock, im.Applied, im.MaxLifetimeSeconds
	for _, e := range im.Entries {
		if _, twice := t.groups[e.Name]; twice || e.Result.Group == 0 {
			return nil, errors.NotValidf("snapshot of the registry: group %q", e.Name)
		}
		t.groups[e.Name] = e
	}
	return t, nil
}
