package pipeline

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
)

// writeGrace is how long after the deadline a slow caller may still read its
// answer. Without a bound, such a caller could hold its target's slot for any
// time.
const writeGrace = time.Second

// maxEventBufferBytes bounds the buffer that is kept between events.
const maxEventBufferBytes = 64 << 10

// relay writes one answer to the caller.
type relay struct {
	x       *Exchange
	attempt *attempt
	flush   func() error
	// last is the number of the last relayed chunk.
	last   uint64
	buf    []byte
	stream ports.Stream
	moving moving
}

func newRelay(x *Exchange, a *attempt) *relay {
	return &relay{x: x, attempt: a, flush: http.NewResponseController(x.W).Flush}
}

// relayStream relays r.stream, from its chunk first to its end mark.
func (r *relay) relayStream(first ports.Chunk) error {
	if !r.x.streamed() {
		return r.writeWhole(r.stream, first)
	}
	for c := first; ; {
		if err := r.chunk(c, !r.stream.Buffered()); err != nil {
			return err
		}
		next, err := r.next()
		if err == io.EOF {
			return r.end()
		}
		if err != nil {
			return err
		}
		c = next
	}
}

// next returns the next chunk, from another target if the stream was due to be
// moved.
func (r *relay) next() (ports.Chunk, error) {
	if !r.moving.due(r.attempt) {
		return r.stream.Next()
	}
	// What was relayed must not wait for the move.
	if err := r.callerGone(r.flush()); err != nil {
		return ports.Chunk{}, err
	}
	m, ok := r.moving.try(r.attempt, r.last)
	if !ok {
		return r.stream.Next()
	}
	old := *r.attempt
	r.moving.releaseSource(&old, r.stream)
	*r.attempt, r.stream = *m.attempt, m.stream
	r.x.target = r.attempt.decision.Target
	if m.ended {
		return ports.Chunk{}, io.EOF
	}
	return m.first, nil
}

// writeWhole writes an answer of one chunk. It writes nothing before the answer
// is known to be whole.
func (r *relay) writeWhole(s ports.Stream, c ports.Chunk) error {
	if _, err := s.Next(); err != io.EOF {
		return verdict.New(verdict.Ran, ports.CodeTargetError, "more follows a whole answer")
	}
	h := r.x.W.Header()
	h.Set("Content-Type", ports.ContentTypeJSON)
	h.Set("Content-Length", strconv.Itoa(len(c.Data)))
	r.head(http.StatusOK)
	r.attempt.tokens = r.x.Request.OutputTokens()
	return r.write(c.Data)
}

// head writes the status and the headers of the answer.
func (r *relay) head(status int) {
	x := r.x
	x.W.Header().Set(HeaderVerdict, verdict.Ran.String())
	_ = http.NewResponseController(x.W).SetWriteDeadline(x.Deadline.Add(writeGrace))
	x.headWritten = true
	x.firstByte = x.now()
	x.W.WriteHeader(status)
}

func (r *relay) chunk(c ports.Chunk, flush bool) error {
	if !r.x.headWritten {
		h := r.x.W.Header()
		h.Set("Content-Type", ports.ContentTypeEvents)
		h.Set("Cache-Control", "no-cache")
		r.head(http.StatusOK)
		r.x.releaseBody()
	}
	if err := r.event(c.Data); err != nil {
		return err
	}
	r.last = c.Seq
	r.x.chunks++
	r.attempt.tokens++
	if !flush {
		return nil
	}
	return r.callerGone(r.flush())
}

// end writes the end mark.
func (r *relay) end() error {
	if err := r.event([]byte(ports.EndMark)); err != nil {
		return err
	}
	return r.callerGone(r.flush())
}

// event writes data as one event, with a data field for each line.
func (r *relay) event(data []byte) error {
	b := r.buf[:0]
	for len(data) > 0 {
		line, rest, _ := bytes.Cut(data, []byte{'\n'})
		b = append(b, "data: "...)
		b = append(b, line...)
		b = append(b, '\n')
		data = rest
	}
	b = append(b, '\n')
	if cap(b) <= maxEventBufferBytes {
		r.buf = b
	}
	return r.write(b)
}

func (r *relay) write(b []byte) error {
	_, err := r.x.W.Write(b)
	return r.callerGone(err)
}

// callerGone turns the error of a write into one that says that the caller left.
func (r *relay) callerGone(err error) error {
	if err == nil {
		return nil
	}
	return &verdict.Error{Verdict: verdict.Ran, Code: CodeCallerGone, Message: "the caller left", Err: err}
}
