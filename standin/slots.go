package standin

import (
	"context"
	"slices"
	"sync"
)

// slots bounds the requests that run at once. Waiting ones start by priority,
// highest first, then by arrival.
type slots struct {
	mu         sync.Mutex
	free       int
	running    int
	maxWaiting int
	waiting    []*waiter
}

type waiter struct {
	priority int
	start    chan struct{}
}

func newSlots(n, maxWaiting int) *slots { return &slots{free: n, maxWaiting: maxWaiting} }

// acquire waits for a slot. It returns false if too many wait or ctx ended.
func (s *slots) acquire(ctx context.Context, priority int) bool {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.running++
		s.mu.Unlock()
		return true
	}
	if len(s.waiting) >= s.maxWaiting {
		s.mu.Unlock()
		return false
	}
	w := &waiter{priority: priority, start: make(chan struct{})}
	i := slices.IndexFunc(s.waiting, func(o *waiter) bool { return o.priority < priority })
	if i < 0 {
		i = len(s.waiting)
	}
	s.waiting = slices.Insert(s.waiting, i, w)
	s.mu.Unlock()
	select {
	case <-w.start:
		return true
	case <-ctx.Done():
		return s.abandon(w)
	}
}

// abandon removes a waiter. If it got a slot meanwhile, the slot is released.
func (s *slots) abandon(w *waiter) bool {
	s.mu.Lock()
	i := slices.Index(s.waiting, w)
	if i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	s.mu.Unlock()
	if i < 0 {
		s.release()
	}
	return false
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.free++
		s.running--
		return
	}
	w := s.waiting[0]
	s.waiting = slices.Delete(s.waiting, 0, 1)
	close(w.start)
}

func (s *slots) load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting)
}
