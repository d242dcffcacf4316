package suspect

import (
	"slices"
	"time"
)

// Many targets end in the same moment when they lose power or their network, and all that ran on them are
// suspects. Twenty targets that ended so, three seconds after some others, had sound requests refused: each
// part that was in flight in both moments was a suspect of two rounds. A digest that crashes targets is in
// the crashes that it causes, so crashes of one moment that mostly lack a digest have another cause.

const (
	// massSpan is how far apart the crashes of one moment are found.
	massSpan = 50 * time.Millisecond
	// massTargets is the number of targets from which on a moment is judged as a whole: fewer may be the
	// work of as many digests.
	massTargets = 8
	// massShare is the least share of the crashes of such a moment that a suspect is in, as one divided by it.
	massShare = 4
)

// foundTimes are the times when crashes were first found, sorted.
type foundTimes []Instant

// recordFound records that a crash was found at a time; 0 if the host does not report it.
func (t *Table) recordFound(c Crash, at Instant) {
	if first := t.firstFound[c]; at != 0 && (first == 0 || at < first) {
		t.firstFound[c], t.foundChanged = at, true
	}
}

// forgetFound takes back that an entry's crash was found at a time.
func (t *Table) forgetFound(c Crash, at Instant) {
	if at == 0 || at != t.firstFound[c] {
		return
	}
	delete(t.firstFound, c)
	t.foundChanged = true
	for _, d := range t.crashes[c] {
		t.recordFound(c, t.digests[d][c].crashedAt)
	}
}

// updateFound sorts the times of the crashes after a change, and has all digests weighed again.
func (t *Table) updateFound() {
	if !t.foundChanged {
		return
	}
	t.foundChanged, t.found = false, t.found[:0]
	for _, at := range t.firstFound {
		t.found = append(t.found, at)
	}
	slices.Sort(t.found)
	for d := range t.candidates {
		t.candidates[d] = nil
	}
}

// foundOf returns when the crashes of entries that are not cleared were first found; nothing if no moment
// has enough crashes to excuse any.
func (t *Table) foundOf(entries map[Crash]*entry) foundTimes {
	if len(t.found) < massTargets {
		return nil
	}
	out := make(foundTimes, 0, len(entries))
	for c, e := range entries {
		if at := t.firstFound[c]; at != 0 && e.status != Cleared {
			out = append(out, at)
		}
	}
	slices.Sort(out)
	return out
}

// around returns the number of crashes found within massSpan of a time.
func (f foundTimes) around(at Instant) int {
	span := Instant(massSpan.Microseconds())
	from, _ := slices.BinarySearch(f, at-span)
	to, _ := slices.BinarySearch(f, at+span+1)
	return to - from
}

// excuses reports whether a crash of a digest is one of many of the same moment that mostly lack the digest.
// own are the crashes of the digest.
func (f foundTimes) excuses(e *entry, own foundTimes) bool {
	if e.crashedAt == 0 {
		return false
	}
	moment := f.around(e.crashedAt)
	return moment >= massTargets && own.around(e.crashedAt)*massShare < moment
}
