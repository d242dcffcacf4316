package rawhttp_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
)

// server runs a script for each request that it reads; false ends the connection.
type server struct {
	net.Listener
	conns atomic.Int64
}

func serve(t testing.TB, script func(c net.Conn, r *http.Request) bool) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil || !script(c, r) {
						return
					}
				}
			}()
		}
	}()
	return s
}

func (s *server) addr() string { return s.Listener.Addr().String() }

func get() *rawhttp.Request {
	return &rawhttp.Request{Method: "GET", Target: "/x", Host: "h", Header: http.Header{"A": {"b"}}}
}

// exchange sends a request and returns the whole body of the answer.
func exchange(c *rawhttp.Client, addr string, r *rawhttp.Request) (string, error) {
	a, err := c.Do(context.Background(), addr, r)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(a.Body)
	a.Close(err == nil)
	return string(body), err
}

func answer(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

const ok2 = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against a caller that gets the answer to another caller's request: a target sends
// a second answer, or a late one, on a reused connection, and the pending bytes are read as
// the answer to the next request.
func TestStrayBytesAreNeverAnAnswer(t *testing.T) {
	Convey("a target sends two answers to each request", t, func() {
		s := serve(t, func(c net.Conn, r *http.Request) bool {
			answer(c, ok2+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
			return true
		})
		c := rawhttp.NewClient(rawhttp.Options{})
		for range 5 {
			body, err := exchange(c, s.addr(), get())
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "ok")
		}
	})
	Convey("a target sends bytes after its answer was read and the connection is idle", t, func() {
		late := make(chan struct{})
		sent := make(chan struct{})
		var n atomic.Int64
		s := serve(t, func(c net.Conn, r *http.Request) bool {
			answer(c, ok2)
			if n.Add(1) == 1 {
				<-late
				answer(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
				close(sent)
			}
			return true
		})
		c := rawhttp.NewClient(rawhttp.Options{})
		_, err := exchange(c, s.addr(), get())
		So(err, ShouldBeNil)
		close(late)
		<-sent
		body, err := exchange(c, s.addr(), get())
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "ok")
	})
}

func TestIdleConnectionsAreReused(t *testing.T) {
	Convey("a healthy target", t, func() {
		s := serve(t, func(c net.Conn, r *http.Request) bool { answer(c, ok2); return true })
		c := rawhttp.NewClient(rawhttp.Options{})
		for range 5 {
			_, err := exchange(c, s.addr(), get())
			So(err, ShouldBeNil)
		}
		So(s.conns.Load(), ShouldEqual, 1)
		So(c.Dials(), ShouldEqual, 1)
		c.CloseIdle(s.addr())
		_, err := exchange(c, s.addr(), get())
		So(err, ShouldBeNil)
		So(s.conns.Load(), ShouldEqual, 2)
	})
	for name, text := range map[string]string{
		"Connection: close":        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
		"a Keep-Alive of 0 s":      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=0\r\n\r\nok",
		"an interim answer before": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
	} {
		Convey("not reused, but correct: "+name, t, func() {
			s := serve(t, func(c net.Conn, r *http.Request) bool { answer(c, text); return true })
			c := rawhttp.NewClient(rawhttp.Options{})
			for range 3 {
				body, err := exchange(c, s.addr(), get())
				So(err, ShouldBeNil)
				So(body, ShouldEqual, "ok")
			}
			So(s.conns.Load(), ShouldEqual, 3)
		})
	}
}

// Guards against the verdict "not run" for a request that has run: a refused connection and
// one that ends after the request was written count as the same failure.
func TestFailuresHaveTheirVerdict(t *testing.T) {
	Convey("nobody listens", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		addr := l.Addr().String()
		So(l.Close(), ShouldBeNil)
		_, err = exchange(rawhttp.NewClient(rawhttp.Options{}), addr, get())
		var f *rawhttp.Failure
		So(errors.As(err, &f), ShouldBeTrue)
		So(f.Verdict, ShouldEqual, verdict.NotRun)
		So(f.DialFailed, ShouldBeTrue)
	})
	Convey("the target reads the request and closes", t, func() {
		s := serve(t, func(net.Conn, *http.Request) bool { return false })
		_, err := exchange(rawhttp.NewClient(rawhttp.Options{}), s.addr(), get())
		var f *rawhttp.Failure
		So(errors.As(err, &f), ShouldBeTrue)
		So(f.Verdict, ShouldEqual, verdict.MayHaveRun)
	})
	Convey("the caller leaves while the target works", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		closed := make(chan struct{})
		s := serve(t, func(c net.Conn, r *http.Request) bool {
			cancel()
			_, _ = c.Read(make([]byte, 1))
			close(closed)
			return false
		})
		_, err := rawhttp.NewClient(rawhttp.Options{}).Do(ctx, s.addr(), get())
		var f *rawhttp.Failure
		So(errors.As(err, &f), ShouldBeTrue)
		So(f.Verdict, ShouldEqual, verdict.MayHaveRun)
		<-closed
	})
	Convey("an answer breaks off", t, func() {
		s := serve(t, func(c net.Conn, r *http.Request) bool {
			answer(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
			return false
		})
		_, err := exchange(rawhttp.NewClient(rawhttp.Options{}), s.addr(), get())
		So(err, ShouldEqual, io.ErrUnexpectedEOF)
	})
}

// Guards against a target that reads the next request's head as the rest of a long body: it
// answers before it has read the body and reads on later, and the connection is reused before
// the body is written.
func TestEarlyAnswerDoesNotMixRequests(t *testing.T) {
	Convey("a target that answers a long body early", t, func() {
		s := serve(t, func(c net.Conn, r *http.Request) bool {
			answer(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
			n, err := io.Copy(io.Discard, r.Body)
			return err == nil && n == r.ContentLength
		})
		c := rawhttp.NewClient(rawhttp.Options{})
		long := get()
		long.Method, long.HasBody, long.Body = "POST", true, []byte(strings.Repeat("x", 8<<20))
		for range 3 {
			_, err := exchange(c, s.addr(), long)
			So(err, ShouldBeNil)
		}
	})
}

func TestRequestIsWrittenUnchanged(t *testing.T) {
	Convey("a request with a body", t, func() {
		seen := make(chan string, 1)
		s := serve(t, func(c net.Conn, r *http.Request) bool {
			body, _ := io.ReadAll(r.Body)
			seen <- fmt.Sprintf("%s %s %s %v %d %s", r.Method, r.RequestURI, r.Host, r.Header["A"], r.ContentLength, body)
			answer(c, ok2)
			return true
		})
		r := get()
		r.Method, r.Target, r.HasBody, r.Body = "POST", "/a%2Fb?c=%20d&e", true, []byte("body")
		_, err := exchange(rawhttp.NewClient(rawhttp.Options{}), s.addr(), r)
		So(err, ShouldBeNil)
		So(<-seen, ShouldEqual, "POST /a%2Fb?c=%20d&e h [b] 4 body")
	})
}

func TestUnframedAnswerIsWholeOnlyByItsEnd(t *testing.T) {
	Convey("an answer without a length ends with its connection", t, func() {
		s := serve(t, func(c net.Conn, r *http.Request) bool {
			answer(c, "HTTP/1.1 200 OK\r\n\r\nall")
			return false
		})
		c := rawhttp.NewClient(rawhttp.Options{})
		body, err := exchange(c, s.addr(), get())
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "all")
	})
	Convey("one that is reset is not whole", t, func() {
		s := serve(t, func(c net.Conn, r *http.Request) bool {
			answer(c, "HTTP/1.1 200 OK\r\n\r\nal")
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		})
		_, err := exchange(rawhttp.NewClient(rawhttp.Options{}), s.addr(), get())
		So(err, ShouldNotBeNil)
	})
}

// Guards against giving up a peer whose answer has arrived but was not read yet.
func TestSilentUntilBytesArrive(t *testing.T) {
	Convey("an answer of which a part is missing, then its rest, then the end of its connection", t, func() {
		goOn, sent := make(chan struct{}), make(chan struct{})
		s := serve(t, func(c net.Conn, r *http.Request) bool {
			answer(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no")
			<-goOn
			answer(c, "k")
			sent <- struct{}{}
			<-goOn
			_ = c.Close()
			sent <- struct{}{}
			return false
		})
		a, err := rawhttp.NewClient(rawhttp.Options{}).Do(context.Background(), s.addr(), get())
		So(err, ShouldBeNil)
		defer a.Close(false)
		So(a.Silent(), ShouldBeTrue)
		goOn <- struct{}{}
		<-sent
		So(a.Silent(), ShouldBeFalse)
		_, err = io.ReadAll(a.Body)
		So(err, ShouldBeNil)
		So(a.Silent(), ShouldBeTrue)
		goOn <- struct{}{}
		<-sent
		So(a.Silent(), ShouldBeFalse)
	})
}

func TestIdleConnectionsEndWithTheClient(t *testing.T) {
	Convey("Run ends", t, func() {
		closed := make(chan struct{})
		s := serve(t, func(c net.Conn, r *http.Request) bool {
			answer(c, ok2)
			_, _ = c.Read(make([]byte, 1))
			close(closed)
			return false
		})
		c := rawhttp.NewClient(rawhttp.Options{IdleTimeout: time.Hour})
		_, err := exchange(c, s.addr(), get())
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		c.Run(ctx)
		<-closed
	})
}
