package openai

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"unicode/utf8"
)

var seeds = []string{
	`{"model":"m","messages":[{"role":"user","content":"hi"}]}`,
	`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"stream":true,"max_tokens":5}`,
	`{"model":"m","prompt":"p","max_completion_tokens":7}`,
	`{"model":"m","prompt":["p"]}`,
	`{"model":"m","model":"n","prompt":"p"}`,
	`{"Model":"m","prompt":"p"}`,
	`{"model":"m","prompt":"p"} x`,
	`{"model":"m","prompt":null,"stream":null}`,
	`{"model":"m","messages":[{"role":"assistant","content":null,"tool_calls":[]}]}`,
	`{"model":"m","prompt":"p","max_tokens":1e99}`,
	`{"model":"m","prompt":"\ud800"}`,
	`[`, `null`, ``, `{"model":`, "{\"model\":\"\xff\"}",
}

// FuzzParse: what is taken is valid JSON in which model and prompt stand once,
// and another reader of the same bytes finds the same model.
func FuzzParse(f *testing.F) {
	for _, s := range seeds {
		f.Add(s, true)
		f.Add(s, false)
	}
	f.Fuzz(func(t *testing.T, body string, chat bool) {
		form := Text
		if chat {
			form = Chat
		}
		req, err := Parse(form, []byte(body))
		if err != nil {
			var e *Error
			if !errors.As(err, &e) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		var other map[string]any
		if !utf8.ValidString(body) || json.Unmarshal([]byte(body), &other) != nil {
			t.Fatalf("took %q", body)
		}
		if other["model"] != req.Model || req.Model == "" || req.PromptTokens() < 1 || req.OutputTokens() < 1 {
			t.Fatalf("%q read as %+v", body, req)
		}
	})
}

func TestMessagesOfDifferentChatsDiffer(t *testing.T) {
	prompt := func(messages string) string {
		req, err := Parse(Chat, []byte(`{"model":"m","messages":[`+messages+`]}`))
		if err != nil {
			t.Fatal(err)
		}
		return string(req.Prompt)
	}
	one := prompt(`{"role":"user","content":"ab"}`)
	two := prompt(`{"role":"user","content":"a"},{"role":"b","content":""}`)
	if one == two || !strings.HasPrefix(one, "user\x00") {
		t.Fatalf("%q, %q", one, two)
	}
}
