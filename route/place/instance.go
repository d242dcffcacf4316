package place

import (
	"cmp"
	"math"
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

// Instance is an entry instance of another region.
type Instance struct {
	// Address is where it accepts requests from other instances.
	Address string
	// Capacity is its share of the processor in thousandths of a core. If it is not above 0 for one
	// instance, all count alike.
	Capacity float64
}

// ChooseInstance returns the address of the instance of another region to forward a request to.
// peers are that region's instances, at least one. self is the ID of the forwarding instance: each
// has a few preferred peers that stay the same. Of these, the ones to which connected reports an open
// connection go first. random selects one of equal ones. Over all forwarding instances, peers are
// chosen in proportion to their capacity.
func ChooseInstance(self string, peers []Instance, connected func(address string) bool, random uint64) string {
	preferred := preferredPeers(self, peers)
	reused := slices.DeleteFunc(slices.Clone(preferred), func(p rankedPeer) bool { return !connected(p.address) })
	if len(reused) > 0 {
		preferred = reused
	}
	return chooseByShare(preferred, random)
}

// chooseByShare returns the address of one of some peers, each as often as its share demands.
func chooseByShare(peers []rankedPeer, random uint64) string {
	total := 0.0
	for i := range peers {
		total += peers[i].share
	}
	if total == 0 {
		return peers[random%uint64(len(peers))].address
	}
	// The upper 53 bits, as many as a floating-point number has.
	point := float64(random>>11) / (1 << 53) * total
	for i := range peers {
		if point -= peers[i].share; point < 0 {
			return peers[i].address
		}
	}
	return peers[len(peers)-1].address
}

// rankedPeer is a peer with its place in the order of an instance.
type rankedPeer struct {
	address string
	// order decides among peers of equal score; score is 0 if all count alike.
	order           uint64
	score, capacity float64
	// share is how often it is chosen relative to the other preferred ones; 0 if all count alike.
	share float64
}

// preferredPeers returns the first peers in the order of an instance. Each peer is hashed once, as
// a region may have hundreds.
//
// With capacities, the score of a peer is exponentially distributed with its capacity as the rate, so
// that large peers come early in the orders of more instances. Four distinct peers of a small region
// still include small ones too often. Therefore the choice among the four weighs each by its capacity
// over the probability that its score is below that of the fifth (bottom-k sampling), which makes the
// expected number of requests proportional to the capacity.
func preferredPeers(self string, peers []Instance) []rankedPeer {
	weighted := capacitiesDiffer(peers)
	keep := instancesPerRegion
	if weighted {
		keep++
	}
	first := make([]rankedPeer, 0, keep+1)
	for _, p := range peers {
		w := rankedPeer{address: p.Address, order: peerOrder(self, p.Address)}
		if weighted {
			w.capacity, w.score = p.Capacity, exponential(w.order)/p.Capacity
		}
		at, _ := slices.BinarySearchFunc(first, w, func(a, b rankedPeer) int {
			return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.order, b.order), cmp.Compare(a.address, b.address))
		})
		if at < keep {
			first = slices.Insert(first, at, w)
			first = first[:min(keep, len(first))]
		}
	}
	threshold := math.Inf(1)
	if len(first) > instancesPerRegion {
		threshold = first[instancesPerRegion].score
		first = first[:instancesPerRegion]
	}
	if weighted {
		for i := range first {
			w := &first[i]
			w.share = w.capacity / -math.Expm1(-w.capacity*threshold)
		}
	}
	return first
}

// capacitiesDiffer reports whether all capacities are known and not all are equal.
func capacitiesDiffer(peers []Instance) bool {
	differ := false
	for _, p := range peers {
		if p.Capacity <= 0 {
			return false
		}
		differ = differ || p.Capacity != peers[0].Capacity
	}
	return differ
}

// exponential maps a uniformly distributed hash to an exponentially distributed number of mean 1. It
// is above 0, so that scores differ by capacity also for a hash of 0.
func exponential(hash uint64) float64 {
	return -math.Log1p(-(float64(hash>>11) + 0.5) / (1 << 53))
}

func peerOrder(self, peer string) uint64 { return xxhash.Sum64String(self + " " + peer) }
