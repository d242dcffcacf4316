package rawhttp

import "sync"

// Budget bounds the bytes that are held of the answers of all requests together: the bound of one answer does
// not keep the sum of many from using up the memory. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	limit int64
	used  int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the bytes that are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// NewShare returns the share of one request in the budget. The first free bytes don't count: usual answers are
// held whatever the others use.
func (b *Budget) NewShare(free int64) *Share { return &Share{of: b, free: free} }

// Share is what one request holds of a Budget. It is safe for concurrent use.
type Share struct {
	of   *Budget
	free int64
	// The fields below are guarded by of.mu.
	taken  int64
	closed bool
}

// Take counts n more bytes and reports whether they may be held.
func (s *Share) Take(n int64) bool {
	s.of.mu.Lock()
	defer s.of.mu.Unlock()
	if s.closed {
		return false
	}
	counted := max(0, s.taken+n-s.free) - max(0, s.taken-s.free)
	if s.of.used+counted > s.of.limit {
		return false
	}
	s.taken += n
	s.of.used += counted
	return true
}

// Close gives all bytes back; Take reports false from then on.
func (s *Share) Close() {
	s.of.mu.Lock()
	defer s.of.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	s.of.used -= max(0, s.taken-s.free)
}
