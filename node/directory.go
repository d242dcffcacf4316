package node

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gullhaven/gullhaven/node/members"
	"github.com/gullhaven/gullhaven/ports"
)

const (
	// directoryTTL is how long callers may keep an answer. It bounds how long an instance that
	// has left is still asked.
	directoryTTL = 5 * time.Second
	// Weights of instances by distance from the caller.
	weightSameZone   = 1.0
	weightSameRegion = 0.5
	// Instances of other regions are for callers that reach none of their own region: requests
	// sent there meet cold caches, and requests bound to their region are refused.
	weightOtherRegion = 0
)

// directory tells callers which instances to use, from what this instance knows. There is no
// load balancer in front of the instances, so each caller gets its own order of instances of
// equal weight; otherwise all callers would use the first.
type directory struct {
	region string
	view   func() *members.View
	others func() []ports.DirectoryEntry
}

// Lookup lists the instances that take requests, best first.
func (d *directory) Lookup(q ports.DirectoryQuery) ports.DirectoryAnswer {
	entries := d.entries()
	if q.Region == "" {
		q.Region = d.region
	}
	known := func(e ports.DirectoryEntry) bool { return e.Region == q.Region }
	if !slices.ContainsFunc(entries, known) {
		// An unknown region counts as this one, which the caller has reached.
		q.Region, q.Zone = d.region, ""
	}
	if q.Caller == "" {
		q.Caller = strconv.FormatUint(rand.Uint64(), 36)
	}
	for i := range entries {
		entries[i].Weight = weightOf(&entries[i], q)
	}
	slices.SortFunc(entries, func(x, y ports.DirectoryEntry) int {
		return cmp.Or(
			-cmp.Compare(x.Weight, y.Weight),
			cmp.Compare(rank(q.Caller, x.Instance), rank(q.Caller, y.Instance)),
		)
	})
	return ports.DirectoryAnswer{Entries: entries, TTL: directoryTTL}
}

// entries returns the live instances of this region and the known ones of other regions.
func (d *directory) entries() []ports.DirectoryEntry {
	var entries []ports.DirectoryEntry
	for _, m := range d.view().Alive() {
		meta := members.DecodeMeta(m.Member)
		if meta.CallerAddress != "" {
			entries = append(entries, entryOf(m.ID, meta.CallerAddress, m.Region, m.Zone))
		}
	}
	return append(entries, d.others()...)
}

func entryOf(id, callers, region, zone string) ports.DirectoryEntry {
	return ports.DirectoryEntry{Instance: id, URL: "http://" + callers, Region: region, Zone: zone}
}

func weightOf(e *ports.DirectoryEntry, q ports.DirectoryQuery) float64 {
	switch {
	case e.Region != q.Region:
		return weightOtherRegion
	case q.Zone == "" || e.Zone == q.Zone:
		return weightSameZone
	default:
		return weightSameRegion
	}
}

// lowestRanked returns the n ids with the lowest ranks for a key.
func lowestRanked(key string, ids []string, n int) []string {
	sorted := slices.Clone(ids)
	slices.SortFunc(sorted, func(x, y string) int { return cmp.Compare(rank(key, x), rank(key, y)) })
	return sorted[:min(n, len(sorted))]
}

// rank orders instances differently for each caller.
func rank(caller, instance string) uint64 { return xxhash.Sum64String(caller + "\x00" + instance) }
