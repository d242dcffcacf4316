// Package quorum counts majorities.
package quorum

import "slices"

// Size returns how many of n voters make a majority. For n = 0 it is one, which cannot
// be reached.
func Size(n int) int { return n/2 + 1 }

// Index returns the highest value that a majority has reached, given one value per
// voter, or zero without voters. It sorts values in place.
func Index(values []uint64) uint64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-Size(len(values))]
}

// Result is the state of a vote count.
type Result uint8

const (
	// Pending: the outcome depends on missing votes.
	Pending Result = iota
	// Won: a majority granted its vote.
	Won
	// Lost: a majority can no longer be reached.
	Lost
)

// Tally returns the state of a vote count among n voters.
func Tally(n, granted, rejected int) Result {
	switch {
	case granted >= Size(n):
		return Won
	case n-rejected < Size(n):
		return Lost
	}
	return Pending
}
