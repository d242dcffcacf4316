package routes

import (
	"cmp"
	"slices"
)

// MaxRanks is the number of ranks of an engine's queue, from 0, the first.
const MaxRanks = 10

// rankPair is what the rank of a request follows from: the priority of its workspace, or of its route where
// the workspace has none, and then that of its route.
type rankPair struct{ first, route int }

func compareRankPairs(a, b rankPair) int {
	return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.route, b.route))
}

// ranks are all pairs of a table, in order; nil if no workspace has a priority.
type ranks []rankPair

func newRanks(workspaces []Workspace, groups []*Group) ranks {
	routePriorities := map[int]bool{}
	for _, g := range groups {
		for _, p := range g.priorities {
			routePriorities[p] = true
		}
	}
	first := map[int]bool{}
	for i := range workspaces {
		if workspaces[i].HasPriority {
			first[workspaces[i].Priority] = true
		}
	}
	if len(first) == 0 {
		return nil
	}
	// Callers without a workspace, and workspaces without a priority, have that of the route.
	for p := range routePriorities {
		first[p] = true
	}
	var out ranks
	for f := range first {
		for p := range routePriorities {
			out = append(out, rankPair{f, p})
		}
	}
	slices.SortFunc(out, compareRankPairs)
	return out
}

// rank returns the rank of a pair, from 0 to MaxRanks-1.
func (k ranks) rank(p rankPair) int {
	at, _ := slices.BinarySearchFunc(k, p, compareRankPairs)
	if len(k) > MaxRanks {
		at = at * MaxRanks / len(k)
	}
	return min(at, MaxRanks-1)
}

// Rank returns the rank of a workspace's requests on a route, 0 being the most urgent: first by the priority of
// the workspace, then by that of the route. w is nil for callers without one. Where no workspace has a priority it is
// Workspace.Rank.
//
// With the workspace's priority alone, long prompts of its least urgent route are read before short ones of its
// most urgent route that came a moment later.
func (x *Index) Rank(w *Workspace, r *Route) int {
	first := w.Rank(r)
	if x.ranks == nil {
		return first
	}
	return x.ranks.rank(rankPair{first, r.Priority})
}
