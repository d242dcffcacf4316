package enginehttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/ports/transport"
)

// serveCut answers each request with text and closes or resets the connection. It returns its address.
func serveCut(t *testing.T, text string, reset bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, text)
			}
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// Guards against an answer that stops in its head or later and is read as whole.
func TestAnswersThatStopAreNotWhole(t *testing.T) {
	const mark = "data: " + ports.EndMark + "\n\n"
	for name, e := range map[string]struct {
		run  exchange
		body string
		// least is how much of the body is whole if its framing does not say. A stream ends with its mark.
		least int
	}{
		"stream": {completion(ports.Completion{Stream: true}), "data: x\n\n" + mark, len("data: x\n\n" + mark)},
		"whole":  {completion(ports.Completion{}), `{"a":1}`, len(`{"a":1}`)},
		"export": {exportKV, "cache", len("cache") + 1},
		"plain":  {plain(ports.PlainRequest{Method: http.MethodPost}), "done", 1},
	} {
		const head = "HTTP/1.1 200 OK\r\nGullhaven-Attempt: own\r\n"
		for framing, a := range map[string]struct {
			head, body string
			framed     bool
		}{
			"a length":             {fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(e.body)), e.body, true},
			"chunks and a trailer": {head + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\nSum: 1\r\n\r\n", len(e.body), e.body), true},
			"neither":              {head + "\r\n", e.body, false},
		} {
			t.Run(name+", "+framing, func(t *testing.T) {
				text := a.head + a.body
				for n := range len(text) + 1 {
					for _, reset := range []bool{true, false} {
						whole := a.framed && n == len(text) || !a.framed && !reset && n >= len(a.head)+e.least
						if whole || strings.Contains(text[:n], mark) {
							continue
						}
						transports := transport.NewTransports(transport.Options{})
						if err := e.run(t.Context(), serveCut(t, text[:n], reset), transports); err == nil {
							t.Errorf("%d bytes, reset %v: whole", n, reset)
						}
						transports.Close()
					}
				}
			})
		}
	}
}
