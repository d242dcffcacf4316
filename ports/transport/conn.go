package transport

import (
	"errors"
	"io"
	"net"
	"sync"
)

// errTargetEnded is returned for a write to a connection that the target has closed.
var errTargetEnded = errors.New("the target has closed the connection")

// conn is a connection to a target that finds out whether the target can have read a request.
//
// A target that closes a connection acknowledges with the close all that it had received by then.
// So if the stream ends after a request was written, and no byte of the request is acknowledged,
// the target had closed before the request came, and cannot have read it. A reset proves nothing:
// it is sent for a request that came after the close as well as for one that the target read before
// it crashed.
type conn struct {
	net.Conn

	// mu is held while a request is written, so that the end of the stream is found before or
	// after a write.
	mu sync.Mutex
	// written counts the bytes of the current request that were written. answered says that a byte
	// was read since it began.
	written  int
	answered bool
	// ended says that the target has closed the connection, unread that it had done so before any
	// byte of the current request came.
	ended, unread bool
	// failed says that a read or a write has failed otherwise. The kernel reports a reset once;
	// after that it looks like the end of the stream.
	failed bool
}

// begin must be called before each request.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written, c.answered = 0, false
}

// Write writes a part of a request, unless the target has closed the connection.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended && closedByPeer(c.Conn) {
		c.end()
	}
	if c.ended {
		return 0, errTargetEnded
	}
	n, err := c.Conn.Write(p)
	c.written += n
	c.failed = c.failed || err != nil
	return n, err
}

// Read reads a part of an answer.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && err == nil {
		return 0, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case n > 0:
		c.answered = true
	case errors.Is(err, io.EOF):
		c.end()
	default:
		c.failed = true
	}
	return n, err
}

// end records the end of the stream. c.mu must be held.
func (c *conn) end() {
	if !c.ended {
		c.ended = true
		c.unread = !c.failed && unacknowledged(c.Conn) >= c.written
	}
}

// targetRead reports whether the target may have read a byte of the current request.
func (c *conn) targetRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered || !c.unread
}
