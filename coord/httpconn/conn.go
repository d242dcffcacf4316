// Package httpconn has the client's side of HTTP/1.1 connections on which only valid answers arrive, and whose end is
// an error if the kernel has reported one.
//
// net/http takes answers for valid that are not: a status below 100 for an interim answer, a field name with a blank
// for a field of another name, so that a length or an encoding is lost. A Conn checks the bytes before net/http reads
// them. A broken answer ends at its first wrong byte, with an *Error, and its connection is of no further use.
package httpconn

import (
	"io"
	"net"
	"sync"
)

// Conn is the client's side of a connection. Only one goroutine may read from it at a time.
type Conn struct {
	net.Conn

	mu     sync.Mutex
	parser parser
	// begun says that a byte of the current answer was read.
	begun bool
	// broken is why no more bytes are read, ended the error of the connection under it.
	broken, ended error
}

// New returns the Conn of a connection on which requests are written as they are.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Dialed returns the Conn of a new connection that has a socket, and closes one that has none. The watcher may be nil.
func Dialed(c net.Conn, w Watcher) (*Conn, error) {
	s, err := NewSocket(c, w)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return New(s), nil
}

// Begin must be called before each request is written. upgrade says that it asks for another protocol. It reports
// whether the connection can take a request: the answer before was read to its end, and nothing follows it.
func (c *Conn) Begin(method string, upgrade bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = false
	return c.broken == nil && c.parser.begin(method, upgrade)
}

// Read reads a part of an answer.
func (c *Conn) Read(p []byte) (int, error) {
	// Only Read sets it.
	if c.broken != nil {
		return 0, c.broken
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && c.ended == nil {
		c.ended = err
	}
	if n <= 0 {
		return n, err
	}
	valid, broken := c.parser.next(p[:n])
	if broken == nil {
		c.begun = true
		return n, err
	}
	c.broken = broken
	if !c.begun && broken != errStray {
		// net/http sends a request again whose connection fails before the first byte of an answer.
		c.begun = true
		valid = max(valid, 1)
	}
	if valid == 0 {
		return 0, broken
	}
	return valid, nil
}

// Broken returns why nothing more is read: the answer is not valid, or bytes came that belong to none. It returns nil
// for a connection that is sound or has ended.
func (c *Conn) Broken() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

// Idle reports whether the last answer was read to its end and nothing follows it.
func (c *Conn) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken == nil && c.parser.state == idle
}

// Socket returns the socket of a connection of Dialed, nil for one of New.
func (c *Conn) Socket() *Socket {
	s, _ := c.Conn.(*Socket)
	return s
}

// Silent reports whether a read would block. It is false for a connection that has no Socket.
func (c *Conn) Silent() bool {
	s := c.Socket()
	return s != nil && c.Broken() == nil && s.Silent()
}

// maxReasonBytes bounds what an Error quotes of an error of net/http.
const maxReasonBytes = 256

// Cause returns why an answer could not be read, given the error of its reader: an *Error if it is not valid, which
// the reader may have found itself or left out of its own error.
func (c *Conn) Cause(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil || err == io.EOF:
		return err
	case c.broken != nil:
		return c.broken
	case c.ended != nil:
		return err
	}
	text := err.Error()
	return &Error{text[:min(len(text), maxReasonBytes)]}
}
