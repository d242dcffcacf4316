// Package memory bounds the bytes that the requests of a process hold together, from the first byte of a request to
// the last one of its answer, and decides whose request ends when there is no room.
//
// Each connection has a Share, which takes bytes before they are held. A share whose peer is the one that everybody
// waits for, as it has not sent all or does not read, may be told to yield; one whose request runs may not, so the
// bytes of a request that may have run are never taken from it. Time is passed in.
package memory

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultLimit is the limit of a Budget in bytes where the memory of the process is not known.
	DefaultLimit = 64 << 20
	// budgetShare is the part of a process's memory that a Budget may take up.
	budgetShare = 1.0 / 6
	// Small is how many bytes a share holds at most to count as small. Small shares yield last, and may use the
	// part of the limit that is kept for them.
	Small = 64 << 10
	// smallShare is the part of the limit that only small shares may use.
	smallShare = 1.0 / 4
	// yieldShare is the part of the limit by which shares that yield may exceed it until they have ended.
	yieldShare = 1.0 / 4
)

// ErrNoMemory says that the requests in progress take up the memory for a request. It must not run.
var ErrNoMemory = errors.New("the requests in progress take up the memory for this one")

// Limit returns the limit of a Budget in bytes for a process with this much memory in MiB; 0 means unknown.
func Limit(memoryMB int) int64 {
	if memoryMB <= 0 {
		return DefaultLimit
	}
	return int64(float64(memoryMB<<20) * budgetShare)
}

// Budget bounds what all its shares hold. It is safe for concurrent use.
type Budget struct {
	limit int64
	// origin is the time of the first phase of a share. Times are kept as durations since it, which a step of the time of
	// day does not change.
	origin atomic.Pointer[time.Time]

	mu     sync.Mutex
	shares map[*Share]struct{}
	// used is what shares hold that don't yield, and yielding what the others do.
	used, yielding int64
	stats          Stats
}

// Stats are the counts of a Budget.
type Stats struct {
	// Limit and Held are the bytes that may be held and that are.
	Limit, Held int64
	// Yielded counts the shares that were told to yield, and Refused the calls of Take that got nothing.
	Yielded, Refused int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit, shares: map[*Share]struct{}{}} }

// Stats returns the counts.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	s.Limit, s.Held = b.limit, b.used+b.yielding
	return s
}

// elapsed returns the time since the origin.
func (b *Budget) elapsed(now time.Time) time.Duration {
	if b.origin.Load() == nil {
		first := now
		b.origin.CompareAndSwap(nil, &first)
	}
	return now.Sub(*b.origin.Load())
}

// Phase says for whom a share's request waits.
type Phase int32

const (
	// Busy: for this process or for a target. The share does not yield.
	Busy Phase = iota
	// Reading: for the rest of what the peer sends.
	Reading
	// Writing: until the peer reads.
	Writing
	// Idle: there is no request.
	Idle
)

// Share is what one connection holds of a Budget. It is safe for concurrent use.
type Share struct {
	of *Budget
	// yield ends the request; nil if that is not possible.
	yield func()
	phase atomic.Int32
	// since is when the phase began, in nanoseconds after the budget's origin, and moved the bytes that the peer has sent
	// or read in it.
	since, moved atomic.Int64
	// The fields below are guarded by of.mu.
	held             int64
	yielding, closed bool
}

// Open returns a new share, which is Busy and holds nothing. yield is called once when its request must end, from
// any goroutine; nil for a share that never yields.
func (b *Budget) Open(yield func()) *Share {
	s := &Share{of: b, yield: yield}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares[s] = struct{}{}
	return s
}

// Begin begins a phase. Only Run ends Reading where a request may run afterwards.
func (s *Share) Begin(p Phase, now time.Time) {
	s.since.Store(int64(s.of.elapsed(now)))
	s.moved.Store(0)
	s.phase.Store(int32(p))
}

// Phase returns the phase.
func (s *Share) Phase() Phase { return Phase(s.phase.Load()) }

// Run begins Busy at the end of Reading. It reports false if the share was told to yield: the request must not run.
func (s *Share) Run(now time.Time) bool {
	s.of.mu.Lock()
	defer s.of.mu.Unlock()
	if s.yielding {
		return false
	}
	s.Begin(Busy, now)
	return true
}

// Moved counts bytes that the peer has sent or read in the phase.
func (s *Share) Moved(n int) { s.moved.Add(int64(n)) }

// Claim returns what decides whether the share yields.
func (s *Share) Claim(now time.Time) Claim {
	s.of.mu.Lock()
	defer s.of.mu.Unlock()
	return s.claim(now)
}

// claim needs of.mu.
func (s *Share) claim(now time.Time) Claim {
	c := Claim{Held: s.held, Lag: lag(s.of.elapsed(now)-time.Duration(s.since.Load()), s.moved.Load())}
	if s.yield == nil || s.yielding || s.closed {
		return c
	}
	switch s.Phase() {
	case Reading:
		c.MayYield = true
	case Writing:
		c.MayYield = c.Lag >= stallTime
	}
	return c
}

// Take counts n more bytes and reports whether they may be held. Others may be told to yield for them.
func (s *Share) Take(now time.Time, n int64) bool {
	victims, ok := s.of.take(s, now, n)
	for _, v := range victims {
		v.yield()
	}
	return ok
}

// take counts n bytes of a share, and returns the shares to end for that.
func (b *Budget) take(s *Share, now time.Time, n int64) (victims []*Share, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.closed || s.yielding {
		return nil, false
	}
	limit := b.limit
	if s.held+n > Small {
		limit -= int64(float64(b.limit) * smallShare)
	}
	if b.used+b.yielding+n > limit+int64(float64(b.limit)*yieldShare) {
		b.stats.Refused++
		return nil, false
	}
	if need := b.used + n - limit; need > 0 {
		victims, ok = b.victims(s, now, n, need)
		if !ok {
			b.stats.Refused++
			return nil, false
		}
		for _, v := range victims {
			b.markYielding(v)
		}
	}
	s.held += n
	b.used += n
	return victims, true
}

// victims returns the shares to end so that s gets n bytes, of which need are missing. It needs b.mu.
func (b *Budget) victims(s *Share, now time.Time, n, need int64) ([]*Share, bool) {
	newcomer := s.claim(now)
	newcomer.Held += n
	var candidates []*Share
	var claims []Claim
	for x := range b.shares {
		if c := x.claim(now); x != s && c.Held > 0 && c.MayYield {
			candidates, claims = append(candidates, x), append(claims, c)
		}
	}
	chosen, ok := Choose(newcomer, claims, need)
	if !ok {
		return nil, false
	}
	victims := make([]*Share, 0, len(chosen))
	for _, k := range chosen {
		victims = append(victims, candidates[k])
	}
	return victims, true
}

// markYielding needs b.mu.
func (b *Budget) markYielding(s *Share) {
	s.yielding = true
	b.used -= s.held
	b.yielding += s.held
	b.stats.Yielded++
}

// Yield tells a share to yield, unless it may not.
func (s *Share) Yield(now time.Time) bool {
	s.of.mu.Lock()
	may := s.claim(now).MayYield
	if may {
		s.of.markYielding(s)
	}
	s.of.mu.Unlock()
	if may {
		s.yield()
	}
	return may
}

// Yielding reports whether the share was told to yield.
func (s *Share) Yielding() bool {
	s.of.mu.Lock()
	defer s.of.mu.Unlock()
	return s.yielding
}

// Grow returns a copy of a buffer, which the share holds, with more room, and reports whether the bytes may be held.
func (s *Share) Grow(now time.Time, buffer []byte, room int64) ([]byte, bool) {
	if !s.Take(now, room) {
		return buffer, false
	}
	grown := append(make([]byte, 0, room), buffer...)
	s.Give(int64(cap(buffer)))
	return grown, true
}

// Give gives n bytes back.
func (s *Share) Give(n int64) {
	s.of.mu.Lock()
	defer s.of.mu.Unlock()
	s.of.give(s, min(n, s.held))
}

// give needs b.mu.
func (b *Budget) give(s *Share, n int64) {
	s.held -= n
	if s.yielding {
		b.yielding -= n
	} else {
		b.used -= n
	}
}

// Reset gives all bytes back: the request has ended.
func (s *Share) Reset() {
	s.of.mu.Lock()
	defer s.of.mu.Unlock()
	s.of.give(s, s.held)
}

// Close gives all bytes back; Take reports false from then on.
func (s *Share) Close() {
	s.of.mu.Lock()
	defer s.of.mu.Unlock()
	s.of.give(s, s.held)
	s.closed = true
	delete(s.of.shares, s)
}

type contextKey struct{}

// NewContext returns a context with the share of its request.
func NewContext(ctx context.Context, s *Share) context.Context {
	return context.WithValue(ctx, contextKey{}, s)
}

// Of returns the share of a context, or one of a budget of its own if it has none.
func Of(ctx context.Context) *Share {
	if s := FromContext(ctx); s != nil {
		return s
	}
	return New(DefaultLimit).Open(nil)
}

// FromContext returns the share of a context; nil if it has none.
func FromContext(ctx context.Context) *Share {
	s, _ := ctx.Value(contextKey{}).(*Share)
	return s
}
