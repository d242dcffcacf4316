package rawhttp_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/coord/endless"
	"github.com/gullhaven/gullhaven/coord/httpconn"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
)

// checkLost fails the test unless err is a request without an answer that may have run.
func checkLost(t *testing.T, err error) {
	t.Helper()
	var f *rawhttp.Failure
	if !errors.As(err, &f) || f.Verdict != verdict.MayHaveRun || f.DialFailed {
		t.Errorf("%.200v", err)
	}
}

// checkEndlessHead fails the test unless err is the one for a head without end. Bytes that are no answer are refused at
// the first one.
func checkEndlessHead(t *testing.T, a endless.Answer, err, endlessErr error) {
	t.Helper()
	var invalid *httpconn.Error
	if noAnswer := a.Begin == "" && !strings.HasPrefix(a.Part, "HTTP/"); noAnswer != errors.As(err, &invalid) || noAnswer == errors.Is(err, endlessErr) {
		t.Errorf("%v", err)
	}
}

// Guards against a target that uses up the memory and keeps its caller waiting with the head of an answer
// that never ends.
func TestEndlessHeadIsBounded(t *testing.T) {
	for _, a := range endless.Heads {
		t.Run(a.Name, func(t *testing.T) {
			s := endless.Serve(t, nil, a)
			c := rawhttp.NewClient(rawhttp.Options{})
			_, err := c.Do(context.Background(), s.Addr, get())
			checkLost(t, err)
			checkEndlessHead(t, a, err, rawhttp.ErrHeadTooLong)
			s.CheckClosed(t, http.DefaultMaxHeaderBytes)
			if c.HasIdle(s.Addr) {
				t.Error("its connection is kept")
			}
		})
	}
}

// Guards against a bound that cuts off answers to requests with a long id, which they repeat.
func TestHeadWithALongIDIsRead(t *testing.T) {
	s := serve(t, func(c net.Conn, r *http.Request) bool {
		answer(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+"HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	q := get()
	q.Header.Set("Id", strings.Repeat("x", 512<<10))
	c := rawhttp.NewClient(rawhttp.Options{})
	for range 3 {
		if body, err := exchange(c, s.addr(), q); body != "ok" || err != nil {
			t.Fatalf("%q, %v", body, err)
		}
	}
	if c.Dials() != 1 {
		t.Errorf("%d connections", c.Dials())
	}
}

// Guards against a line of the log as long as what a target sends: the error quotes a malformed head.
func TestErrorOfAMalformedHeadIsShort(t *testing.T) {
	long := strings.Repeat("\x01", 512<<10) + "\r\n\r\n"
	for _, head := range []string{long, "HTTP/1.1 " + long, "HTTP/1.1 200 OK\r\n" + long, "HTTP/1.1 200 OK\r\nContent-Length: " + long} {
		s := serve(t, func(c net.Conn, _ *http.Request) bool { answer(c, head); return true })
		_, err := exchange(rawhttp.NewClient(rawhttp.Options{}), s.addr(), get())
		checkLost(t, err)
		if n := len(err.Error()); n > 1<<10 {
			t.Errorf("%.20q: an error of %d bytes", head, n)
		}
	}
}

// Guards against a target that extends the time of a request: each byte or interim answer of a head that
// never ends begins a time-out anew.
func TestSlowEndlessHeadEndsWithTheRequest(t *testing.T) {
	for _, a := range endless.Heads {
		t.Run(a.Name, func(t *testing.T) {
			a.Every = time.Millisecond
			s := endless.Serve(t, nil, a)
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			_, err := rawhttp.NewClient(rawhttp.Options{}).Do(ctx, s.Addr, get())
			checkLost(t, err)
			checkEndlessHead(t, a, err, context.DeadlineExceeded)
			s.CheckClosed(t, http.DefaultMaxHeaderBytes)
		})
	}
}

// Guards against reading on in chunks or a trailer without end, and against another request on a connection
// whose answer is followed by more bytes.
func TestEndlessRestOfAnAnswerIsBounded(t *testing.T) {
	for _, a := range slices.Concat(endless.Framings, []endless.Answer{endless.After}) {
		t.Run(a.Name, func(t *testing.T) {
			s := endless.Serve(t, nil, a)
			// If the answer is read before more bytes come, the connection is kept, and Run closes it.
			c := rawhttp.NewClient(rawhttp.Options{IdleTimeout: time.Millisecond})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go c.Run(ctx)
			answer, err := c.Do(ctx, s.Addr, get())
			if err != nil {
				t.Fatal(err)
			}
			_, err = io.Copy(io.Discard, answer.Body)
			answer.Close(err == nil)
			if (err == nil) != (a.Name == endless.After.Name) {
				t.Errorf("%v", err)
			}
			s.CheckClosed(t, 1<<20)
		})
	}
}
