package suspect

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// crashTogether has targets end at a time, each with the digests in flight there.
func crashTogether(t *Table, at time.Time, targets int, inFlight func(target int) []Digest) {
	for n := range targets {
		found := at.Add(time.Duration(n) * time.Millisecond / 2)
		c := Crash{Target: fmt.Sprint("t", n), Incarnation: uint64(at.UnixNano())}
		for _, d := range inFlight(n) {
			t.ReportCrash(found, c, Sent{Digests: []Digest{d}, SentAt: at.Add(-time.Second)})
		}
	}
}

// Guards against sound requests that are refused because targets have lost power together twice while they
// were in flight.
func TestManyTargetsEndingTogetherConvictNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, targets := New(crowdConfig()), rapid.IntRange(8, 30).Draw(t, "targets")
		// Each part is in flight at fewer than a quarter of the targets.
		parts := rapid.IntRange(9, 60).Draw(t, "parts")
		inFlight := func(target int) []Digest {
			return []Digest{{1, byte(target % parts)}, {2, byte(target)}}
		}
		first := start.Add(time.Hour)
		crashTogether(table, first, targets, inFlight)
		crashTogether(table, first.Add(rapid.SampledFrom([]time.Duration{2 * time.Second, time.Minute}).Draw(t, "later")), targets, inFlight)
		for n := range targets {
			if q := table.Quarantined(inFlight(n)...); len(q) > 0 {
				t.Fatalf("%d targets, %d parts: %v quarantined", targets, parts, q)
			}
		}
	})
}

// Guards against a deadly digest that goes free because it crashes many targets at once.
func TestDigestThatCrashesManyTargetsTogetherIsConvicted(t *testing.T) {
	table, deadly := New(crowdConfig()), Digest{9}
	inFlight := func(target int) []Digest { return []Digest{{1, byte(target)}, deadly} }
	crashTogether(table, start.Add(time.Hour), 20, inFlight)
	crashTogether(table, start.Add(time.Hour+3*time.Second), 20, inFlight)
	if q := table.Quarantined(deadly, Digest{1, 3}); len(q) != 1 || q[0] != deadly {
		t.Errorf("quarantined %v", q)
	}
}
