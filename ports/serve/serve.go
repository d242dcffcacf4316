// Package serve runs an HTTP server that ends without leaving a request unanswered that it has read.
//
// http.Server.Shutdown closes idle connections whether or not a request has just been read from them, keeps
// those open that are new, and cannot tell an answer that is still being written. Here a connection on which
// no byte of a next request was read is ended by its read deadline, so that a byte which comes at that
// moment is either left unread or served.
package serve

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gullhaven/gullhaven/coord/memory"
)

// Server serves HTTP on one listener.
type Server struct {
	http     *http.Server
	listener net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
	// closing says that connections end once they are idle. empty is closed when none is left then.
	closing bool
	empty   chan struct{}
	// maxConns is the bound of LimitConns; 0 for none. With more connections than trimAt, idle ones are ended.
	maxConns, trimAt int
	// answers numbers the answers, to tell which connection has been idle for longest.
	answers atomic.Uint64
	// memory, mostConns and maxHead are those of Limit; nil and 0 for none.
	memory    *memory.Budget
	mostConns int
	maxHead   func() int
	counters  connCounters
}

// New returns a server for a listener. It sets the ConnState of s, and calls the former one with each new
// connection as it was accepted.
func New(l net.Listener, s *http.Server) *Server {
	server := &Server{http: s, conns: map[*conn]struct{}{}, empty: make(chan struct{})}
	server.listener = &listener{Listener: l, server: server}
	tune := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		x := c.(*conn)
		if state == http.StateNew && tune != nil {
			tune(x.Conn, state)
		}
		server.changed(x, state)
	}
	return server
}

// trimmedShare is the part of LimitConns's bound by which connections are ended at once: finding the idle ones takes
// a look at all.
const trimmedShare = 16

// LimitConns has the server end those connections that have been idle for longest while it has more than n. It must
// be called before Serve. Connections with a request in progress stay, so there may be more; see Limit.
func (s *Server) LimitConns(n int) { s.maxConns, s.trimAt = n, n }

// trim returns the connections to end, as there are too many. s.mu must be held.
func (s *Server) trim() []*conn {
	if s.maxConns <= 0 || len(s.conns) <= s.trimAt {
		return nil
	}
	batch := max(1, s.maxConns/trimmedShare)
	// Those that are ended still count until they are closed.
	s.trimAt = len(s.conns) + batch
	since := map[*conn]uint64{}
	for c := range s.conns {
		if n := c.idleSince(); n > 0 {
			since[c] = n
		}
	}
	idle := slices.SortedFunc(maps.Keys(since), func(a, b *conn) int { return cmp.Compare(since[a], since[b]) })
	return idle[:min(len(idle), len(s.conns)-s.maxConns+batch)]
}

// Serve serves until Close. It returns nil then.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing && (errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed)) {
		return nil
	}
	return err
}

// CloseIdle ends the connections on which a request was answered and no byte of a next one was read.
func (s *Server) CloseIdle() { s.endIdle((*conn).hasServed) }

// Close stops listening, ends each connection once it is idle, and returns when none is left. When ctx ends, it
// cuts the others off and returns their number.
func (s *Server) Close(ctx context.Context) (cut int) {
	s.mu.Lock()
	s.closing = true
	s.signalEmpty()
	s.mu.Unlock()
	// It is closed already if it fails.
	_ = s.listener.Close()
	s.endIdle(func(*conn) bool { return true })
	select {
	case <-s.empty:
	case <-ctx.Done():
	}
	s.mu.Lock()
	cut = len(s.conns)
	s.mu.Unlock()
	// The connections are ended in any case.
	_ = s.http.Close()
	return cut
}

func (s *Server) endIdle(which func(*conn) bool) {
	s.mu.Lock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		if which(c) {
			c.endIfIdle()
		}
	}
}

// changed follows the state of a connection.
func (s *Server) changed(c *conn, state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.idle()
		if s.isClosing() {
			c.endIfIdle()
		}
	case http.StateActive:
		// The request may have been read before the connection was ended.
		c.revive()
		c.inHead = false
	case http.StateHijacked:
		s.remove(c)
		if c.share != nil {
			c.share.Close()
		}
	}
}

// add reports false once the server closes, which would miss the connection. Nothing was read from it.
func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return false
	}
	s.conns[c] = struct{}{}
	trimmed := s.trim()
	s.mu.Unlock()
	for _, old := range trimmed {
		old.endIfIdle()
	}
	return true
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if len(s.conns) <= s.maxConns {
		s.trimAt = s.maxConns
	}
	s.signalEmpty()
}

// signalEmpty closes empty if that is due. It needs s.mu.
func (s *Server) signalEmpty() {
	if !s.closing || len(s.conns) > 0 {
		return
	}
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

// listener wraps the connections of a server.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		c := &conn{Conn: accepted, server: l.server, waiting: true, inHead: true}
		l.server.openShare(c, now)
		if !l.server.add(c) {
			_ = c.Close()
			return nil, net.ErrClosed
		}
		if l.server.makeRoom(c, now) {
			return c, nil
		}
		_ = c.Close()
	}
}

// conn is a connection of which is known whether a part of a request was read.
type conn struct {
	net.Conn
	server *Server

	mu sync.Mutex
	// waiting says that no byte of a next request was read, served that a request was answered before.
	waiting, served bool
	// ended says that the read deadline ends the wait for a next request.
	ended bool
	// lastAnswer is the number of the last answer.
	lastAnswer uint64
	// writing says that an answer is being written, and yielded that the request was told to end.
	writing, yielded bool

	// share is what the connection's requests hold; nil if that is not limited.
	share *memory.Share
	// The fields below are those of the goroutine that serves the connection. inHead says that a head is being read,
	// of which headBytes have come, and headErr why it is not read on.
	inHead    bool
	headBytes int
	headErr   error
	// refused says that a head was refused, and that its client may still read that.
	refused atomic.Bool
}

// NetConn returns the connection as it was accepted.
func (c *conn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("a %T has no socket", c.Conn)
	}
	return sc.SyscallConn()
}

// CloseWrite shuts down the writing side, by which http.Server keeps an answer from being lost to a reset.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return fmt.Errorf("a %T cannot be closed for writing only", c.Conn)
	}
	return half.CloseWrite()
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.headErr != nil {
		// net/http reads on after an error between two lines.
		return 0, c.headErr
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.revive()
	}
	if c.share == nil || !c.inHead {
		return n, err
	}
	switch {
	case n > 0:
		c.headErr = c.readHead(p[:n])
	case c.hasYielded() && c.headBytes > 0:
		c.headErr = c.refuse(refuseNoRoom)
	}
	if c.headErr != nil {
		return 0, c.headErr
	}
	return n, err
}

func (c *conn) hasYielded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.yielded
}

// SetReadDeadline implements net.Conn. An ended connection keeps its deadline, as does one that was told to yield.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.yielded {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.Conn.SetWriteDeadline(t), c.SetReadDeadline(t))
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.share != nil {
		c.share.Close()
	}
	if c.refused.Swap(false) && !c.server.isClosing() {
		c.linger()
	}
	c.server.remove(c)
	return c.Conn.Close()
}

func (c *conn) hasServed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served
}

// idle records that the last request was answered.
func (c *conn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.served = true, true
	c.lastAnswer = c.server.answers.Add(1)
	if c.share != nil {
		c.inHead, c.headBytes = true, 0
		c.share.Begin(memory.Idle, time.Now())
		c.share.Reset()
	}
}

// idleSince returns the number of the last answer if the connection has been idle since; 0 if it is not idle, has
// served nothing or is being ended.
func (c *conn) idleSince() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting || c.ended {
		return 0
	}
	return c.lastAnswer
}

// longPast is a deadline that has passed.
var longPast = time.Unix(1, 0)

// endIfIdle ends the wait for a next request.
func (c *conn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting || c.ended {
		return
	}
	c.ended = true
	// It fails only if the connection is closed.
	_ = c.Conn.SetReadDeadline(longPast)
}

// revive records that a part of a request was read, which must be served.
func (c *conn) revive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && c.lastAnswer > 0 && c.share != nil {
		c.share.Begin(memory.Reading, time.Now())
	}
	c.waiting = false
	if c.ended && !c.yielded {
		c.ended = false
		// It fails only if the connection is closed.
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}
