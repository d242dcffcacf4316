package enginehttp

import (
	"io"
	"net/http"
	"testing"
)

// Symptom: long streams hold their prompts; or an answer breaks off because its
// engine began it before it had read the whole body.
// Events: the answer begins before, during or after the sending of the body, and
// the body is sent a second time over another connection.
// Cause: a body held by its request; a body dropped while it is being sent.
func TestABodyIsDroppedWhenItIsSentAndAnswered(t *testing.T) {
	const text = "the body"
	for answeredAt := 0; answeredAt <= len(text)+1; answeredAt++ {
		req, _ := http.NewRequest(http.MethodPost, "http://127.0.0.1:1", http.NoBody)
		b := setBody(req, []byte(text))
		if _, err := io.ReadAll(req.Body); err != nil || b.data.Load() == nil {
			t.Fatalf("dropped before the answer: %v", err)
		}
		again, err := req.GetBody()
		if err != nil {
			t.Fatal(err)
		}
		got := ""
		for one := make([]byte, 1); ; {
			if len(got) == answeredAt {
				b.letGo()
			}
			n, err := again.Read(one)
			got += string(one[:n])
			if err == io.EOF {
				break
			}
			if err != nil {
				t.Fatalf("answered at %d: %q, %v", answeredAt, got, err)
			}
		}
		if answeredAt > len(text) {
			b.letGo()
		}
		if got != text || req.ContentLength != int64(len(text)) {
			t.Fatalf("answered at %d: %q", answeredAt, got)
		}
		if b.data.Load() != nil {
			t.Fatalf("answered at %d: kept", answeredAt)
		}
	}
}
