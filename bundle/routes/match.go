package routes

import (
	"net"
	"slices"
	"strings"
	"time"
)

// GapAim returns the shortest GapAim of the routes to a service: the longest pause between
// events of a response that is on time. It is 0 if no route sets one.
func (x *Index) GapAim(service string) time.Duration { return x.gapAims[service] }

// canonicalHost returns a host in lower case without a port, the brackets of an IPv6 address and
// the dot that may end a name.
func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	} else if inner, ok := strings.CutPrefix(host, "["); ok {
		host = strings.TrimSuffix(inner, "]")
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// Match returns the route of a request's host whose prefix is the longest that path begins
// with, or nil. Hosts are compared in their canonical form.
func (x *Index) Match(host, path string) *Route {
	host = canonicalHost(host)
	// Prefixes end with a slash, and none is longer than longestPrefix.
	for end := min(len(path), x.longestPrefix); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		prefix := path[:end]
		if r := x.byKey[shardOf(prefix)][routeKey{host, prefix}]; r != nil {
			return r
		}
	}
	return nil
}

// HomeRegionWeight returns how much of a host's requests a region may serve: the sum of weight
// over the names of the host's routes that allow the region.
func (x *Index) HomeRegionWeight(host, region string, weight func(route string) int) int {
	host = canonicalHost(host)
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

// Service returns the service of this name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Pick chooses a service of the route by weight. u must be uniformly distributed over all
// values, for example a hash of the request id, which keeps retries at one service.
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

// SplitsTo reports whether the route sends a share of its requests to a service.
func (r *Route) SplitsTo(service string) bool {
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}
