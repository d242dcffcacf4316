package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The load pattern: at the peak of a region a third of its requests cross to another one,
// from each of some sixty instances to any of sixty others.

// ways is how many instances of another region an instance passes requests on to: few, so
// that the connections to them are used again, and enough to go on where one leaves, and
// for their load to be alike.
//
// What goes wrong with all of them: nearly each request that crosses is the first for
// seconds from its instance to the one that it meets, and waits for a new connection, a
// round trip of 160 ms between regions: 350 ms in place of 190 until the first event.
const ways = 4

// Way chooses the instance of another region to which one is passed on, of peers by their
// addresses. self is the id of the instance that passes on: each has a few peers of its own
// that stay the same. Among them those go first to which a connection is kept. random
// draws one of equal ones. There must be one peer at least; the result is its address.
func ChooseInstance(self string, peers []string, kept func(address string) bool, random uint64) string {
	own := firstWays(self, peers)
	ready := slices.DeleteFunc(slices.Clone(own), func(a string) bool { return !kept(a) })
	if len(ready) > 0 {
		own = ready
	}
	return own[random%uint64(len(own))]
}

// firstWays are the first peers in the order of an instance. Each peer is digested once, as
// a region may have hundreds.
func firstWays(self string, peers []string) []string {
	type way struct {
		address string
		order   uint64
	}
	var first []way
	for _, address := range peers {
		w := way{address, wayOrder(self, address)}
		at, _ := slices.BinarySearchFunc(first, w, func(a, b way) int {
			return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.address, b.address))
		})
		if at < ways {
			first = slices.Insert(first, at, w)
			first = first[:min(ways, len(first))]
		}
	}
	out := make([]string, 0, ways)
	for _, w := range first {
		out = append(out, w.address)
	}
	return out
}

func wayOrder(self, peer string) uint64 { return xxhash.Sum64String(self + " " + peer) }
