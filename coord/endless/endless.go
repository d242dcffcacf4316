// Package endless has servers whose answers never end, for tests of what a client reads of one. Only tests
// may import it.
package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	// MaxBytes is how much of an answer is written to a client that never closes.
	MaxBytes = 160 << 20
	// socketBytes bounds what the sockets of both ends hold at first of an answer that isn't read. The
	// kernel grows a receive buffer with what is read.
	socketBytes = 8 << 20
	blockBytes  = 32 << 10
	// writeTimeout ends the answer to a client that neither reads nor closes.
	writeTimeout = 20 * time.Second
)

// Answer is an answer that begins with Begin and goes on with Part for ever.
type Answer struct {
	Name, Begin, Part string
	// Accept, if not nil, returns what comes before Begin.
	Accept func(*http.Request) string
	// Every, if not 0, is the time between two Parts.
	Every time.Duration
}

const (
	ok      = "HTTP/1.1 200 OK\r\n"
	chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
)

// With returns the answer with a status and further header lines, if its head begins with a status line.
func (a Answer) With(status int, headers string) Answer {
	if rest, found := strings.CutPrefix(a.Begin, ok); found {
		a.Begin = "HTTP/1.1 " + strconv.Itoa(status) + " X\r\n" + headers + rest
	}
	return a
}

// Heads are answers whose head never ends.
var Heads = []Answer{
	{Name: "bytes that are no answer", Part: "\x00\xff"},
	{Name: "status line", Begin: "HTTP/1.1 200 ", Part: "x"},
	{Name: "header line", Begin: ok + "A: ", Part: "x"},
	{Name: "header name", Begin: ok, Part: "x"},
	{Name: "header lines", Begin: ok, Part: "A: b\r\n"},
	{Name: "continued header line", Begin: ok + "A: b\r\n", Part: " b\r\n"},
	{Name: "interim answers", Part: "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
}

// Framings are answers whose head is whole and whose chunks are malformed.
var Framings = []Answer{
	{Name: "chunk size", Begin: chunked, Part: "0"},
	{Name: "chunk extension", Begin: chunked + "1;", Part: "x"},
	{Name: "chunk extensions", Begin: chunked, Part: "1;" + strings.Repeat("x", 100) + "\r\na\r\n"},
	{Name: "trailer line", Begin: chunked + "0\r\nA: ", Part: "x"},
	{Name: "trailer lines", Begin: chunked + "0\r\n", Part: "A: b\r\n"},
}

// Bodies are answers whose body never ends. The body consists of Part.
func Bodies(part string) []Answer {
	return []Answer{
		{Name: "body with a length", Begin: ok + "Content-Length: 1000000000000\r\n\r\n", Part: part},
		{Name: "body in chunks", Begin: chunked, Part: chunk(part)},
		{Name: "body until the connection ends", Begin: ok + "\r\n", Part: part},
	}
}

// After is an answer that is followed by further bytes.
var After = Answer{Name: "bytes after the answer", Begin: ok + "Content-Length: 2\r\n\r\nok", Part: "x"}

func chunk(part string) string {
	const digits = "0123456789abcdef"
	size := ""
	for n := len(part); n > 0; n /= 16 {
		size = digits[n%16:n%16+1] + size
	}
	return size + "\r\n" + part + "\r\n"
}

// Server gives the same answer to the first request of each connection.
type Server struct {
	// Addr is its address.
	Addr  string
	ended chan end
}

// end is how the connection of an answer ended.
type end struct {
	written int
	closed  bool
}

// Serve returns a server, on a listener of its own if l is nil.
func Serve(t testing.TB, l net.Listener, a Answer) *Server {
	t.Helper()
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{Addr: l.Addr().String(), ended: make(chan end, 100)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, a)
		}
	}()
	return s
}

func (s *Server) serve(c net.Conn, a Answer) {
	defer func() { _ = c.Close() }()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	block, wait := strings.Repeat(a.Part, max(1, blockBytes/len(a.Part))), func() {}
	if a.Every > 0 {
		tick := time.NewTicker(a.Every)
		defer tick.Stop()
		block, wait = a.Part, func() { <-tick.C }
	}
	begin := a.Begin
	if a.Accept != nil {
		begin = a.Accept(q) + begin
	}
	n, err := io.WriteString(c, begin)
	for written := n; ; written += n {
		if err != nil || written >= MaxBytes {
			s.ended <- end{written, err != nil && !isTimeout(err)}
			return
		}
		wait()
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err = io.WriteString(c, block)
	}
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// CheckClosed fails the test unless the client of an answer closes its connection, and has read no more than
// bound bytes by then.
func (s *Server) CheckClosed(t testing.TB, bound int) {
	t.Helper()
	e := <-s.ended
	if limit := 2*bound + socketBytes; !e.closed || e.written > limit {
		t.Errorf("%d bytes were written, at most %d expected; closed by the client: %v", e.written, limit, e.closed)
	}
}
