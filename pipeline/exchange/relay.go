package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/route/pick"
)

const (
	// eventBuffer is the size of the buffer that events are read into, in bytes:
	// several events, whose common size is under 100 bytes.
	eventBuffer = 2 << 10
	// maxEvent bounds one event in bytes.
	maxEvent = 256 << 10
	// silentStream is how long a stream that may be resumed may pause before it goes
	// on at another target: well over the pauses of a loaded engine, and under the
	// 2 s after which callers leave.
	silentStream = 1500 * time.Millisecond
)

// errTorn: a stream ended in the middle of an event.
var errTorn = errors.New("stream ended in the middle of an event")

// events reads whole events.
type events struct {
	r   *bufio.Reader
	buf []byte
}

var eventReaders = sync.Pool{New: func() any { return &events{r: bufio.NewReaderSize(nil, eventBuffer)} }}

// next returns the next event with its blank line, valid until the next call. io.EOF
// says that the stream has ended after a whole event.
func (e *events) next() ([]byte, error) {
	e.buf = e.buf[:0]
	for {
		line, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		switch {
		case err == bufio.ErrBufferFull && len(e.buf) <= maxEvent:
			continue
		case err == io.EOF && len(bytes.TrimSpace(e.buf)) == 0:
			return nil, io.EOF
		case err == io.EOF:
			return nil, errTorn
		case err != nil:
			return nil, err
		case len(e.buf) > maxEvent:
			return nil, bufio.ErrTooLong
		case blank(line) && len(e.buf) > len(line):
			return e.buf, nil
		}
	}
}

func blank(line []byte) bool { return len(line) <= 2 && len(bytes.TrimRight(line, "\r\n")) == 0 }

// more reports whether a whole event is at hand without waiting.
func (e *events) more() bool {
	ahead, _ := e.r.Peek(e.r.Buffered())
	return bytes.Contains(ahead, []byte("\n\n")) || bytes.Contains(ahead, []byte("\n\r\n"))
}

// eventID returns the id of an event.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}

// compareWait counts how long the first event was expected to take and has taken.
func (q *request) compareWait(now time.Time) {
	if q.wait > 0 && q.call.PromptTokens > 0 {
		q.g.o.Metrics.WaitRatio.Update(float64(now.Sub(q.sentAt).Milliseconds()) / q.wait)
	}
}

// takeStream relays the events of an answer.
func (q *request) takeStream(a *rawhttp.Answer, p *destination) (bool, pick.Result) {
	e := eventReaders.Get().(*events)
	e.r.Reset(a.Body)
	defer func() {
		e.r.Reset(nil)
		eventReaders.Put(e)
	}()
	first := true
	began := time.Now()
	for {
		if q.route.Resumable && !first {
			a.Within(silentStream)
		}
		event, err := e.next()
		now := time.Now()
		if !first {
			q.paused(now.Sub(began))
		}
		began = now
		if err == io.EOF && first && !q.begun {
			// A stream without events: the header is all there is to relay.
			q.beginStream(a)
		}
		if err == io.EOF {
			a.Close(true)
			q.ran(verdict.Ran)
			return true, pick.Good
		}
		if err != nil {
			return false, q.broken(a, err)
		}
		if first && p != nil {
			p.began(now)
			q.compareWait(now)
		}
		first = false
		if !q.relay(a, e, event) {
			a.Close(false)
			q.ran(verdict.Ran)
			return false, pick.Neutral
		}
	}
}

// paused notes the time between two events.
func (q *request) paused(gap time.Duration) {
	q.pause = max(q.pause, gap)
	q.g.o.Metrics.GapTime.Update(gap)
}

// broken takes in a stream that ended early.
func (q *request) broken(a *rawhttp.Answer, err error) pick.Result {
	a.Close(false)
	q.ran(verdict.MayHaveRun)
	if q.ctx.Err() != nil {
		return pick.Neutral
	}
	if q.begun {
		q.g.o.Metrics.Resumes.Inc(1)
	}
	q.g.o.Log.Info("stream broken", zap.String("id", q.call.ID), zap.Int64("last", q.last), zap.Error(err),
		zap.Bool("resumable", q.route.Resumable), zap.Duration("after", time.Since(q.began)))
	return pick.Lost
}

// relay writes one event and reports whether the caller still reads. Events that the
// caller has already are dropped: a target may go on a little before the one asked.
func (q *request) relay(a *rawhttp.Answer, e *events, event []byte) bool {
	if id, ok := eventID(event); ok {
		if q.has && id <= q.last {
			return true
		}
		q.last, q.has = id, true
	}
	if !q.begun {
		q.beginStream(a)
	}
	if _, err := q.w.Write(event); err != nil {
		return false
	}
	if e.more() {
		return true
	}
	return http.NewResponseController(q.w).Flush() == nil
}

// beginStream writes the head of the first target's answer. It stays the head of the
// whole answer, also where another target goes on.
func (q *request) beginStream(a *rawhttp.Answer) {
	copyAnswerHeaders(q.w.Header(), a.Header)
	q.tellTook(q.w.Header())
	q.w.WriteHeader(a.StatusCode)
	q.begun, q.first = true, time.Now()
}

// tellTook tells an instance of another region how long the answer took to begin here.
func (q *request) tellTook(h http.Header) {
	if q.from != nil {
		h.Set(headerTook, strconv.FormatInt(time.Since(q.began).Milliseconds(), 10))
	}
}

func copyAnswerHeaders(to, from http.Header) {
	for name, values := range forwardable(from) {
		to[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		// Else the server would guess one from the body.
		to["Content-Type"] = nil
	}
}

func setLength(h http.Header, n int) { h.Set("Content-Length", strconv.Itoa(n)) }
