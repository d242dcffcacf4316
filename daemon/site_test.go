package daemon

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/gullhaven/gullhaven/node/entry"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
)

// Guards against a partition that loses the middle of an answer: the instance that sends it must not
// give the connection up before the one that waits for it does.
func TestInstanceThatWaitsForAnAnswerGivesUpFirst(t *testing.T) {
	accepted := make(chan net.Conn, 1)
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.Config.ConnState = func(c net.Conn, s http.ConnState) {
		tuneLink(c, s)
		if s == http.StateNew {
			accepted <- c
		}
	}
	server.Start()
	defer server.Close()
	waiting, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = waiting.Close() }()
	if err := rawhttp.DetectDeadPeer(waiting.(*net.TCPConn), entry.PeerAckTimeout); err != nil {
		t.Fatal(err)
	}
	detected := ackTimeout(t, waiting) + rawhttp.KeepaliveInterval
	if serving := ackTimeout(t, <-accepted); serving <= detected {
		t.Errorf("the serving instance gives up after %v, the waiting one after up to %v", serving, detected)
	}
}

// ackTimeout returns how long bytes may stay unacknowledged on a connection.
func ackTimeout(t *testing.T, c net.Conn) time.Duration {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var ms int
	controlErr := raw.Control(func(fd uintptr) {
		ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	})
	if controlErr != nil || err != nil {
		t.Fatal(controlErr, err)
	}
	return time.Duration(ms) * time.Millisecond
}
