package transport

import (
	"errors"
	"net"
	"sync"

	"golang.org/x/sys/unix"

	"github.com/gullhaven/gullhaven/coord/httpconn"
)

var (
	// errTargetEnded is returned for a write to a connection that the target has closed.
	errTargetEnded = errors.New("the target has closed the connection")
	// errAbandoned is returned for a write of a request that has failed.
	errAbandoned = errors.New("the request has been given up")
)

// evidence watches a connection to a target and finds out whether the target can have read a request.
//
// A target that closes a connection acknowledges with the close all that it had received by then.
// So if the stream ends after a request was written, and no byte of the request is acknowledged,
// the target had closed before the request came, and cannot have read it. A reset by itself proves
// nothing: it is sent for a request that came after the close as well as for one that the target
// read before it crashed.
type evidence struct {
	// calls is the lock of the connection's calls, under which the watcher's methods are called. So nothing is written
	// after abandon, and what the kernel tells is recorded in the order in which it tells it.
	calls sync.Locker
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

// watch returns the connection to a target of a new connection, with its evidence. It closes one that has no socket.
func watch(c net.Conn) (*httpconn.Conn, error) {
	e := new(evidence)
	checked, err := httpconn.Dialed(c, e)
	if err == nil {
		e.calls = checked.Socket().Calls()
	}
	return checked, err
}

// evidenceOf returns the evidence of a connection of watch, nil for another one.
func evidenceOf(c net.Conn) *evidence {
	checked, ok := c.(*httpconn.Conn)
	if !ok || checked.Socket() == nil {
		return nil
	}
	e, _ := checked.Socket().Watcher().(*evidence)
	return e
}

// begin must be called before each request.
func (e *evidence) begin() {
	e.calls.Lock()
	defer e.calls.Unlock()
	e.written, e.answered, e.abandoned = 0, false, false
}

// BeforeWrite implements httpconn.Watcher.
func (e *evidence) BeforeWrite(fd int) error {
	if e.abandoned {
		return errAbandoned
	}
	if closedByPeer(fd) {
		e.end(fd)
	}
	if e.ended {
		return errTargetEnded
	}
	return nil
}

// Wrote implements httpconn.Watcher.
func (e *evidence) Wrote(fd, n int, err error) {
	e.written += n
	switch {
	case errors.Is(err, unix.EPIPE) && !e.failed:
		// The kernel says so only if the stream had ended before the reset, else ECONNRESET.
		e.end(fd)
	case err != nil:
		e.failed = true
	}
}

// Read implements httpconn.Watcher.
func (e *evidence) Read(fd, n int, err error) {
	switch {
	case n > 0:
		e.answered = true
	case err == nil:
		e.end(fd)
	default:
		e.failed = true
	}
}

// end records the end of the stream. e.calls must be held.
func (e *evidence) end(fd int) {
	if !e.ended {
		e.ended = true
		e.unread = !e.failed && unacknowledged(fd) >= e.written
	}
}

// abandon ends the current request, of which nothing is written after this. It reports whether the
// target may have read a byte of it.
func (e *evidence) abandon() (mayBeRead bool) {
	e.calls.Lock()
	defer e.calls.Unlock()
	e.abandoned = true
	return e.written > 0 && (e.answered || !e.unread)
}
