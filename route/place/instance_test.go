package place_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/route/place"
)

func notConnected(string) bool { return false }

// Guards against forwarded requests that each wait for a new connection, because an instance uses
// another one of a region's sixty instances each time.
func TestRequestsAreForwardedToFewInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var peers []string
		for n := range rapid.IntRange(1, 60).Draw(t, "peers") {
			peers = append(peers, fmt.Sprint("peer-", n))
		}
		self := rapid.StringMatching(`[a-z]{3}`).Draw(t, "self")
		used := map[string]bool{}
		for random := range uint64(50) {
			used[place.ChooseInstance(self, peers, notConnected, random)] = true
		}
		if want := min(4, len(peers)); len(used) != want {
			t.Fatalf("%d of %d instances chosen, want %d", len(used), len(peers), want)
		}
		one := place.ChooseInstance(self, peers, notConnected, rapid.Uint64().Draw(t, "one"))
		for random := range uint64(50) {
			if got := place.ChooseInstance(self, peers, func(a string) bool { return a == one }, random); got != one {
				t.Fatalf("chose %s, a connection is open to %s", got, one)
			}
		}
		// The others stay the same when one leaves.
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
			if !used[place.ChooseInstance(self, left, notConnected, random)] {
				fresh++
			}
		}
		if fresh > 1 {
			t.Fatalf("%d new instances after one has left", fresh)
		}
	})
}

// Guards against some instances of a region getting several times the requests of others because
// all instances of another region prefer the same few.
func TestForwardingIsSpread(t *testing.T) {
	var peers []string
	for n := range 60 {
		peers = append(peers, fmt.Sprint("peer-", n))
	}
	used := map[string]int{}
	for self := range 60 {
		for random := range uint64(4) {
			used[place.ChooseInstance(fmt.Sprint("self-", self), peers, notConnected, random)]++
		}
	}
	most := 0
	for _, n := range used {
		most = max(most, n)
	}
	// Four each would be even; chance alone gives ten at one of sixty.
	if most > 12 || len(used) < 50 {
		t.Errorf("%d of 60 instances chosen, one of them by %d", len(used), most)
	}
}
