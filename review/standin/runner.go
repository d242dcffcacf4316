package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a plain runner of PROTOCOL.md: it serves one request at a time on a connection, answers
// 421 to requests for another runner, signs and echoes the id in its answers.
type runner struct {
	rec                       *record
	id, service, zone, listen string
	slots                     int
	work                      time.Duration

	// The faults; guarded by mu.
	mu sync.Mutex
	// shed is the share of requests that it turns away with 503 and X-Not-Executed while its health
	// check is good (srv_grey).
	shed float64
	// extra is the share of its answers that it sends a second time, late: where the next response on
	// the connection is expected (garble).
	extra float64
	// silence is how long it is silent in the middle of a stream.
	silence time.Duration
	// runs counts the runs of each request; shared by all runners.
	runs *runs
}

// run is one run of a request.
type run struct {
	runner *runner
	at     time.Time
}

// runs holds all runs by request id. It is safe for concurrent use.
type runs struct {
	mu   sync.Mutex
	byID map[string][]run
}

func (l *runs) add(id string, r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byID[id] = append(l.byID[id], r)
}

func (l *runs) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byID[id]
}

func (r *runner) setFaults(shed, extra float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shed, r.extra = shed, extra
}

func (r *runner) setSilence(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silence = d
}

func (r *runner) silenceTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silence
}

func (r *runner) draw() (sheds, sendsExtra bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rand.Float64() < r.shed, rand.Float64() < r.extra
}

// entry is the runner's entry in the platform's list.
func (r *runner) entry() map[string]any {
	return map[string]any{"id": r.id, "service": r.service, "address": r.listen, "zone": r.zone, "version": "v1",
		"slots": r.slots, "state": "ready", "coldRemainingMs": 0}
}

func (r *runner) start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.listen = l.Addr().String()
	slots := make(chan struct{}, r.slots)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c, slots)
		}
	}()
	return nil
}

// serve serves the requests of one connection one after the other.
func (r *runner) serve(c net.Conn, slots chan struct{}) {
	defer c.Close()
	in := bufio.NewReader(c)
	var late []byte
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("X-Request-Id")
		if late != nil {
			r.rec.add("%s: the extra answer arrives on a connection that now carries request %s", r.id, id)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		if strings.HasPrefix(req.URL.Path, "/brief/") && req.Header.Get("X-Expect-Instance") == r.id {
			last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
			if !r.stream(c, id, last, r.silenceTime()) {
				return
			}
			continue
		}
		answer, extra := r.answer(req, id, slots)
		if _, err := c.Write(answer); err != nil {
			return
		}
		if extra {
			late = answer
		}
	}
}

// answer runs a request or turns it away, and says whether the answer is also sent a second time.
func (r *runner) answer(req *http.Request, id string, slots chan struct{}) (bytesOut []byte, extra bool) {
	expect := req.Header.Get("X-Expect-Instance")
	switch {
	case req.URL.Path == "/health":
		return r.head(200, "", "ok"), false
	case expect != "" && expect != r.id:
		return r.head(421, id, "", "X-Not-Executed: 1"), false
	case id == "":
		return r.head(400, "", "", "X-Not-Executed: 1"), false
	}
	sheds, extra := r.draw()
	if sheds {
		r.rec.add("%s turns request %s away: 503, X-Not-Executed (second copy: %v)", r.id, id, extra)
		return r.head(503, id, "", "X-Not-Executed: 1"), extra
	}
	slots <- struct{}{}
	defer func() { <-slots }()
	r.rec.add("%s runs request %s", r.id, id)
	r.runs.add(id, run{r, time.Now()})
	time.Sleep(r.work)
	r.rec.add("%s ends the run of request %s: 200 (second copy: %v)", r.id, id, extra)
	return r.head(200, id, "run by "+r.id+"\n", "X-Response-Signature: "+r.id+"."+id), extra
}

func (r *runner) head(status int, id, body string, headers ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nX-Instance-Id: %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), r.id, len(body))
	if id != "" {
		fmt.Fprintf(&b, "X-Request-Id: %s\r\n", id)
	}
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	b.WriteString("\r\n" + body)
	return b.Bytes()
}
