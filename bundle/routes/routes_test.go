package routes_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/bundle/routes"
)

func table() *routes.Table {
	route := func(name, host, prefix string, split ...routes.Share) routes.Route {
		return routes.Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Attempts: 1, Split: split}
	}
	return &routes.Table{
		Version:  1,
		Services: []routes.Service{{Name: "s1"}, {Name: "s2"}},
		Routes: []routes.Route{
			route("short", "h.example", "/a/", routes.Share{Service: "s1", Weight: 1}),
			route("long", "h.example", "/a/b/", routes.Share{Service: "s1", Weight: 90}, routes.Share{Service: "s2", Weight: 10}),
			route("other", "o.example", "/a/", routes.Share{Service: "s2", Weight: 1}),
		},
	}
}

// Guards against requests that reach the route of another host or of a shorter prefix.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	x := routes.NewIndex(table())
	for _, c := range []struct{ host, path, want string }{
		{"h.example", "/a/x", "short"},
		{"h.example", "/a/b/x", "long"},
		{"h.example", "/a/b/", "long"},
		{"h.example", "/a/bx", "short"},
		{"H.Example", "/a/x", "short"},
		{"h.example:8144", "/a/x", "short"},
		{"o.example", "/a/b/x", "other"},
		{"h.example", "/a", ""},
		{"h.example", "/b/", ""},
		{"x.example", "/a/", ""},
	} {
		got := ""
		if r := x.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Guards against invalid tables that are accepted, or refused without the broken rule.
func TestInvalidTablesAreRefusedWithTheRule(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*routes.Table)
		says   string
	}{
		{"unknown service", func(t *routes.Table) { t.Routes[0].Split[0].Service = "none" }, `unknown service "none"`},
		{"same place", func(t *routes.Table) { t.Routes[1].Prefix = "/a/" }, `are those of route "short" too`},
		{"no weight", func(t *routes.Table) { t.Routes[0].Split[0].Weight = 0 }, "weights that add up to 0"},
		{"negative weight", func(t *routes.Table) { t.Routes[1].Split[1].Weight = -1 }, "weight -1"},
		{"no timeout", func(t *routes.Table) { t.Routes[2].Timeout = 0 }, "timeout of 0s"},
		{"no service", func(t *routes.Table) { t.Routes[2].Split = nil }, "without a service"},
		{"open prefix", func(t *routes.Table) { t.Routes[2].Prefix = "/a" }, "without a slash"},
		{"no host", func(t *routes.Table) { t.Routes[2].Host = "" }, "without a host"},
		{"service twice", func(t *routes.Table) { t.Services[1].Name = "s1" }, "stands twice"},
	} {
		tab := table()
		c.change(tab)
		err := tab.Check()
		if err == nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	if err := table().Check(); err != nil {
		t.Error(err)
	}
}

func TestPickFollowsWeightsAndNeverAServiceOfWeightZero(t *testing.T) {
	Convey("90 to 10", t, func() {
		r := &table().Routes[1]
		count := map[string]int{}
		for u := range uint64(1000) {
			count[r.Pick(u)]++
		}
		So(count, ShouldResemble, map[string]int{"s1": 900, "s2": 100})
	})
	rapid.Check(t, func(t *rapid.T) {
		var split []routes.Share
		total := 0
		for k := range rapid.IntRange(1, 5).Draw(t, "services") {
			w := rapid.IntRange(0, 3).Draw(t, "weight")
			total += w
			split = append(split, routes.Share{Service: string(rune('a' + k)), Weight: w})
		}
		if total == 0 {
			return
		}
		r := routes.Route{Split: split}
		got := r.Pick(rapid.Uint64().Draw(t, "u"))
		for _, s := range split {
			if s.Service == got && s.Weight == 0 {
				t.Fatalf("picked %q of weight 0", got)
			}
		}
	})
}

func TestRepeatableAndRegions(t *testing.T) {
	for _, c := range []struct {
		r    routes.Route
		want bool
	}{
		{routes.Route{Kind: routes.Unsafe}, false},
		{routes.Route{Kind: routes.Unsafe, Resumable: true}, false},
		{routes.Route{Kind: routes.Safe}, true},
		{routes.Route{Kind: routes.Stream}, false},
		{routes.Route{Kind: routes.Stream, Resumable: true}, true},
	} {
		if got := c.r.Repeatable(); got != c.want {
			t.Errorf("%+v: %v", c.r, got)
		}
	}
	r := routes.Route{HomeRegions: []string{"x", "y"}}
	if !r.Allows("y") || r.Allows("z") || !(&routes.Route{}).Allows("z") {
		t.Error("home regions")
	}
	tab := table()
	tab.Routes[0].HomeRegions = []string{"x"}
	tab.Routes[1].HomeRegions = []string{"y"}
	x := routes.NewIndex(tab)
	uses := map[string]int{"short": 7, "long": 1, "other": 3}
	weight := func(route string) int { return uses[route] }
	for region, want := range map[string]int{"x": 7, "y": 1, "z": 0} {
		if got := x.HomeRegionWeight("H.example", region, weight); got != want {
			t.Errorf("region %s weighs %d, want %d", region, got, want)
		}
	}
}

func TestGapAimIsTheShortestOfAServicesRoutes(t *testing.T) {
	list := table()
	list.Routes[0].GapAim, list.Routes[1].GapAim = 600*time.Millisecond, 300*time.Millisecond
	x := routes.NewIndex(list)
	for service, want := range map[string]time.Duration{"s1": 300 * time.Millisecond, "s2": 300 * time.Millisecond, "none": 0} {
		if got := x.GapAim(service); got != want {
			t.Errorf("%s: %v, want %v", service, got, want)
		}
	}
}

// Guards against requests and directory calls that miss their routes, and so their home regions,
// because of the way a host is written, in the request or in the configuration.
func TestHostsAreMatchedHoweverTheyAreWritten(t *testing.T) {
	for _, configured := range []string{"h.example", "H.Example", "h.example.", "[::1]", "::1"} {
		written := []string{"h.example", "H.EXAMPLE", "h.example:8080", "h.example.", "H.example.:80", "h.example:"}
		if strings.Contains(configured, ":") {
			written = []string{"[::1]", "[::1]:80"}
		}
		x := routes.NewIndex(&routes.Table{Routes: []routes.Route{{Name: "r", Host: configured, Prefix: "/a/", HomeRegions: []string{"home"}}}})
		for _, host := range written {
			if x.Match(host, "/a/b") == nil {
				t.Errorf("a request for %q misses the route of %q", host, configured)
			}
			weight := func(string) int { return 1 }
			if got := x.HomeRegionWeight(host, "home", weight); got != 1 {
				t.Errorf("%q weighs %d in the home region of %q", host, got, configured)
			}
			if got := x.HomeRegionWeight(host, "other", weight); got != 0 {
				t.Errorf("%q weighs %d outside the home region of %q", host, got, configured)
			}
		}
	}
	for _, host := range []string{"", ":", ".", "h.example.com", "xh.example", "[", "]:"} {
		x := routes.NewIndex(&routes.Table{Routes: []routes.Route{{Name: "r", Host: "h.example", Prefix: "/a/"}}})
		if x.Match(host, "/a/b") != nil {
			t.Errorf("a request for %q finds a route", host)
		}
	}
}

// Guards against two routes for one host, written in two ways, of which one is never used.
func TestRoutesOfOneHostInTwoSpellingsAreRefused(t *testing.T) {
	table := &routes.Table{Version: 1, Services: []routes.Service{{Name: "s"}}}
	for _, host := range []string{"h.example", "H.example."} {
		table.Routes = append(table.Routes, routes.Route{
			Name: host, Host: host, Prefix: "/a/", Timeout: time.Second, Split: []routes.Share{{Service: "s", Weight: 1}},
		})
	}
	if err := table.Check(); err == nil {
		t.Error("accepted")
	}
}

// Guards against an error that names another bad limit each time the same table is sent.
func TestFirstBadLimitOfAWorkspaceIsNamed(t *testing.T) {
	table := &routes.Table{Version: 1, Workspaces: []routes.Workspace{{Name: "w", Limit: routes.RateLimit{Rate: -1, Burst: -2, PlainTokens: -3}}}}
	for range 50 {
		if err := table.Check(); err == nil || !strings.Contains(err.Error(), "rate of -1") {
			t.Fatalf("%v", err)
		}
	}
}
