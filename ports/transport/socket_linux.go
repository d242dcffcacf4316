package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unacknowledged returns the number of bytes written to a connection that the other end has not
// acknowledged, -1 if it is not known.
func unacknowledged(c net.Conn) int {
	n := -1
	control(c, func(fd int) {
		if queued, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			n = queued
		}
	})
	return n
}

// tcpCloseWait is the state of a connection that the other end has closed and not reset.
const tcpCloseWait = 8

// closedByPeer reports whether the other end has closed the connection and not reset it.
func closedByPeer(c net.Conn) bool {
	closed := false
	control(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == tcpCloseWait
	})
	return closed
}

// control calls f with the socket of a connection, if it has one that is open.
func control(c net.Conn, f func(fd int)) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := sc.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) })
	}
}
