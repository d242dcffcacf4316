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

// held is a promise in the reference model.
type held struct {
	at   time.Time
	work time.Duration
	rank int
}

// model is a Book that searches all promises at each step.
type model map[uint64]held

func (m model) total() (sum time.Duration) {
	for _, h := range m {
		sum += h.work
	}
	return sum
}

// update drops what has expired or exceeds the bound.
func (m model) update(now time.Time, bound time.Duration) {
	maps.DeleteFunc(m, func(_ uint64, h held) bool { return now.Sub(h.at) > time.Second })
	keys := slices.SortedFunc(maps.Keys(m), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(m[b].rank, m[a].rank), m[b].at.Compare(m[a].at), cmp.Compare(b, a))
	})
	for _, key := range keys {
		if m.total() > bound {
			delete(m, key)
		}
	}
}

// aheadMillis is the work of a request's rank and below that is due by a time, per target.
func (m model) aheadMillis(r promise.Request, due time.Time) float64 {
	var sum time.Duration
	for key, h := range m {
		if key != r.Key && h.rank <= r.Rank && !h.at.After(due) {
			sum += h.work
		}
	}
	return float64(sum) / float64(time.Millisecond) / float64(r.Targets)
}

// Guards against promises that are honoured twice or outside their window, that are announced later
// than callers wait, or that exceed what the targets can do; and against promised work that new
// requests do not see, or that delays more urgent ones.
func TestPromisesAreBoundedAndUsedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, m, now, longest := promise.New(), model{}, time.Unix(0, 0), time.Duration(0)
		var all promise.Counts
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			r := promise.Request{
				Key: rapid.Uint64Range(0, 12).Draw(t, "key"), Rank: rapid.IntRange(0, 3).Draw(t, "rank"),
				QueueMillis: float64(rapid.IntRange(0, 3000).Draw(t, "queue")), WaitMillis: float64(rapid.IntRange(0, 4000).Draw(t, "wait")),
				WorkMillis: float64(rapid.IntRange(0, 500).Draw(t, "work")),
				Aim:        time.Duration(rapid.IntRange(1, 4).Draw(t, "aim")) * 500 * time.Millisecond,
				Left:       time.Duration(rapid.IntRange(0, 9000).Draw(t, "left")) * time.Millisecond,
				Targets:    rapid.IntRange(1, 8).Draw(t, "targets"),
			}
			m.update(now, time.Duration(r.Targets)*longest/3)
			h, ok := m[r.Key]
			want := promise.None
			if ok && now.Sub(h.at) >= -100*time.Millisecond {
				want = promise.Kept
				if r.WaitMillis >= float64(r.Left.Milliseconds()) {
					want = promise.Missed
				}
				delete(m, r.Key)
			}
			if got := b.Redeem(now, r); got != want {
				t.Fatalf("the promise of %+v is %d at %v, expected %d", h, got, now, want)
			}
			if got, want := b.AheadMillis(now, r), m.aheadMillis(r, now.Add(r.Aim)); got < want-1e-6 || got > want+1e-6 {
				t.Fatalf("%v ms are promised ahead, expected %v", got, want)
			}
			switch rapid.IntRange(0, 4).Draw(t, "end") {
			case 0:
				b.Admitted(r.Key)
				delete(m, r.Key)
			case 1:
				b.Withdraw(r.Key)
				delete(m, r.Key)
			default:
				if r.Key != 0 {
					longest = max(longest, r.Aim)
				}
				a := b.Refuse(now, r)
				if a.RetryAfter > r.Left/3 || a.RetryAfter < min(50*time.Millisecond, r.Left/3) {
					t.Fatalf("a caller with %v left returns after %v", r.Left, a.RetryAfter)
				}
				if h, ok := m[r.Key]; ok && a.Promised && !h.at.Equal(now.Add(a.RetryAfter)) {
					t.Fatalf("%v was announced, now %v", h.at, now.Add(a.RetryAfter))
				} else if !ok && a.Promised {
					m[r.Key] = held{at: now.Add(a.RetryAfter), work: max(1, time.Duration(r.WorkMillis)) * time.Millisecond, rank: r.Rank}
				}
			}
			if bound := time.Duration(r.Targets) * longest / 3; b.Promised() != m.total() || b.Promised() > bound {
				t.Fatalf("%v are promised, expected %v of at most %v", b.Promised(), m.total(), bound)
			}
			c := b.TakeCounts()
			all = promise.Counts{Given: all.Given + c.Given, Kept: all.Kept + c.Kept + c.Missed + c.Expired + c.Withdrawn + c.Dropped}
			if all.Given != all.Kept+int64(len(m)) {
				t.Fatalf("%d promises were given, %d have ended and %d are open", all.Given, all.Kept, len(m))
			}
		}
	})
}

// Guards against retry times at which a request does not fit yet, or that ignore the ranks.
func TestRetryTimeFollowsQueueAndPromises(t *testing.T) {
	b, now := promise.New(), time.Unix(0, 0)
	refuse := func(key uint64, rank int, left time.Duration) promise.Announcement {
		return b.Refuse(now, promise.Request{Key: key, Rank: rank, QueueMillis: 1000, WorkMillis: 200, Aim: 800 * time.Millisecond, Left: left, Targets: 2})
	}
	for i, c := range []struct {
		key      uint64
		rank     int
		left     time.Duration
		millis   int
		promised bool
	}{
		{key: 1, rank: 1, left: 9 * time.Second, millis: 600, promised: true},
		{key: 2, rank: 1, left: 9 * time.Second, millis: 700, promised: true},
		{key: 1, rank: 1, left: 9 * time.Second, millis: 600, promised: true},
		{key: 3, rank: 0, left: time.Second * 3 / 2, millis: 500},
		// The bound of 2 * 800 / 3 ms is reached: returns without a place follow each other.
		{key: 4, rank: 1, left: 9 * time.Second, millis: 800},
		{key: 5, rank: 1, left: 9 * time.Second, millis: 900},
		{key: 6, rank: 0, left: 9 * time.Second, millis: 600},
	} {
		want := promise.Announcement{RetryAfter: time.Duration(c.millis) * time.Millisecond, Promised: c.promised}
		if got := refuse(c.key, c.rank, c.left); got != want {
			t.Errorf("refusal %d: %+v, expected %+v", i, got, want)
		}
	}
}

func BenchmarkRefuseAndReturn(b *testing.B) {
	const open = 2000
	book, now := promise.New(), time.Unix(0, 0)
	r := promise.Request{QueueMillis: 1000, WorkMillis: 5, Aim: 2 * time.Second, Left: time.Minute, Targets: 20}
	for b.Loop() {
		r.Key++
		book.Refuse(now, r)
		book.AheadMillis(now, r)
		if r.Key > open {
			book.Withdraw(r.Key - open)
		}
	}
}
