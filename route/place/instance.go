package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// At a region's peak a third of its requests are forwarded to another region, from each of some
// sixty instances to any of sixty others.

// instancesPerRegion is how many instances of another region an instance forwards requests to: few,
// so that connections to them are reused, and enough to continue when one leaves and to spread the
// load evenly.
//
// If each instance used all of them, nearly every forwarded request would be the first in seconds
// between its two instances and wait for a new connection, a round trip of 160 ms between regions:
// 350 ms instead of 190 until the first event.
const instancesPerRegion = 4

// ChooseInstance returns the address of the instance of another region to forward a request to.
// peers are the addresses of that region's instances, at least one. self is the ID of the
// forwarding instance: each has a few preferred peers that stay the same. Of these, the ones to
// which connected reports an open connection go first. random selects one of equal ones.
func ChooseInstance(self string, peers []string, connected func(address string) bool, random uint64) string {
	preferred := preferredPeers(self, peers)
	reused := slices.DeleteFunc(slices.Clone(preferred), func(a string) bool { return !connected(a) })
	if len(reused) > 0 {
		preferred = reused
	}
	return preferred[random%uint64(len(preferred))]
}

// preferredPeers returns the first peers in the order of an instance. Each peer is hashed once, as
// a region may have hundreds.
func preferredPeers(self string, peers []string) []string {
	type rankedPeer struct {
		address string
		order   uint64
	}
	var first []rankedPeer
	for _, address := range peers {
		w := rankedPeer{address, peerOrder(self, address)}
		at, _ := slices.BinarySearchFunc(first, w, func(a, b rankedPeer) int {
			return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.address, b.address))
		})
		if at < instancesPerRegion {
			first = slices.Insert(first, at, w)
			first = first[:min(instancesPerRegion, len(first))]
		}
	}
	out := make([]string, 0, instancesPerRegion)
	for _, w := range first {
		out = append(out, w.address)
	}
	return out
}

func peerOrder(self, peer string) uint64 { return xxhash.Sum64String(self + " " + peer) }
