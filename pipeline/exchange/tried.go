package exchange

import "slices"

// outcome is how the last attempt at a place ended. Later ones exclude the place from more choices.
type outcome uint8

const (
	// noAnswer: no whole answer to the request came, or the attempt is under way.
	noAnswer outcome = iota
	// rejected: the place has not run the request.
	rejected
	// answered: it has answered, but the caller cannot have the answer or is to have a better one.
	answered
)

// triedPlace is a target of this region, or another region, that the request was sent to.
type triedPlace struct {
	target, region string
	outcome        outcome
}

// triedPlaces are the places that the request was sent to.
type triedPlaces []triedPlace

// placeOf returns the place of a destination, with an outcome.
func placeOf(p *destination, o outcome) triedPlace {
	if p.choice != nil {
		return triedPlace{target: p.choice.ID, outcome: o}
	}
	return triedPlace{region: p.peer.Region, outcome: o}
}

// record records the outcome of an attempt at a destination.
func (l *triedPlaces) record(p *destination, o outcome) {
	place := placeOf(p, o)
	if k := l.index(place); k >= 0 {
		(*l)[k] = place
		return
	}
	*l = append(*l, place)
}

// forget makes a destination count as not tried.
func (l *triedPlaces) forget(p *destination) {
	if k := l.index(placeOf(p, noAnswer)); k >= 0 {
		*l = slices.Delete(*l, k, k+1)
	}
}

// merge adds what attempts beside those of l have ended with: of two outcomes at a place, the later one holds.
func (l *triedPlaces) merge(others triedPlaces) {
	for _, place := range others {
		if k := l.index(place); k < 0 {
			*l = append(*l, place)
		} else {
			(*l)[k].outcome = max((*l)[k].outcome, place.outcome)
		}
	}
}

// index returns the index of a place, whatever its outcome; -1 if it was not tried.
func (l triedPlaces) index(place triedPlace) int {
	return slices.IndexFunc(l, func(tried triedPlace) bool {
		return tried.target == place.target && tried.region == place.region
	})
}

// has reports whether there is a place with an outcome.
func (l triedPlaces) has(o outcome) bool {
	return slices.ContainsFunc(l, func(tried triedPlace) bool { return tried.outcome == o })
}

// targets returns the targets with an outcome, or a later one.
func (l triedPlaces) targets(from outcome) []string {
	var out []string
	for _, tried := range l {
		if tried.target != "" && tried.outcome >= from {
			out = append(out, tried.target)
		}
	}
	return out
}

// hasRegion reports whether a region has an outcome, or a later one.
func (l triedPlaces) hasRegion(region string, from outcome) bool {
	return slices.ContainsFunc(l, func(tried triedPlace) bool { return tried.region == region && tried.outcome >= from })
}
