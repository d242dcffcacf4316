// Package answer reads answers of engines, streamed or whole, and tells a whole
// answer from one that ended early.
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

// drainWait bounds the wait for the end of an answer after its end mark.
const drainWait = 50 * time.Millisecond

// stream is a streamed answer under way.
type stream struct {
	events *ports.EventReader
	body   io.ReadCloser
	cancel context.CancelFunc
	seq    *ports.Sequencer
	done   bool
	closed bool
}

// NewStream reads a streamed answer of attempt a after chunk after. Close calls
// cancel.
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
			return ports.Chunk{}, s.cut(err)
		}
		ready, err := s.take(e)
		if err != nil {
			return ports.Chunk{}, err
		}
		if ready {
			return s.deliver(e.Data)
		}
	}
}

// take puts one event through the Sequencer. An event without an id is taken as
// the next one, for engines that number nothing.
func (s *stream) take(e ports.Event) (bool, error) {
	if string(e.Name) == "error" {
		return false, s.brokenOff(e.Data)
	}
	if len(e.ID) == 0 {
		return s.seq.AcceptNext(), nil
	}
	i := bytes.LastIndexByte(e.ID, ':')
	n, ok := parseSeq(e.ID[i+1:])
	if i < 0 || !ok {
		return false, verdict.New(s.verdict(), ports.CodeWrongAnswer, "malformed event id")
	}
	return s.seq.Accept(e.ID[:i], n, e.Data)
}

// failure is the form of an error event that tells its code and verdict.
type failure struct {
	Error struct {
		Code    verdict.Code    `json:"code"`
		Verdict verdict.Verdict `json:"verdict"`
		Message string          `json:"message"`
	} `json:"error"`
}

// brokenOff reads an error event; one of another form is the target's own.
func (s *stream) brokenOff(data []byte) error {
	var f failure
	if json.Unmarshal(data, &f) == nil && f.Error.Code != "" {
		return verdict.New(s.verdict().Join(f.Error.Verdict), f.Error.Code, f.Error.Message)
	}
	return &verdict.Error{Verdict: s.verdict(), Code: ports.CodeTargetError, Message: "target broke the answer off", Err: errors.New(string(data))}
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

// cut is the error for an answer that ended without its mark. A clean end of the
// bytes is no clean end of the answer: were io.EOF kept as the cause, errors.Is
// would find it, and a part would pass for the whole.
func (s *stream) cut(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if !s.seq.Complete() {
		return s.seq.GapError()
	}
	return &verdict.Error{Verdict: s.verdict(), Code: ports.CodeStreamCut, Message: "the answer ended before its end mark", Err: err}
}

// verdict is Ran from the first chunk on.
func (s *stream) verdict() verdict.Verdict {
	if s.seq.Next() > 1 {
		return verdict.Ran
	}
	return verdict.MayHaveRun
}

// Buffered reports whether more has come already.
func (s *stream) Buffered() bool { return !s.closed && s.events.Buffered() }

// Counts returns what was dropped.
func (s *stream) Counts() ports.SequenceCounts { return s.seq.Counts() }

// Close ends the stream. The body of a whole stream is read to its end first,
// so that the connection can be kept.
func (s *stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	s.events.Release()
	if s.done {
		s.drain()
	}
	s.cancel()
	return s.body.Close()
}

// drain reads what follows the end mark. An engine that sends the mark and keeps
// the answer open would hold its caller's connection, so the wait is bounded.
func (s *stream) drain() {
	t := time.AfterFunc(drainWait, s.cancel)
	defer t.Stop()
	var rest [1]byte
	_, _ = s.body.Read(rest[:])
}

// parseSeq reads a decimal number without allocating.
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

// NewWhole reads a whole answer as one chunk. Close calls cancel.
func NewWhole(body io.ReadCloser, cancel context.CancelFunc) ports.Stream {
	return &whole{body: body, cancel: cancel}
}

// maxWholeBytes bounds a whole answer.
const maxWholeBytes = 16 << 20

// whole is an answer that comes as one chunk.
type whole struct {
	body   io.ReadCloser
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
	if err != nil {
		return ports.Chunk{}, &verdict.Error{Verdict: verdict.MayHaveRun, Code: ports.CodeStreamCut, Message: "the answer ended before its end", Err: err}
	}
	w.done = true
	return ports.Chunk{Seq: 1, Data: data}, nil
}

// Buffered is always false.
func (w *whole) Buffered() bool { return false }

// Counts is always zero.
func (w *whole) Counts() ports.SequenceCounts { return ports.SequenceCounts{} }

// Close ends the answer.
func (w *whole) Close() error {
	w.cancel()
	return w.body.Close()
}
