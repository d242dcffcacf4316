package serve_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/ports/serve"
)

// start serves a handler and returns the server, its address and a channel with the result of Serve.
func start(t *testing.T, h http.HandlerFunc) (s *serve.Server, address string, served chan error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, served = serve.New(l, &http.Server{Handler: h, IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute}), make(chan error, 1)
	go func() { served <- s.Serve() }()
	return s, l.Addr().String(), served
}

// client is a connection to a server.
type client struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &client{c, bufio.NewReader(c)}
}

func (c *client) send(text string) { _, _ = io.WriteString(c, text) }

// answer returns the body of the next answer.
func (c *client) answer() (string, error) {
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }

// closeWithin closes a server, whose connections have an hour to end.
func closeWithin(s *serve.Server) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	return s.Close(ctx)
}

// Guards against connections that are closed under the request that was read from them.
func TestCloseAnswersWhatWasRead(t *testing.T) {
	Convey("a server that closes", t, func() {
		reached, release := make(chan struct{}, 10), make(chan struct{})
		s, address, served := start(t, func(w http.ResponseWriter, r *http.Request) {
			reached <- struct{}{}
			<-release
			ok(w, r)
		})
		c := dial(t, address)
		closed := make(chan int, 1)
		Convey("waits for a request in progress", func() {
			c.send(get)
			<-reached
			go func() { closed <- closeWithin(s) }()
			So(<-served, ShouldBeNil)
			close(release)
			got, err := c.answer()
			So(err, ShouldBeNil)
			So(got, ShouldEqual, "done")
			So(<-closed, ShouldEqual, 0)
		})
		Convey("ends an idle connection and a new one", func() {
			close(release)
			c.send(get)
			_, err := c.answer()
			So(err, ShouldBeNil)
			other := dial(t, address)
			// It is accepted once the next one is answered.
			third := dial(t, address)
			third.send(get)
			_, err = third.answer()
			So(err, ShouldBeNil)
			So(closeWithin(s), ShouldEqual, 0)
			for _, x := range []*client{c, other, third} {
				_, err := x.answer()
				So(err, ShouldEqual, io.ErrUnexpectedEOF)
			}
			So(<-served, ShouldBeNil)
		})
		Convey("cuts off after its time, and says how many", func() {
			c.send(get)
			<-reached
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			So(s.Close(ctx), ShouldEqual, 1)
			close(release)
		})
	})
}

// Guards against an answer that is cut while its caller reads slowly: the handler has returned long before.
func TestCloseWaitsUntilAnswersAreWritten(t *testing.T) {
	Convey("a caller that reads slowly", t, func() {
		body := strings.Repeat("x", 16<<20)
		returned := make(chan struct{})
		s, address, _ := start(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, body)
			close(returned)
		})
		c := dial(t, address)
		c.send(get)
		_, err := c.r.Peek(1)
		So(err, ShouldBeNil)
		closed := make(chan int, 1)
		go func() { closed <- closeWithin(s) }()
		got, err := c.answer()
		So(err, ShouldBeNil)
		So(len(got), ShouldEqual, len(body))
		<-returned
		So(<-closed, ShouldEqual, 0)
	})
}

// Guards against closing a connection just when a request is read from it: each one is either answered or
// was not handled.
func TestRequestsThatCrossTheCloseAreAnsweredIfRead(t *testing.T) {
	const rounds, callers = 60, 8
	for range rounds {
		var handled, answered atomic.Int64
		s, address, _ := start(t, func(w http.ResponseWriter, r *http.Request) {
			handled.Add(1)
			ok(w, r)
		})
		var wg sync.WaitGroup
		going := make(chan struct{}, callers)
		for range callers {
			c := dial(t, address)
			wg.Go(func() {
				for n := 0; ; n++ {
					c.send(get)
					if _, err := c.answer(); err != nil {
						return
					}
					answered.Add(1)
					if n == 1 {
						going <- struct{}{}
					}
				}
			})
		}
		for range callers {
			<-going
		}
		if n := closeWithin(s); n != 0 {
			t.Fatalf("%d connections were cut off", n)
		}
		wg.Wait()
		if h, a := handled.Load(), answered.Load(); h != a {
			t.Fatalf("%d requests were handled and %d answered", h, a)
		}
	}
}

// Guards against callers that send on a kept connection what is refused from now on.
func TestCloseIdleKeepsNewAndBusyConnections(t *testing.T) {
	Convey("an idle, a busy and a new connection", t, func() {
		reached, release := make(chan struct{}, 10), make(chan struct{})
		s, address, _ := start(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/held" {
				reached <- struct{}{}
				<-release
			}
			ok(w, r)
		})
		idle, busy, fresh := dial(t, address), dial(t, address), dial(t, address)
		idle.send(get)
		_, err := idle.answer()
		So(err, ShouldBeNil)
		busy.send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
		<-reached
		s.CloseIdle()
		_, err = idle.answer()
		So(err, ShouldEqual, io.ErrUnexpectedEOF)
		close(release)
		fresh.send(get)
		for _, c := range []*client{busy, fresh} {
			got, err := c.answer()
			So(err, ShouldBeNil)
			So(got, ShouldEqual, "done")
		}
		So(closeWithin(s), ShouldEqual, 0)
	})
}

// Guards against callers that have left and are not noticed, as the connection hides its socket.
func TestConnectionsShowTheirSocket(t *testing.T) {
	Convey("a caller that leaves", t, func() {
		ended := make(chan bool, 1)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		type connKey struct{}
		s := serve.New(l, &http.Server{
			ReadHeaderTimeout: time.Minute,
			ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
			Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				ended <- rawhttp.HasEnded(r.Context().Value(connKey{}).(net.Conn))
			}),
		})
		go func() { _ = s.Serve() }()
		c := dial(t, l.Addr().String())
		c.send(get)
		_ = c.Close()
		So(<-ended, ShouldBeTrue)
		So(closeWithin(s), ShouldEqual, 0)
	})
}

// Guards against an error of a listener that looks like a close.
func TestServeReportsAListenerThatFails(t *testing.T) {
	Convey("a listener that is closed by another", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		So(l.Close(), ShouldBeNil)
		So(fmt.Sprint(serve.New(l, &http.Server{ReadHeaderTimeout: time.Minute}).Serve()), ShouldContainSubstring, "use of closed")
	})
}

// lateListener accepts a connection whose accept began before its close, and returns after it.
type lateListener struct {
	net.Listener
	accepts           chan net.Conn
	accepting, closed chan struct{}
	accept, close     sync.Once
}

func (l *lateListener) Accept() (net.Conn, error) {
	l.accept.Do(func() { close(l.accepting) })
	return <-l.accepts, nil
}

func (l *lateListener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return nil
}

// Guards against a connection that is accepted while the server closes, which would be cut off with a request read.
func TestConnectionAcceptedDuringTheCloseIsNotServed(t *testing.T) {
	Convey("a connection that is accepted late", t, func() {
		ours, callers := net.Pipe()
		l := &lateListener{accepts: make(chan net.Conn), accepting: make(chan struct{}), closed: make(chan struct{})}
		s := serve.New(l, &http.Server{Handler: http.HandlerFunc(ok), ReadHeaderTimeout: time.Minute})
		served, cut := make(chan error, 1), make(chan int, 1)
		go func() { served <- s.Serve() }()
		<-l.accepting
		go func() { cut <- closeWithin(s) }()
		<-l.closed
		l.accepts <- ours
		_, err := io.WriteString(callers, get)
		So(err, ShouldEqual, io.ErrClosedPipe)
		So(<-served, ShouldBeNil)
		So(<-cut, ShouldEqual, 0)
	})
}

// Guards against idle connections that take up all descriptors, so that new ones wait for seconds to be accepted.
func TestConnectionsThatAreIdleForLongestMakeRoom(t *testing.T) {
	Convey("a server of 4 connections", t, func() {
		reached, release := make(chan struct{}), make(chan struct{})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		s := serve.New(l, &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				reached <- struct{}{}
				<-release
			}
			ok(w, r)
		})})
		s.LimitConns(4)
		go func() { _ = s.Serve() }()
		// The first one is in progress, and the second one was used again after the others.
		all := make([]*client, 4)
		for n := range all {
			all[n] = dial(t, l.Addr().String())
			all[n].send(get)
			_, err := all[n].answer()
			So(err, ShouldBeNil)
			s.AwaitIdle(n + 1)
		}
		all[0].send(strings.Replace(get, "GET /", "GET /slow", 1))
		<-reached
		all[1].send(get)
		_, err = all[1].answer()
		So(err, ShouldBeNil)
		s.AwaitIdle(3)
		added := dial(t, l.Addr().String())
		added.send(get)
		_, err = added.answer()
		So(err, ShouldBeNil)
		_, err = all[2].answer()
		So(err, ShouldEqual, io.ErrUnexpectedEOF)
		close(release)
		for _, c := range []*client{all[0], all[1], added} {
			c.send(get)
			_, err := c.answer()
			So(err, ShouldBeNil)
		}
		So(closeWithin(s), ShouldEqual, 0)
	})
}
