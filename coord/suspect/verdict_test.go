package suspect

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// judgeAll judges a table as a whole, from its entries alone.
func judgeAll(t *Table) map[Digest]suspicion {
	fresh := New(t.cfg)
	fresh.digests, fresh.crashes = t.digests, t.crashes
	for c, digests := range t.crashes {
		for _, d := range digests {
			fresh.recordFound(c, t.digests[d][c].crashedAt)
		}
	}
	fresh.updateFound()
	out, byRounds := map[Digest]suspicion{}, map[int][]Digest{}
	for d := range t.digests {
		out[d] = fresh.weigh(d, nil)
		if v := out[d]; v.quarantined() {
			byRounds[v.rounds-v.trials] = append(byRounds[v.rounds-v.trials], d)
		}
	}
	explained := map[Crash]bool{}
	for _, rounds := range slices.SortedFunc(maps.Keys(byRounds), func(a, b int) int { return cmp.Compare(b, a) }) {
		for _, d := range byRounds[rounds] {
			out[d] = fresh.weigh(d, explained)
		}
		for _, d := range byRounds[rounds] {
			if !out[d].quarantined() {
				continue
			}
			for c, e := range t.digests[d] {
				explained[c] = explained[c] || e.status != Cleared
			}
		}
	}
	return out
}

// Guards against verdicts that are not those of the entries held: sound requests stay refused, or deadly ones
// run, as something that a verdict rests on has changed since.
func TestVerdictsFollowEachChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := crowdConfig()
		cfg.MaxEntries = rapid.SampledFrom([]int{40, 400}).Draw(t, "entries")
		cfg.Lifetime = time.Minute
		table, now := New(cfg), start.Add(time.Hour)
		digest := rapid.Custom(func(t *rapid.T) Digest { return Digest{byte(rapid.IntRange(1, 12).Draw(t, "digest"))} })
		crash := rapid.Custom(func(t *rapid.T) Crash {
			return Crash{Target: string(rune('a' + rapid.IntRange(0, 14).Draw(t, "target"))), Incarnation: rapid.Uint64Range(1, 2).Draw(t, "start")}
		})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 5, 40, 3000, 20000}).Draw(t, "after")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				table.Finished(now, digest.Draw(t, "finished"))
			case 1:
				table.Renew(now, digest.Draw(t, "renewed"))
			case 2:
				table.Expire(now)
			case 3:
				table.ReportCrash(now, crash.Draw(t, "crash"), Sent{Digests: rapid.SliceOfNDistinct(digest, 1, 4, rapid.ID[Digest]).Draw(t, "sent"), SentAt: now.Add(-time.Second)})
			default:
				var entries []Entry
				for range rapid.IntRange(1, 12).Draw(t, "merged") {
					found := now.Add(-time.Duration(rapid.IntRange(0, 120).Draw(t, "found")) * time.Millisecond)
					e := Entry{
						Digest: digest.Draw(t, "d"), Crash: crash.Draw(t, "c"), Until: now.Add(cfg.Lifetime),
						Status: rapid.SampledFrom([]Status{Suspected, Suspected, Suspected, Suspected, Alone, Cleared}).Draw(t, "status"),
						Round:  rapid.Uint32Range(0, 3).Draw(t, "round"), Trial: rapid.IntRange(0, 9).Draw(t, "trial") == 0,
					}
					if rapid.IntRange(0, 5).Draw(t, "timed") > 0 {
						e.CrashedAt = InstantOf(found)
					}
					entries = append(entries, e)
				}
				table.Merge(now, entries)
			}
			if rapid.Bool().Draw(t, "asked") {
				continue
			}
			want := judgeAll(table)
			for n := range 13 {
				d := Digest{byte(n)}
				if got := table.suspicion(d); got != want[d] {
					t.Fatalf("suspicion of %d is %+v, %+v expected", n, got, want[d])
				}
			}
		}
	})
}
