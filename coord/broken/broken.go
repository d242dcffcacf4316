// Package broken has answers that are not valid HTTP/1.1, and servers that send them, for tests of what a client takes
// for an answer. Only tests may import it.
package broken

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// closeTimeout is how long a client may take to close a connection.
const closeTimeout = 10 * time.Second

// Answers returns broken answers by what is wrong with them. Each has the lines of headers in its head, and the status
// 200 unless that is what is wrong. body is what a lenient client reads, or the body of an answer that stands in it.
func Answers(headers, body string) map[string]string {
	ok := "HTTP/1.1 200 OK\r\n" + headers
	withLength := func(head, body string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	whole := withLength(ok, body)
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	answers := map[string]string{
		"101 without an upgrade":          "HTTP/1.1 101 X\r\n" + headers + "Connection: upgrade\r\nUpgrade: x\r\n\r\n" + whole,
		"a control byte in the reason":    withLength("HTTP/1.1 200 O\x00K\r\n"+headers, body),
		"another major version":           withLength("HTTP/2.0 200 OK\r\n"+headers, body),
		"a blank in an interim head":      "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n" + whole,
		"a blank in a trailer":            ok + chunked + chunk + "X Y: 1\r\n\r\n",
		"a blank before a length":         fmt.Sprintf("%sContent-Length : %d\r\n\r\n%s", ok, 2*len(body), body),
		"a blank before an encoding":      ok + "Transfer-Encoding : chunked\r\n\r\n" + chunk + "\r\n",
		"chunks in HTTP/1.0":              "HTTP/1.0 200 OK\r\n" + headers + chunked + chunk + "\r\n",
		"an encoding that is not chunked": ok + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunk + "\r\n",
		"a chunk longer than its size":    fmt.Sprintf("%s%s%x\r\n%s\r\n0\r\n\r\n", ok, chunked, len(body)-1, body),
		"two lengths":                     withLength(ok+"Content-Length: 1\r\n", body),
		"a signed length":                 fmt.Sprintf("%sContent-Length: +%d\r\n\r\n%s", ok, len(body), body),
		"no answer":                       "\x00\xff" + whole,
	}
	for _, status := range []string{"000", "001", "099", "+20", "-20", "2O0", "20", "2000"} {
		head := "HTTP/1.1 " + status + " X\r\n" + headers
		answers["status "+status] = withLength(head, whole)
		answers["status "+status+", no answer in the body"] = withLength(head, body)
	}
	for _, name := range []string{"X Y", "X ", "X\t", "X\x01", "X\x7f", "X\r", "", "X(", "\xc3\xa9"} {
		answers[fmt.Sprintf("name %q", name)] = withLength(ok+name+": 1\r\n", body)
	}
	return answers
}

// Server gives the same answer to each request and leaves its connections open.
type Server struct {
	// Addr is its address.
	Addr     string
	requests atomic.Int64
	ended    chan struct{}
}

// Requests returns how many requests have come.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Serve returns a server, on a listener of its own if l is nil.
func Serve(t testing.TB, l net.Listener, answer string) *Server {
	t.Helper()
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{Addr: l.Addr().String(), ended: make(chan struct{}, 100)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, answer)
		}
	}()
	return s
}

func (s *Server) serve(c net.Conn, answer string) {
	defer func() { _ = c.Close(); s.ended <- struct{}{} }()
	br := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		s.requests.Add(1)
		if _, err := io.Copy(c, strings.NewReader(answer)); err != nil {
			return
		}
	}
}

// CheckClosed fails the test unless a client has closed its connection.
func (s *Server) CheckClosed(t testing.TB) {
	t.Helper()
	select {
	case <-s.ended:
	case <-time.After(closeTimeout):
		t.Error("the connection is open")
	}
}
