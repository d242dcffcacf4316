package suspect

import (
	"cmp"
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

// foundCrashes are the crashes of a table, sorted by when they were found.
type foundCrashes []crashFound

type crashFound struct {
	crash Crash
	at    Instant
}

// findCrashes returns when each crash was first found. Crashes of hosts that do not report it are left out.
func (t *Table) findCrashes() foundCrashes {
	out := make(foundCrashes, 0, len(t.crashes))
	for c, digests := range t.crashes {
		first := Instant(0)
		for _, d := range digests {
			if at := t.digests[d][c].crashedAt; at != 0 && (first == 0 || at < first) {
				first = at
			}
		}
		if first != 0 {
			out = append(out, crashFound{c, first})
		}
	}
	slices.SortFunc(out, func(a, b crashFound) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.crash.Target, b.crash.Target), cmp.Compare(a.crash.Incarnation, b.crash.Incarnation))
	})
	return out
}

// around returns the crashes found within massSpan of a time.
func (f foundCrashes) around(at Instant) foundCrashes {
	span := Instant(massSpan.Microseconds())
	byTime := func(c crashFound, at Instant) int { return cmp.Compare(c.at, at) }
	from, _ := slices.BinarySearchFunc(f, at-span, byTime)
	to, _ := slices.BinarySearchFunc(f, at+span+1, byTime)
	return f[from:to]
}

// excuses reports whether a crash with these entries of a digest is one of many of the same moment that
// mostly lack the digest.
func (f foundCrashes) excuses(e *entry, entries map[Crash]*entry) bool {
	if e.crashedAt == 0 {
		return false
	}
	moment := f.around(e.crashedAt)
	if len(moment) < massTargets {
		return false
	}
	with := 0
	for _, c := range moment {
		if own := entries[c.crash]; own != nil && own.status != Cleared {
			with++
		}
	}
	return with*massShare < len(moment)
}
