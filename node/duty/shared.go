package duty

import (
	"context"
	"sync"
)

// Shared makes a piece of work once for all that ask for it while it has not begun. Those
// that come during it share the next one, so that it always begins after it was asked for.
// The zero value is ready.
type Coalescer struct {
	mu sync.Mutex
	// running says that a piece of work is under way; next ends with the one after it, and is
	// nil where nobody waits for that.
	running bool
	next    *sharedWork
}

type sharedWork struct {
	do   func()
	done chan struct{}
}

// Do waits for a piece of work that begins from now on, or until ctx ends. All that share one
// must ask for the same.
func (s *Coalescer) Do(ctx context.Context, do func()) {
	w := s.join(do)
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}

func (s *Coalescer) join(do func()) *sharedWork {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = &sharedWork{do: do, done: make(chan struct{})}
	}
	w := s.next
	if !s.running {
		s.running = true
		go s.run()
	}
	return w
}

// run works until nobody waits.
func (s *Coalescer) run() {
	for {
		s.mu.Lock()
		w := s.next
		s.next, s.running = nil, w != nil
		s.mu.Unlock()
		if w == nil {
			return
		}
		w.do()
		close(w.done)
	}
}
