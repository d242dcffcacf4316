package membership

import (
	"github.com/cespare/xxhash/v2"
)

// Relays returns the ids of up to two members that represent the region to
// others, in different availability zones if possible. Ids are empty if there
// are fewer.
//
// Each member has a score from a hash of region and id (rendezvous hashing,
// Thaler and Ravishankar, 1998). The first relay has the highest score, the
// second the highest of another zone. So a member that joins or leaves changes
// a relay only if it is that relay or has a higher score. Suspect members
// count, as they may refute; members that the platform lists as leaving count
// only if there is no other.
func Relays(region string, view []View) [2]string {
	first := best(region, view, func(*View) bool { return true })
	if first == nil {
		return [2]string{}
	}
	second := best(region, view, func(v *View) bool { return v.Zone != first.Zone && v.Leaving == first.Leaving })
	if second == nil {
		second = best(region, view, func(v *View) bool { return v.ID != first.ID })
	}
	if second == nil {
		return [2]string{first.ID}
	}
	return [2]string{first.ID, second.ID}
}

// best returns the Alive or Suspect member of the region that ranks highest
// among those that match; nil if there is none.
func best(region string, view []View, match func(*View) bool) *View {
	var top *View
	for i := range view {
		v := &view[i]
		if v.Region == region && (v.State == Alive || v.State == Suspect) && match(v) && (top == nil || outranks(v, top)) {
			top = v
		}
	}
	return top
}

func outranks(a, b *View) bool {
	if a.Leaving != b.Leaving {
		return b.Leaving
	}
	x, y := score(a), score(b)
	return x > y || x == y && a.ID < b.ID
}

func score(v *View) uint64 { return xxhash.Sum64String(v.Region + "\x00" + v.ID) }
