package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gullhaven/gullhaven/ports"
)

// answerOptions says how one answer is sent.
type answerOptions struct {
	fault Fault
	// after is the number of the last chunk that the client has.
	after int
	whole bool
}

// answer sends the answer of a run. A run whose client disconnects is
// cancelled; a stream that FaultCut interrupts can be resumed.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, x *run, a answerOptions) {
	switch a.fault.Kind {
	case FaultCrash:
		e.crash()
		abortConnection()
	case FaultHang:
		select {
		case <-r.Context().Done():
		case <-x.incarnation.done:
			abortConnection()
		}
		e.endCancelled(x)
		return
	case FaultError:
		e.runs.remove(x.Attempt)
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	attempt := x.Attempt
	if a.fault.Kind == FaultWrongAnswer {
		attempt = "other-" + attempt
	}
	w.Header().Set(ports.HeaderAttempt, attempt)
	wait := time.Duration(len(x.Prompt)/4) * e.cfg.PrefillPerToken
	if a.fault.Kind == FaultLate {
		wait += a.fault.delay()
	}
	if !e.waitFor(r, x, wait) {
		e.endCancelled(x)
		return
	}
	if a.whole {
		e.wholeAnswer(w, r, x, a)
		return
	}
	s := &streamWriter{engine: e, w: w, r: r, run: x, attempt: attempt, answerOptions: a}
	s.writeAll()
}

// waitFor waits for d and reports whether the run continues. It aborts the
// connection if the engine's incarnation has ended.
func (e *Engine) waitFor(r *http.Request, x *run, d time.Duration) bool {
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.Context().Done():
		case <-x.incarnation.done:
		}
	}
	if x.incarnation.ended() {
		abortConnection()
	}
	return r.Context().Err() == nil && !x.cancelled.Load()
}

func (e *Engine) endCancelled(x *run) {
	e.cancelled.Add(1)
	e.runs.removeSame(x)
}

func (e *Engine) endFinished(x *run) {
	e.finished.Add(1)
	e.runs.removeSame(x)
}

func (e *Engine) wholeAnswer(w http.ResponseWriter, r *http.Request, x *run, a answerOptions) {
	wait := time.Duration(x.Tokens) * e.cfg.PerToken
	if a.fault.Kind == FaultSlow {
		wait += time.Duration(x.Tokens) * a.fault.delay()
	}
	if !e.waitFor(r, x, wait) {
		e.endCancelled(x)
		return
	}
	body, _ := json.Marshal(wholeOf(x))
	w.Header().Set("Content-Type", ports.ContentTypeJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if a.fault.Kind == FaultCut || a.fault.Kind == FaultLost || a.fault.Kind == FaultShort {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		e.runs.remove(x.Attempt)
		abortConnection()
	}
	_, _ = w.Write(body)
	e.endFinished(x)
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type wholeChoice struct {
	Index        int           `json:"index"`
	Message      *wholeMessage `json:"message,omitempty"`
	Text         string        `json:"text,omitempty"`
	FinishReason string        `json:"finish_reason"`
}

type wholeUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type wholeAnswer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   wholeUsage    `json:"usage"`
}

func wholeOf(x *run) wholeAnswer {
	text := Answer([]byte(x.Prompt), x.Tokens)
	c := wholeChoice{FinishReason: "stop"}
	object := "text_completion"
	if x.Chat {
		object = "chat.completion"
		c.Message = &wholeMessage{Role: "assistant", Content: text}
	} else {
		c.Text = text
	}
	in := max(1, len(x.Prompt)/4)
	return wholeAnswer{
		ID:      x.Attempt,
		Object:  object,
		Model:   x.Model,
		Choices: []wholeChoice{c},
		Usage:   wholeUsage{PromptTokens: in, CompletionTokens: x.Tokens, TotalTokens: in + x.Tokens},
	}
}

// chunkTemplate returns the JSON before and after the text of each chunk.
func chunkTemplate(x *run) (before, after string) {
	id, _ := json.Marshal(x.Attempt)
	model, _ := json.Marshal(x.Model)
	var b strings.Builder
	b.WriteString(`{"id":` + string(id) + `,"model":` + string(model))
	if x.Chat {
		b.WriteString(`,"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"`)
		return b.String(), `"},"finish_reason":null}]}`
	}
	b.WriteString(`,"object":"text_completion","choices":[{"index":0,"text":"`)
	return b.String(), `","finish_reason":null}]}`
}
