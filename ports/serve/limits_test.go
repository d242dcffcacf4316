package serve_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/coord/memory"
	"github.com/gullhaven/gullhaven/ports/serve"
)

// testLimit is the memory of a limited server in bytes, for testBodies bodies of maxTestBody with the copy of one.
const testLimit, testBodies, maxTestBody = 8 << 20, 5, 1 << 20

// limited is a server with limits that answers with the length of the body.
type limited struct {
	address string
	memory  *memory.Budget
	server  *serve.Server
	// ran counts the requests whose bodies were read.
	ran atomic.Int64
	// release, if set, holds back the answers.
	release chan struct{}
}

func startLimited(t *testing.T, b serve.Bounds, maxHead int) *limited {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x := &limited{address: l.Addr().String(), memory: memory.New(testLimit)}
	x.server = serve.New(l, &http.Server{Handler: x, IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute})
	x.server.Limit(x.memory, b, func() int { return maxHead })
	go func() { _ = x.server.Serve() }()
	t.Cleanup(func() { _ = l.Close() })
	return x
}

func (x *limited) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := serve.ReadBody(r.Body, memory.Of(r.Context()), r.ContentLength, maxTestBody)
	if errors.Is(err, memory.ErrNoMemory) {
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	x.ran.Add(1)
	if x.release != nil {
		<-x.release
	}
	_, _ = fmt.Fprint(w, len(body))
}

// begin sends a request of length bytes, but for the last byte.
func begin(t *testing.T, address string, length int) *client {
	t.Helper()
	c := dial(t, address)
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	c.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length-1)))
	return c
}

// status returns the status of the next answer, and when to return.
func (c *client) status(t *testing.T) (status int, retryAfter string) {
	t.Helper()
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode, res.Header.Get("Retry-After")
}

// awaitHeld returns when the requests of a server hold n bytes or more.
func (x *limited) awaitHeld(t *testing.T, n int64) {
	t.Helper()
	for until := time.Now().Add(time.Minute); x.memory.Stats().Held < n; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%+v", x.memory.Stats())
		}
	}
}

var manyConns = serve.Bounds{Idle: 50, Most: 100}

// Guards against a caller whose body ends another's request although there is no memory for both, and against
// refusals that don't say when to return or come although the request runs.
func TestLargeBodiesMakeRoom(t *testing.T) {
	x := startLimited(t, manyConns, 0)
	var waiting []*client
	for range testBodies {
		waiting = append(waiting, begin(t, x.address, maxTestBody))
		x.awaitHeld(t, int64(len(waiting))*maxTestBody)
	}
	small := dial(t, x.address)
	small.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxx")
	if got, err := small.answer(); got != "2" || err != nil {
		t.Errorf("a small request: %q, %v", got, err)
	}
	last := begin(t, x.address, maxTestBody)
	for until := time.Now().Add(time.Minute); x.memory.Stats().Yielded+x.memory.Stats().Refused == 0 && time.Now().Before(until); time.Sleep(time.Millisecond) {
	}
	refused, served := 0, 0
	for _, c := range append(waiting, last) {
		c.send("x")
		status, after := c.status(t)
		switch {
		case status == http.StatusServiceUnavailable && after != "":
			refused++
		case status == http.StatusOK:
			served++
		default:
			t.Errorf("status %d, return after %q", status, after)
		}
	}
	if refused == 0 || served == 0 || int(x.ran.Load()) != served+1 {
		t.Errorf("%d refused, %d served, %d ran", refused, served, x.ran.Load())
	}
}

// Guards against requests that are ended for others while they run.
func TestRunningRequestsDoNotYield(t *testing.T) {
	x := startLimited(t, manyConns, 0)
	x.release = make(chan struct{})
	var running []*client
	for range testBodies {
		c := begin(t, x.address, maxTestBody)
		c.send("x")
		running = append(running, c)
		x.awaitHeld(t, int64(len(running))*maxTestBody)
	}
	for until := time.Now().Add(time.Minute); x.ran.Load() < testBodies && time.Now().Before(until); time.Sleep(time.Millisecond) {
	}
	more := begin(t, x.address, maxTestBody)
	if status, after := more.status(t); status != http.StatusServiceUnavailable || after == "" {
		t.Errorf("status %d, return after %q", status, after)
	}
	close(x.release)
	for _, c := range running {
		if status, _ := c.status(t); status != http.StatusOK {
			t.Errorf("a request that ran: status %d", status)
		}
	}
}

// Guards against heads that are read on beyond their bound or beyond the memory, and refusals that are lost to a reset.
func TestHeadsAreBounded(t *testing.T) {
	const lines = 100_000
	for name, c := range map[string]struct{ maxHead, status int }{
		"by the limit": {16 << 10, http.StatusRequestHeaderFieldsTooLarge}, "by the memory": {0, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			x := startLimited(t, manyConns, c.maxHead)
			conn := dial(t, x.address)
			go conn.send("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: b\r\n", lines))
			status, after := conn.status(t)
			if status != c.status || (after != "") != (status == http.StatusServiceUnavailable) {
				t.Errorf("status %d, return after %q", status, after)
			}
			if x.ran.Load() > 0 {
				t.Error("the request ran")
			}
		})
	}
}

// Guards against a head inside its limit that is refused.
func TestLongHeadsInsideTheLimitAreServed(t *testing.T) {
	x := startLimited(t, manyConns, 16<<10)
	c := dial(t, x.address)
	for range 3 {
		c.send("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: b\r\n", 16<<10/6-5) + "\r\n")
		if got, err := c.answer(); got != "0" || err != nil {
			t.Errorf("%q, %v", got, err)
		}
	}
}

// Guards against memory that is counted after the end of requests and connections.
func TestEndedRequestsHoldNothing(t *testing.T) {
	x := startLimited(t, manyConns, 0)
	kept := dial(t, x.address)
	for range 5 {
		kept.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", maxTestBody, strings.Repeat("x", maxTestBody)))
		if got, err := kept.answer(); got != fmt.Sprint(maxTestBody) || err != nil {
			t.Errorf("%q, %v", got, err)
		}
	}
	for range 5 {
		_ = begin(t, x.address, maxTestBody).Close()
	}
	for until := time.Now().Add(time.Minute); x.memory.Stats().Held > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%+v", x.memory.Stats())
		}
	}
}

// Guards against callers that keep others out by connections on which no request is whole.
func TestSlowConnectionsMakeRoom(t *testing.T) {
	for name, sent := range map[string]string{"nothing": "", "head": "GET / HT", "body": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx"} {
		t.Run(name, func(t *testing.T) {
			x := startLimited(t, serve.Bounds{Idle: 4, Most: 8}, 0)
			for range 40 {
				dial(t, x.address).send(sent)
			}
			for {
				// The crowd may still be accepted, and new connections are closed meanwhile.
				c := dial(t, x.address)
				c.send(get)
				if got, err := c.answer(); err == nil && got == "0" {
					return
				}
			}
		})
	}
}

// Guards against callers that keep others' answers from being made, by not reading their own.
func TestUnreadAnswersMakeRoom(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := memory.New(testLimit)
	answer := strings.Repeat("x", maxTestBody)
	ended := make(chan struct{}, 10)
	s := serve.New(l, &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !memory.Of(r.Context()).Take(time.Now(), maxTestBody) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, answer)
		ended <- struct{}{}
	})})
	s.Limit(b, manyConns, nil)
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { _ = l.Close() })
	for range testBodies {
		unread := dial(t, l.Addr().String())
		_ = unread.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		unread.send(get)
	}
	for until := time.Now().Add(time.Minute); b.Stats().Held < testBodies*maxTestBody && time.Now().Before(until); time.Sleep(time.Millisecond) {
	}
	for until := time.Now().Add(time.Minute); ; {
		// It is refused until the others have not read for some time.
		reader := dial(t, l.Addr().String())
		reader.send(get)
		got, err := reader.answer()
		if len(got) == maxTestBody && err == nil {
			break
		}
		if len(got) != 0 || err != nil || time.Now().After(until) {
			t.Fatalf("%d bytes, %v", len(got), err)
		}
	}
	// That of the reader, and one that made room for it.
	<-ended
	<-ended
}

// Guards against bodies that come in pieces and are joined wrongly, are not counted, or are read beyond their bound.
func TestReadBodyReadsAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Repeat("x", rapid.IntRange(0, 40_000).Draw(t, "bytes"))
		limit := rapid.Int64Range(0, 40_000).Draw(t, "limit")
		length := int64(-1)
		if rapid.Bool().Draw(t, "announced") {
			length = int64(len(text))
		}
		b := memory.New(testLimit)
		share := b.Open(nil)
		body, err := serve.ReadBody(iotest.HalfReader(strings.NewReader(text)), share, length, limit)
		if int64(len(text)) > limit {
			if !errors.Is(err, serve.ErrBodyTooLarge) || b.Stats().Held != 0 {
				t.Fatalf("%v, %d bytes are held", err, b.Stats().Held)
			}
			return
		}
		if err != nil || string(body) != text || b.Stats().Held != int64(cap(body)) {
			t.Fatalf("%d of %d bytes, %v, %d are held", len(body), len(text), err, b.Stats().Held)
		}
	})
}

// Guards against a server that does not end in time, as it waits for the clients of refused heads one after the other.
func TestCloseDoesNotWaitForRefusedClients(t *testing.T) {
	const clients = 50
	x := startLimited(t, manyConns, 1)
	for range clients {
		dial(t, x.address).send("GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 16<<10))
	}
	for until := time.Now().Add(time.Minute); x.server.Stats().Refused < clients && time.Now().Before(until); time.Sleep(time.Millisecond) {
	}
	if cut := closeWithin(x.server); cut != 0 || x.server.Stats().Open != 0 {
		t.Errorf("%d connections were cut, %d are open", cut, x.server.Stats().Open)
	}
}
