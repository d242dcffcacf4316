package place_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/route/place"
)

func none(string) bool { return false }

// Symptom: what crosses to another region waits twice for the wide area.
// Events: an instance passes on request after request to a region of sixty instances.
// Cause: each met another instance, and made a connection of its own.
func TestRequestsCrossToFewInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var peers []string
		for n := range rapid.IntRange(1, 60).Draw(t, "peers") {
			peers = append(peers, fmt.Sprint("peer-", n))
		}
		self := rapid.StringMatching(`[a-z]{3}`).Draw(t, "self")
		met := map[string]bool{}
		for random := range uint64(50) {
			met[place.ChooseInstance(self, peers, none, random)] = true
		}
		if want := min(4, len(peers)); len(met) != want {
			t.Fatalf("%d of %d instances met, want %d", len(met), len(peers), want)
		}
		one := place.ChooseInstance(self, peers, none, rapid.Uint64().Draw(t, "one"))
		for random := range uint64(50) {
			if got := place.ChooseInstance(self, peers, func(a string) bool { return a == one }, random); got != one {
				t.Fatalf("met %s, a connection is kept to %s", got, one)
			}
		}
		// The others stay where one leaves.
		left := []string{}
		for _, p := range peers {
			if p != one {
				left = append(left, p)
			}
		}
		if len(left) == 0 {
			return
		}
		fresh := 0
		for random := range uint64(4) {
			if !met[place.ChooseInstance(self, left, none, random)] {
				fresh++
			}
		}
		if fresh > 1 {
			t.Fatalf("%d new instances after one has left", fresh)
		}
	})
}

// Symptom: some instances of a region get several times the requests of others.
// Events: sixty instances pass on to sixty others, each to a few.
// Cause: all prefer the same few.
func TestWaysAreSpread(t *testing.T) {
	var peers []string
	for n := range 60 {
		peers = append(peers, fmt.Sprint("peer-", n))
	}
	met := map[string]int{}
	for self := range 60 {
		for random := range uint64(4) {
			met[place.ChooseInstance(fmt.Sprint("self-", self), peers, none, random)]++
		}
	}
	most := 0
	for _, n := range met {
		most = max(most, n)
	}
	// Four each would be even; chance alone gives ten at one of sixty.
	if most > 12 || len(met) < 50 {
		t.Errorf("%d of 60 instances met, one of them by %d", len(met), most)
	}
}
