package openai

import (
	"encoding/json"
	"fmt"
)

type message struct {
	Role    *string         `json:"role"`
	Content json.RawMessage `json:"content"`
}

type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

func (p *parser) messages(raw []byte) error {
	p.hasPrompt = true
	if p.textMessages(raw) {
		return nil
	}
	var list []message
	if isNull(raw) || json.Unmarshal(raw, &list) != nil {
		return newError("messages", "is not an array of messages")
	}
	if len(list) == 0 {
		return newError("messages", "is empty")
	}
	if len(list) > MaxMessages {
		return newError("messages", "has more than %d entries", MaxMessages)
	}
	p.req.Prompt = make([]byte, 0, len(raw))
	for i := range list {
		if err := p.message(fmt.Sprintf("messages[%d]", i), &list[i]); err != nil {
			return err
		}
	}
	return nil
}

// textMessage is a message whose content is a string or null.
type textMessage struct {
	Role    *string `json:"role"`
	Content *string `json:"content"`
}

// textMessages reads messages whose contents are all strings or null, in one pass
// less than messages. It reports false, and leaves the prompt empty, for others
// and for malformed ones.
func (p *parser) textMessages(raw []byte) bool {
	var list []textMessage
	if json.Unmarshal(raw, &list) != nil || len(list) == 0 || len(list) > MaxMessages {
		return false
	}
	for i := range list {
		if r := list[i].Role; r == nil || *r == "" {
			return false
		}
	}
	p.req.Prompt = make([]byte, 0, len(raw))
	for i := range list {
		p.append(*list[i].Role)
		content := ""
		if c := list[i].Content; c != nil {
			content = *c
		}
		p.append(content)
	}
	return true
}

func (p *parser) message(field string, m *message) error {
	if m.Role == nil || *m.Role == "" {
		return newError(field+".role", "is missing")
	}
	p.append(*m.Role)
	return p.content(field+".content", m.Content)
}

// append appends a text to the prompt, followed by a zero byte that separates it
// from the next.
func (p *parser) append(text string) {
	p.req.Prompt = append(p.req.Prompt, text...)
	p.req.Prompt = append(p.req.Prompt, 0)
}

// content appends a message's content: a string, the texts of an array of parts,
// or null (in a message that only calls tools).
func (p *parser) content(field string, raw []byte) error {
	if len(raw) == 0 || isNull(raw) {
		p.append("")
		return nil
	}
	if raw[0] == '"' {
		var text string
		if json.Unmarshal(raw, &text) != nil {
			return newError(field, "is not a string")
		}
		p.append(text)
		return nil
	}
	var parts []part
	if json.Unmarshal(raw, &parts) != nil {
		return newError(field, "is not a string or an array of parts")
	}
	for i, x := range parts {
		if x.Type == "" {
			return newError(fmt.Sprintf("%s[%d].type", field, i), "is missing")
		}
		p.append(x.Text)
	}
	return nil
}
