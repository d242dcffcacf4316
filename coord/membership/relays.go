package membership

import (
	"github.com/cespare/xxhash/v2"
)

// Relays picks up to two members, in different availability zones if there are,
// that speak for the region to others. Empty ids mean there are fewer.
//
// Each member has a score from a hash of region and id (rendezvous hashing,
// Thaler and Ravishankar, 1998); the highest wins, and the second is the
// highest of another zone. So members that come or go change a relay only if
// they are it or outdo it. Suspect members count, as they may refute; those
// that the platform lists as leaving only when there is no other.
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

// best returns the member with the highest score among those that match.
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
