package control

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/gullhaven/gullhaven/coord/pieces"
)

// longDocument is one of many pieces that compress badly.
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

// An instance outside of the group had a member read the whole configuration for an operator
// in one call of 0.9 s, and again from the beginning for the next call. What has come of it
// stays, and a configuration that changed a little needs what has changed.
func TestReadsGoOnWhereTheyStopped(t *testing.T) {
	text, d := longDocument(t, 9000)
	var holder pieces.Holder
	holder.Put(d.Manifest.Root(), d)
	asked := map[pieces.Digest]int{}
	// Each call bears a few answers.
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
				asked[a.Pieces[k]]++
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
	for digest, n := range asked {
		if n > 1 {
			t.Errorf("%s came %d times", digest, n)
		}
	}
	if len(asked) != len(d.Manifest.Digests) {
		t.Errorf("%d pieces came of %d", len(asked), len(d.Manifest.Digests))
	}

	longer, next := longDocument(t, 9001)
	holder.Put(next.Manifest.Root(), next)
	clear(asked)
	got, err := call(next.Manifest.Root())
	if err != nil || !bytes.Equal(got, longer) {
		t.Fatalf("%d bytes of %d, %v", len(got), len(longer), err)
	}
	if len(asked) > 2 {
		t.Errorf("%d pieces came for one more element", len(asked))
	}
}
