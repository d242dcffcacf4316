package transport

import "golang.org/x/sys/unix"

// unacknowledged returns the number of bytes written to a socket that the other end has not
// acknowledged, -1 if it is not known.
func unacknowledged(fd int) int {
	queued, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
	if err != nil {
		return -1
	}
	return queued
}

// tcpCloseWait is the state of a connection that the other end has closed and not reset.
const tcpCloseWait = 8

// closedByPeer reports whether the other end of a socket has closed the connection and not reset it.
func closedByPeer(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && info.State == tcpCloseWait
}
