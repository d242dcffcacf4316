package transport

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

var (
	// errTargetEnded is returned for a write to a connection that the target has closed.
	errTargetEnded = errors.New("the target has closed the connection")
	// errAbandoned is returned for a write of a request that has failed.
	errAbandoned = errors.New("the request has been given up")
)

// conn is a connection to a target that finds out whether the target can have read a request.
//
// A target that closes a connection acknowledges with the close all that it had received by then.
// So if the stream ends after a request was written, and no byte of the request is acknowledged,
// the target had closed before the request came, and cannot have read it. A reset by itself proves
// nothing: it is sent for a request that came after the close as well as for one that the target
// read before it crashed.
type conn struct {
	net.Conn
	raw syscall.RawConn

	// mu is held during each read and write by the kernel, never while one is waited for. So what
	// the kernel tells is recorded in the order in which it tells it.
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
	// abandoned says that the current request has failed.
	abandoned bool
}

// newConn returns the conn of a connection that has a socket.
func newConn(c net.Conn) (*conn, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("a %T has no socket", c)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, raw: raw}, nil
}

// begin must be called before each request.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written, c.answered, c.abandoned = 0, false, false
}

// Write writes a part of a request, unless the target has closed the connection.
func (c *conn) Write(p []byte) (n int, err error) {
	waited := c.raw.Write(func(fd uintptr) bool {
		for n < len(p) && err == nil {
			var part int
			part, err = c.writeSome(int(fd), p[n:])
			n += part
		}
		if errors.Is(err, unix.EAGAIN) {
			err = nil
			return false
		}
		return true
	})
	if err == nil {
		err = waited
	}
	return n, err
}

// writeSome writes what the kernel takes at once.
func (c *conn) writeSome(fd int, p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		return 0, errAbandoned
	}
	if closedByPeer(fd) {
		c.end(fd)
	}
	if c.ended {
		return 0, errTargetEnded
	}
	n, err := uninterrupted(func() (int, error) { return unix.Write(fd, p) })
	c.written += n
	switch {
	case errors.Is(err, unix.EPIPE) && !c.failed:
		// The kernel says so only if the stream had ended before the reset, else ECONNRESET.
		c.end(fd)
	case err != nil && !errors.Is(err, unix.EAGAIN):
		c.failed = true
	}
	return n, os.NewSyscallError("write", err)
}

// Read reads a part of an answer.
func (c *conn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	waited := c.raw.Read(func(fd uintptr) bool {
		n, err = c.readSome(int(fd), p)
		return !errors.Is(err, unix.EAGAIN)
	})
	if waited != nil {
		return 0, waited
	}
	return n, err
}

// readSome reads what the kernel has.
func (c *conn) readSome(fd int, p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := uninterrupted(func() (int, error) { return unix.Read(fd, p) })
	switch {
	case n > 0:
		c.answered = true
	case err == nil:
		c.end(fd)
		return 0, io.EOF
	case !errors.Is(err, unix.EAGAIN):
		c.failed = true
	}
	return n, os.NewSyscallError("read", err)
}

// uninterrupted calls the kernel until no signal interrupts it. It returns no negative number.
func uninterrupted(call func() (int, error)) (int, error) {
	for {
		n, err := call()
		if !errors.Is(err, unix.EINTR) {
			return max(0, n), err
		}
	}
}

// end records the end of the stream. c.mu must be held.
func (c *conn) end(fd int) {
	if !c.ended {
		c.ended = true
		c.unread = !c.failed && unacknowledged(fd) >= c.written
	}
}

// abandon ends the current request, of which nothing is written after this. It reports whether the
// target may have read a byte of it.
func (c *conn) abandon() (mayBeRead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = true
	return c.written > 0 && (c.answered || !c.unread)
}
