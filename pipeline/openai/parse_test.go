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
	`{"model":"m","messages":[{"role":"a","content":"x","content":null},{"role":"u","Content":["y"]}]}`,
	`{"model":"m","messages":[{"role":"a","content":"x","content":[{"type":"t","text":"q"}]}]}`,
	`{"mo\u0064el":"m","model":"x","prompt":"p"}`, "\n [1]", `{"model":"m","prompt":"p"}{}`,
	` { "model" : "a:b" , "x":{"a":["}\"]"]}, "y":-1e5 ,"prompt" : [ "p\"" ] } `,
	`[`, `null`, ``, `{"model":`, "{\"model\":\"\xff\"}",
}

// FuzzParse checks that an accepted body is valid JSON, and that encoding/json
// reads the same model and prompt from it.
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
			t.Fatalf("accepted %q", body)
		}
		if other["model"] != req.Model || req.Model == "" || req.PromptTokens() < 1 || req.OutputTokens() < 1 {
			t.Fatalf("%q read as %+v", body, req)
		}
		prompt := other["prompt"]
		if list, ok := prompt.([]any); ok && len(list) == 1 {
			prompt = list[0]
		}
		if !chat && prompt != string(req.Prompt) {
			t.Fatalf("%q: prompt read as %q", body, req.Prompt)
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

// BenchmarkParse parses a chat request of about a thousand tokens.
func BenchmarkParse(b *testing.B) {
	content, _ := json.Marshal(strings.Repeat("wind at the ridge ", 220))
	body := []byte(`{"max_tokens":1,"messages":[{"content":` + string(content) + `,"role":"user"}],"model":"m","stream":true}`)
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(Chat, body); err != nil {
			b.Fatal(err)
		}
	}
}
