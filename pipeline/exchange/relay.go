package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/route/pick"
)

const (
	// eventBufferBytes is the size of the read buffer. It holds several events, which are
	// usually under 100 bytes.
	eventBufferBytes = 2 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 256 << 10
)

var (
	// errTruncated is returned for a stream that ends in the middle of an event.
	errTruncated = errors.New("stream ended in the middle of an event")
	// errNoEvent is returned for a stream without a length or chunks whose connection is closed before its
	// first event: it cannot be distinguished from one that was broken off.
	errNoEvent = errors.New("connection closed before the first event")
)

// eventReader reads whole events from an event stream.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
}

var eventReaderPool = sync.Pool{New: func() any { return &eventReader{r: bufio.NewReaderSize(nil, eventBufferBytes)} }}

// next returns the next event with its terminating blank line; it is valid until the next call.
// The error is io.EOF if the stream ended after a whole event.
func (e *eventReader) next() ([]byte, error) {
	e.buf = e.buf[:0]
	for {
		line, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		switch {
		case err == bufio.ErrBufferFull && len(e.buf) <= maxEventBytes:
			continue
		case err == io.EOF && len(bytes.TrimSpace(e.buf)) == 0:
			return nil, io.EOF
		case err == io.EOF:
			return nil, errTruncated
		case err != nil:
			return nil, err
		case len(e.buf) > maxEventBytes:
			return nil, bufio.ErrTooLong
		case blank(line) && len(e.buf) > len(line):
			return e.buf, nil
		}
	}
}

func blank(line []byte) bool { return len(line) <= 2 && len(bytes.TrimRight(line, "\r\n")) == 0 }

// buffered reports whether a whole event can be read without waiting.
func (e *eventReader) buffered() bool {
	ahead, _ := e.r.Peek(e.r.Buffered())
	return bytes.Contains(ahead, []byte("\n\n")) || bytes.Contains(ahead, []byte("\n\r\n"))
}

// eventID returns the id of an event, and false if there is none or it is malformed.
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

// recordWaitRatio records the ratio of actual to expected time to the first event.
func (q *request) recordWaitRatio(now time.Time) {
	if q.expectedWaitMs > 0 && q.call.PromptTokens > 0 {
		q.g.o.Metrics.WaitRatio.Update(float64(now.Sub(q.sentAt).Milliseconds()) / q.expectedWaitMs)
	}
}

// stream is an event stream that is being read.
type stream struct {
	a *rawhttp.Answer
	p *destination
	e *eventReader
	// interrupt ends the reading; cause returns why it has ended.
	interrupt context.CancelCauseFunc
	cause     func() error
	// ahead is what was read last, if it was not relayed yet.
	ahead *readEvent
	// begun says that an event was read.
	begun bool
}

// readEvent is the result of eventReader.next.
type readEvent struct {
	event []byte
	err   error
}

// newStream returns the stream of an answer, whose reading ctx ends and interrupt with it. Call free when it
// is not read any more.
func newStream(ctx context.Context, interrupt context.CancelCauseFunc, a *rawhttp.Answer, p *destination) *stream {
	e := eventReaderPool.Get().(*eventReader)
	e.r.Reset(a.Body)
	return &stream{a: a, p: p, e: e, interrupt: interrupt, cause: func() error { return context.Cause(ctx) }}
}

func (s *stream) free() {
	s.e.r.Reset(nil)
	eventReaderPool.Put(s.e)
}

// next is eventReader.next, but returns errNoEvent for the end of a stream that had no event and may have been
// broken off.
func (s *stream) next() ([]byte, error) {
	if read := s.ahead; read != nil {
		s.ahead = nil
		return read.event, read.err
	}
	event, err := s.e.next()
	if err == io.EOF && !s.begun && !s.a.Framed() {
		return nil, errNoEvent
	}
	s.begun = s.begun || err == nil
	return event, err
}

// quietAt returns the time if nothing of the answer is left to be read and the target is in doubt; else zero.
func (s *stream) quietAt() time.Time {
	if s.p.choice == nil || !s.p.choice.InDoubt() || s.ahead != nil || s.e.r.Buffered() > 0 || !s.a.Quiet() {
		return time.Time{}
	}
	return time.Now()
}

// readAhead reads the first event or the end of a stream that has none, which next then returns, and reports
// why there is neither.
func (s *stream) readAhead() error {
	event, err := s.next()
	if err != nil && err != io.EOF {
		return err
	}
	s.ahead = &readEvent{event, err}
	return nil
}

// relayStream relays an event stream and reports whether it reached its end.
func (q *request) relayStream(s *stream) (bool, pick.Result) {
	a, p := s.a, s.p
	first := true
	lastEventAt := time.Now()
	for {
		if !first {
			q.watch.awaitEvent(q, a)
		}
		quietAt := s.quietAt()
		event, err := s.next()
		if ended := err == io.EOF && a.Framed(); q.watch.endWait(err) && !ended {
			// The hedge brings its own events, also if this run may have been broken off.
			err = errSilent
		}
		now := time.Now()
		if !first {
			q.recordGap(now.Sub(lastEventAt))
		}
		lastEventAt = now
		if err == io.EOF && first && !q.headWritten {
			// The stream has no events, so only the head is relayed.
			q.writeHead(a)
		}
		if err == io.EOF {
			a.Close(true)
			q.reportAnswerEnd(a, p)
			q.recordRun(verdict.Ran)
			return true, pick.Good
		}
		if err != nil {
			if s.cause() == errSilent {
				err = errSilent
			}
			return false, q.streamBroken(a, p, err)
		}
		if first && p.choice != nil {
			p.reportFirstEvent(now)
			q.recordWaitRatio(now)
		}
		if first {
			q.recordOrigin(a, p)
			q.watchStream(s)
		}
		if !first && !quietAt.IsZero() {
			p.choice.Heard(quietAt)
		}
		first = false
		if !q.relayEvent(a, s.e, event) {
			a.Close(false)
			q.recordRun(verdict.Ran)
			q.reportCrash(p, errCallerLeft)
			return false, pick.Neutral
		}
	}
}

// watchStream watches a stream that has begun in another region or as a hedge; others are watched already.
func (q *request) watchStream(s *stream) {
	if q.watch != nil {
		return
	}
	q.watch = q.watchRun(s.p, s.interrupt)
	if q.watch != nil && s.p.choice != nil {
		s.p.choice.OnUnreachable(q.watch.targetUnreachable)
	}
}

// recordGap records the time between two events.
func (q *request) recordGap(gap time.Duration) {
	q.longestGap = max(q.longestGap, gap)
	q.g.o.Metrics.EventGapTime.Update(gap)
}

// streamBroken records a stream that ended early and returns the result for the target.
func (q *request) streamBroken(a *rawhttp.Answer, p *destination, err error) pick.Result {
	result := q.endRun(a, p, err)
	if result == pick.Neutral {
		return result
	}
	if q.headWritten {
		q.g.o.Metrics.Resumes.Inc(1)
	}
	q.g.o.Log.Info("stream broken", zap.String("id", q.call.ID), zap.String("target", q.lastTried), zap.Int64("last", q.lastEventID), zap.Error(err), q.partsField(),
		zap.Bool("resumable", q.route.Resumable), zap.Duration("after", time.Since(q.acceptedAt)))
	return result
}

// endRun closes an answer that ended early, and returns the result for the target.
func (q *request) endRun(a *rawhttp.Answer, p *destination, err error) pick.Result {
	a.Close(false)
	q.recordRun(verdict.MayHaveRun)
	q.reportCrash(p, err)
	q.recordContactLost(p, err)
	if q.ctx.Err() != nil || err == errNoMemory {
		return pick.Neutral
	}
	if err != errSilent {
		q.answerErr = err
		q.g.o.Metrics.BrokenAnswers.Inc(1)
	}
	return pick.Lost
}

// relayEvent writes one event and reports whether the caller still reads. It drops events that
// the caller already has, as a target may resume a little before the requested event.
func (q *request) relayEvent(a *rawhttp.Answer, e *eventReader, event []byte) bool {
	if id, ok := eventID(event); ok {
		if q.hasLastEventID && id <= q.lastEventID {
			return true
		}
		q.lastEventID, q.hasLastEventID = id, true
	}
	if !q.headWritten {
		q.writeHead(a)
	}
	if _, err := q.w.Write(event); err != nil {
		return false
	}
	if e.buffered() {
		return true
	}
	return http.NewResponseController(q.w).Flush() == nil
}

// writeHead writes the head of the first target's answer. It remains the head of the whole
// answer, even if the stream is resumed at another target.
func (q *request) writeHead(a *rawhttp.Answer) {
	copyAnswerHeaders(q.w.Header(), a.Header)
	if q.forwarded != nil && q.forwarded.Begins {
		q.w.Header().Set(headerSoftware, url.QueryEscape(q.origin.Software))
	}
	q.setTook(q.w.Header())
	q.w.WriteHeader(a.StatusCode)
	q.headWritten, q.firstByteAt = true, time.Now()
}

// setTook sets headerTook on the answer to a forwarded request.
func (q *request) setTook(h http.Header) {
	if q.forwarded != nil {
		h.Set(headerTook, strconv.FormatInt(time.Since(q.acceptedAt).Milliseconds(), 10))
	}
}

func copyAnswerHeaders(to, from http.Header) {
	for name, values := range forwardable(from) {
		to[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		// Otherwise the server would guess a type from the body.
		to["Content-Type"] = nil
	}
}

func setLength(h http.Header, n int) { h.Set("Content-Length", strconv.Itoa(n)) }
