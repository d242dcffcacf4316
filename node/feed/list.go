package feed

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// coldEndTolerance is by how much the end of a target's cold time may differ between readings
	// before it counts as another cold time.
	coldEndTolerance = 500 * time.Millisecond
	// maxOlderLists is how many older lists a core instance keeps as bases of updates: an instance
	// that reports a few times a second holds one of the last two.
	maxOlderLists = 6
)

// List is one reading of the platform's list, in the order of IDs. Do not change it in place.
type List struct {
	Targets []Target
	// Digest is a hash of the targets; equal lists have equal digests. 0 means no list.
	Digest uint64
	// ReadAt is when it was last read, by the clock of this instance.
	ReadAt time.Time
}

// NewList returns a list of targets read at readAt; it changes targets. before is the previous
// list: a target that is still in the same cold time keeps the end of that time, as otherwise the
// list would differ with each reading and be sent to all instances.
func NewList(targets []Target, readAt time.Time, before List) List {
	old := byID(before.Targets)
	for i := range targets {
		t := &targets[i]
		if t.ColdMillis <= 0 {
			continue
		}
		t.ColdUntil = readAt.Add(time.Duration(t.ColdMillis) * time.Millisecond)
		o := old[t.ID]
		if shift := t.ColdUntil.Sub(o.ColdUntil); !o.ColdUntil.IsZero() && shift < coldEndTolerance && shift > -coldEndTolerance {
			t.ColdUntil, t.ColdEpoch = o.ColdUntil, o.ColdEpoch
			continue
		}
		// Derived from its end, as the target may have been off the list in between.
		t.ColdEpoch = uint8(t.ColdUntil.Unix())
		if t.ColdEpoch == o.ColdEpoch {
			t.ColdEpoch++
		}
	}
	sortTargets(targets)
	return List{Targets: targets, Digest: digestOf(targets), ReadAt: readAt}
}

func sortTargets(targets []Target) {
	slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
}

func byID(targets []Target) map[string]Target {
	out := make(map[string]Target, len(targets))
	for _, t := range targets {
		out[t.ID] = t
	}
	return out
}

// digestOf returns a hash of a list's content, never 0.
func digestOf(targets []Target) uint64 {
	d := xxhash.New()
	for _, t := range targets {
		hashStrings(d, t.ID, t.Service, t.Address, t.Zone, strconv.Itoa(t.Slots), strconv.FormatBool(t.Draining),
			strconv.FormatBool(t.Cold()), strconv.Itoa(int(t.ColdEpoch)), strconv.FormatInt(t.StartMillis, 10), t.Software)
	}
	return max(1, d.Sum64())
}

// hashStrings adds strings to a hash, separated by zero bytes.
func hashStrings(d *xxhash.Digest, parts ...string) {
	for _, part := range parts {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
}

// Cold reports whether the target was listed as cold.
func (t *Target) Cold() bool { return !t.ColdUntil.IsZero() }

// sameReading reports whether two readings of a target are equal except for the remaining cold
// time.
func (t *Target) sameReading(o Target) bool {
	a, b := *t, o
	a.ColdUntil, a.ColdMillis, b.ColdUntil, b.ColdMillis = time.Time{}, 0, time.Time{}, 0
	return a == b && t.Cold() == o.Cold()
}

// ListUpdate is a complete list, or its difference from another one.
type ListUpdate struct {
	// Base is the digest of the list that the update applies to; 0 for a complete list.
	Base uint64 `cbor:"1,keyasint,omitempty"`
	// Digest is that of the resulting list of all regions, even if the update covers one region
	// only.
	Digest uint64 `cbor:"2,keyasint"`
	// Targets are new or changed, Removed the IDs of removed ones.
	Targets []Target `cbor:"3,keyasint,omitempty"`
	Removed []string `cbor:"4,keyasint,omitempty"`
}

// diffLists returns the update from one list to another, for one region or, if that is empty, all.
func diffLists(from, to List, region string) *ListUpdate {
	n := &ListUpdate{Digest: to.Digest, Base: from.Digest}
	old := byID(from.Targets)
	for _, t := range to.Targets {
		o, known := old[t.ID]
		delete(old, t.ID)
		if (region == "" || t.Region == region) && (!known || !t.sameReading(o)) {
			n.Targets = append(n.Targets, t)
		}
	}
	for id, t := range old {
		if region == "" || t.Region == region {
			n.Removed = append(n.Removed, id)
		}
	}
	slices.Sort(n.Removed)
	return n
}

// forWire returns a copy for encoding, in which cold times are relative to now.
func (n *ListUpdate) forWire(now time.Time) *ListUpdate {
	out := *n
	out.Targets = slices.Clone(n.Targets)
	for i := range out.Targets {
		t := &out.Targets[i]
		if t.Cold() {
			t.ColdMillis = max(1, t.ColdUntil.Sub(now).Milliseconds())
		}
	}
	return &out
}

// Apply returns the list with a received update applied; false, and the list unchanged, if the
// update is based on another list.
func (l List) Apply(n *ListUpdate, now, readAt time.Time) (List, bool) {
	if n.Base != 0 && n.Base != l.Digest {
		return l, false
	}
	all := map[string]Target{}
	if n.Base != 0 {
		all = byID(l.Targets)
	}
	for _, id := range n.Removed {
		delete(all, id)
	}
	for _, t := range n.Targets {
		if t.ColdMillis > 0 {
			t.ColdUntil, t.ColdMillis = now.Add(time.Duration(t.ColdMillis)*time.Millisecond), 0
		}
		all[t.ID] = t
	}
	targets := make([]Target, 0, len(all))
	for _, t := range all {
		targets = append(targets, t)
	}
	sortTargets(targets)
	return List{Targets: targets, Digest: n.Digest, ReadAt: readAt}, true
}
