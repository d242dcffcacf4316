package place_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/route/place"
)

func notConnected(string) bool { return false }

// alike returns n instances without a capacity.
func alike(n int) (peers []place.Instance) {
	for k := range n {
		peers = append(peers, place.Instance{Address: fmt.Sprint("peer-", k)})
	}
	return peers
}

// Guards against forwarded requests that each wait for a new connection, because an instance uses
// another one of a region's sixty instances each time.
func TestRequestsAreForwardedToFewInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := alike(rapid.IntRange(1, 60).Draw(t, "peers"))
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
		left := []place.Instance{}
		for _, p := range peers {
			if p.Address != one {
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
	peers := alike(60)
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

// Guards against small instances that get as many forwarded requests as large ones, and against large
// ones that get too few as only four are preferred: capacities are 1:3. With fewer forwarding instances
// chance alone gives more than the tolerated 10%.
func TestForwardingFollowsCapacity(t *testing.T) {
	const forwarding, requestsEach = 3000, 8
	random := rand.New(rand.NewPCG(1, 2))
	for _, n := range []int{2, 4, 6, 8, 20, 60} {
		peers, large := alike(n), map[string]bool{}
		for k := range peers {
			peers[k].Capacity = 192
			if k%2 == 1 {
				peers[k].Capacity, large[peers[k].Address] = 3*192, true
			}
		}
		toLarge := 0
		for self := range forwarding {
			for range requestsEach {
				if large[place.ChooseInstance(fmt.Sprint("self-", self), peers, notConnected, random.Uint64())] {
					toLarge++
				}
			}
		}
		if ratio := float64(toLarge) / float64(forwarding*requestsEach-toLarge); math.Abs(ratio-3) > 0.3 {
			t.Errorf("%d instances: the large ones get %.2f times the requests of the small ones, want 3", n, ratio)
		}
	}
}

// Guards against requests that lose their connections: capacities that are equal or partly unknown
// change the preferred instances, or one that joins replaces more than one of them.
func TestCapacitiesKeepPreferredInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self, peers := rapid.StringMatching(`[a-z]{3}`).Draw(t, "self"), alike(rapid.IntRange(2, 40).Draw(t, "peers"))
		preferred := func(peers []place.Instance) (out []string) {
			place.ChooseInstance(self, peers, func(address string) bool { out = append(out, address); return false }, 0)
			return out
		}
		equal, partly, weighted := slices.Clone(peers), slices.Clone(peers), slices.Clone(peers)
		for n := range peers {
			equal[n].Capacity, partly[n].Capacity = 500, float64(n)
			weighted[n].Capacity = rapid.Float64Range(1, 1e9).Draw(t, "capacity")
		}
		if all := preferred(peers); !slices.Equal(preferred(equal), all) || !slices.Equal(preferred(partly), all) {
			t.Fatalf("%v without capacities, %v with equal ones, %v with some", all, preferred(equal), preferred(partly))
		}
		before := preferred(weighted[1:])
		after := slices.DeleteFunc(preferred(weighted), func(a string) bool { return slices.Contains(before, a) })
		if len(after) > 1 {
			t.Fatalf("%v preferred after one has joined, %v before", after, before)
		}
	})
}
