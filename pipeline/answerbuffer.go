package pipeline

import (
	"bytes"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
)

// maxAnswerBufferBytes bounds one buffered answer. It is above the bound of a
// whole answer.
const maxAnswerBufferBytes = 20 << 20

var errAnswerBufferFull = errors.New("the answer is larger than what is kept")

// ranAt says at which target a request ran, and how long.
type ranAt struct {
	target route.TargetID
	took   time.Duration
}

// answerBuffer is the http.ResponseWriter of a claimed request. It buffers the
// answer for any number of callers that follow it.
type answerBuffer struct {
	key           claim.Key
	requestDigest claim.Digest

	mu     sync.Mutex
	header http.Header
	status int
	body   []byte
	done   bool
	err    error
	ranAt  ranAt
	wake   chan struct{}
}

// Header returns the header of the answer. Only the writer may use it.
func (j *answerBuffer) Header() http.Header { return j.header }

// WriteHeader starts the answer; the header must not change afterwards.
func (j *answerBuffer) WriteHeader(status int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.status == 0 {
		j.status = status
		j.wakeAll()
	}
}

// Write appends to the answer. It fails if the answer is larger than the buffer
// may be.
func (j *answerBuffer) Write(p []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.body)+len(p) > maxAnswerBufferBytes {
		return 0, errAnswerBufferFull
	}
	j.body = append(j.body, p...)
	j.wakeAll()
	return len(p), nil
}

// Flush does nothing: followers see each write.
func (j *answerBuffer) Flush() {}

func (j *answerBuffer) wakeAll() {
	close(j.wake)
	j.wake = make(chan struct{})
}

func (j *answerBuffer) outcome() (status uint16, digest claim.Digest) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return uint16(j.status), claim.DigestOf(j.body)
}

// bufferState is what a follower reads at one time: the body from its offset on,
// and a channel that is closed at the next change.
type bufferState struct {
	status int
	body   []byte
	done   bool
	err    error
	wake   chan struct{}
}

func (j *answerBuffer) from(offset int) bufferState {
	j.mu.Lock()
	defer j.mu.Unlock()
	return bufferState{status: j.status, body: j.body[offset:], done: j.done, err: j.err, wake: j.wake}
}

// chunksIn returns the number of chunks in a part of the answer: its events without the end mark,
// or 1 if it is no event stream. Events are written whole, so none is cut by a part's end.
func (j *answerBuffer) chunksIn(part []byte) int {
	if j.header.Get("Content-Type") != ports.ContentTypeEvents {
		return 1
	}
	return bytes.Count(part, []byte("\n\n")) - bytes.Count(part, []byte("data: "+ports.EndMark+"\n\n"))
}

// follow relays the answer to a caller, up to its end. A caller that leaves
// doesn't end the answer for others.
func (j *answerBuffer) follow(x *Exchange) error {
	r := newRelay(x, nil)
	for offset := 0; ; {
		p := j.from(offset)
		if p.status != 0 && !x.headWritten {
			j.head(r, p.status)
		}
		if len(p.body) > 0 {
			offset += len(p.body)
			x.chunks += j.chunksIn(p.body)
			if err := j.relayPart(r, p.body); err != nil {
				return err
			}
			continue
		}
		if p.done {
			x.target = j.ranAt.target
			if !x.replayed {
				x.targetTime = j.ranAt.took
			}
			return p.err
		}
		select {
		case <-p.wake:
		case <-x.Ctx.Done():
			return verdict.New(verdict.MayHaveRun, CodeCallerGone, "the caller left")
		}
	}
}

func (j *answerBuffer) head(r *relay, status int) {
	own := r.x.W.Header()
	for name, values := range j.header {
		if own.Get(name) == "" {
			own[name] = values
		}
	}
	r.head(status)
}

func (j *answerBuffer) relayPart(r *relay, body []byte) error {
	if err := r.write(body); err != nil {
		return err
	}
	return r.callerGone(r.flush())
}

// answerBuffers holds the answers of claimed requests while they run and for
// Bounds.AnswerTTL after, up to Bounds.MaxAnswerBytes of ended ones.
type answerBuffers struct {
	bounds Bounds
	mu     sync.Mutex
	byKey  map[claim.Key]*answerBuffer
	ended  []*answerBuffer
	bytes  int64
}

func newAnswerBuffers(b Bounds) *answerBuffers {
	return &answerBuffers{bounds: b, byKey: map[claim.Key]*answerBuffer{}}
}

func (s *answerBuffers) find(k claim.Key) *answerBuffer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[k]
}

func (s *answerBuffers) open(k claim.Key, digest claim.Digest) *answerBuffer {
	j := &answerBuffer{key: k, requestDigest: digest, header: http.Header{}, wake: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byKey[k] = j
	return j
}

// end completes a buffer. Only a whole answer is kept: after a failure a resend
// asks the claim's owner again, as its answer may have changed.
func (s *answerBuffers) end(j *answerBuffer, err error, ran ranAt) {
	s.mu.Lock()
	if err != nil {
		delete(s.byKey, j.key)
	} else {
		s.keep(j)
	}
	s.mu.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.done, j.err, j.ranAt = true, err, ran
	j.wakeAll()
}

func (s *answerBuffers) keep(j *answerBuffer) {
	s.ended = append(s.ended, j)
	s.bytes += int64(len(j.body))
	for s.bytes > s.bounds.MaxAnswerBytes {
		s.evict(s.ended[0])
	}
	time.AfterFunc(s.bounds.AnswerTTL, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.evict(j)
	})
}

func (s *answerBuffers) evict(j *answerBuffer) {
	for i := range s.ended {
		if s.ended[i] != j {
			continue
		}
		s.ended = append(s.ended[:i:i], s.ended[i+1:]...)
		s.bytes -= int64(len(j.body))
		delete(s.byKey, j.key)
		return
	}
}
