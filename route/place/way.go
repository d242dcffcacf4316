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
func Way(self string, peers []string, kept func(address string) bool, random uint64) string {
	own := slices.Clone(peers)
	slices.SortFunc(own, func(a, b string) int {
		return cmp.Or(cmp.Compare(wayOrder(self, a), wayOrder(self, b)), cmp.Compare(a, b))
	})
	own = own[:min(ways, len(own))]
	ready := slices.DeleteFunc(slices.Clone(own), func(a string) bool { return !kept(a) })
	if len(ready) > 0 {
		own = ready
	}
	return own[random%uint64(len(own))]
}

func wayOrder(self, peer string) uint64 { return xxhash.Sum64String(self + " " + peer) }
