package feed

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxAddresses bounds the addresses given to one caller.
const maxAddresses = 64

// CallerAddresses returns the addresses that a caller in a region should use: those of the ready
// entries of that region. If it has none, they are those of the regions of the largest weight,
// since the caller's requests may have a few home regions only, and what arrives in another one
// crosses regions for nothing. Entries that are leaving and still accept requests come before ready
// ones of a region of less weight, those of the caller's region first.
//
// Without the leaving ones, while all entries of the regions that may serve a route are restarted
// one after another, callers of these regions would be directed to a region that may not, and all
// their requests on that route would be refused.
func CallerAddresses(entries []Entry, region string, weight func(region string) int) []string {
	ready := func(e *Entry) bool { return e.Ready }
	leaving := func(e *Entry) bool { return e.Leaving && !e.Ready }
	if own := inRegion(entries, region, ready); len(own) > 0 {
		return own
	}
	readyAddresses, readyWeight := heaviestRegions(entries, weight, ready)
	leavingAddresses, leavingWeight := heaviestRegions(entries, weight, leaving)
	if readyWeight >= leavingWeight {
		return readyAddresses
	}
	if own := inRegion(entries, region, leaving); len(own) > 0 {
		return own
	}
	return leavingAddresses
}

// inRegion returns the addresses of the entries of one region that match fits.
func inRegion(entries []Entry, region string, fits func(*Entry) bool) []string {
	var matching []Entry
	for i := range entries {
		if e := &entries[i]; e.Region == region && fits(e) {
			matching = append(matching, *e)
		}
	}
	return selectAddresses(matching)
}

// selectAddresses returns the caller addresses of some entries, at most maxAddresses: the same ones
// at all instances, so that connections behind them are reused, and of each zone equally many or, if
// capacities differ, with equal capacity. An entry of more capacity than others is listed several
// times if there is room, as callers connect to an address of the list at random.
//
// If it took the first ones, in a region that has more of them they would all be of one zone, and
// when that zone is lost the region's callers would know no other address.
func selectAddresses(entries []Entry) []string {
	capacities := Capacities(entries)
	if capacities == nil && len(entries) <= maxAddresses {
		var out []string
		for i := range entries {
			out = append(out, entries[i].CallerAddress)
		}
		return out
	}
	chosen := zoneByZone(entries, capacities)
	chosen = chosen[:min(maxAddresses, len(chosen))]
	copies := make([]int, len(chosen))
	if capacities != nil {
		of := make([]float64, len(chosen))
		for i := range chosen {
			of[i] = chosen[i].capacity
		}
		copies = apportion(of, maxAddresses)
	}
	out := make([]string, 0, maxAddresses)
	for i := range chosen {
		out = append(out, chosen[i].entry.CallerAddress)
	}
	// Further copies follow the first ones of all.
	for n := 2; n <= maxAddresses; n++ {
		for i := range chosen {
			if copies[i] >= n {
				out = append(out, chosen[i].entry.CallerAddress)
			}
		}
	}
	return out
}

// zonedEntry is an entry with its place in the order of zoneByZone.
type zonedEntry struct {
	entry *Entry
	hash  uint64
	// capacity is in thousandths of a core, or 1 if all are alike. before is the sum of those that
	// come earlier in the zone.
	capacity, before float64
}

// zoneByZone returns entries such that the next one is always of the zone with the least capacity so
// far, within a zone the largest first, then by a hash of their IDs. If capacities is nil, all are
// alike: the first entry of each zone comes before the second of any.
//
// An entry that joins moves only later ones of its zone.
func zoneByZone(entries []Entry, capacities []float64) []zonedEntry {
	order := make([]zonedEntry, len(entries))
	for i := range entries {
		order[i] = zonedEntry{entry: &entries[i], hash: xxhash.Sum64String(entries[i].ID), capacity: 1}
		if capacities != nil {
			order[i].capacity = capacities[i]
		}
	}
	slices.SortFunc(order, func(a, b zonedEntry) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(a.hash, b.hash), cmp.Compare(a.entry.ID, b.entry.ID))
	})
	ofZone := map[string]float64{}
	for i := range order {
		o := &order[i]
		o.before = ofZone[o.entry.Zone]
		ofZone[o.entry.Zone] += o.capacity
	}
	slices.SortStableFunc(order, func(a, b zonedEntry) int {
		return cmp.Or(cmp.Compare(a.before, b.before), cmp.Compare(a.entry.Zone, b.entry.Zone))
	})
	return order
}

// heaviestRegions returns the addresses of the entries that match fits in the regions of the
// largest weight, and that weight; -1 if none matches.
func heaviestRegions(entries []Entry, weight func(region string) int, fits func(*Entry) bool) ([]string, int) {
	heaviest := -1
	var matching []Entry
	// Each region is weighed once, as that goes over all routes.
	weights := map[string]int{}
	for i := range entries {
		e := &entries[i]
		if !fits(e) {
			continue
		}
		w, known := weights[e.Region]
		if !known {
			w = weight(e.Region)
			weights[e.Region] = w
		}
		if w > heaviest {
			heaviest, matching = w, nil
		}
		if w == heaviest {
			matching = append(matching, *e)
		}
	}
	return selectAddresses(matching), heaviest
}
