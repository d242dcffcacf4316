package httpconn

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

// Socket is a connection that keeps the first error that the kernel reports of it.
//
// The kernel reports the error of a socket once, to whichever call comes next. If that is a write or a peek, a read
// finds the end of the stream after it, and a part of an answer that ends with its connection looks whole.
type Socket struct {
	net.Conn
	raw     syscall.RawConn
	watcher Watcher

	// mu is held during each call of the kernel, never while one is waited for. So what the kernel tells is recorded
	// in the order in which it tells it.
	mu  sync.Mutex
	err error

	in, out transfer
}

// Watcher is told of the calls of a Socket, in their order. Its methods are called with the lock of Socket.Calls held,
// from before a write until after it.
type Watcher interface {
	// BeforeWrite returns the error of a write that must not be made.
	BeforeWrite(fd int) error
	// Wrote and Read are told the result of a call; no error is EAGAIN.
	Wrote(fd, n int, err error)
	Read(fd, n int, err error)
}

// transfer is the read or the write in progress.
type transfer struct {
	mu  sync.Mutex
	p   []byte
	n   int
	err error
	// try does what can be done without waiting, and reports whether that is all.
	try func(fd uintptr) bool
}

// run makes a call of which part is what wait calls when the socket is ready.
func (t *transfer) run(p []byte, wait func(func(fd uintptr) bool) error) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.p, t.n, t.err = p, 0, nil
	waited := wait(t.try)
	t.p = nil
	if waited != nil {
		return t.n, waited
	}
	return t.n, t.err
}

// NewSocket returns the Socket of a connection that has one. The watcher may be nil.
func NewSocket(c net.Conn, w Watcher) (*Socket, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("a %T has no socket", c)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	s := &Socket{Conn: c, raw: raw, watcher: w}
	s.in.try, s.out.try = s.tryRead, s.tryWrite
	return s, nil
}

// Watcher returns what NewSocket was given.
func (s *Socket) Watcher() Watcher { return s.watcher }

// Calls returns the lock that is held during each call of the kernel.
func (s *Socket) Calls() sync.Locker { return &s.mu }

// Read reads what has arrived. It returns io.EOF only if no call has reported an error.
func (s *Socket) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, err := s.in.run(p, s.raw.Read)
	return n, s.opError("read", err)
}

func (s *Socket) tryRead(fd uintptr) bool {
	s.in.n, s.in.err = s.readSome(int(fd), s.in.p)
	return s.in.err != unix.EAGAIN
}

func (s *Socket) readSome(fd int, p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := uninterrupted(unix.Read, fd, p)
	if err == unix.EAGAIN {
		return 0, err
	}
	if s.watcher != nil {
		s.watcher.Read(fd, n, err)
	}
	switch {
	case err != nil:
		s.record(err)
	case n == 0 && s.err != nil:
		err = s.err
	case n == 0:
		err = io.EOF
	}
	return n, err
}

// Write writes p.
func (s *Socket) Write(p []byte) (int, error) {
	n, err := s.out.run(p, s.raw.Write)
	return n, s.opError("write", err)
}

func (s *Socket) tryWrite(fd uintptr) bool {
	for s.out.n < len(s.out.p) {
		n, err := s.writeSome(int(fd), s.out.p[s.out.n:])
		if s.out.n += n; err == unix.EAGAIN {
			return false
		}
		if err != nil {
			s.out.err = err
			return true
		}
	}
	return true
}

func (s *Socket) writeSome(fd int, p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watcher != nil {
		if err := s.watcher.BeforeWrite(fd); err != nil {
			return 0, err
		}
	}
	n, err := uninterrupted(unix.Write, fd, p)
	if err == unix.EAGAIN {
		return n, err
	}
	if s.watcher != nil {
		s.watcher.Wrote(fd, n, err)
	}
	if err != nil {
		s.record(err)
	}
	return n, err
}

// Silent reports whether a read would block: nothing has arrived that was not read, neither bytes nor the end of the
// connection. It may be called during a Read.
func (s *Socket) Silent() bool {
	silent := false
	err := s.raw.Control(func(fd uintptr) {
		s.mu.Lock()
		defer s.mu.Unlock()
		var b [1]byte
		_, err := uninterrupted(peek, int(fd), b[:])
		if silent = err == unix.EAGAIN; err != nil && !silent {
			s.record(err)
		}
	})
	return err == nil && silent
}

// record keeps the first error of the connection. EPIPE is none: the kernel reports it to a write after the other end
// has closed the connection in order, and what was received before is whole.
func (s *Socket) record(err error) {
	if s.err == nil && err != unix.EPIPE {
		s.err = err
	}
}

// opError returns err in the form of package net.
func (s *Socket) opError(op string, err error) error {
	if err == nil || err == io.EOF {
		return err
	}
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return err
	}
	return &net.OpError{Op: op, Net: s.LocalAddr().Network(), Source: s.LocalAddr(), Addr: s.RemoteAddr(), Err: os.NewSyscallError(op, errno)}
}

// uninterrupted calls the kernel until no signal interrupts it. It returns no negative number.
func uninterrupted(call func(int, []byte) (int, error), fd int, p []byte) (int, error) {
	for {
		n, err := call(fd, p)
		if err != unix.EINTR {
			return max(0, n), err
		}
	}
}

// peek reads what has arrived and leaves it to be read.
func peek(fd int, p []byte) (int, error) {
	n, _, err := unix.Recvfrom(fd, p, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}
