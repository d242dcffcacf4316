package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gullhaven/gullhaven/ports"
)

// stallForever outlasts any request.
const stallForever = 24 * time.Hour

// streaming gives one streamed answer.
type streaming struct {
	answering
	engine  *Engine
	w       http.ResponseWriter
	r       *http.Request
	run     *run
	attempt string
	flush   func() error
	before  string
	behind  string
	buf     []byte
}

// toEnd writes chunks up to the end mark, or up to the fault.
func (s *streaming) toEnd() {
	s.w.Header().Set("Content-Type", ports.ContentTypeEvents)
	s.flush = http.NewResponseController(s.w).Flush
	s.before, s.behind = chunkForm(s.run)
	tokens := Tokens([]byte(s.run.Prompt), s.run.Tokens)
	for i := s.after; i < len(tokens); i++ {
		seq := i + 1
		if !s.pause(i > s.after) || !s.numbered(seq, tokens) {
			s.engine.gone(s.run)
			return
		}
		if s.ends(seq) {
			return
		}
	}
	s.event(s.attempt, len(tokens)+1, ports.EndMark)
	s.engine.done(s.run)
}

func (s *streaming) pause(later bool) bool {
	d := s.engine.cfg.PerToken
	if !later {
		d = 0
	}
	if s.fault.Kind == FaultSlow {
		d += s.fault.delay()
	}
	return s.engine.sleep(s.r, s.run, d)
}

// numbered writes chunk seq, with the fault that is set for it.
func (s *streaming) numbered(seq int, tokens []string) bool {
	here := seq == s.fault.Chunk
	switch {
	case here && s.fault.Kind == FaultGap:
		return true
	case here && s.fault.Kind == FaultReorder && seq < len(tokens):
		return s.token(seq+1, tokens) && s.token(seq, tokens)
	case seq == s.fault.Chunk+1 && s.fault.Kind == FaultReorder && seq > 1:
		return true
	case here && s.fault.Kind == FaultDuplicate:
		s.token(seq, tokens)
		return s.token(seq, tokens)
	case here && s.fault.Kind == FaultForeign:
		return s.event("other-"+s.attempt, seq, s.before+"foreign"+s.behind) && s.token(seq, tokens)
	}
	return s.token(seq, tokens)
}

// ends breaks the answer off if the fault says so after chunk seq.
func (s *streaming) ends(seq int) bool {
	if seq != s.fault.Chunk {
		return false
	}
	switch s.fault.Kind {
	case FaultStall:
		wait := s.fault.delay()
		if wait == 0 {
			wait = stallForever
		}
		if !s.engine.sleep(s.r, s.run, wait) {
			s.engine.gone(s.run)
			return true
		}
	case FaultCut:
		s.engine.runs.brokenOff(s.run)
		drop()
	case FaultLost:
		s.engine.runs.remove(s.run.Attempt)
		drop()
	case FaultShort:
		s.engine.runs.remove(s.run.Attempt)
		return true
	}
	return false
}

func (s *streaming) token(seq int, tokens []string) bool {
	return s.event(s.attempt, seq, s.before+tokens[seq-1]+s.behind)
}

func (s *streaming) event(attempt string, seq int, data string) bool {
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
