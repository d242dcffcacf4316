package suspect

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"
)

// popularPart is in flight at all targets.
var popularPart = Digest{1}

// massEntries returns the suspects of many targets that end together, in the order in which instances report
// them: of each target 150 whole requests, and 50 parts that requests share, of 300 and popularPart.
func massEntries(at time.Time, targets int, round uint32) []Entry {
	var out []Entry
	for k := range 200 {
		for n := range targets {
			var d Digest
			if k == 0 {
				d = popularPart
			} else if k%4 == 0 {
				binary.BigEndian.PutUint64(d[:], uint64(1+(k*31+n*7)%300))
			} else {
				binary.BigEndian.PutUint64(d[8:], uint64(round)<<32+uint64(n*200+k))
			}
			// Each instance finds the crash a little later or sooner.
			found := at.Add(time.Duration((k*7+n)%20) * time.Millisecond)
			out = append(out, Entry{
				Digest: d, Crash: Crash{Target: fmt.Sprint("t", n), Incarnation: uint64(at.UnixNano())}, Until: at.Add(time.Hour),
				SentAt: InstantOf(at.Add(-time.Second)), CrashedAt: InstantOf(found), Round: round,
			})
		}
	}
	return out
}

// mergeInBatches merges entries as they come in with reports, and asks for a part after each.
func mergeInBatches(t *Table, now time.Time, entries []Entry, size int) {
	for len(entries) > 0 {
		n := min(size, len(entries))
		t.Merge(now, entries[:n])
		t.Quarantined(popularPart)
		entries = entries[n:]
	}
}

// Guards against instances that spend seconds of their processor on the suspects of many targets that end
// together: each change had all suspects of its crashes, and then the whole table, weighed again.
func TestSuspectsOfManyCrashesAreWeighedFewTimes(t *testing.T) {
	const targets = 18
	for _, batch := range []int{1, 10, 100} {
		table, now := New(crowdConfig()), start.Add(time.Hour)
		total := 0
		for wave := range 2 {
			entries := massEntries(now, targets, uint32(1+wave))
			mergeInBatches(table, now.Add(100*time.Millisecond), entries, batch)
			now, total = now.Add(6*time.Second), total+len(entries)
		}
		// Each change has its digest, with an entry for each crash, weighed by itself and with the others.
		const perEntry = 2 * 2 * targets
		if table.weighed > perEntry*total {
			t.Errorf("batches of %d: %d entries weighed for %d reported ones", batch, table.weighed, total)
		}
	}
}

func BenchmarkMergeOfMassCrash(b *testing.B) {
	for _, batch := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("batch=", batch), func(b *testing.B) {
			for b.Loop() {
				table, now := New(crowdConfig()), start.Add(time.Hour)
				for wave := range 2 {
					mergeInBatches(table, now.Add(100*time.Millisecond), massEntries(now, 18, uint32(1+wave)), batch)
					now = now.Add(6 * time.Second)
				}
			}
		})
	}
}
