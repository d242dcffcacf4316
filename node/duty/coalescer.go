package duty

import (
	"context"
	"sync"
)

// Coalescer runs a function once for all callers that request it before the run begins.
// Callers during a run share the next run, so that each caller's run begins after its
// request. The zero value is ready to use.
type Coalescer struct {
	mu sync.Mutex
	// running is set while a run is in progress; pending is the one after it, nil if no
	// caller waits for it.
	running bool
	pending *sharedRun
}

type sharedRun struct {
	do   func()
	done chan struct{}
}

// Do waits for a run that begins after the call, or until ctx ends. All callers must pass
// functions that do the same.
func (s *Coalescer) Do(ctx context.Context, do func()) {
	w := s.join(do)
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}

func (s *Coalescer) join(do func()) *sharedRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		s.pending = &sharedRun{do: do, done: make(chan struct{})}
	}
	w := s.pending
	if !s.running {
		s.running = true
		go s.run()
	}
	return w
}

// run executes runs until no caller waits.
func (s *Coalescer) run() {
	for {
		s.mu.Lock()
		w := s.pending
		s.pending, s.running = nil, w != nil
		s.mu.Unlock()
		if w == nil {
			return
		}
		w.do()
		close(w.done)
	}
}
