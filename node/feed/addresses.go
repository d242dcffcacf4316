package feed

// maxAddresses bounds the addresses named to one caller.
const maxAddresses = 64

// CallerAddresses are those of the ready entries of a region, as a region serves its
// own callers. Where it has none they are those of the region of the largest weight, or
// of several of the same: a caller's requests may be bound to a few regions, and what
// comes to another one crosses for nothing.
func CallerAddresses(entries []Entry, region string, weight func(region string) int) []string {
	var own, others []string
	most := -1
	for _, e := range entries {
		if !e.Ready {
			continue
		}
		if e.Region == region {
			own = append(own, e.Callers)
			continue
		}
		w := weight(e.Region)
		if w > most {
			most, others = w, nil
		}
		if w == most {
			others = append(others, e.Callers)
		}
	}
	if len(own) > 0 {
		others = own
	}
	return others[:min(len(others), maxAddresses)]
}
