package enginehttp

import (
	"io"
	"net/http"
	"testing"
)

// Guards against long streams that hold their prompts in memory, and against an answer
// that breaks off because the body is dropped while it is being sent. The answer begins
// before, during or after the sending of the body, and the body is sent again over
// another connection.
func TestBodyIsDroppedOnceSentAndAnswered(t *testing.T) {
	const text = "the body"
	for answeredAt := 0; answeredAt <= len(text)+1; answeredAt++ {
		req, _ := http.NewRequest(http.MethodPost, "http://127.0.0.1:1", http.NoBody)
		b := newSentBody(req, []byte(text))
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
				b.release()
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
			b.release()
		}
		if got != text || req.ContentLength != int64(len(text)) {
			t.Fatalf("answered at %d: %q", answeredAt, got)
		}
		if b.data.Load() != nil {
			t.Fatalf("answered at %d: kept", answeredAt)
		}
	}
}
