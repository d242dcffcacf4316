package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// endMark is the data of the last event of a complete stream.
const endMark = "[DONE]"

// maxStreamLine bounds a line of a stream, in bytes.
const maxStreamLine = 64 << 10

// chunk is an event's data; other fields are ignored.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Text string `json:"text"`
	} `json:"choices"`
}

// refusalBody is the documented form of refusals and error events.
type refusalBody struct {
	Error struct {
		Code             verdict.Code `json:"code"`
		Verdict          *string      `json:"verdict"`
		Message          string       `json:"message"`
		RetryAfterMillis int64        `json:"retry_after_ms"`
	} `json:"error"`
}

// parseRefusal reads a refusal; the error says how it differs from the documented
// form.
func parseRefusal(data []byte) (*refusalBody, verdict.Verdict, error) {
	var b refusalBody
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, 0, fmt.Errorf("not JSON of the promised form: %w", err)
	}
	if b.Error.Code == "" || b.Error.Verdict == nil {
		return nil, 0, errors.New("code or verdict is missing")
	}
	var v verdict.Verdict
	if err := v.UnmarshalText([]byte(*b.Error.Verdict)); err != nil {
		return nil, 0, err
	}
	return &b, v, nil
}

// stream parses a streamed answer line by line.
type stream struct {
	event      string
	text       strings.Builder
	tokens     int
	done       bool
	errorEvent *refusalBody
	// verdict of the error event.
	verdict verdict.Verdict
	// fault is the first fault of the stream.
	fault string
}

// addLine parses a line without its end and reports whether it held a token.
func (s *stream) addLine(line []byte) bool {
	switch {
	case len(line) == 0:
		s.event = ""
	case bytes.HasPrefix(line, []byte("event:")):
		s.event = string(bytes.TrimSpace(line[len("event:"):]))
	case bytes.HasPrefix(line, []byte("data:")):
		return s.addData(bytes.TrimSpace(line[len("data:"):]))
	}
	return false
}

func (s *stream) addData(data []byte) bool {
	if s.done || s.errorEvent != nil {
		s.recordFault("an event follows the last one")
		return false
	}
	if s.event == "error" {
		body, v, err := parseRefusal(data)
		if err != nil {
			s.recordFault("error event: " + err.Error())
			return false
		}
		s.errorEvent, s.verdict = body, v
		return false
	}
	if string(data) == endMark {
		s.done = true
		return false
	}
	var c chunk
	if json.Unmarshal(data, &c) != nil || len(c.Choices) != 1 {
		s.recordFault("an event is not a chunk")
		return false
	}
	s.text.WriteString(c.Choices[0].Delta.Content)
	s.text.WriteString(c.Choices[0].Text)
	s.tokens++
	return true
}

func (s *stream) recordFault(what string) {
	if s.fault == "" {
		s.fault = what
	}
}

// end returns how the stream ended, with a note. err is the error of the connection,
// nil after a clean end; want is the whole text, or "" if unknown.
func (s *stream) end(err error, want string) (Kind, string) {
	switch {
	case s.fault != "":
		return Wrong, s.fault
	case want != "" && !strings.HasPrefix(want, s.text.String()):
		return Wrong, "the text is not the answer to this prompt"
	case s.errorEvent != nil:
		return CutWithEvent, ""
	case s.done && want != "" && len(want) != s.text.Len():
		return Wrong, fmt.Sprintf("marked whole with %d of %d bytes", s.text.Len(), len(want))
	case s.done:
		return Answered, ""
	case err != nil:
		return Broken, err.Error()
	}
	return Unmarked, fmt.Sprintf("ended after %d tokens", s.tokens)
}

// read reads a stream to its end and calls token with the time of each token.
func (s *stream) read(body io.Reader, now func() time.Time, token func(time.Time)) error {
	r := bufio.NewReaderSize(body, maxStreamLine)
	for {
		line, err := r.ReadSlice('\n')
		if err == io.EOF && len(line) == 0 {
			return nil
		}
		if err != nil && err != io.EOF {
			return err
		}
		if s.addLine(bytes.TrimRight(line, "\r\n")) {
			token(now())
		}
		if err == io.EOF {
			return nil
		}
	}
}
