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
// at all instances, so that connections behind them are reused, and equally many of each zone.
//
// If it took the first ones, in a region that has more of them they would all be of one zone, and
// when that zone is lost the region's callers would know no other address.
func selectAddresses(entries []Entry) []string {
	if len(entries) > maxAddresses {
		entries = zoneByZone(entries)[:maxAddresses]
	}
	var out []string
	for i := range entries {
		out = append(out, entries[i].CallerAddress)
	}
	return out
}

// zoneByZone sorts entries in place and returns them: the first entry of each zone before the second
// of any, within a zone by a hash of their IDs.
func zoneByZone(entries []Entry) []Entry {
	hash := func(e *Entry) uint64 { return xxhash.Sum64String(e.ID) }
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Or(cmp.Compare(hash(&a), hash(&b)), cmp.Compare(a.ID, b.ID)) })
	rankInZone, zoneCounts := map[string]int{}, map[string]int{}
	for i := range entries {
		e := &entries[i]
		rankInZone[e.ID] = zoneCounts[e.Zone]
		zoneCounts[e.Zone]++
	}
	slices.SortStableFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(rankInZone[a.ID], rankInZone[b.ID]), cmp.Compare(a.Zone, b.Zone))
	})
	return entries
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
