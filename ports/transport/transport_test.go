package transport_test

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports/transport"
)

// Guards against the verdict "may have run" for a request that is sent after its target has
// ended: a target with idle connections ends, a request follows within a millisecond and is
// written to a closed connection.
func TestRequestsAfterATargetEndedHaveNotRun(t *testing.T) {
	transports := transport.NewTransports(transport.Options{})
	defer transports.Close()
	post := func(address string) error {
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", strings.NewReader(strings.Repeat("x", 4000)))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := transports.Do(req, false)
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}
	for round := range 200 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		// Close returns before the kernel has closed sockets that a goroutine still reads.
		var closed sync.WaitGroup
		closed.Add(2)
		server := &http.Server{
			Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
			ConnState: func(_ net.Conn, s http.ConnState) {
				if s == http.StateClosed {
					closed.Done()
				}
			},
		}
		go func() {
			_ = server.Serve(l)
			closed.Done()
		}()
		address := l.Addr().String()
		if err := post(address); err != nil {
			t.Fatal(err)
		}
		if err := server.Close(); err != nil {
			t.Fatal(err)
		}
		closed.Wait()
		var failed *verdict.Error
		if err := post(address); !errors.As(err, &failed) || failed.Verdict != verdict.NotRun {
			t.Fatalf("round %d: %v, %v; want one that has not run", round, err, failed)
		}
	}
}

// rawTarget accepts one connection and answers the first request on it. It returns its address and
// the connection.
func rawTarget(t *testing.T) (string, chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := make(chan net.Conn, 1)
	go func() {
		defer l.Close()
		c, err := l.Accept()
		if err != nil {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		// A close with unread bytes would be a reset.
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		conns <- c
	}()
	return l.Addr().String(), conns
}

// send sends a request whose body cannot be read again, over a kept connection if there is one.
// gotConn is called when it has its connection.
func send(t *testing.T, transports *transport.Transports, address, body string, gotConn func(httptrace.GotConnInfo)) error {
	t.Helper()
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: gotConn})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", io.NopCloser(strings.NewReader(body)))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := transports.Do(req, false)
	if err == nil {
		_ = resp.Body.Close()
	}
	return err
}

// Guards against a wrong verdict on a request that is written just before or after its target ends:
// what the check of the idle connection cannot see is found after the write.
func TestVerdictOfARequestThatMeetsTheEndOfItsTarget(t *testing.T) {
	for name, c := range map[string]struct {
		// end ends the target when the request has its connection.
		end  func(c net.Conn)
		want verdict.Verdict
	}{
		"it closes before the request is written": {func(c net.Conn) { _ = c.Close() }, verdict.NotRun},
		"it resets before the request is written": {func(c net.Conn) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}, verdict.NotRun},
		"it reads the request and closes": {func(c net.Conn) {
			go func() {
				_, _ = c.Read(make([]byte, 1))
				_ = c.(*net.TCPConn).CloseWrite()
			}()
		}, verdict.MayHaveRun},
		"it reads the request and resets": {func(c net.Conn) {
			go func() {
				_, _ = c.Read(make([]byte, 1))
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
		}, verdict.MayHaveRun},
		"it reads the request, begins an answer and closes": {func(c net.Conn) {
			go func() {
				_, _ = c.Read(make([]byte, 4096))
				_, _ = io.WriteString(c, "HTTP/1.1 200 O")
				_ = c.(*net.TCPConn).CloseWrite()
			}()
		}, verdict.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			transports := transport.NewTransports(transport.Options{})
			defer transports.Close()
			address, conns := rawTarget(t)
			post := func(gotConn func(httptrace.GotConnInfo)) error {
				return send(t, transports, address, "body", gotConn)
			}
			if err := post(nil); err != nil {
				t.Fatal(err)
			}
			target := <-conns
			defer target.Close()
			var failed *verdict.Error
			err := post(func(info httptrace.GotConnInfo) {
				if info.Reused {
					c.end(target)
				}
			})
			if !errors.As(err, &failed) || failed.Verdict != c.want {
				t.Errorf("%v, want %v", err, c.want)
			}
		})
	}
}

// Guards against a request that runs twice: its target reads it, begins an answer and ends, and the
// caller is told that it has not run.
func TestRequestWithABegunAnswerMayHaveRun(t *testing.T) {
	for _, answer := range []string{"H", "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nContent-Le"} {
		transports := transport.NewTransports(transport.Options{})
		defer transports.Close()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			defer l.Close()
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, answer)
			}
		}()
		req, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		var failed *verdict.Error
		if _, err := transports.Do(req, true); !errors.As(err, &failed) || failed.Verdict != verdict.MayHaveRun {
			t.Errorf("%q: %v, want %v", answer, err, verdict.MayHaveRun)
		}
	}
}

// readParts reads a number of parts of a request, which together are shorter than the request, or the
// whole request with readAll. It returns the number of bytes read; 1 stands for the whole request.
func readParts(c net.Conn, parts int, random *rand.Rand) (total int) {
	if parts == readAll {
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		return 1
	}
	for range parts {
		n, _ := c.Read(make([]byte, 1+random.IntN(1000)))
		total += n
	}
	return total
}

// readAll is the number of parts of a whole request.
const readAll = 3

// Guards against "not run" for a request of which its target has read a byte, at an end at any point
// of the request: the target then runs it, and another target runs it again.
func TestNotRunMeansThatNothingWasRead(t *testing.T) {
	const seeds = 300
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 0))
		transports := transport.NewTransports(transport.Options{})
		address, conns := rawTarget(t)
		post := func(gotConn func(httptrace.GotConnInfo)) error {
			return send(t, transports, address, strings.Repeat("x", 3000), gotConn)
		}
		if err := post(nil); err != nil {
			t.Fatal(err)
		}
		target := <-conns
		pauses, parts, reset, answer := random.IntN(200), random.IntN(readAll+1), random.IntN(3) == 0, random.IntN(2) == 0
		read := make(chan int, 1)
		err := post(func(httptrace.GotConnInfo) {
			go func() {
				for range pauses {
					runtime.Gosched()
				}
				total := readParts(target, parts, random)
				if answer && total > 0 {
					_, _ = io.WriteString(target, "HTTP/1.1 2")
				}
				if reset {
					_ = target.(*net.TCPConn).SetLinger(0)
				}
				_ = target.Close()
				read <- total
			}()
		})
		total := <-read
		transports.Close()
		var failed *verdict.Error
		if !errors.As(err, &failed) {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if failed.Verdict == verdict.NotRun && total > 0 {
			t.Errorf("seed %d: told %v, and %d bytes were read", seed, failed, total)
		}
	}
}
