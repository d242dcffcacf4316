package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gullhaven/gullhaven/ports"
)

// stallForever is longer than any request.
const stallForever = 24 * time.Hour

// streamWriter writes one streamed answer.
type streamWriter struct {
	answerOptions
	engine  *Engine
	w       http.ResponseWriter
	r       *http.Request
	run     *run
	attempt string
	flush   func() error
	prefix  string
	suffix  string
	buf     []byte
}

// writeAll writes chunks up to the end mark, or up to the fault.
func (s *streamWriter) writeAll() {
	s.w.Header().Set("Content-Type", ports.ContentTypeEvents)
	s.flush = http.NewResponseController(s.w).Flush
	s.prefix, s.suffix = chunkTemplate(s.run)
	tokens := Tokens([]byte(s.run.Prompt), s.run.Tokens)
	for i := s.after; i < len(tokens); i++ {
		seq := i + 1
		if !s.pause(i > s.after) || !s.writeChunk(seq, tokens) {
			s.engine.endCancelled(s.run)
			return
		}
		if s.endsAfter(seq) {
			return
		}
	}
	s.writeEvent(s.attempt, len(tokens)+1, ports.EndMark)
	s.engine.endFinished(s.run)
}

func (s *streamWriter) pause(later bool) bool {
	d := s.engine.cfg.PerToken
	if !later {
		d = 0
	}
	if s.fault.Kind == FaultSlow {
		d += s.fault.delay()
	}
	return s.engine.waitFor(s.r, s.run, d)
}

// writeChunk writes chunk seq, with the fault that is set for it, and reports
// whether the client is still connected.
func (s *streamWriter) writeChunk(seq int, tokens []string) bool {
	here := seq == s.fault.Chunk
	switch {
	case here && s.fault.Kind == FaultGap:
		return true
	case here && s.fault.Kind == FaultReorder && seq < len(tokens):
		return s.writeToken(seq+1, tokens) && s.writeToken(seq, tokens)
	case seq == s.fault.Chunk+1 && s.fault.Kind == FaultReorder && seq > 1:
		return true
	case here && s.fault.Kind == FaultDuplicate:
		s.writeToken(seq, tokens)
		return s.writeToken(seq, tokens)
	case here && s.fault.Kind == FaultForeign:
		return s.writeEvent("other-"+s.attempt, seq, s.prefix+"foreign"+s.suffix) && s.writeToken(seq, tokens)
	}
	return s.writeToken(seq, tokens)
}

// endsAfter applies the fault that interrupts the answer after chunk seq. It
// reports whether the answer has ended.
func (s *streamWriter) endsAfter(seq int) bool {
	if seq != s.fault.Chunk {
		return false
	}
	switch s.fault.Kind {
	case FaultStall:
		wait := s.fault.delay()
		if wait == 0 {
			wait = stallForever
		}
		if !s.engine.waitFor(s.r, s.run, wait) {
			s.engine.endCancelled(s.run)
			return true
		}
	case FaultCut:
		s.engine.runs.removeLater(s.run)
		abortConnection()
	case FaultLost:
		s.engine.runs.remove(s.run.Attempt)
		abortConnection()
	case FaultShort:
		s.engine.runs.remove(s.run.Attempt)
		return true
	}
	return false
}

func (s *streamWriter) writeToken(seq int, tokens []string) bool {
	return s.writeEvent(s.attempt, seq, s.prefix+tokens[seq-1]+s.suffix)
}

func (s *streamWriter) writeEvent(attempt string, seq int, data string) bool {
	s.buf = append(s.buf[:0], "id: "...)
	s.buf = append(s.buf, attempt...)
	s.buf = append(s.buf, ':')
	s.buf = strconv.AppendInt(s.buf, int64(seq), 10)
	s.buf = append(s.buf, "\ndata: "...)
	s.buf = append(s.buf, data...)
	s.buf = append(s.buf, "\n\n"...)
	if _, err := s.w.Write(s.buf); err != nil {
		return false
	}
	return s.flush() == nil
}
