package ports

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a caller that reads chunks twice, in a wrong order, or of another
// attempt: chunks come duplicated, swapped within a window, mixed with another
// attempt's, or one is missing, and are relayed in the order of arrival.
func TestSequencerDeliversEachChunkOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "chunks")
		after := rapid.IntRange(0, 3).Draw(t, "after")
		missing := rapid.IntRange(0, n).Draw(t, "missing")
		var arrivals []int
		for i := 1; i <= n; i++ {
			if i != missing {
				arrivals = append(arrivals, i)
			}
			if rapid.Bool().Draw(t, "twice") && i != missing {
				arrivals = append(arrivals, i)
			}
		}
		for i := range arrivals {
			j := min(len(arrivals)-1, i+rapid.IntRange(0, 3).Draw(t, "swap"))
			arrivals[i], arrivals[j] = arrivals[j], arrivals[i]
		}
		var got []string
		s := NewSequencer("a", uint64(after))
		for _, i := range arrivals {
			if rapid.Bool().Draw(t, "foreign") {
				if ready, _ := s.Accept([]byte("b"), s.Next(), []byte("x")); ready {
					t.Fatal("a foreign chunk was delivered")
				}
			}
			ready, err := s.Accept([]byte("a"), uint64(i), fmt.Append(nil, i))
			if err != nil {
				if missing == 0 {
					t.Fatalf("gap with none missing: %v", err)
				}
				return
			}
			if ready {
				got = append(got, fmt.Sprint(i))
			}
			for data, ok := s.TakeHeld(); ok; data, ok = s.TakeHeld() {
				got = append(got, string(data))
			}
		}
		var want []string
		for i := after + 1; i <= n && (missing <= after || i < missing); i++ {
			want = append(want, fmt.Sprint(i))
		}
		if strings.Join(got, ",") != strings.Join(want, ",") {
			t.Fatalf("delivered %v, want %v", got, want)
		}
		if missing > after && missing < n && s.Complete() {
			t.Fatal("complete with a chunk missing")
		}
	})
}
