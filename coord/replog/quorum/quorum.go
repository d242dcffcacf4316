// Package quorum counts majorities.
package quorum

import "slices"

// Size returns how many of n voters make a majority; of none, one, which
// cannot be reached.
func Size(n int) int { return n/2 + 1 }

// Index returns the highest value that a majority has reached, given one value
// for each voter. It sorts values in place. Without voters it is zero.
func Index(values []uint64) uint64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-Size(len(values))]
}

// Result is the state of an election.
type Result uint8

const (
	// Pending: the votes that are out decide.
	Pending Result = iota
	// Won: a majority granted its vote.
	Won
	// Lost: a majority can no longer be reached.
	Lost
)

// Tally returns the state of an election among n voters.
func Tally(n, granted, rejected int) Result {
	switch {
	case granted >= Size(n):
		return Won
	case n-rejected < Size(n):
		return Lost
	}
	return Pending
}
