// Package hop keeps requests from being forwarded in a loop between instances.
//
// Each instance adds itself to the path of a request that it forwards, and the
// next one checks the whole path before it does anything. If the path were not
// checked, two instances that each prefer the other could forward a request back
// and forth until its deadline.
package hop

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// MaxHops bounds a path. One forward to another region, and one inside each of the
// two regions, pass three instances before the last.
const MaxHops = 3

// Hop is an instance that forwarded a request.
type Hop struct{ Instance, Region string }

// Path lists the instances that forwarded a request, first to last.
type Path []Hop

// Errors of Check and Parse.
var (
	ErrMalformed       = errors.New("malformed hop path")
	ErrLoop            = errors.New("the request was here before")
	ErrRegionCrossings = errors.New("the request would cross regions more than once")
	ErrRegionForwards  = errors.New("the request would pass instances of a region more than once")
	ErrSender          = errors.New("the path does not end with its sender")
)

// Parse parses a path of the form "instance@region, instance@region". It returns
// ErrMalformed for any other text and for more than MaxHops hops.
func Parse(text string) (Path, error) {
	var p Path
	for part := range strings.SplitSeq(text, ",") {
		instance, region, ok := strings.Cut(strings.TrimSpace(part), "@")
		if !ok || !validName(instance) || !validName(region) || len(p) == MaxHops {
			return nil, ErrMalformed
		}
		p = append(p, Hop{Instance: instance, Region: region})
	}
	return p, nil
}

// validName reports whether s can be an instance or a region in a path.
func validName(s string) bool { return s != "" && !strings.ContainsAny(s, "@, \t\r\n") }

// String returns the form that Parse parses.
func (p Path) String() string {
	parts := make([]string, len(p))
	for i, s := range p {
		parts[i] = s.Instance + "@" + s.Region
	}
	return strings.Join(parts, ", ")
}

// Add returns a copy of the path with one more hop.
func (p Path) Add(s Hop) Path { return append(slices.Clone(p), s) }

// FromOtherRegion reports whether a request that arrived in region by this path
// was forwarded from another region.
func (p Path) FromOtherRegion(region string) bool {
	return slices.ContainsFunc(p, func(s Hop) bool { return s.Region != region })
}

// WithinRegion reports whether a request that arrived in region by this path was
// already forwarded by another instance of the region.
func (p Path) WithinRegion(region string) bool {
	return slices.ContainsFunc(p, func(s Hop) bool { return s.Region == region })
}

// Check returns an error if a request must not arrive at the instance self by
// this path: it was there before (ErrLoop), it was forwarded between regions more
// than once (ErrRegionCrossings), or within a region more than once
// (ErrRegionForwards).
func (p Path) Check(self Hop) error {
	if slices.ContainsFunc(p, func(s Hop) bool { return s.Instance == self.Instance }) {
		return ErrLoop
	}
	whole := p.Add(self)
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
