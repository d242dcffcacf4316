package feed

import (
	"math"
	"slices"
)

// minCapacity and maxCapacity bound a known capacity, in thousandths of a core. No process works with
// less than a thousandth of a core and no machine has a million; sums and ratios of what is between
// them are exact enough and finite.
const (
	minCapacity = 1
	maxCapacity = 1e9
)

// ValidCapacity reports whether a capacity in thousandths of a core is usable, or 0 for unknown.
func ValidCapacity(capacity float64) bool {
	// Not a number fails all comparisons.
	return capacity == 0 || capacity >= minCapacity && capacity <= maxCapacity
}

// Capacities returns the capacity of each entry, in thousandths of a core. An unknown or invalid one
// counts as the median of the known ones of its region, or of all if its region has none. The result
// is nil if all are equal or none is known.
//
// If an unknown capacity counted as 0, an instance of an older build would get hardly any caller
// during a roll-out.
func Capacities(entries []Entry) []float64 {
	known := make([]float64, 0, len(entries))
	byRegion := map[string][]float64{}
	for i := range entries {
		if e := &entries[i]; e.capacityKnown() {
			known = append(known, e.Capacity)
			byRegion[e.Region] = append(byRegion[e.Region], e.Capacity)
		}
	}
	if len(known) == 0 {
		return nil
	}
	medians := make(map[string]float64, len(byRegion))
	for region, values := range byRegion {
		medians[region] = median(values)
	}
	ofAll := median(known)
	out := make([]float64, len(entries))
	for i := range entries {
		e := &entries[i]
		switch ofRegion, ok := medians[e.Region]; {
		case e.capacityKnown():
			out[i] = e.Capacity
		case ok:
			out[i] = ofRegion
		default:
			out[i] = ofAll
		}
	}
	if slices.Min(out) == slices.Max(out) {
		return nil
	}
	return out
}

func (e *Entry) capacityKnown() bool { return e.Capacity > 0 && ValidCapacity(e.Capacity) }

// median sorts values in place and returns their median.
func median(values []float64) float64 {
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}

// apportionMargin is the improvement below which more copies are not worth it: it is above the
// rounding errors, which differ between processor types and would make lists differ.
const apportionMargin = 1e-9

// apportion returns how often each of some instances is listed: at least once, most times in all, in
// proportion to their capacities. There must be at most that many instances.
//
// It adds copies one by one by the method of Webster, which favours neither large nor small
// instances, and returns the step that gives the fewest connections to the wrong instance.
func apportion(capacities []float64, most int) []int {
	copies := make([]int, len(capacities))
	for i := range copies {
		copies[i] = 1
	}
	best, least := slices.Clone(copies), misplaced(capacities, copies)
	for range most - len(copies) {
		next, priority := 0, 0.0
		for i, c := range capacities {
			if p := c / float64(2*copies[i]+1); p > priority {
				next, priority = i, p
			}
		}
		copies[next]++
		if m := misplaced(capacities, copies); m < least-apportionMargin {
			least = m
			copy(best, copies)
		}
	}
	return best
}

// misplaced returns the sum over all instances of how far their share of the copies differs from
// their share of the capacity.
func misplaced(capacities []float64, copies []int) float64 {
	var total, listed float64
	for i, c := range capacities {
		total += c
		listed += float64(copies[i])
	}
	sum := 0.0
	for i, c := range capacities {
		sum += math.Abs(float64(copies[i])/listed - c/total)
	}
	return sum
}
