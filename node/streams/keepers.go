package streams

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Instance is an entry instance that may keep origins.
type Instance struct {
	// ID is its address for other instances.
	ID     string
	Region string
}

const (
	// maxKeepers is the number of instances of a region that keep origins: with all of them, each
	// instance of a large site would be linked to each other one.
	maxKeepers = 8
	// copiesHere and copiesElsewhere are the numbers of copies of an origin in the region of its
	// instance and in each other one, besides that of the instance itself. So it is known although
	// the instance and a keeper have ended, or a whole region has.
	copiesHere      = 2
	copiesElsewhere = 1
	// askedPerRegion is the number of keepers that are asked in each region: the first one may have
	// started after the stream began.
	askedPerRegion = 2
)

// ranked returns the instances of a region in the order of a key, by rendezvous hashing.
func ranked(instances []Instance, region, key string) []Instance {
	var out []Instance
	for _, i := range instances {
		if i.Region == region {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(key+" "+a.ID), xxhash.Sum64String(key+" "+b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// keepers returns the first n keepers of a region for a key. All instances that know the same
// instances return the same.
func keepers(instances []Instance, region, key string, n int) []string {
	all := ranked(instances, region, "keeper")
	chosen := ranked(all[:min(len(all), maxKeepers)], region, key)
	var out []string
	for _, i := range chosen[:min(len(chosen), n)] {
		out = append(out, i.ID)
	}
	return out
}

// regionsOf returns the regions of instances, the given one first.
func regionsOf(instances []Instance, first string) []string {
	out := []string{first}
	for _, i := range instances {
		if !slices.Contains(out, i.Region) {
			out = append(out, i.Region)
		}
	}
	return out
}

// copiesOf returns the instances that get a copy of an origin of an instance in a region.
func copiesOf(instances []Instance, region, key string) []string {
	var out []string
	for _, r := range regionsOf(instances, region) {
		n := copiesElsewhere
		if r == region {
			n = copiesHere
		}
		out = append(out, keepers(instances, r, key, n)...)
	}
	return out
}

// askedFor returns the instances that may have a copy, those of the own region first.
func askedFor(instances []Instance, region, key string) []string {
	var out []string
	for _, r := range regionsOf(instances, region) {
		out = append(out, keepers(instances, r, key, askedPerRegion)...)
	}
	return out
}
