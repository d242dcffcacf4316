package enginehttp_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/gullhaven/gullhaven/coord/broken"
	"github.com/gullhaven/gullhaven/coord/httpconn"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports/transport"
)

// bodies are what an exchange takes for a whole answer.
var bodies = map[string]string{
	"stream": "data: x\n\n", "once": "data: x\n\n", "resume": "data: x\n\n", "cache events": "[]",
}

// Guards against an answer of an engine or a plain target that is not valid HTTP and is taken for one, or for a sign
// that the request has not run.
func TestBrokenAnswersAreErrors(t *testing.T) {
	for name, e := range exchanges {
		body := bodies[name]
		if body == "" {
			body = "{}"
		}
		for wrong, text := range broken.Answers("Gullhaven-Attempt: own\r\n", body) {
			t.Run(name+", "+wrong, func(t *testing.T) {
				transports := transport.NewTransports(transport.Options{})
				defer transports.Close()
				s := broken.Serve(t, nil, text)
				err := e.run(t.Context(), s.Addr, transports)
				var invalid *httpconn.Error
				if !errors.As(err, &invalid) {
					t.Errorf("%v", err)
				}
				var failed *verdict.Error
				if errors.As(err, &failed) && failed.Verdict.SafeToRetry() {
					t.Errorf("safe to retry: %v", err)
				}
				s.CheckClosed(t)
			})
		}
	}
}

// Guards against a request on a connection that brought a broken answer, and against one that net/http sends again by
// itself.
func TestConnectionsOfBrokenAnswersAreNotReused(t *testing.T) {
	for wrong, text := range broken.Answers("Gullhaven-Attempt: own\r\n", "{}") {
		t.Run(wrong, func(t *testing.T) {
			var sent []string
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				// The first connection brings an answer that is sound, then the broken one.
				for conns := 0; conns < 2; conns++ {
					c, err := l.Accept()
					if err != nil {
						return
					}
					br := bufio.NewReader(c)
					for n := 0; ; n++ {
						if _, err := http.ReadRequest(br); err != nil {
							break
						}
						answer := "HTTP/1.1 200 OK\r\nGullhaven-Attempt: own\r\nContent-Length: 2\r\n\r\n{}"
						if conns == 0 && n == 1 {
							answer = text
						}
						sent = append(sent, answer)
						_, _ = io.WriteString(c, answer)
					}
					_ = c.Close()
				}
			}()
			transports := transport.NewTransports(transport.Options{})
			load := exchanges["load"].run
			for n, want := range []bool{true, false, true} {
				if err := load(t.Context(), l.Addr().String(), transports); (err == nil) != want {
					t.Errorf("call %d: %v", n, err)
				}
			}
			transports.Close()
			<-ended
			if len(sent) != 3 {
				t.Errorf("%d requests came, 3 expected", len(sent))
			}
		})
	}
}
