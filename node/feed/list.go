package feed

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// coldSlack is by how much the end of a target's cold time may differ from reading
	// to reading before it counts as another one.
	coldSlack = 500 * time.Millisecond
	// keptLists is how many older lists a core instance keeps to tell differences from:
	// an instance that reports a few times a second holds one of the last two.
	keptLists = 6
)

// List is one reading of the platform's list, in the order of ids. It is never changed
// in place.
type List struct {
	Targets []Target
	// Digest is of the targets; equal lists have equal digests. 0 means no list.
	Digest uint64
	// ReadAt is when it was read last, by the clock of this instance.
	ReadAt time.Time
}

// NewList makes a list of what was read. before is the last one: a target that is still
// cold as it was then keeps the end of that time, as a list would differ with each
// reading otherwise, and go to all instances.
func NewList(targets []Target, readAt time.Time, before List) List {
	old := byID(before.Targets)
	for i := range targets {
		t := &targets[i]
		if t.ColdMillis <= 0 {
			continue
		}
		t.ColdUntil = readAt.Add(time.Duration(t.ColdMillis) * time.Millisecond)
		o := old[t.ID]
		if late := t.ColdUntil.Sub(o.ColdUntil); !o.ColdUntil.IsZero() && late < coldSlack && late > -coldSlack {
			t.ColdUntil, t.ColdEpoch = o.ColdUntil, o.ColdEpoch
			continue
		}
		// By its end, as a target may have been off the list in between.
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

// digestOf names the content of a list; it is never 0.
func digestOf(targets []Target) uint64 {
	d := xxhash.New()
	for _, t := range targets {
		digestParts(d, t.ID, t.Service, t.Address, t.Zone, strconv.Itoa(t.Slots), strconv.FormatBool(t.Draining),
			strconv.FormatBool(t.Cold()), strconv.Itoa(int(t.ColdEpoch)), strconv.FormatInt(t.StartMillis, 10))
	}
	return max(1, d.Sum64())
}

// digestParts adds strings to a digest, told from each other by a zero byte.
func digestParts(d *xxhash.Digest, parts ...string) {
	for _, part := range parts {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
}

// Cold reports whether the target was listed as cold.
func (t *Target) Cold() bool { return !t.ColdUntil.IsZero() }

// same reports whether two readings of a target tell the same.
func (t *Target) same(o Target) bool {
	a, b := *t, o
	a.ColdUntil, a.ColdMillis, b.ColdUntil, b.ColdMillis = time.Time{}, 0, time.Time{}, 0
	return a == b && t.Cold() == o.Cold()
}

// ListNews is a list, or how it differs from another one.
type ListUpdate struct {
	// Base is the digest of the list that the news are added to; 0 for a whole list.
	Base uint64 `cbor:"1,keyasint,omitempty"`
	// Digest is of the list that results, be it that only a region's part is told.
	Digest uint64 `cbor:"2,keyasint"`
	// Targets are new or changed, Gone the ids that are no more.
	Targets []Target `cbor:"3,keyasint,omitempty"`
	Removed []string `cbor:"4,keyasint,omitempty"`
}

// news tells how to differs from from, in one region or in all.
func news(from, to List, region string) *ListUpdate {
	n := &ListUpdate{Digest: to.Digest, Base: from.Digest}
	old := byID(from.Targets)
	for _, t := range to.Targets {
		o, known := old[t.ID]
		delete(old, t.ID)
		if (region == "" || t.Region == region) && (!known || !t.same(o)) {
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

// sent makes the news ready for the wire: cold times count from now.
func (n *ListUpdate) sent(now time.Time) *ListUpdate {
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

// Apply adds news that have come to a list; false if they are about another one.
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
