package newest_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/bundle/newest"
	"github.com/gullhaven/gullhaven/coord/pieces"
)

// lines splits a document into pieces, with each line an element.
func lines(t rapid.TB, text []byte) *pieces.Source {
	var l pieces.Layout
	for at, c := range text {
		if c == '\n' {
			l.Ends = append(l.Ends, at+1)
		}
	}
	s, err := pieces.Cut(text, l)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func piecesEntry(t rapid.TB, packed [][]byte) []byte {
	return entry(t, newest.Command{Pieces: &newest.Pieces{Packed: packed}})
}

func offerOf(t rapid.TB, version uint64, s *pieces.Source) []byte {
	return entry(t, newest.Command{Offer: &newest.Offer{Version: version, Manifest: &s.Manifest}})
}

func missing(t rapid.TB, result []byte) int {
	r, err := newest.DecodeResult(result)
	if err != nil {
		t.Fatal(err)
	}
	return len(r.Missing)
}

func longText(version, n int) []byte {
	var b bytes.Buffer
	for k := range n {
		fmt.Fprintf(&b, "line %d of some length, so that there are several pieces %x\n", k, uint64(k)*0x9e3779b97f4a7c15)
	}
	fmt.Fprintf(&b, "version %d\n", version)
	return b.Bytes()
}

// Guards against a configuration in force that isn't complete, and against members that differ
// after a snapshot. Operators race with configurations of many pieces, some of which are lost,
// repeated or late. The highest version that was complete at its offer must win.
func TestOnlyWholeConfigurationsAreAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newest.NewMachine(nil)
		want, version := []byte(nil), uint64(0)
		for index := range rapid.IntRange(1, 12).Draw(t, "entries") {
			v := rapid.IntRange(1, 9).Draw(t, "version")
			s := lines(t, longText(v, rapid.IntRange(0, 600).Draw(t, "lines")))
			digests := m.Missing(&s.Manifest)
			left := rapid.IntRange(0, len(digests)).Draw(t, "pieces that do not come")
			packed := s.PackPieces(digests[:len(digests)-left])
			if len(packed) > 0 {
				m.Apply(uint64(3*index+1), piecesEntry(t, packed))
			}
			got := missing(t, m.Apply(uint64(3*index+2), offerOf(t, uint64(v), s)))
			if higher := uint64(v) > version; higher && got != left {
				t.Fatalf("%d pieces are missing, %d did not come", got, left)
			}
			if uint64(v) > version && left == 0 {
				version, want = uint64(v), longText(v, 0)
			}
			state := m.State()
			if state.Version != version || !bytes.HasSuffix([]byte(textOf(t, state)), want) {
				t.Fatalf("version %d, want %d", state.Version, version)
			}
			data, err := m.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			other := newest.NewMachine(nil)
			if err := other.Restore(data); err != nil {
				t.Fatal(err)
			}
			if rapid.Bool().Draw(t, "go on from the snapshot") {
				m = other
			}
		}
	})
}

// Guards against proposing all pieces again after an operator's call ended before all were
// committed: the next call, at another core instance, has to propose only the rest.
func TestPiecesStayForTheNextAttempt(t *testing.T) {
	m := newest.NewMachine(nil)
	s := lines(t, longText(3, 800))
	all := m.Missing(&s.Manifest)
	m.Apply(1, piecesEntry(t, s.PackPieces(all[:len(all)/2])))
	rest := m.Missing(&s.Manifest)
	if len(all) < 4 || len(rest) != len(all)-len(all)/2 {
		t.Fatalf("%d pieces are left of %d", len(rest), len(all))
	}
	m.Apply(2, piecesEntry(t, s.PackPieces(rest)))
	if got := missing(t, m.Apply(3, offerOf(t, 3, s))); got != 0 || m.State().Version != 3 {
		t.Fatalf("version %d, %d pieces missing", m.State().Version, got)
	}
	// A change of one line needs only the pieces that changed.
	next := lines(t, append(longText(3, 800), []byte("one more\n")...))
	if got := len(m.Missing(&next.Manifest)); got > 2 {
		t.Fatalf("%d pieces for one line", got)
	}
}

// Guards against unbounded memory and snapshots: newer pieces displace those that are never
// offered, the oldest first, and a later offer of these lists them as missing.
func TestStagedPiecesAreBounded(t *testing.T) {
	m := newest.NewMachine(nil)
	first := lines(t, longText(1, 200))
	m.Apply(1, piecesEntry(t, first.PackPieces(m.Missing(&first.Manifest))))
	block := make([]byte, 1<<20)
	for k := range 9 {
		for at := range block {
			block[at] = byte(at * (k + 3) * 2654435761 >> 13)
		}
		// The output of a compressor for data that can't be compressed.
		m.Apply(uint64(k+2), piecesEntry(t, [][]byte{stored(block)}))
	}
	if got := missing(t, m.Apply(20, offerOf(t, 1, first))); got != len(slices.Compact(first.Manifest.Digests)) {
		t.Fatalf("%d pieces missing", got)
	}
	data, err := m.Snapshot()
	if err != nil || len(data) > 9<<20 {
		t.Fatalf("a snapshot of %d bytes, %v", len(data), err)
	}
}

// stored encodes bytes as a deflate stream of stored blocks.
func stored(raw []byte) []byte {
	var out []byte
	for len(raw) > 0 {
		n := min(len(raw), 65535)
		final := byte(0)
		if n == len(raw) {
			final = 1
		}
		out = append(out, final, byte(n), byte(n>>8), byte(^n), byte(^n>>8))
		out = append(out, raw[:n]...)
		raw = raw[n:]
	}
	return out
}

// Guards against losing the state of a release that kept documents whole: its entries and
// snapshots are still on disk and must be decoded, and later offers apply to them.
func TestStatesWithoutPiecesAreDecoded(t *testing.T) {
	old, err := cbor.Marshal(map[int]any{1: 7, 2: 4, 3: []byte("a document"), 4: map[string]uint64{"z": 5}})
	if err != nil {
		t.Fatal(err)
	}
	m := newest.NewMachine(nil)
	if err := m.Restore(old); err != nil {
		t.Fatal(err)
	}
	s := m.State()
	if s.Version != 4 || s.Index != 7 || textOf(t, s) != "a document" || s.Zones()[0] != "z" {
		t.Fatalf("%+v", s)
	}
	m.Apply(8, offer(t, 5, "another one"))
	if s := m.State(); s.Version != 5 || textOf(t, s) != "another one" || s.Root == (pieces.Digest{}) {
		t.Fatalf("%+v", s)
	}
	again, err := newest.DecodeState(old)
	if err != nil || textOf(t, again) != "a document" {
		t.Fatalf("%+v, %v", again, err)
	}
}

// Guards against damaged pieces or an invalid manifest that change the state.
func TestDamagedPiecesAreSkipped(t *testing.T) {
	m := newest.NewMachine(nil)
	s := lines(t, longText(1, 200))
	m.Apply(1, piecesEntry(t, [][]byte{{1, 2, 3}, nil}))
	if got := len(m.Missing(&s.Manifest)); got != len(s.Manifest.Digests) {
		t.Fatalf("%d missing", got)
	}
	bad := newest.Command{Offer: &newest.Offer{Version: 2, Manifest: &pieces.Manifest{Head: 4}}}
	m.Apply(2, entry(t, bad))
	if m.State().Version != 0 {
		t.Fatalf("version %d", m.State().Version)
	}
}

// Guards against a leader that doesn't know who may hold shares since its predecessor: a
// snapshot must contain the holders. Their change must not be reported as one of the State.
func TestHoldersOutliveSnapshots(t *testing.T) {
	m := newest.NewMachine(func(*newest.State) { t.Error("a change of holders was reported as one of the state") })
	apply := func(index uint64, h *newest.Holders) {
		data, err := newest.Encode(newest.Command{Holders: h})
		if err != nil {
			t.Fatal(err)
		}
		m.Apply(index, data)
	}
	apply(1, &newest.Holders{Add: []string{"b", "a", "b"}})
	apply(2, &newest.Holders{Add: []string{"c"}, Remove: []string{"a", "x"}})
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := newest.NewMachine(nil)
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	for _, machine := range []*newest.Machine{m, restored} {
		if got := strings.Join(machine.Holders(), " "); got != "b c" {
			t.Errorf("holders %q", got)
		}
		if !machine.IsHolder("b") || machine.IsHolder("a") {
			t.Error("an instance that was added may not hold, or one that was removed may")
		}
	}
	if m.State().Index != 0 {
		t.Error("the state has changed")
	}
}
