package control

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/gullhaven/gullhaven/coord/pieces"
)

// longDocument returns a document of many pieces that compress badly.
func longDocument(t *testing.T, n int) ([]byte, *pieces.Document) {
	t.Helper()
	var text bytes.Buffer
	var l pieces.Layout
	for k := range n {
		fmt.Fprintf(&text, "%x %x\n", uint64(k+1)*0x9e3779b97f4a7c15, uint64(k+1)*0xd1342543de82ef95)
		l.Ends = append(l.Ends, text.Len())
	}
	s, err := pieces.Cut(text.Bytes(), l)
	if err != nil {
		t.Fatal(err)
	}
	return text.Bytes(), s.Pack()
}

// Guards against a standby that reads a whole configuration from a member within one call of
// 0.9 s, and starts over in the next call. Received pieces are kept, and a small change fetches
// only the changed pieces.
func TestDocumentReadsResume(t *testing.T) {
	text, d := longDocument(t, 9000)
	var holder pieces.Holder
	holder.Put(d.Manifest.Root(), d)
	received := map[pieces.Digest]int{}
	// Each call gets two answers.
	var r documentReader
	call := func(root pieces.Digest) ([]byte, error) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		left := 2
		return r.read(ctx, root, func(ctx context.Context, a *pieces.Request) (*pieces.Response, error) {
			if left--; left < 0 {
				cancel()
				return nil, ctx.Err()
			}
			answer := holder.Respond(a)
			for k := range answer.Packed {
				received[a.Pieces[k]]++
			}
			return answer, nil
		})
	}
	calls := 0
	for {
		calls++
		got, err := call(d.Manifest.Root())
		if err == nil {
			if !bytes.Equal(got, text) {
				t.Fatal("another document")
			}
			break
		}
		if !errors.Is(err, context.Canceled) || calls > 100 {
			t.Fatalf("call %d: %v", calls, err)
		}
	}
	if calls < 3 {
		t.Fatalf("%d calls: the document is too short for this test", calls)
	}
	for digest, n := range received {
		if n > 1 {
			t.Errorf("%s was received %d times", digest, n)
		}
	}
	if len(received) != len(d.Manifest.Digests) {
		t.Errorf("%d pieces received of %d", len(received), len(d.Manifest.Digests))
	}

	longer, next := longDocument(t, 9001)
	holder.Put(next.Manifest.Root(), next)
	clear(received)
	got, err := call(next.Manifest.Root())
	if err != nil || !bytes.Equal(got, longer) {
		t.Fatalf("%d bytes of %d, %v", len(got), len(longer), err)
	}
	if len(received) > 2 {
		t.Errorf("%d pieces received for one more element", len(received))
	}
}
