package pipeline

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/gullhaven/gullhaven/standin"
)

func TestWholePath(t *testing.T) {
	r := newRig(t)
	t.Run("streamed", func(t *testing.T) {
		resp := r.do(call{body: chat("weather at Bromo", true, 20)})
		if got := readStream(t, resp.Body); !got.ended || got.text != answerTo("weather at Bromo", 20) {
			t.Fatalf("status %d, %+v", resp.StatusCode, got)
		}
	})
	t.Run("whole", func(t *testing.T) {
		resp := r.do(call{body: chat("weather at Bromo", false, 20)})
		var got struct {
			Choices []struct{ Message struct{ Content string } }
		}
		if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
			t.Fatal(err)
		}
		if got.Choices[0].Message.Content != answerTo("weather at Bromo", 20) {
			t.Fatalf("%+v", got)
		}
	})
	t.Run("plain", func(t *testing.T) {
		resp := r.do(call{method: http.MethodPut, path: "/services/lookups/titles/7?lang=eu", body: "x"})
		var got standin.PlainAnswer
		if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
			t.Fatal(err)
		}
		if got.Method != http.MethodPut || got.Path != "/titles/7?lang=eu" || got.Execution != 1 {
			t.Fatalf("%+v", got)
		}
	})
	t.Run("claimed", func(t *testing.T) {
		c := call{path: "/services/booking-desk/confirm", body: "seat 3", header: map[string]string{HeaderIdempotencyKey: "k1"}}
		first, err := io.ReadAll(r.do(c).Body)
		if err != nil {
			t.Fatal(err)
		}
		again := r.do(c)
		second, _ := io.ReadAll(again.Body)
		if string(first) != string(second) || again.Header.Get(HeaderReplayed) != "true" || r.plain.Runs("k1") != 1 {
			t.Fatalf("%s, then %s; %d runs", first, second, r.plain.Runs("k1"))
		}
	})
}
