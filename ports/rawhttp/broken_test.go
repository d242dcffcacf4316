package rawhttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/ports/rawhttp"
)

// Guards against a part of an answer that is read as whole: a look at the connection takes its reset, and the
// reader finds the end of the stream.
func TestLooksLeaveTheResetToTheReader(t *testing.T) {
	for name, silent := range map[string]func(*rawhttp.Answer) bool{
		"Silent": (*rawhttp.Answer).Silent, "Quiet": (*rawhttp.Answer).Quiet,
	} {
		t.Run(name, func(t *testing.T) {
			reset := make(chan struct{})
			s := serve(t, func(c net.Conn, r *http.Request) bool {
				answer(c, "HTTP/1.1 200 OK\r\n\r\npart")
				<-reset
				_ = c.(*net.TCPConn).SetLinger(0)
				return false
			})
			a, err := rawhttp.NewClient(rawhttp.Options{}).Do(context.Background(), s.addr(), get())
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close(false)
			if _, err := io.ReadFull(a.Body, make([]byte, len("part"))); err != nil {
				t.Fatal(err)
			}
			close(reset)
			for deadline := time.Now().Add(5 * time.Second); silent(a); {
				if time.Now().After(deadline) {
					t.Fatal("the reset does not come")
				}
			}
			if _, err := io.ReadAll(a.Body); err == nil {
				t.Error("the part is read as whole")
			}
		})
	}
}

// Guards against a request on a connection that brought a broken answer, whose rest would be read as the next one.
func TestConnectionOfABrokenAnswerIsNotReused(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" + ok2,
		"HTTP/1.1 101 X\r\n\r\n" + ok2,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX : 1\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX : 1\r\n\r\n",
	} {
		s := serve(t, func(c net.Conn, r *http.Request) bool { answer(c, text); return true })
		c := rawhttp.NewClient(rawhttp.Options{})
		for range 3 {
			if body, err := exchange(c, s.addr(), get()); !rawhttp.Broken(err) {
				t.Errorf("%.30q: %q, %v", text, body, err)
			}
		}
		if n := s.conns.Load(); n != 3 {
			t.Errorf("%.30q: %d connections", text, n)
		}
	}
}
