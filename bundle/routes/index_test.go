package routes_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/bundle/routes"
)

// Guards against an index that is updated from its predecessor and finds other routes than
// one built from scratch, and against an update that changes the predecessor. Each version
// adds, removes or regroups routes.
func TestIndexOfAChangeIsThatOfTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := new(routes.Index)
		known := map[string]*routes.Group{}
		var before, beforeWhole *routes.Index
		for version := range rapid.IntRange(1, 6).Draw(t, "versions") {
			var list []routes.Route
			var groups []*routes.Group
			for _, prefix := range rapid.SliceOfNDistinct(rapid.IntRange(0, 30), 0, 20, rapid.ID).Draw(t, "prefixes") {
				service := rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "service")
				aim := time.Duration(rapid.IntRange(0, 3).Draw(t, "aim"))
				r := routes.Route{
					Name: fmt.Sprint(prefix, service, aim), Host: fmt.Sprint("h", prefix%2), Prefix: fmt.Sprintf("/%d/%d/", prefix%3, prefix),
					GapAim: aim, Split: []routes.Share{{Service: service, Weight: 1}},
				}
				list = append(list, r)
				if known[r.Name] == nil {
					known[r.Name] = routes.NewGroup([]routes.Route{r})
				}
				groups = append(groups, known[r.Name])
			}
			table := &routes.Table{Version: uint64(version), Services: []routes.Service{{Name: "s1"}, {Name: "s2"}}}
			x = x.With(table, groups)
			whole := routes.NewIndex(&routes.Table{Version: uint64(version), Routes: list, Services: table.Services})
			mustFindAlike(t, x, whole)
			if before != nil {
				mustFindAlike(t, before, beforeWhole)
			}
			before, beforeWhole = x, whole
		}
	})
}

func mustFindAlike(t *rapid.T, x, whole *routes.Index) {
	if x.Len() != whole.Len() {
		t.Fatalf("%d routes, want %d", x.Len(), whole.Len())
	}
	for prefix := range 31 {
		for _, host := range []string{"h0", "h1"} {
			path := fmt.Sprintf("/%d/%d/more/x", prefix%3, prefix)
			got, want := x.Match(host, path), whole.Match(host, path)
			if (got == nil) != (want == nil) || got != nil && got.Name != want.Name {
				t.Fatalf("%s%s: %v, want %v", host, path, got, want)
			}
		}
	}
	for _, service := range []string{"s1", "s2"} {
		if got, want := x.GapAim(service), whole.GapAim(service); got != want {
			t.Fatalf("%s: %v, want %v", service, got, want)
		}
		if x.Service(service) == nil {
			t.Fatalf("%s is unknown", service)
		}
	}
	weight := func(string) int { return 1 }
	if got, want := x.RegionWeight("h1", "r", weight), whole.RegionWeight("h1", "r", weight); got != want {
		t.Fatalf("weight %d, want %d", got, want)
	}
}

// Guards against lookups whose cost grows with a path that is long or full of slashes: no
// prefix beyond the longest one of the table is tried.
func TestPathsBeyondTheLongestPrefixAreNotTried(t *testing.T) {
	x := routes.NewIndex(table())
	long := "/a/b/"
	for range 10_000 {
		long += "x/"
	}
	if got := x.Match("h.example", long); got == nil || got.Name != "long" {
		t.Fatalf("%v", got)
	}
	if got := x.Match("h.example", ""); got != nil {
		t.Fatalf("%v", got)
	}
}
