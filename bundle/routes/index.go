package routes

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Group is a part of a table's routes. It is immutable, so that successive versions of the
// table can share it.
type Group struct {
	routes []Route
	// gapAims maps each service to the shortest GapAim of its routes in the group.
	gapAims map[string]time.Duration
	// priorities are those of its routes, sorted.
	priorities []int
	// longestPrefix is the length of the longest prefix, in bytes.
	longestPrefix int
}

// NewGroup makes a group. The caller must not change the routes afterwards. Hosts that are not
// canonical become so in the group.
func NewGroup(list []Route) *Group {
	if slices.ContainsFunc(list, func(r Route) bool { return canonicalHost(r.Host) != r.Host }) {
		list = slices.Clone(list)
		for i := range list {
			list[i].Host = canonicalHost(list[i].Host)
		}
	}
	g := &Group{routes: list, gapAims: map[string]time.Duration{}}
	for i := range list {
		r := &list[i]
		g.longestPrefix = max(g.longestPrefix, len(r.Prefix))
		if at, known := slices.BinarySearch(g.priorities, r.Priority); !known {
			g.priorities = slices.Insert(g.priorities, at, r.Priority)
		}
		if r.GapAim <= 0 {
			continue
		}
		for _, s := range r.Split {
			setMin(g.gapAims, s.Service, r.GapAim)
		}
	}
	return g
}

func setMin(aims map[string]time.Duration, service string, aim time.Duration) {
	if known, ok := aims[service]; !ok || aim < known {
		aims[service] = aim
	}
}

// routeKey identifies a route in a table.
type routeKey struct{ host, prefix string }

// shardCount is the number of maps that hold the routes of an Index. A version that changes
// a few routes shares all but a few of the maps with the previous version.
const shardCount = 256

type shard map[routeKey]*Route

func shardOf(prefix string) uint64 { return xxhash.Sum64String(prefix) % shardCount }

// Index looks up routes, services and workspaces of one table. It is read-only.
type Index struct {
	Table         *Table
	groups        []*Group
	byKey         [shardCount]shard
	services      map[string]*Service
	gapAims       map[string]time.Duration
	longestPrefix int
	routeCount    int
	// workspaces is nil if callers need no key.
	workspaces *workspaces
	ranks      ranks
}

// NewIndex makes the index of a table. The caller must not change the table afterwards.
func NewIndex(t *Table) *Index { return new(Index).With(t, []*Group{NewGroup(t.Routes)}) }

// With returns the index of the next version of a table, whose routes are those of groups;
// x stays as it is. The cost depends on the routes of added and removed groups, not on the
// routes of the groups that both versions share.
func (x *Index) With(t *Table, groups []*Group) *Index {
	next := &Index{
		Table: t, groups: groups, byKey: x.byKey,
		services: map[string]*Service{}, gapAims: map[string]time.Duration{},
	}
	if t.Keyed {
		next.workspaces = indexWorkspaces(t.Workspaces, x.workspaces)
		next.ranks = newRanks(t.Workspaces, groups)
	}
	for i := range t.Services {
		next.services[t.Services[i].Name] = &t.Services[i]
	}
	for _, g := range groups {
		next.routeCount += len(g.routes)
		next.longestPrefix = max(next.longestPrefix, g.longestPrefix)
		for service, aim := range g.gapAims {
			setMin(next.gapAims, service, aim)
		}
	}
	next.replaceGroups(x.groups, groups)
	return next
}

// replaceGroups removes the routes of groups that only oldGroups has and then adds those
// that only newGroups has. The order matters: a route may have moved to another group.
func (x *Index) replaceGroups(oldGroups, newGroups []*Group) {
	var cloned [shardCount]bool
	writable := func(prefix string) shard {
		k := shardOf(prefix)
		if !cloned[k] {
			cloned[k], x.byKey[k] = true, maps.Clone(x.byKey[k])
		}
		if x.byKey[k] == nil {
			x.byKey[k] = shard{}
		}
		return x.byKey[k]
	}
	for _, g := range difference(oldGroups, newGroups) {
		for i := range g.routes {
			r := &g.routes[i]
			delete(writable(r.Prefix), routeKey{r.Host, r.Prefix})
		}
	}
	for _, g := range difference(newGroups, oldGroups) {
		for i := range g.routes {
			r := &g.routes[i]
			writable(r.Prefix)[routeKey{r.Host, r.Prefix}] = r
		}
	}
}

// difference returns the groups of list that are not in others.
func difference(list, others []*Group) []*Group {
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

// Len returns the number of routes.
func (x *Index) Len() int { return x.routeCount }
