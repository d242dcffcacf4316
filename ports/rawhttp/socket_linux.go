package rawhttp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// KeepaliveInterval is the idle time after which the kernel sends probes, and the time
// between two probes. The kernel counts in whole seconds.
const KeepaliveInterval = time.Second

// DetectDeadPeer makes the kernel close a connection if sent bytes stay unacknowledged for
// ackTimeout, or if the peer does not answer probes while idle. Without it, a connection
// hangs for many minutes after a partition or the loss of the peer's machine. A dead peer is
// detected within ackTimeout and a KeepaliveInterval.
func DetectDeadPeer(c *net.TCPConn, ackTimeout time.Duration) error {
	err := c.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: KeepaliveInterval, Interval: KeepaliveInterval, Count: 2,
	})
	if err != nil {
		return err
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

// usable reports whether an idle connection can take a request: it has not been idle for
// too long, the peer has not closed it, and no bytes are pending on it, which would be
// taken for the answer to the next request.
func (c *conn) usable() bool {
	return !time.Now().After(c.idleUntil) && c.Silent()
}

// HasEnded reports whether the peer has closed or reset a connection and no byte is left to read.
func HasEnded(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended = n == 0 && err == nil || err == unix.ECONNRESET
	})
	return err == nil && ended
}
