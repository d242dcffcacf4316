package exchange_test

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
)

// setWorkspaces makes the rig identify callers by the keys of these workspaces, in a new version
// of its configuration.
func (r *rig) setWorkspaces(list ...routes.Workspace) {
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

// callWithKey sends a request with a key and a claimed workspace name.
func (r *rig) callWithKey(key, path string) reply {
	req := r.request(path, "")
	if key != "" {
		req.Header.Set("Key", key)
	}
	req.Header.Set("Workspace", "claimed")
	return do(req)
}

// Guards against sending a target a caller's key, or the workspace name that a caller claims.
func TestTargetsGetTheNameOfTheWorkspaceAndNoKey(t *testing.T) {
	Convey("two workspaces", t, func() {
		x := newTarget(t, "t1", respond(200, "done"))
		r := newRig(t, "r", x)
		r.setWorkspaces(workspace("a", "key-a", "key-a2"), workspace("b", "key-b"))
		for key, name := range map[string]string{"key-a": "a", "key-a2": "a", "key-b": "b"} {
			So(r.callWithKey(key, "/safe/x").status, ShouldEqual, 200)
			got := x.requests()[len(x.requests())-1].header
			So(got.Get("Workspace"), ShouldEqual, name)
			So(got.Get("Key"), ShouldEqual, "")
		}
	})
	Convey("a caller without a key on an open route has no name", t, func() {
		x := newTarget(t, "t1", respond(200, "done"))
		r := newRig(t, "r", x)
		for i := range r.table.Routes {
			r.table.Routes[i].AllowAnonymous = true
		}
		r.setWorkspaces(workspace("a", "key-a"))
		So(r.callWithKey("", "/safe/x").status, ShouldEqual, 200)
		So(x.requests()[0].header.Get("Workspace"), ShouldEqual, "")
		So(r.callWithKey("key-a", "/safe/x").status, ShouldEqual, 200)
		So(x.requests()[1].header.Get("Workspace"), ShouldEqual, "a")
		So(r.callWithKey("unknown", "/safe/x").status, ShouldEqual, 401)
	})
	Convey("without workspaces all headers pass", t, func() {
		x := newTarget(t, "t1", respond(200, "done"))
		r := newRig(t, "r", x)
		So(r.callWithKey("any", "/safe/x").status, ShouldEqual, 200)
		So(x.requests()[0].header.Get("Key"), ShouldEqual, "any")
		So(x.requests()[0].header.Get("Workspace"), ShouldEqual, "claimed")
	})
}

// Guards against running requests whose key no workspace holds.
func TestUnknownKeysAreRefused(t *testing.T) {
	Convey("missing, unknown, of a workspace without keys, and revoked", t, func() {
		x := newTarget(t, "t1", respond(200, "done"))
		r := newRig(t, "r", x)
		r.setWorkspaces(workspace("a", "key-a"), workspace("empty"))
		for _, key := range []string{"", "unknown", "empty", "KEY-A"} {
			got := r.callWithKey(key, "/safe/x")
			So(got.status, ShouldEqual, 401)
			So(got.header.Get("Www-Authenticate"), ShouldEqual, "Bearer")
		}
		So(r.callWithKey("key-a", "/safe/x").status, ShouldEqual, 200)
		r.setWorkspaces(workspace("a", "key-new"))
		So(r.callWithKey("key-a", "/safe/x").status, ShouldEqual, 401)
		So(r.callWithKey("key-new", "/safe/x").status, ShouldEqual, 200)
		So(requestCount(x), ShouldEqual, 2)
	})
	Convey("revoked before another attempt", t, func() {
		r := newRig(t, "r")
		change := func() { r.setWorkspaces(workspace("a", "key-new")) }
		x := newTarget(t, "t1", afterChange(change, notRun))
		y := newTarget(t, "t2", afterChange(change, notRun))
		r.setTargets(x, y)
		r.setWorkspaces(workspace("a", "key-a"))
		So(r.callWithKey("key-a", "/safe/x").status, ShouldEqual, 401)
		So(requestCount(x, y), ShouldEqual, 1)
	})
}

// Guards against a key that still works because the caller's own region has not yet received its
// revocation, and against sending keys between instances.
func TestOtherRegionJudgesKeysByItsOwnConfiguration(t *testing.T) {
	far := func(t *testing.T) (a, b *rig, x *target) {
		x = newTarget(t, "far", respond(200, "far"))
		a, b = newRegionPair(t, nil, []*target{x})
		a.setWorkspaces(workspace("a", "key-a"))
		b.setWorkspaces(workspace("a", "key-a"))
		return a, b, x
	}
	Convey("a key that both know", t, func() {
		a, _, x := far(t)
		So(a.callWithKey("key-a", "/safe/x").status, ShouldEqual, 200)
		h := x.requests()[0].header
		So(h.Get("Workspace"), ShouldEqual, "a")
		So(h.Get("Key"), ShouldEqual, "")
	})
	Convey("a key that was revoked there", t, func() {
		a, b, x := far(t)
		b.setWorkspaces(workspace("a", "key-new"))
		So(a.callWithKey("key-a", "/safe/x").status, ShouldEqual, 401)
		So(requestCount(x), ShouldEqual, 0)
	})
	Convey("a key that was added here", t, func() {
		a, b, x := far(t)
		a.setWorkspaces(workspace("a", "key-a", "key-new"))
		// The other region has an older configuration, so it must not decide.
		So(a.callWithKey("key-new", "/safe/x").status, ShouldEqual, 503)
		b.setWorkspaces(workspace("a", "key-a", "key-new"))
		a.gateway.ForwardAfterRefusals()
		So(a.callWithKey("key-new", "/safe/x").status, ShouldEqual, 200)
		So(requestCount(x), ShouldEqual, 1)
	})
	Convey("headers between instances are ignored in a caller's request", t, func() {
		a, _, x := far(t)
		req := a.request("/safe/x", "")
		req.Header.Set("Gullhaven-Key", "00")
		So(do(req).status, ShouldEqual, 401)
		So(requestCount(x), ShouldEqual, 0)
	})
}

// Guards against serving a workspace's requests in a region that is not one of its home regions.
func TestHomeRegionsOfRouteAndWorkspaceBothApply(t *testing.T) {
	homed := func(homes ...string) routes.Workspace {
		w := workspace("a", "key-a")
		w.Regions = homes
		return w
	}
	Convey("the workspace's home region is another one", t, func() {
		x, y := newTarget(t, "near", respond(200, "near")), newTarget(t, "far", respond(200, "far"))
		a, b := newRegionPair(t, []*target{x}, []*target{y})
		a.setWorkspaces(homed("other"))
		b.setWorkspaces(homed("other"))
		So(a.callWithKey("key-a", "/safe/x").body, ShouldEqual, "far")
		So(a.callWithKey("key-a", "/home/x").body, ShouldEqual, "far")
		So(requestCount(x), ShouldEqual, 0)
	})
	Convey("route and workspace have no home region in common", t, func() {
		x, y := newTarget(t, "near", respond(200, "near")), newTarget(t, "far", respond(200, "far"))
		a, b := newRegionPair(t, []*target{x}, []*target{y})
		a.setWorkspaces(homed("r"))
		b.setWorkspaces(homed("r"))
		got := a.callWithKey("key-a", "/home/x")
		So(got.status, ShouldEqual, http.StatusMisdirectedRequest)
		So(got.body, ShouldEqual, string(exchange.CodeNoHome)+"\n")
		So(requestCount(x, y), ShouldEqual, 0)
	})
}

// Guards against using a route's rank for a workspace that has its own.
func TestWorkspaceRankOverridesRouteRank(t *testing.T) {
	Convey("one with a rank and one without", t, func() {
		x := newTarget(t, "t1", respond(200, "done"))
		r := newRig(t, "r", x)
		for i := range r.table.Routes {
			r.table.Routes[i].Priority = 4
		}
		first := workspace("first", "key-1")
		first.HasPriority = true
		r.setWorkspaces(first, workspace("plain", "key-2"))
		r.callWithKey("key-1", "/safe/x")
		r.callWithKey("key-2", "/safe/x")
		So(x.requests()[0].header.Get("Rank"), ShouldEqual, "0")
		So(x.requests()[1].header.Get("Rank"), ShouldEqual, "4")
	})
}
