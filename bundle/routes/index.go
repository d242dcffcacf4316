package routes

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Group is a part of a table's routes. It is never changed, so that the next version of the
// table can have it, too.
type Group struct {
	routes []Route
	// gapAims are the shortest of each service's routes.
	gapAims map[string]time.Duration
	// longest is the length of the longest prefix.
	longest int
}

// NewGroup makes a group. The routes must not change afterwards.
func NewGroup(list []Route) *Group {
	g := &Group{routes: list, gapAims: map[string]time.Duration{}}
	for i := range list {
		r := &list[i]
		g.longest = max(g.longest, len(r.Prefix))
		if r.GapAim <= 0 {
			continue
		}
		for _, s := range r.Split {
			keepShortest(g.gapAims, s.Service, r.GapAim)
		}
	}
	return g
}

func keepShortest(aims map[string]time.Duration, service string, aim time.Duration) {
	if known, ok := aims[service]; !ok || aim < known {
		aims[service] = aim
	}
}

// place is where a route stands.
type place struct{ host, prefix string }

// shards is how many parts the routes of an Index are kept in: a version that changes a few
// routes shares all but a few parts with the one before.
const shards = 256

type shard map[place]*Route

func shardOf(prefix string) uint64 { return xxhash.Sum64String(prefix) % shards }

// Index finds routes and services of one table. It is read-only.
type Index struct {
	Table    *Table
	groups   []*Group
	byPlace  [shards]shard
	services map[string]*Service
	gapAims  map[string]time.Duration
	longest  int
	routes   int
	// workspaces is nil where callers need no key.
	workspaces *workspaces
}

// NewIndex prepares a table for lookups. The table must not change afterwards.
func NewIndex(t *Table) *Index { return new(Index).With(t, []*Group{NewGroup(t.Routes)}) }

// With prepares the next version of a table, whose routes are those of the groups. It costs
// by the groups that are new or gone and not by the routes of the others.
func (x *Index) With(t *Table, groups []*Group) *Index {
	next := &Index{
		Table: t, groups: groups, byPlace: x.byPlace,
		services: map[string]*Service{}, gapAims: map[string]time.Duration{},
	}
	if t.Keyed {
		next.workspaces = indexWorkspaces(t.Workspaces, x.workspaces)
	}
	for i := range t.Services {
		next.services[t.Services[i].Name] = &t.Services[i]
	}
	for _, g := range groups {
		next.routes += len(g.routes)
		next.longest = max(next.longest, g.longest)
		for service, aim := range g.gapAims {
			keepShortest(next.gapAims, service, aim)
		}
	}
	next.exchange(x.groups, groups)
	return next
}

// exchange takes out the routes of groups that are gone and puts in those of new ones, in
// this order: a route may stand in another group than before.
func (x *Index) exchange(before, now []*Group) {
	var own [shards]bool
	write := func(prefix string) shard {
		k := shardOf(prefix)
		if !own[k] {
			own[k], x.byPlace[k] = true, maps.Clone(x.byPlace[k])
		}
		if x.byPlace[k] == nil {
			x.byPlace[k] = shard{}
		}
		return x.byPlace[k]
	}
	for _, g := range without(before, now) {
		for i := range g.routes {
			r := &g.routes[i]
			delete(write(r.Prefix), place{r.Host, r.Prefix})
		}
	}
	for _, g := range without(now, before) {
		for i := range g.routes {
			r := &g.routes[i]
			write(r.Prefix)[place{r.Host, r.Prefix}] = r
		}
	}
}

// without are the groups of list that others does not have.
func without(list, others []*Group) []*Group {
	known := make(map[*Group]bool, len(others))
	for _, g := range others {
		known[g] = true
	}
	var out []*Group
	for _, g := range list {
		if !known[g] {
			out = append(out, g)
		}
	}
	return out
}

// Len is the number of routes.
func (x *Index) Len() int { return x.routes }
