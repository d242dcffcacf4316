// Package hop keeps requests from travelling in a loop between instances.
//
// Each instance adds itself to the path of a request that it passes on, and the
// next one checks the whole path before it does anything. A path that is only
// written and not checked lets two instances, each of which holds the other to
// be the better place, pass one request back and forth until its deadline.
package hop

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// MaxStations bounds a path: one crossing, and one step inside each of the two
// regions, pass through three instances before the last.
const MaxHops = 3

// Station is one instance that a request has passed.
type Hop struct{ Instance, Region string }

// Path lists the instances passed, first to last.
type Path []Hop

// Errors of Check and Parse.
var (
	ErrMalformed       = errors.New("malformed hop path")
	ErrLoop            = errors.New("the request was here before")
	ErrRegionCrossings = errors.New("the request would cross regions more than once")
	ErrRegionForwards  = errors.New("the request would pass instances of a region more than once")
	ErrSender          = errors.New("the path does not end with its sender")
)

// Parse reads the form "instance@region, instance@region".
func Parse(text string) (Path, error) {
	var p Path
	for part := range strings.SplitSeq(text, ",") {
		instance, region, ok := strings.Cut(strings.TrimSpace(part), "@")
		if !ok || !name(instance) || !name(region) || len(p) == MaxHops {
			return nil, ErrMalformed
		}
		p = append(p, Hop{Instance: instance, Region: region})
	}
	return p, nil
}

// name reports whether s can stand in a path.
func name(s string) bool { return s != "" && !strings.ContainsAny(s, "@, \t\r\n") }

// String writes the form that Parse reads.
func (p Path) String() string {
	parts := make([]string, len(p))
	for i, s := range p {
		parts[i] = s.Instance + "@" + s.Region
	}
	return strings.Join(parts, ", ")
}

// Add returns the path with one more station.
func (p Path) Add(s Hop) Path { return append(slices.Clone(p), s) }

// Crossed reports whether a request that came to region by this path has
// crossed from another one.
func (p Path) FromOtherRegion(region string) bool {
	return slices.ContainsFunc(p, func(s Hop) bool { return s.Region != region })
}

// Stepped reports whether a request that came to region by this path has passed
// another instance of the region already.
func (p Path) WithinRegion(region string) bool {
	return slices.ContainsFunc(p, func(s Hop) bool { return s.Region == region })
}

// Check reports whether a request may arrive at a station by this path.
func (p Path) Check(at Hop) error {
	if slices.ContainsFunc(p, func(s Hop) bool { return s.Instance == at.Instance }) {
		return ErrLoop
	}
	whole := p.Add(at)
	crossings, steps := 0, map[string]int{}
	for i := 1; i < len(whole); i++ {
		if whole[i-1].Region != whole[i].Region {
			crossings++
			continue
		}
		steps[whole[i].Region]++
		if steps[whole[i].Region] > 1 {
			return fmt.Errorf("%w: %s", ErrRegionForwards, whole[i].Region)
		}
	}
	if crossings > 1 {
		return ErrRegionCrossings
	}
	return nil
}
