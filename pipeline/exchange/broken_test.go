package exchange_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/gullhaven/gullhaven/bundle/routes"
)

// uploadBytes is the length of a body that the sockets of both ends do not hold.
const uploadBytes = 6 << 20

// newUploadTarget returns a target that answers each request after its head and ends the connection while the body
// is being written.
func newUploadTarget(t *testing.T, id, text string, reset bool) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	x := &target{id: id, software: "v1", addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go x.answerEarly(c.(*net.TCPConn), text, reset)
		}
	}()
	return x
}

func (x *target) answerEarly(c *net.TCPConn, text string, reset bool) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	r, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	x.mu.Lock()
	x.received = append(x.received, receivedRequest{r.Method, r.RequestURI, "", r.Header})
	x.mu.Unlock()
	_, _ = io.WriteString(c, text)
	if reset {
		_ = c.SetLinger(0)
		return
	}
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, br)
}

// newUploadRig returns a gateway that takes long bodies.
func newUploadRig(t *testing.T, targets ...*target) *rig {
	r := newRig(t, "r", targets...)
	r.table.Limits.MaxBodyBytes = 2 * uploadBytes
	r.view.Index = routes.NewIndex(r.table)
	r.options.Retries.Allowance = 1 << 20
	r.rebuild()
	return r
}

// Guards against a part of an answer that goes out as whole: the write of the request takes the reset of the
// connection, and the reader of the answer finds the end of the stream.
func TestPartsOfEarlyAnswersAreNotPassedOnAsWhole(t *testing.T) {
	const rounds = 16
	upload := strings.Repeat("x", uploadBytes)
	for _, route := range routeAnswers {
		text := "HTTP/1.1 200 OK\r\n" + signed + "\r\n" + route.body
		t.Run(route.once, func(t *testing.T) {
			for range rounds {
				x := newUploadTarget(t, "t1", text, true)
				r := newUploadRig(t, x)
				if got := r.call(route.once, upload); !lost(got) || requestCount(x) != 1 {
					t.Errorf("%d %q, truncated %v, sent %d times", got.status, got.body, got.truncated, requestCount(x))
				}
			}
		})
		t.Run(route.again, func(t *testing.T) {
			for range rounds {
				x, y := newUploadTarget(t, "t1", text, true), newUploadTarget(t, "t2", text, true)
				if got := newUploadRig(t, x, y).call(route.again, upload); !lost(got) {
					t.Errorf("%d %q, truncated %v", got.status, got.body, got.truncated)
				}
			}
		})
	}
}

// Guards against refusing an early answer without a length whose connection is closed in order.
func TestEarlyAnswersThatEndInOrderAreWhole(t *testing.T) {
	x := newUploadTarget(t, "t1", "HTTP/1.1 200 OK\r\n"+signed+"\r\ndone", false)
	if got := newUploadRig(t, x).call("/unsafe/x", strings.Repeat("x", uploadBytes)); !whole(got, "done") {
		t.Errorf("%d %q, truncated %v", got.status, got.body, got.truncated)
	}
}
