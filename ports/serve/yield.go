package serve

import (
	"net"
	"time"

	"github.com/gullhaven/gullhaven/coord/memory"
)

// yield ends the request: its caller gets a refusal, or, if it does not read its answer, a reset.
func (c *conn) yield() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.yielded = true
	if !c.writing {
		// They fail only if the connection is closed.
		_ = c.Conn.SetReadDeadline(longPast)
		_ = c.Conn.SetWriteDeadline(time.Now().Add(refusedLinger))
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// The kernel would keep what the client does not read.
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// writeStep is how much of an answer is written at once, to notice whether the client reads.
const writeStep = 64 << 10

// Write implements net.Conn.
func (c *conn) Write(p []byte) (n int, err error) {
	if c.share == nil {
		return c.Conn.Write(p)
	}
	defer c.beginWriting()()
	for {
		m, err := c.Conn.Write(p[n:min(len(p), n+writeStep)])
		n += m
		c.share.Moved(m)
		if err != nil || n == len(p) {
			return n, err
		}
	}
}

// beginWriting records that an answer is being written until end is called. While the rest of a request is still to
// be read, that is what its share waits for: a 100 Continue does not change it.
func (c *conn) beginWriting() (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = true
	reading := c.share.Phase() == memory.Reading
	if !reading {
		c.share.Begin(memory.Writing, time.Now())
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.writing = false
		if !reading {
			c.share.Begin(memory.Busy, time.Now())
		}
	}
}
