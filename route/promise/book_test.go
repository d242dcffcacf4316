package promise_test

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/route/promise"
)

// model has the open promises by key, and searches all of them at each step.
type model map[uint64]held

type held struct {
	at   time.Time
	work time.Duration
	rank int
}

// work is the work of others that is promised up to a rank and a time.
func (m model) work(except uint64, rank int, due time.Time) (sum time.Duration) {
	for key, h := range m {
		if key != except && h.rank <= rank && !h.at.After(due) {
			sum += h.work
		}
	}
	return sum
}

func (m model) total() time.Duration { return m.work(0, 9, time.Unix(1e9, 0)) }

// update drops what has expired or exceeds the bound.
func (m model) update(now time.Time, bound time.Duration) {
	maps.DeleteFunc(m, func(_ uint64, h held) bool { return now.Sub(h.at) > time.Second })
	for _, key := range slices.SortedFunc(maps.Keys(m), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(m[b].rank, m[a].rank), m[b].at.Compare(m[a].at), cmp.Compare(b, a))
	}) {
		if m.total() > bound {
			delete(m, key)
		}
	}
}

// Guards against promises that are honoured twice or outside their window, that are announced later
// than callers wait, or that exceed what the targets can do; and against promised work that new
// requests do not see, or that delays more urgent ones.
func TestPromisesAreBoundedAndUsedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, m, now, longest := promise.New(), model{}, time.Unix(0, 0), time.Duration(0)
		draw := func(name string, from, to int) int { return rapid.IntRange(from, to).Draw(t, name) }
		var all promise.Counts
		for range draw("requests", 1, 60) {
			now = now.Add(time.Duration(draw("pause", 0, 300)) * time.Millisecond)
			r := promise.Request{
				Key: uint64(draw("key", 1, 12)), Rank: draw("rank", 0, 3), QueueMillis: float64(draw("queue", 0, 3000)),
				WaitMillis: float64(draw("wait", 0, 4000)), WorkMillis: float64(draw("work", 1, 500)), Aim: time.Duration(draw("aim", 1, 4)) * 500 * time.Millisecond,
				Left: time.Duration(draw("left", 0, 9000)) * time.Millisecond, Targets: draw("targets", 1, 8), NoPlace: draw("no place", 0, 9) == 0,
			}
			bound := func() time.Duration { return time.Duration(r.Targets) * longest / 3 }
			m.update(now, bound())
			h, ok := m[r.Key]
			due := ok && now.Sub(h.at) >= -100*time.Millisecond
			kept := due && r.WaitMillis < r.Left.Seconds()*1000
			if got := b.Redeem(now, r); got != kept {
				t.Fatalf("the promise of %+v is honoured at %v: %v", h, now, got)
			}
			if due {
				delete(m, r.Key)
			}
			want := m.work(r.Key, r.Rank, now.Add(r.Aim)).Seconds() * 1000 / float64(r.Targets)
			if got := b.AheadMillis(now, r); got < want-1e-6 || got > want+1e-6 {
				t.Fatalf("%v ms are promised ahead, expected %v", got, want)
			}
			if end := draw("end", 0, 4); end < 2 {
				[]func(uint64){b.Admitted, b.Withdraw}[end](r.Key)
				delete(m, r.Key)
			} else {
				h, ok := m[r.Key]
				ahead := m.work(r.Key, r.Rank, now.Add(time.Hour)) / time.Duration(r.Targets)
				place := max(50*time.Millisecond, time.Duration(r.QueueMillis)*time.Millisecond-r.Aim/2+ahead)
				if !ok && place <= r.Left/3 {
					longest = max(longest, r.Aim)
				}
				a := b.Refuse(now, r)
				if a.RetryAfter > r.Left/3 || a.RetryAfter < min(50*time.Millisecond, r.Left/3) {
					t.Fatalf("a caller with %v left returns after %v", r.Left, a.RetryAfter)
				}
				if ok && a.Promised && !h.at.Equal(now.Add(a.RetryAfter)) || !ok && a.Promised && (a.RetryAfter != place || r.NoPlace || due && !kept) {
					t.Fatalf("%+v after %+v, the place is at %v", a, h, place)
				}
				if !ok && a.Promised {
					m[r.Key] = held{at: now.Add(place), work: time.Duration(r.WorkMillis) * time.Millisecond, rank: r.Rank}
				}
			}
			if b.Promised() != m.total() || b.Promised() > bound() {
				t.Fatalf("%v are promised, expected %v of at most %v", b.Promised(), m.total(), bound())
			}
			all.Add(b.TakeCounts())
			if open := all.Given - all.Kept - all.Missed - all.Expired - all.Withdrawn - all.Dropped; open != int64(len(m)) {
				t.Fatalf("%d promises are open, %d by the counts %+v", len(m), open, all)
			}
		}
	})
}

// Guards against callers beyond the bound that all return at the same time, before there is room or behind
// less urgent ones, and against books that grow without bound.
func TestReturnsWithoutAPlaceFollowEachOther(t *testing.T) {
	b := promise.New()
	for key, want := range []int{600, 700, 800, 900, 600} {
		r := promise.Request{Key: uint64(key), Rank: min(1, 4-key), QueueMillis: 1000, WorkMillis: 200, Aim: 800 * time.Millisecond, Left: 3 * time.Second, Targets: 2}
		got, promised := b.Refuse(time.Unix(0, 0), r), key < 2 // The bound is 533 ms of work.
		if got.RetryAfter != time.Duration(want)*time.Millisecond || got.Promised != promised {
			t.Errorf("caller %d: %+v, expected %d ms", key, got, want)
		}
	}
	b = promise.New()
	for key := range uint64(70_000) {
		b.Refuse(time.Unix(0, 0), promise.Request{Key: key, Aim: time.Minute, Left: time.Hour, Targets: 10_000})
	}
	if n := b.TakeCounts().Given; n != 65_536 {
		t.Errorf("%d promises are open", n)
	}
}
