package pieces

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// elements returns a document of named elements and its layout.
func elements(names []string) ([]byte, Layout) {
	var b bytes.Buffer
	b.WriteString("head [")
	l := Layout{Start: b.Len()}
	for _, name := range names {
		b.WriteString(name + strings.Repeat("x", 40) + ",")
		l.Ends = append(l.Ends, b.Len())
	}
	b.WriteString("] tail")
	return b.Bytes(), l
}

func cut(t rapid.TB, names []string) *Source {
	text, l := elements(names)
	s, err := Cut(text, l)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func numbered(n int, seed uint64) []string {
	r := rand.New(rand.NewPCG(seed, 1))
	out := make([]string, n)
	for k := range out {
		out[k] = fmt.Sprintf("element %d of %x", k, r.Uint64())
	}
	return out
}

// Guards against a document that changes when it is cut and joined, whatever its elements.
func TestJoinedDocumentIsTheOneThatWasCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfN(rapid.StringN(0, 200, -1), 0, 400).Draw(t, "names")
		text, l := elements(names)
		s, err := Cut(text, l)
		if err != nil {
			t.Fatal(err)
		}
		d := s.Pack()
		got, err := d.Join()
		if err != nil || !bytes.Equal(got, text) {
			t.Fatalf("%d bytes of %d: %v", len(got), len(text), err)
		}
		if err := d.Manifest.Check(); err != nil {
			t.Fatal(err)
		}
		if n := len(d.Manifest.Elements()); (n > 0) != (len(names) > 0) {
			t.Fatalf("%d pieces of %d elements", n, len(names))
		}
	})
}

// Guards against a change of one element (added, removed or changed) that changes most
// pieces: only the piece that contains it and neighbours with a shifted end may change.
func TestAChangeOfOneElementChangesFewPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := numbered(rapid.IntRange(500, 3000).Draw(t, "elements"), rapid.Uint64().Draw(t, "seed"))
		before := cut(t, names)
		at := rapid.IntRange(0, len(names)-1).Draw(t, "at")
		changed := append([]string{}, names...)
		switch rapid.IntRange(0, 2).Draw(t, "change") {
		case 0:
			changed[at] = "another"
		case 1:
			changed = append(changed[:at], changed[at+1:]...)
		case 2:
			changed = append(changed[:at], append([]string{"one more"}, changed[at:]...)...)
		}
		held := map[Digest]bool{}
		for _, d := range before.Manifest.Digests {
			held[d] = true
		}
		after := cut(t, changed)
		missing := after.Manifest.Missing(func(d Digest) bool { return held[d] })
		bytes := 0
		for _, p := range after.PackPieces(missing) {
			raw, _, err := Unpack(p)
			if err != nil {
				t.Fatal(err)
			}
			bytes += len(raw)
		}
		// A removed cut joins two pieces, and the next piece may be split elsewhere if it
		// has reached the maximum.
		if bytes > 4*maxElementPieceBytes {
			t.Fatalf("%d pieces with %d bytes of %d", len(missing), bytes, after.Manifest.Bytes)
		}
	})
}

// Guards against an invalid layout, piece or manifest that is accepted or causes a panic.
func TestBadInputIsRefused(t *testing.T) {
	for name, l := range map[string]Layout{
		"beyond the end": {Start: 1, Ends: []int{9}}, "backwards": {Start: 1, Ends: []int{3, 2}},
		"empty element": {Start: 1, Ends: []int{1}}, "negative": {Start: -1, Ends: []int{1}},
	} {
		if _, err := Cut([]byte("text"), l); err == nil {
			t.Error(name)
		}
	}
	if _, _, err := Unpack([]byte("no such thing")); err == nil {
		t.Error("damaged bytes were unpacked")
	}
	d := cut(t, numbered(200, 1)).Pack()
	d.Packed[1] = Pack([]byte("another"))
	if _, err := d.Join(); err == nil {
		t.Error("a document with a foreign piece was joined")
	}
	for name, m := range map[string]Manifest{
		"frame too long": {Digests: make([]Digest, 2), Head: 2, Tail: 1}, "negative": {Head: -1},
	} {
		if m.Check() == nil {
			t.Error(name)
		}
	}
}
