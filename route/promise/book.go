package promise

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/route/pick"
)

const (
	// MinRetryAfter is the least announced delay, as for other refusals: a caller that returns
	// sooner finds the same queue.
	MinRetryAfter = 50 * time.Millisecond
	// earlyMargin is how long before the announced time a promise is honoured already: callers round
	// the delay, and the instances' paths differ by some milliseconds.
	earlyMargin = 100 * time.Millisecond
	// lateMargin is how long after the announced time a promise is honoured: a caller may have to
	// open a connection, to an instance that has just started.
	lateMargin = time.Second
	// maxPromises bounds the memory of a book, to about 5 MB.
	maxPromises = 1 << 16
	// minWork is the least work of a promise. It keeps the promises of a group few where prompts are
	// cached, as each new request is compared with those that are due.
	minWork = time.Millisecond
	// maxMillis bounds estimates in milliseconds, which a failing target may inflate.
	maxMillis = float64(time.Hour / time.Millisecond)
	// patience is the divisor of the time left up to which callers honour a retry time.
	patience = 3
)

// Request is a request as the instance that decides on it knows it.
type Request struct {
	// Key identifies the content, the same when the caller returns.
	Key uint64
	// NoPlace says that the request gets no new promise if it is refused.
	NoPlace bool
	// Rank is the priority; 0 is the most urgent.
	Rank int
	// QueueMillis is the work queued ahead at the chosen target, WaitMillis the expected time to the
	// first event, and WorkMillis the time that the request itself takes, all in milliseconds.
	QueueMillis, WaitMillis, WorkMillis float64
	// Aim is the time within which the answer is to begin, and Left the time to the deadline.
	Aim, Left time.Duration
	// Targets is the number of usable targets of the group.
	Targets int
}

// Announcement is what a refused caller is told.
type Announcement struct {
	RetryAfter time.Duration
	// Promised says that a place is reserved at that time.
	Promised bool
}

// Counts are numbers of promises.
type Counts struct {
	// Given and Kept count promises that were given, and whose caller returned and was admitted.
	Given, Kept int64
	// Missed callers returned and were not admitted, Expired ones did not return in time.
	Missed, Expired int64
	// Withdrawn promises were not needed any more, Dropped ones lost their targets.
	Withdrawn, Dropped int64
}

// Add adds other counts.
func (c *Counts) Add(more Counts) {
	c.Given += more.Given
	c.Kept += more.Kept
	c.Missed += more.Missed
	c.Expired += more.Expired
	c.Withdrawn += more.Withdrawn
	c.Dropped += more.Dropped
}

// promise is capacity reserved for a key.
type promise struct {
	key  uint64
	rank int
	work time.Duration
	// at is the announced time.
	at time.Time
}

// Book holds the promises of a group. It is not safe for concurrent use.
type Book struct {
	byKey map[uint64]time.Time
	// order holds the promises by announced time, then key. All are honoured equally long, so the
	// first ones expire first.
	order []promise
	// work is the promised work by rank, and total its sum.
	work  [pick.Ranks]time.Duration
	total time.Duration
	// announced is, by rank, until when the targets are taken by returns that were announced without
	// a promise. Without it, all callers beyond the bound return at the same time.
	announced [pick.Ranks]time.Time
	// longestAim is the longest aim of refused requests that may have a place in time, and targets the
	// last number of usable targets.
	longestAim time.Duration
	targets    int
	counts     Counts
}

// New returns an empty book.
func New() *Book { return &Book{byKey: map[uint64]time.Time{}} }

// Redeem uses the promise of a request that has arrived, and reports whether the request must be
// admitted: it is not if the promise is not due yet, or the first event is expected after the deadline.
func (b *Book) Redeem(now time.Time, r Request) bool {
	b.update(now, r)
	if !b.due(now, r.Key) || millis(r.WaitMillis) >= r.Left {
		return false
	}
	b.Admitted(r.Key)
	return true
}

// due reports whether a promise of the key may be used.
func (b *Book) due(now time.Time, key uint64) bool {
	at, ok := b.byKey[key]
	return ok && !now.Before(at.Add(-earlyMargin))
}

// AheadMillis returns the work per target, in milliseconds, that is promised to others within the
// request's aim and that the targets do before or together with a request of its rank. It counts as
// queued ahead of the request.
func (b *Book) AheadMillis(now time.Time, r Request) float64 {
	b.update(now, r)
	if b.targets == 0 {
		return 0
	}
	var sum time.Duration
	due, rank := now.Add(r.Aim), clampRank(r.Rank)
	for i := range b.order {
		p := &b.order[i]
		if p.at.After(due) {
			break
		}
		if p.rank <= rank && p.key != r.Key {
			sum += p.work
		}
	}
	return sum.Seconds() * 1000 / float64(b.targets)
}

// Admitted drops the promise of a request that was admitted, also one that returned before its time:
// its work is queued now, and would count twice.
func (b *Book) Admitted(key uint64) {
	if b.remove(key) {
		b.counts.Kept++
	}
}

// Miss drops the promise of a request that is refused although the promise is due, and reports whether
// there was one. A request that returned before its time keeps its promise.
func (b *Book) Miss(now time.Time, key uint64) bool {
	if !b.due(now, key) {
		return false
	}
	b.counts.Missed++
	return b.remove(key)
}

// Withdraw drops the promise of a request that is served elsewhere.
func (b *Book) Withdraw(key uint64) {
	if b.remove(key) {
		b.counts.Withdrawn++
	}
}

// Refuse returns when the caller of a request should return that is refused because of the queue,
// and reserves its place if there is one within a third of the time left. The caller is never told a
// later time. A promise that is not due yet is announced again.
func (b *Book) Refuse(now time.Time, r Request) Announcement {
	b.update(now, r)
	latest := max(0, r.Left/patience)
	if b.Miss(now, r.Key) {
		// It is late in any case.
		r.NoPlace = true
	}
	if at, ok := b.byKey[r.Key]; ok {
		if after := max(at.Sub(now), MinRetryAfter); after <= latest {
			return Announcement{RetryAfter: after, Promised: true}
		}
		return Announcement{RetryAfter: latest}
	}
	rank, targets := clampRank(r.Rank), time.Duration(max(1, b.targets))
	after := max(MinRetryAfter, millis(r.QueueMillis)-r.Aim/2+b.promisedAhead(rank)/targets)
	if after > latest {
		return Announcement{RetryAfter: latest}
	}
	b.longestAim = max(b.longestAim, r.Aim)
	work := max(minWork, millis(r.WorkMillis))
	if !r.NoPlace && b.total+work <= b.bound() && len(b.order) < maxPromises {
		b.insert(promise{key: r.Key, rank: rank, work: work, at: now.Add(after)})
		b.counts.Given++
		return Announcement{RetryAfter: after, Promised: true}
	}
	at := now.Add(after)
	for _, until := range b.announced[:rank+1] {
		if until.After(at) {
			at = until
		}
	}
	if after = at.Sub(now); after > latest {
		return Announcement{RetryAfter: latest}
	}
	b.announced[rank] = at.Add(work / targets)
	return Announcement{RetryAfter: after}
}

// Expire drops the promises whose callers have not returned in time.
func (b *Book) Expire(now time.Time) {
	n := 0
	for n < len(b.order) && now.After(b.order[n].at.Add(lateMargin)) {
		b.forget(&b.order[n])
		n++
	}
	b.order = slices.Delete(b.order, 0, n)
	b.counts.Expired += int64(n)
}

// Promised returns the promised work, summed over all targets.
func (b *Book) Promised() time.Duration { return b.total }

// TakeCounts returns the numbers since the last call.
func (b *Book) TakeCounts() Counts {
	c := b.counts
	b.counts = Counts{}
	return c
}

// update records what a request tells of the group.
func (b *Book) update(now time.Time, r Request) {
	b.Expire(now)
	b.targets = max(0, r.Targets)
	if b.total > b.bound() {
		b.shrink()
	}
}

// bound is the most work that may be promised. It limits how far the requests that return come before new
// ones: a third of the aim, so that those still find most of it.
func (b *Book) bound() time.Duration { return time.Duration(b.targets) * b.longestAim / patience }

// shrink drops promises beyond the bound: the least urgent first, and of these the latest.
func (b *Book) shrink() {
	dropped := map[uint64]bool{}
	for rank := pick.Ranks - 1; rank >= 0; rank-- {
		for i := len(b.order) - 1; i >= 0 && b.total > b.bound(); i-- {
			if p := &b.order[i]; p.rank == rank {
				dropped[p.key] = true
				b.forget(p)
			}
		}
	}
	b.order = slices.DeleteFunc(b.order, func(p promise) bool { return dropped[p.key] })
	b.counts.Dropped += int64(len(dropped))
}

// promisedAhead is the promised work of a rank and of more urgent ones.
func (b *Book) promisedAhead(rank int) (sum time.Duration) {
	for _, work := range b.work[:rank+1] {
		sum += work
	}
	return sum
}

func (b *Book) insert(p promise) {
	i, _ := slices.BinarySearchFunc(b.order, p, compare)
	b.order = slices.Insert(b.order, i, p)
	b.byKey[p.key] = p.at
	b.work[p.rank] += p.work
	b.total += p.work
}

// remove drops the promise of a key and reports whether there was one.
func (b *Book) remove(key uint64) bool {
	at, ok := b.byKey[key]
	if !ok {
		return false
	}
	i, _ := slices.BinarySearchFunc(b.order, promise{key: key, at: at}, compare)
	b.forget(&b.order[i])
	b.order = slices.Delete(b.order, i, i+1)
	return true
}

// forget drops a promise from the sums and the index, but not from order.
func (b *Book) forget(p *promise) {
	delete(b.byKey, p.key)
	b.work[p.rank] -= p.work
	b.total -= p.work
}

func compare(a, b promise) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.key, b.key)) }

// millis converts an estimate in milliseconds, bounded by maxMillis; one that is no number counts as
// the bound.
func millis(n float64) time.Duration {
	if math.IsNaN(n) {
		n = maxMillis
	}
	return time.Duration(min(maxMillis, max(0, n)) * float64(time.Millisecond))
}

func clampRank(rank int) int { return min(max(0, rank), pick.Ranks-1) }
