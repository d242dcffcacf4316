package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/route/pick"
)

// belongs reports whether an answer is that of the request: a second copy of an earlier answer on the
// connection may come instead, and tells nothing of this one. An answer that names no request is its own only
// if the target has not run any.
func (q *request) belongs(a *rawhttp.Answer, reply *Reply) bool {
	if reply.ID == "" && (reply.NotRun || reply.Replaced) {
		a.Unnamed()
		return true
	}
	return reply.ID == q.call.ID && (reply.Signed || reply.NotRun || reply.Replaced)
}

// handleAnswer relays an answer and reports whether the caller has got it whole; if not,
// another attempt is needed.
func (q *request) handleAnswer(ctx context.Context, cancel context.CancelCauseFunc, a *rawhttp.Answer, p *destination) (done bool, result pick.Result) {
	if result, ok := q.checkHead(a, p); !ok {
		return false, result
	}
	if q.route.Kind == routes.Stream && a.StatusCode == http.StatusOK {
		s := newStream(ctx, cancel, a, p)
		defer s.free()
		return q.relayStream(s)
	}
	return q.relayWhole(ctx, a, p)
}

// checkHead reports whether an answer is that of a target which runs the request. If not, it closes it and
// returns the result of the attempt.
func (q *request) checkHead(a *rawhttp.Answer, p *destination) (result pick.Result, ok bool) {
	reply := q.g.o.Dialect.Reply(a.StatusCode, a.Header)
	belongs := q.belongs(a, &reply)
	if p.choice != nil && !reply.Replaced {
		q.recordAnnouncements(p, &reply, belongs)
	}
	switch {
	case !belongs:
		a.Close(false)
		q.recordRun(verdict.MayHaveRun)
		return pick.Failed, false
	case reply.Replaced:
		q.rejected = true
		q.tried.record(p, rejected)
		discard(a)
		return pick.Replaced, false
	case reply.NotRun:
		q.rejected = true
		q.tried.record(p, rejected)
		discard(a)
		if reply.Rest > 0 || reply.BusyFor > 0 {
			return pick.Rested, false
		}
		return pick.Rejected, false
	case a.Header.Get("Content-Encoding") != "":
		// It is not the target's body.
		a.Close(false)
		q.tried.record(p, answered)
		q.recordRun(verdict.MayHaveRun)
		return pick.Failed, false
	}
	q.reportAlive(p)
	return pick.Good, true
}

// bufferedAnswer is an answer that was read to its end.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

const (
	// maxAnswerBytes bounds an answer that is buffered whole.
	maxAnswerBytes = 16 << 20
	// maxPreparedBytes is up to which announced length an answer's buffer is made at once.
	maxPreparedBytes = 64 << 10
)

var (
	// errAnswerTooLong is returned for an answer of over maxAnswerBytes.
	errAnswerTooLong = errors.New("answer is too long to be buffered")
	// errNoMemory is returned for an answer while other requests take up the memory for it.
	errNoMemory = errors.New("other requests take up the memory for the answer")
	// errNoBody is returned for a success without a length or chunks whose connection is closed right after its
	// head: it cannot be distinguished from one that was broken off.
	errNoBody = errors.New("connection closed before the body")
)

// readAnswer reads a body, which the request holds to its end. The error says why it is not complete.
func (q *request) readAnswer(a *rawhttp.Answer) ([]byte, error) {
	if a.ContentLength == 0 {
		return nil, nil
	}
	room := int64(initialAnswerBytes)
	if n := a.ContentLength; n > room && n <= maxPreparedBytes {
		room = n
	}
	if !q.held.Take(time.Now(), room) {
		return nil, errNoMemory
	}
	body := make([]byte, 0, room)
	for {
		if len(body) == cap(body) {
			var ok bool
			if body, ok = q.held.Grow(time.Now(), body, min(2*int64(cap(body)), maxAnswerBytes+1)); !ok {
				return nil, errNoMemory
			}
		}
		n, err := a.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxAnswerBytes:
			return nil, errAnswerTooLong
		case err == io.EOF && len(body) == 0 && rawhttp.MayLackBody(a.Response):
			return nil, errNoBody
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

// initialAnswerBytes is the initial buffer size for an answer of unknown length.
const initialAnswerBytes = 1 << 10

const (
	// maxDiscardBytes bounds what is read of the body of a refusal. Those of targets are usually shorter.
	maxDiscardBytes = 64 << 10
	// discardTimeout bounds the wait for it, as the request goes on elsewhere only then.
	discardTimeout = 50 * time.Millisecond
)

// discard reads and drops the body of a refusal, so that its connection can be reused. One that is long or
// does not come at once costs the connection.
func discard(a *rawhttp.Answer) {
	if a.ContentLength == 0 {
		a.Close(true)
		return
	}
	a.SetReadTimeout(discardTimeout)
	n, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxDiscardBytes))
	a.Close(err == nil && n < maxDiscardBytes)
}

// relayWhole relays an answer that is not an event stream. It buffers the whole answer first,
// so that a truncated answer can be retried and never looks complete.
func (q *request) relayWhole(ctx context.Context, a *rawhttp.Answer, p *destination) (bool, pick.Result) {
	body, err := q.readAnswer(a)
	if err != nil && context.Cause(ctx) == errSilent {
		err = errSilent
	}
	if err != nil {
		result := q.endRun(a, p, err)
		if err == errAnswerTooLong && result == pick.Lost {
			// The target need not back off: it answers, and other requests get shorter answers.
			result = pick.Failed
		}
		return false, result
	}
	a.Close(true)
	q.recordRun(verdict.Ran)
	q.tried.record(p, answered)
	answer := &bufferedAnswer{status: a.StatusCode, header: a.Header, body: body}
	if q.headWritten {
		// A stream that has begun cannot go on with another answer.
		return false, pick.Failed
	}
	if a.StatusCode < http.StatusInternalServerError {
		q.reportAnswerEnd(a, p)
		q.writeAnswer(answer)
		return true, pick.Good
	}
	if q.route.Repeatable() && q.runs < q.maxRuns {
		q.failedAnswer = answer
		return false, pick.Failed
	}
	q.writeAnswer(answer)
	return true, pick.Failed
}

// writeAnswer writes a target's answer to the caller unchanged.
func (q *request) writeAnswer(answer *bufferedAnswer) {
	// A caller that reads slowly needs no hedge.
	q.watch.endWait(nil)
	q.firstByteAt = time.Now()
	h := q.w.Header()
	copyAnswerHeaders(h, answer.header)
	q.setTook(h)
	if q.r.Method == http.MethodHead {
		if v := answer.header.Get("Content-Length"); v != "" {
			h.Set("Content-Length", v)
		}
	} else {
		setLength(h, len(answer.body))
	}
	q.w.WriteHeader(answer.status)
	// The caller may have left; its context says so.
	_, _ = q.w.Write(answer.body)
}
