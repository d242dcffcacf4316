package routes

import (
	"net"
	"strings"
	"time"
)

// GapAim is the longest pause between events of an answer in time, the shortest of the
// routes to a service; 0 where none has one.
func (x *Index) GapAim(service string) time.Duration { return x.gapAims[service] }

// Match returns the route of the longest prefix, or nil.
func (x *Index) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	host = strings.ToLower(host)
	// Prefixes end with a slash, and none is longer than the longest.
	for end := min(len(path), x.longest); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		prefix := path[:end]
		if r := x.byPlace[shardOf(prefix)][place{host, prefix}]; r != nil {
			return r
		}
	}
	return nil
}

// HomeWeight is how much of a host's requests a region may serve: the sum of the weights
// of its routes that allow the region.
func (x *Index) RegionWeight(host, region string, weight func(route string) int) int {
	host = strings.ToLower(host)
	sum := 0
	for _, g := range x.groups {
		for i := range g.routes {
			if r := &g.routes[i]; r.Host == host && r.Allows(region) {
				sum += weight(r.Name)
			}
		}
	}
	return sum
}

// Service returns a service by name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Pick chooses a service of the route by weight. u is uniform over all values,
// for example a hash of the request's id, which keeps repeats at one service.
func (r *Route) Pick(u uint64) string {
	total := uint64(0)
	for _, s := range r.Split {
		total += uint64(s.Weight)
	}
	at := u % total
	for _, s := range r.Split {
		if at < uint64(s.Weight) {
			return s.Service
		}
		at -= uint64(s.Weight)
	}
	return r.Split[len(r.Split)-1].Service
}
