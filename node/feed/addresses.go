package feed

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxAddresses bounds the addresses named to one caller.
const maxAddresses = 64

// CallerAddresses are those of the ready entries of a region, as a region serves its
// own callers. Where it has none they are those of the regions of the largest weight, as
// a caller's requests may be bound to a few regions, and what comes to another one
// crosses for nothing. Entries that leave and still take requests are named before ready
// ones of a region of less weight, those of the own region first.
//
// What goes wrong without the leaving ones: while all entries of the regions that may
// serve a route are restarted in turn, the callers of these regions are led to a region
// that may not, and all their requests on that route are refused.
func CallerAddresses(entries []Entry, region string, weight func(region string) int) []string {
	ready := func(e *Entry) bool { return e.Ready }
	leaving := func(e *Entry) bool { return e.Leaving && !e.Ready }
	if own := inRegion(entries, region, ready); len(own) > 0 {
		return own
	}
	best, most := heaviest(entries, weight, ready)
	leavers, mostLeaving := heaviest(entries, weight, leaving)
	if most >= mostLeaving {
		return best
	}
	if own := inRegion(entries, region, leaving); len(own) > 0 {
		return own
	}
	return leavers
}

// inRegion names the entries of one region that fit.
func inRegion(entries []Entry, region string, fits func(*Entry) bool) []string {
	var of []Entry
	for i := range entries {
		if e := &entries[i]; e.Region == region && fits(e) {
			of = append(of, *e)
		}
	}
	return named(of)
}

// named are the callers' addresses of some entries, as many as may be named: the same ones
// at all instances, so that the connections behind them are used again, and as many of each
// zone.
//
// What goes wrong with the first ones: where a region has more than may be named, they are
// all of one zone, and when that is lost the region's callers know no other.
func named(entries []Entry) []string {
	if len(entries) > maxAddresses {
		entries = zoneByZone(entries)[:maxAddresses]
	}
	var out []string
	for i := range entries {
		out = append(out, entries[i].CallerAddress)
	}
	return out
}

// zoneByZone puts the first of each zone before the second of any, in each zone by a digest of
// their ids.
func zoneByZone(entries []Entry) []Entry {
	order := func(e *Entry) uint64 { return xxhash.Sum64String(e.ID) }
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Or(cmp.Compare(order(&a), order(&b)), cmp.Compare(a.ID, b.ID)) })
	place, seen := map[string]int{}, map[string]int{}
	for i := range entries {
		e := &entries[i]
		place[e.ID] = seen[e.Zone]
		seen[e.Zone]++
	}
	slices.SortStableFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(place[a.ID], place[b.ID]), cmp.Compare(a.Zone, b.Zone))
	})
	return entries
}

// heaviest names the entries that fit in the regions of the largest weight; -1 without any.
func heaviest(entries []Entry, weight func(region string) int, fits func(*Entry) bool) ([]string, int) {
	most := -1
	var of []Entry
	// A region is weighed once, as that goes over all routes.
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
		if w > most {
			most, of = w, nil
		}
		if w == most {
			of = append(of, *e)
		}
	}
	return named(of), most
}
