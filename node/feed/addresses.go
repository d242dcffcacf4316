package feed

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
	var out []string
	for i := range entries {
		if e := &entries[i]; e.Region == region && fits(e) {
			out = append(out, e.Callers)
		}
	}
	return out[:min(len(out), maxAddresses)]
}

// heaviest names the entries that fit in the regions of the largest weight; -1 without any.
func heaviest(entries []Entry, weight func(region string) int, fits func(*Entry) bool) (out []string, most int) {
	most = -1
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
			most, out = w, nil
		}
		if w == most {
			out = append(out, e.Callers)
		}
	}
	return out[:min(len(out), maxAddresses)], most
}
