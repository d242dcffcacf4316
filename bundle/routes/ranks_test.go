package routes_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/bundle/routes"
)

// Guards against a request that is ranked before one of a more urgent workspace, or before one of a more
// urgent route of the same workspace, whatever priorities a table has.
func TestRanksFollowWorkspaceThenRoute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &routes.Table{Version: 1, Keyed: true, Services: []routes.Service{{Name: "s"}}}
		for n := range rapid.IntRange(1, 5).Draw(t, "routes") {
			table.Routes = append(table.Routes, routes.Route{
				Name: string(rune('a' + n)), Host: "h", Prefix: "/" + string(rune('a'+n)) + "/", Priority: rapid.IntRange(-2, 12).Draw(t, "route"),
			})
		}
		for range rapid.IntRange(1, 5).Draw(t, "workspaces") {
			table.Workspaces = append(table.Workspaces, routes.Workspace{HasPriority: rapid.Bool().Draw(t, "has"), Priority: rapid.IntRange(-2, 12).Draw(t, "workspace")})
		}
		x := routes.NewIndex(table)
		any := func(name string) (*routes.Workspace, *routes.Route) {
			return &table.Workspaces[rapid.IntRange(0, len(table.Workspaces)-1).Draw(t, name)], &table.Routes[rapid.IntRange(0, len(table.Routes)-1).Draw(t, name)]
		}
		w1, r1 := any("one")
		w2, r2 := any("other")
		first1, first2 := w1.Rank(r1), w2.Rank(r2)
		before := first1 < first2 || first1 == first2 && r1.Priority < r2.Priority
		a, b := x.Rank(w1, r1), x.Rank(w2, r2)
		if before && a > b || first1 == first2 && r1.Priority == r2.Priority && a != b {
			t.Fatalf("ranks %d and %d of (%d, %d) and (%d, %d)", a, b, first1, r1.Priority, first2, r2.Priority)
		}
		for _, w := range table.Workspaces {
			if w.HasPriority && (a < 0 || a >= routes.MaxRanks) {
				t.Fatalf("rank %d", a)
			}
		}
		if x.Rank(nil, r1) < 0 && len(table.Workspaces) > 0 && table.Workspaces[0].HasPriority {
			t.Fatal("a negative rank")
		}
	})
}
