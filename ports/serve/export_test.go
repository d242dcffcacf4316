package serve

import "runtime"

// AwaitIdle returns when n connections have served a request and wait for a next one.
func (s *Server) AwaitIdle(n int) {
	for s.countIdle() != n {
		runtime.Gosched()
	}
}

func (s *Server) countIdle() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.idleSince() > 0 {
			n++
		}
	}
	return n
}
