// Package openai reads the fields of a completion request in OpenAI's format that
// the gateway's decisions depend on. The engine gets the body unchanged.
package openai

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"unicode/utf8"
)

const (
	// MaxMessages bounds the messages of one chat request.
	MaxMessages = 4096
	// DefaultMaxTokens is the assumed length of an answer that its request doesn't
	// bound.
	DefaultMaxTokens = 256
	// BytesPerToken is the assumed mean length of a token in bytes.
	BytesPerToken = 4
)

// Form is the format of a completion request.
type Form uint8

// Forms of requests: Chat has messages, Text has a prompt.
const (
	Chat Form = iota
	Text
)

// Request holds the fields that were read from a request.
type Request struct {
	// Model names the service and optionally an adapter: "service" or
	// "service:adapter".
	Model string
	// Stream asks for server-sent events.
	Stream bool
	// MaxTokens bounds the answer; 0 if the request doesn't.
	MaxTokens int
	// Prompt is the text of the prompt. For a chat it is the roles and contents in
	// order, each followed by a NUL so that different chats differ.
	Prompt []byte
}

// PromptTokens returns the estimated length of the prompt, at least 1.
func (r *Request) PromptTokens() int { return max(1, len(r.Prompt)/BytesPerToken) }

// OutputTokens returns the estimated length of the answer, at least 1.
func (r *Request) OutputTokens() int {
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return DefaultMaxTokens
}

// Error says which field of a request is invalid and why.
type Error struct {
	// Field is a JSON path; empty for the whole body.
	Field string
	// Problem describes the error in words.
	Problem string
}

// Error returns the field and the problem.
func (e *Error) Error() string {
	if e.Field == "" {
		return e.Problem
	}
	return e.Field + ": " + e.Problem
}

func newError(field, format string, args ...any) error {
	return &Error{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// Parse reads a request. Its error is an *Error.
//
// Keys are matched exactly and must be unique. Otherwise the gateway and the
// engine could read different models or prompts from the same body, and a request
// would be admitted as one thing and run as another. Fields that the gateway
// doesn't use are left to the engine.
func Parse(form Form, body []byte) (*Request, error) {
	if !utf8.Valid(body) {
		return nil, newError("", "the body is not UTF-8")
	}
	p := parser{form: form, seen: make(map[string]struct{}, 8)}
	if !json.Valid(body) {
		return nil, malformed(body)
	}
	object, err := members(body, p.member)
	if err != nil {
		return nil, err
	}
	if !object {
		return nil, newError("", "the body is not a JSON object")
	}
	return p.finish()
}

// malformed returns the error for a body that is not valid JSON.
func malformed(body []byte) error {
	d := json.NewDecoder(bytes.NewReader(body))
	var first json.RawMessage
	if d.Decode(&first) != nil {
		return newError("", "malformed JSON")
	}
	if first[0] != '{' {
		return newError("", "the body is not a JSON object")
	}
	return newError("", "more follows the JSON object")
}

type parser struct {
	form            Form
	seen            map[string]struct{}
	req             Request
	hasPrompt       bool
	legacyMaxTokens int
}

func (p *parser) member(key string, raw []byte) error {
	if _, duplicate := p.seen[key]; duplicate {
		return newError(key, "stands twice")
	}
	p.seen[key] = struct{}{}
	return p.value(key, raw)
}

func (p *parser) value(key string, raw []byte) error {
	switch key {
	case "model":
		return p.model(raw)
	case "stream":
		return decode(key, raw, &p.req.Stream, "a boolean")
	case "max_tokens":
		return decodeTokens(key, raw, &p.legacyMaxTokens)
	case "max_completion_tokens":
		return decodeTokens(key, raw, &p.req.MaxTokens)
	case "messages":
		if p.form == Chat {
			return p.messages(raw)
		}
	case "prompt":
		if p.form == Text {
			return p.prompt(raw)
		}
	}
	return nil
}

func (p *parser) model(raw []byte) error {
	if err := decode("model", raw, &p.req.Model, "a string"); err != nil {
		return err
	}
	if p.req.Model == "" {
		return newError("model", "is empty")
	}
	return nil
}

func (p *parser) prompt(raw []byte) error {
	p.hasPrompt = true
	var one string
	if json.Unmarshal(raw, &one) == nil && raw[0] == '"' {
		p.req.Prompt = []byte(one)
		return nil
	}
	var many []string
	if json.Unmarshal(raw, &many) != nil || len(many) != 1 {
		return newError("prompt", "is not a string or an array of one string")
	}
	p.req.Prompt = []byte(many[0])
	return nil
}

func (p *parser) finish() (*Request, error) {
	if p.req.Model == "" {
		return nil, newError("model", "is missing")
	}
	if !p.hasPrompt && p.form == Chat {
		return nil, newError("messages", "is missing")
	}
	if !p.hasPrompt {
		return nil, newError("prompt", "is missing")
	}
	if p.req.MaxTokens == 0 {
		p.req.MaxTokens = p.legacyMaxTokens
	}
	return &p.req, nil
}

// decode reads a value that must not be null.
func decode(field string, raw []byte, out any, want string) error {
	if isNull(raw) || json.Unmarshal(raw, out) != nil {
		return newError(field, "is not %s", want)
	}
	return nil
}

func isNull(raw []byte) bool { return string(raw) == "null" }

// decodeTokens reads a number of tokens. For null, *out stays unchanged.
func decodeTokens(field string, raw []byte, out *int) error {
	if isNull(raw) {
		return nil
	}
	var n int64
	if json.Unmarshal(raw, &n) != nil || n < 1 || n > math.MaxInt32 {
		return newError(field, "is not a whole number from 1 on")
	}
	*out = int(n)
	return nil
}
