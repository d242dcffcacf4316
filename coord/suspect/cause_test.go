package suspect

import "testing"

// Guards against a poison request that is never refused: an innocent request that shared two
// batches with it is quarantined first, and clears it of both crashes.
func TestQuarantinedInnocentDoesNotClearTheCause(t *testing.T) {
	table := New(DefaultConfig())
	poison, innocent := Digest{1}, Digest{2}
	for n, target := range []string{"a", "b"} {
		table.Started(Attempt(2*n), innocent, target, false)
		table.Crashed(start, Crash{target, 1})
		// Another instance reports its suspect of the same crash a moment later.
		table.Merge(start, []Entry{{Digest: poison, Crash: Crash{target, 1}, Until: start.Add(DefaultConfig().Lifetime)}})
	}
	if got := table.Decide(start, poison); got != Refuse {
		t.Errorf("decision %v about the cause", got)
	}
}
