package soak

import (
	"net"
	"sync/atomic"
)

// maxDoubledBytes bounds the answers that are sent a second time: whole ones, not streams.
const maxDoubledBytes = 2 << 10

// doubling is a listener whose connections send a second copy of each answer before the next one, while on
// is set.
type doubling struct {
	net.Listener
	on atomic.Bool
}

// Accept returns the next connection.
func (d *doubling) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &doublingConn{Conn: c, on: &d.on}, nil
}

// doublingConn keeps the last answer of a connection. Its server reads the whole request before it writes,
// so a byte that is read after an answer begins the next request.
type doublingConn struct {
	net.Conn
	on *atomic.Bool
	// answering is set from the first byte of an answer to that of the next request.
	answering atomic.Bool
	// last is the answer before, current the one in progress, each up to maxDoubledBytes and a byte.
	last, current []byte
}

// Read reads a part of a request.
func (c *doublingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.answering.Store(false)
	}
	return n, err
}

// Write writes a part of an answer, after the copy that is due.
func (c *doublingConn) Write(b []byte) (int, error) {
	if !c.answering.Swap(true) {
		c.last, c.current = c.current, nil
		if c.on.Load() && len(c.last) <= maxDoubledBytes {
			if _, err := c.Conn.Write(c.last); err != nil {
				return 0, err
			}
		}
	}
	c.current = append(c.current, b[:min(len(b), maxDoubledBytes+1-len(c.current))]...)
	return c.Conn.Write(b)
}
