// Package answer reads answers of engines, streamed or whole, and detects answers
// that end early.
package answer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
)

// drainTimeout bounds the wait for the end of the body after the end mark.
const drainTimeout = 50 * time.Millisecond

// stream is a streamed answer in progress.
type stream struct {
	events *ports.EventReader
	body   io.ReadCloser
	cancel context.CancelFunc
	seq    *ports.Sequencer
	done   bool
	closed bool
}

// NewStream returns a reader of the streamed answer of attempt a after chunk after.
// Close calls cancel.
func NewStream(a ports.AttemptID, after uint64, body io.ReadCloser, cancel context.CancelFunc) ports.Stream {
	return &stream{
		events: ports.NewEventReader(body),
		body:   body,
		cancel: cancel,
		seq:    ports.NewSequencer(a, after),
	}
}

// Next returns the next chunk in order.
func (s *stream) Next() (ports.Chunk, error) {
	if s.done {
		return ports.Chunk{}, io.EOF
	}
	for {
		if data, ok := s.seq.TakeHeld(); ok {
			return s.deliver(data)
		}
		e, err := s.events.Next()
		if err != nil {
			return ports.Chunk{}, s.cutError(err)
		}
		ready, err := s.accept(e)
		if err != nil {
			return ports.Chunk{}, err
		}
		if ready {
			return s.deliver(e.Data)
		}
	}
}

// accept passes one event to the Sequencer. An event without an id counts as the
// next one, for engines that don't number events.
func (s *stream) accept(e ports.Event) (bool, error) {
	if string(e.Name) == "error" {
		return false, s.errorEvent(e.Data)
	}
	if len(e.ID) == 0 {
		return s.seq.AcceptNext(), nil
	}
	i := bytes.LastIndexByte(e.ID, ':')
	n, ok := parseSeq(e.ID[i+1:])
	if i < 0 || !ok {
		return false, verdict.New(s.currentVerdict(), ports.CodeWrongAnswer, "malformed event id")
	}
	return s.seq.Accept(e.ID[:i], n, e.Data)
}

// errorBody is the form of an error event with code and verdict.
type errorBody struct {
	Error struct {
		Code    verdict.Code    `json:"code"`
		Verdict verdict.Verdict `json:"verdict"`
		Message string          `json:"message"`
	} `json:"error"`
}

// errorEvent returns the error of an error event. One of another form counts as an
// error of the target.
func (s *stream) errorEvent(data []byte) error {
	var f errorBody
	if json.Unmarshal(data, &f) == nil && f.Error.Code != "" {
		return verdict.New(s.currentVerdict().Join(f.Error.Verdict), f.Error.Code, f.Error.Message)
	}
	return &verdict.Error{Verdict: s.currentVerdict(), Code: ports.CodeTargetError, Message: "target broke the answer off", Err: errors.New(string(data))}
}

func (s *stream) deliver(data []byte) (ports.Chunk, error) {
	if string(data) != ports.EndMark {
		return ports.Chunk{Seq: s.seq.Next() - 1, Data: data}, nil
	}
	if !s.seq.Complete() {
		return ports.Chunk{}, s.seq.GapError()
	}
	s.done = true
	return ports.Chunk{}, io.EOF
}

// cutError returns the error for an answer that ended without its end mark. io.EOF
// is replaced as the cause: errors.Is would find it, and a truncated answer would
// pass for a whole one.
func (s *stream) cutError(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if !s.seq.Complete() {
		return s.seq.GapError()
	}
	return &verdict.Error{Verdict: s.currentVerdict(), Code: ports.CodeStreamCut, Message: "the answer ended before its end mark", Err: err}
}

// currentVerdict returns Ran from the first chunk on, before it MayHaveRun.
func (s *stream) currentVerdict() verdict.Verdict {
	if s.seq.Next() > 1 {
		return verdict.Ran
	}
	return verdict.MayHaveRun
}

// Buffered reports whether another whole event has been received already.
func (s *stream) Buffered() bool { return !s.closed && s.events.Buffered() }

// Counts returns the counts of chunks that did not come in order.
func (s *stream) Counts() ports.SequenceCounts { return s.seq.Counts() }

// Close releases the stream. The body of a whole answer is read to its end first,
// so that the connection can be reused.
func (s *stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	s.events.Release()
	if s.done {
		s.drainBody()
	}
	s.cancel()
	return s.body.Close()
}

// drainBody reads what follows the end mark. The wait is bounded, as an engine that
// sends the mark and keeps the answer open would hold up the caller's connection.
func (s *stream) drainBody() {
	t := time.AfterFunc(drainTimeout, s.cancel)
	defer t.Stop()
	var rest [1]byte
	_, _ = s.body.Read(rest[:])
}

// parseSeq parses a decimal number without allocating.
func parseSeq(b []byte) (uint64, bool) {
	if len(b) == 0 || len(b) > 19 {
		return 0, false
	}
	var n uint64
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + uint64(c-'0')
	}
	return n, true
}

// NewWhole returns a reader of a whole answer in JSON as one chunk. framed says that the end of the body can be
// distinguished from a lost connection. Close calls cancel.
func NewWhole(body io.ReadCloser, framed bool, cancel context.CancelFunc) ports.Stream {
	return &whole{body: body, framed: framed, cancel: cancel}
}

// maxWholeBytes bounds a whole answer.
const maxWholeBytes = 16 << 20

// whole is an answer that comes as one chunk.
type whole struct {
	body   io.ReadCloser
	framed bool
	cancel context.CancelFunc
	done   bool
}

// Next returns the whole answer, then io.EOF.
func (w *whole) Next() (ports.Chunk, error) {
	if w.done {
		return ports.Chunk{}, io.EOF
	}
	data, err := io.ReadAll(io.LimitReader(w.body, maxWholeBytes+1))
	if err == nil && len(data) > maxWholeBytes {
		err = errors.New("answer above " + strconv.Itoa(maxWholeBytes) + " bytes")
	}
	if err == nil && !w.framed && !json.Valid(data) {
		// The connection may have been closed anywhere.
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return ports.Chunk{}, &verdict.Error{Verdict: verdict.MayHaveRun, Code: ports.CodeStreamCut, Message: "the answer ended before its end", Err: err}
	}
	w.done = true
	return ports.Chunk{Seq: 1, Data: data}, nil
}

// Buffered returns false.
func (w *whole) Buffered() bool { return false }

// Counts returns zero counts.
func (w *whole) Counts() ports.SequenceCounts { return ports.SequenceCounts{} }

// Close releases the answer.
func (w *whole) Close() error {
	w.cancel()
	return w.body.Close()
}
