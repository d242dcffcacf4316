package routes

import (
	"net"
	"slices"
	"strings"
	"time"
)

// Index finds routes and services of one table. It is read-only.
type Index struct {
	Table    *Table
	byHost   map[string][]*Route // longest prefix first
	services map[string]*Service
	gapAims  map[string]time.Duration
}

// NewIndex prepares a table for lookups. The table must not change afterwards.
func NewIndex(t *Table) *Index {
	x := &Index{Table: t, byHost: map[string][]*Route{}, services: map[string]*Service{}, gapAims: map[string]time.Duration{}}
	for i := range t.Routes {
		r := &t.Routes[i]
		x.byHost[r.Host] = append(x.byHost[r.Host], r)
		x.takeGapAim(r)
	}
	for _, list := range x.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range t.Services {
		x.services[t.Services[i].Name] = &t.Services[i]
	}
	return x
}

// takeGapAim keeps the shortest aim of each service.
func (x *Index) takeGapAim(r *Route) {
	if r.GapAim <= 0 {
		return
	}
	for _, s := range r.Split {
		if known, ok := x.gapAims[s.Service]; !ok || r.GapAim < known {
			x.gapAims[s.Service] = r.GapAim
		}
	}
}

// GapAim is the longest pause between events of an answer in time, the shortest of the
// routes to a service; 0 where none has one.
func (x *Index) GapAim(service string) time.Duration { return x.gapAims[service] }

// Match returns the route of the longest prefix, or nil.
func (x *Index) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range x.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HomeWeight is how much of a host's requests a region may serve: the sum of the weights
// of its routes that allow the region.
func (x *Index) HomeWeight(host, region string, weight func(route string) int) int {
	sum := 0
	for _, r := range x.byHost[strings.ToLower(host)] {
		if r.Allows(region) {
			sum += weight(r.Name)
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
