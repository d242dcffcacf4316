package deciding

import (
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/route/admit"
	"github.com/gullhaven/gullhaven/route/pick"
	"github.com/gullhaven/gullhaven/route/promise"
)

// bookIdleTime is how long a group's book is kept without a request: the instance then no longer decides
// for the group, or its targets are idle.
const bookIdleTime = 10 * time.Second

// PromisedReturns implements Returns with one book of promises per group. It is safe for concurrent use.
type PromisedReturns struct {
	pool *pick.Pool

	mu     sync.Mutex
	books  map[pick.Group]*groupBook
	counts promise.Counts
}

// groupBook is the book of one group.
type groupBook struct {
	*promise.Book
	lastAt time.Time
}

// NewPromisedReturns returns a PromisedReturns without promises. pool has the targets of the groups.
func NewPromisedReturns(pool *pick.Pool) *PromisedReturns {
	return &PromisedReturns{pool: pool, books: map[pick.Group]*groupBook{}}
}

// request returns the arrival as the book needs it. The chosen target counts as usable in any case.
func (p *PromisedReturns) request(now time.Time, a *Arrival) promise.Request {
	return promise.Request{
		Key: a.ContentKey, Rank: a.Rank, QueueMillis: a.QueueMillis, WaitMillis: a.WaitMillis, WorkMillis: a.WorkMillis,
		Aim: a.Aim, Left: a.Left, Targets: max(1, p.pool.UsableTargets(now, a.Group)),
	}
}

// Arrived implements Returns.
func (p *PromisedReturns) Arrived(now time.Time, a Arrival) (aheadMillis float64, promised bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.books[a.Group]
	if b == nil {
		return 0, false
	}
	b.lastAt = now
	r := p.request(now, &a)
	if b.Redeem(now, r) {
		return 0, true
	}
	return b.AheadMillis(now, r), false
}

// Admitted implements Returns.
func (p *PromisedReturns) Admitted(_ time.Time, a Arrival) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.books[a.Group]; b != nil {
		b.Admitted(a.ContentKey)
	}
}

// Refused implements Returns. A request without a content key is one whose caller does not return to this
// instance's region by itself, and one that is late in any case has no place. A workspace over its share
// gets no place either: its refused requests are the most in a flood, and would pass its share.
func (p *PromisedReturns) Refused(now time.Time, a Arrival, d admit.Decision) (after time.Duration, promised bool) {
	if a.ContentKey == 0 {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.books[a.Group]
	if d.Reason == admit.PastDeadline {
		if b != nil {
			b.Miss(now, a.ContentKey)
		}
		return 0, false
	}
	if b == nil {
		b = &groupBook{Book: promise.New()}
		p.books[a.Group] = b
	}
	b.lastAt = now
	r := p.request(now, &a)
	r.NoPlace = d.OverShare()
	told := b.Refuse(now, r)
	return told.RetryAfter, told.Promised
}

// Withdrawn implements Returns.
func (p *PromisedReturns) Withdrawn(_ time.Time, g pick.Group, contentKey uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.books[g]; b != nil {
		b.Withdraw(contentKey)
	}
}

// Sweep implements Returns.
func (p *PromisedReturns) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for group, b := range p.books {
		b.Expire(now)
		p.counts.Add(b.TakeCounts())
		if b.Promised() == 0 && now.Sub(b.lastAt) > bookIdleTime {
			delete(p.books, group)
		}
	}
}

// Stats returns the numbers of promises since the start, and the work promised now, in milliseconds
// summed over all groups.
func (p *PromisedReturns) Stats() (counts promise.Counts, promisedMillis int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.books {
		p.counts.Add(b.TakeCounts())
		promisedMillis += b.Promised().Milliseconds()
	}
	return p.counts, promisedMillis
}
