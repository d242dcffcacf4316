package serve

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gullhaven/gullhaven/coord/memory"
)

const (
	// callersShare is the part of a process's descriptors that the connections of callers take before idle ones are
	// ended, and mostCallersShare before slow ones are. Each request in progress needs one more, and all other
	// duties the rest.
	callersShare     = 3.0 / 8
	mostCallersShare = 1.0 / 2
	// otherShare and mostOtherShare are those of each other port that clients reach.
	otherShare     = 1.0 / 16
	mostOtherShare = 1.0 / 8
	// connsMemoryShare is the part of the memory that the connections of callers take up, connBytes each: two
	// buffers and the stacks of two goroutines.
	connsMemoryShare = 1.0 / 4
	connBytes        = 32 << 10
	// excessShare is the part of the bound of all connections that may be closing beyond it.
	excessShare = 8
	// kernelBufferBytes bounds what the kernel holds of a connection in each direction. It counts twice as much, for
	// its own records.
	kernelBufferBytes = 64 << 10
)

// retryAfterSeconds is when the caller of a request may return that was refused for want of memory or descriptors.
const retryAfterSeconds = "1"

// Bounds are the bounds of a server's connections; 0 for none.
type Bounds struct {
	// Idle is how many there may be before idle ones are ended.
	Idle int
	// Most is how many there may be before those are ended whose clients are the slowest to send or read. If all
	// wait for this process or for targets, new ones are closed. Without it clients are trusted to send their requests
	// at once.
	Most int
}

// CallerBounds returns the bounds for a server of callers, by the descriptors of the process and its memory in MiB, of
// which 0 means unknown.
func CallerBounds(memoryMB int) Bounds {
	b := bounds(callersShare, mostCallersShare)
	if memoryMB > 0 {
		b.Most = min(b.Most, int(float64(memoryMB<<20)*connsMemoryShare/connBytes))
		b.Idle = min(b.Idle, b.Most)
	}
	return b
}

// OtherBounds returns the bounds for another server that clients reach.
func OtherBounds() Bounds { return bounds(otherShare, mostOtherShare) }

func bounds(idle, most float64) Bounds {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return Bounds{}
	}
	of := func(share float64) int { return int(min(float64(limit.Cur)*share, math.MaxInt32)) }
	return Bounds{Idle: of(idle), Most: of(most)}
}

// Limit bounds the server's connections, what its requests hold of b together, and each head by what maxHead returns
// in bytes; 0 or a nil function leaves it to http.Server. It must be called before Serve.
func (s *Server) Limit(b *memory.Budget, c Bounds, maxHead func() int) {
	s.memory, s.mostConns, s.maxHead = b, c.Most, maxHead
	s.LimitConns(c.Idle)
	handler, more := s.http.Handler, s.http.ConnContext
	s.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		share := memory.FromContext(r.Context())
		if share == nil {
			handler.ServeHTTP(w, r)
			return
		}
		if !share.Run(time.Now()) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", retryAfterSeconds)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
		// http.Server reads what the handler has left of the body.
		share.Begin(memory.Reading, time.Now())
	})
	s.http.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if more != nil {
			ctx = more(ctx, c)
		}
		if x, ok := c.(*conn); ok && x.share != nil {
			ctx = memory.NewContext(ctx, x.share)
		}
		return ctx
	}
	if c.Most > 0 {
		limitKernelBuffers(s.listener)
	}
}

// openShare opens the share of a new connection, if that is limited. Without a bound of all connections the clients
// are trusted: their heads do not count, and they do not yield.
func (s *Server) openShare(c *conn, now time.Time) {
	if s.memory == nil {
		return
	}
	yield := c.yield
	if s.mostConns <= 0 {
		yield = nil
	}
	c.share = s.memory.Open(yield)
	c.share.Begin(memory.Reading, now)
}

// limitKernelBuffers bounds the kernel's buffers of the connections that a listener accepts.
func limitKernelBuffers(l net.Listener) {
	if x, ok := l.(*listener); ok {
		l = x.Listener
	}
	sc, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		// Without it the kernel's own bounds hold.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, kernelBufferBytes)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, kernelBufferBytes)
	})
}

// ConnStats are the counts of a server's connections.
type ConnStats struct {
	// Open are the connections. Ended counts those that were ended because their clients were slow, and Refused those
	// that were closed before a byte was read and heads that were refused.
	Open, Ended, Refused int64
}

type connCounters struct{ ended, refused atomic.Int64 }

// Stats returns the counts.
func (s *Server) Stats() ConnStats {
	s.mu.Lock()
	open := len(s.conns)
	s.mu.Unlock()
	return ConnStats{Open: int64(open), Ended: s.counters.ended.Load(), Refused: s.counters.refused.Load()}
}

// makeRoom ends the slowest connection other than c if there are too many, and reports whether there is room for c.
func (s *Server) makeRoom(c *conn, now time.Time) bool {
	s.mu.Lock()
	n := len(s.conns)
	if s.mostConns <= 0 || n <= s.mostConns {
		s.mu.Unlock()
		return true
	}
	others := make([]*conn, 0, n)
	for x := range s.conns {
		if x != c {
			others = append(others, x)
		}
	}
	s.mu.Unlock()
	claims := make([]memory.Claim, 0, len(others))
	for _, x := range others {
		claims = append(claims, x.share.Claim(now))
	}
	k := memory.Slowest(claims)
	if k < 0 || n > s.mostConns+s.mostConns/excessShare {
		s.counters.refused.Add(1)
		return false
	}
	if others[k].share.Yield(now) {
		s.counters.ended.Add(1)
	}
	return true
}
