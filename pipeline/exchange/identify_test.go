package exchange_test

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
)

// keyed has a rig tell its callers by keys, from the next version on.
func (r *rig) keyed(list ...routes.Workspace) {
	t := *r.table
	t.Version++
	t.Keyed, t.Workspaces = true, list
	r.table = &t
	view := *r.gateway.View()
	view.Index = routes.NewIndex(&t)
	r.gateway.SetView(&view)
}

func workspace(name string, keys ...string) routes.Workspace {
	w := routes.Workspace{Name: name}
	for _, key := range keys {
		w.Keys = append(w.Keys, routes.DigestKey(key))
	}
	return w
}

// as sends a request with a key and a claimed name.
func (r *rig) as(key, path string) reply {
	req := r.request(path, "")
	if key != "" {
		req.Header.Set("Key", key)
	}
	req.Header.Set("Workspace", "claimed")
	return do(req)
}

// Guards against targets that get a caller's key, or the name that a caller claims.
func TestTargetsGetTheNameOfTheWorkspaceAndNoKey(t *testing.T) {
	Convey("two workspaces", t, func() {
		x := newTarget(t, "t1", whole(200, "done"))
		r := newRig(t, "r", x)
		r.keyed(workspace("a", "key-a", "key-a2"), workspace("b", "key-b"))
		for key, name := range map[string]string{"key-a": "a", "key-a2": "a", "key-b": "b"} {
			So(r.as(key, "/safe/x").status, ShouldEqual, 200)
			got := x.requests()[len(x.requests())-1].header
			So(got.Get("Workspace"), ShouldEqual, name)
			So(got.Get("Key"), ShouldEqual, "")
		}
	})
	Convey("a caller without a key on an open route has no name", t, func() {
		x := newTarget(t, "t1", whole(200, "done"))
		r := newRig(t, "r", x)
		for i := range r.table.Routes {
			r.table.Routes[i].Open = true
		}
		r.keyed(workspace("a", "key-a"))
		So(r.as("", "/safe/x").status, ShouldEqual, 200)
		So(x.requests()[0].header.Get("Workspace"), ShouldEqual, "")
		So(r.as("key-a", "/safe/x").status, ShouldEqual, 200)
		So(x.requests()[1].header.Get("Workspace"), ShouldEqual, "a")
		So(r.as("unknown", "/safe/x").status, ShouldEqual, 401)
	})
	Convey("without workspaces all headers pass", t, func() {
		x := newTarget(t, "t1", whole(200, "done"))
		r := newRig(t, "r", x)
		So(r.as("any", "/safe/x").status, ShouldEqual, 200)
		So(x.requests()[0].header.Get("Key"), ShouldEqual, "any")
		So(x.requests()[0].header.Get("Workspace"), ShouldEqual, "claimed")
	})
}

// Guards against requests that run though no workspace holds their key.
func TestUnknownKeysAreRefused(t *testing.T) {
	Convey("missing, unknown, of a workspace without keys, and taken away", t, func() {
		x := newTarget(t, "t1", whole(200, "done"))
		r := newRig(t, "r", x)
		r.keyed(workspace("a", "key-a"), workspace("empty"))
		for _, key := range []string{"", "unknown", "empty", "KEY-A"} {
			got := r.as(key, "/safe/x")
			So(got.status, ShouldEqual, 401)
			So(got.header.Get("Www-Authenticate"), ShouldEqual, "Bearer")
		}
		So(r.as("key-a", "/safe/x").status, ShouldEqual, 200)
		r.keyed(workspace("a", "key-new"))
		So(r.as("key-a", "/safe/x").status, ShouldEqual, 401)
		So(r.as("key-new", "/safe/x").status, ShouldEqual, 200)
		So(sent(x), ShouldEqual, 2)
	})
	Convey("taken away while another attempt is due", t, func() {
		r := newRig(t, "r")
		change := func() { r.keyed(workspace("a", "key-new")) }
		x := newTarget(t, "t1", changing(change, notRun))
		y := newTarget(t, "t2", changing(change, notRun))
		r.list(x, y)
		r.keyed(workspace("a", "key-a"))
		So(r.as("key-a", "/safe/x").status, ShouldEqual, 401)
		So(sent(x, y), ShouldEqual, 1)
	})
}

// Guards against a key that goes on working where the caller's own region has not heard of
// its revocation, and against keys between instances.
func TestOtherRegionJudgesKeysByItsOwnConfiguration(t *testing.T) {
	far := func(t *testing.T) (a, b *rig, x *target) {
		x = newTarget(t, "far", whole(200, "far"))
		a, b = pair(t, nil, []*target{x})
		a.keyed(workspace("a", "key-a"))
		b.keyed(workspace("a", "key-a"))
		return a, b, x
	}
	Convey("a key that both know", t, func() {
		a, _, x := far(t)
		So(a.as("key-a", "/safe/x").status, ShouldEqual, 200)
		h := x.requests()[0].header
		So(h.Get("Workspace"), ShouldEqual, "a")
		So(h.Get("Key"), ShouldEqual, "")
	})
	Convey("a key that was taken away there", t, func() {
		a, b, x := far(t)
		b.keyed(workspace("a", "key-new"))
		So(a.as("key-a", "/safe/x").status, ShouldEqual, 401)
		So(sent(x), ShouldEqual, 0)
	})
	Convey("a key that was added here", t, func() {
		a, b, x := far(t)
		a.keyed(workspace("a", "key-a", "key-new"))
		// The region that is behind leaves it to others.
		So(a.as("key-new", "/safe/x").status, ShouldEqual, 503)
		b.keyed(workspace("a", "key-a", "key-new"))
		a.gateway.ForwardAfterRefusals()
		So(a.as("key-new", "/safe/x").status, ShouldEqual, 200)
		So(sent(x), ShouldEqual, 1)
	})
	Convey("what a caller claims of another instance's headers is nothing", t, func() {
		a, _, x := far(t)
		req := a.request("/safe/x", "")
		req.Header.Set("Gullhaven-Key", "00")
		So(do(req).status, ShouldEqual, 401)
		So(sent(x), ShouldEqual, 0)
	})
}

// Guards against a workspace's requests in a region that is not among its homes.
func TestHomesOfRouteAndWorkspaceBothBind(t *testing.T) {
	homed := func(homes ...string) routes.Workspace {
		w := workspace("a", "key-a")
		w.Homes = homes
		return w
	}
	Convey("the workspace's home is elsewhere", t, func() {
		x, y := newTarget(t, "near", whole(200, "near")), newTarget(t, "far", whole(200, "far"))
		a, b := pair(t, []*target{x}, []*target{y})
		a.keyed(homed("other"))
		b.keyed(homed("other"))
		So(a.as("key-a", "/safe/x").body, ShouldEqual, "far")
		So(a.as("key-a", "/home/x").body, ShouldEqual, "far")
		So(sent(x), ShouldEqual, 0)
	})
	Convey("no region is home of both", t, func() {
		x, y := newTarget(t, "near", whole(200, "near")), newTarget(t, "far", whole(200, "far"))
		a, b := pair(t, []*target{x}, []*target{y})
		a.keyed(homed("r"))
		b.keyed(homed("r"))
		got := a.as("key-a", "/home/x")
		So(got.status, ShouldEqual, http.StatusMisdirectedRequest)
		So(got.body, ShouldEqual, string(exchange.CodeNoHome)+"\n")
		So(sent(x, y), ShouldEqual, 0)
	})
}

// Guards against a route's rank where the workspace has one of its own.
func TestRankOfTheWorkspaceGoesFirst(t *testing.T) {
	Convey("one with a rank and one without", t, func() {
		x := newTarget(t, "t1", whole(200, "done"))
		r := newRig(t, "r", x)
		for i := range r.table.Routes {
			r.table.Routes[i].Priority = 4
		}
		first := workspace("first", "key-1")
		first.Ranked = true
		r.keyed(first, workspace("plain", "key-2"))
		r.as("key-1", "/safe/x")
		r.as("key-2", "/safe/x")
		So(x.requests()[0].header.Get("Rank"), ShouldEqual, "0")
		So(x.requests()[1].header.Get("Rank"), ShouldEqual, "4")
	})
}
