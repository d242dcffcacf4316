package rawhttp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepaliveUnit is the time without bytes after which the kernel probes, and that
// between two probes; it counts in whole seconds.
const keepaliveUnit = time.Second

// Watch has the kernel give up a connection whose other end is silent: one whose
// bytes stay unacknowledged, or that does not answer probes while idle. Without it a
// connection that a partition or a lost machine has cut hangs for many minutes.
func DetectDeadPeer(c *net.TCPConn, silence time.Duration) error {
	err := c.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: keepaliveUnit, Interval: keepaliveUnit, Count: 2,
	})
	if err != nil {
		return err
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

// usable reports whether a kept connection can take a request: it is not too old, the
// other end has not closed it, and nothing waits on it. What waits would be taken for
// the answer to the next request.
func (c *conn) usable() bool {
	if time.Now().After(c.idleUntil) {
		return false
	}
	return CheckIdle(c.Conn) == nil
}

// Quiet returns nil if a read of the connection would have to wait: the other end has
// neither closed it nor sent anything.
func CheckIdle(c net.Conn) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	found := errStale
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err == unix.EAGAIN {
			found = nil
		}
	})
	if err != nil {
		return err
	}
	return found
}
