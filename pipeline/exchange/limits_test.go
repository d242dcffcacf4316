package exchange_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
)

// fakeLimits allows a fixed number of units, which are not replenished.
type fakeLimits struct {
	mu                  sync.Mutex
	remaining, refunded float64
}

func (c *fakeLimits) Consume(_ context.Context, _ *routes.Workspace, units float64) exchange.LimitDecision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if units > c.remaining {
		return exchange.LimitDecision{RetryAfter: 1500 * time.Millisecond}
	}
	c.remaining -= units
	return exchange.LimitDecision{Allowed: true}
}

func (c *fakeLimits) Refund(_ *routes.Workspace, units float64, _ exchange.LimitDecision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remaining += units
	c.refunded += units
}

// newLimitedRig returns a rig with workspace a, which has a limit of so many units, and workspace
// free, which has none.
func newLimitedRig(t *testing.T, units float64, targets ...*target) (*rig, *fakeLimits) {
	r := newRig(t, "r", targets...)
	c := &fakeLimits{remaining: units}
	r.options.Limits = c
	r.rebuild()
	w := workspace("a", "key-a")
	w.Limit = routes.RateLimit{Rate: 1, Burst: 1}
	r.setWorkspaces(w, workspace("free", "key-free"))
	return r, c
}

// Guards against sending requests that exceed a workspace's limit, and against refusing workspaces
// without a limit.
func TestWorkspaceOverItsLimitIsRefused(t *testing.T) {
	Convey("two requests are allowed", t, func() {
		x := newTarget(t, "t1", respond(200, "done"))
		r, _ := newLimitedRig(t, 2, x)
		So(r.callWithKey("key-a", "/safe/x").status, ShouldEqual, 200)
		So(r.callWithKey("key-a", "/safe/x").status, ShouldEqual, 200)
		got := r.callWithKey("key-a", "/safe/x")
		So(got.status, ShouldEqual, http.StatusTooManyRequests)
		So(got.body, ShouldEqual, string(exchange.CodeOverLimit)+"\n")
		So(got.header.Get("Retry-After"), ShouldEqual, "1.50")
		So(r.callWithKey("key-free", "/safe/x").status, ShouldEqual, 200)
		So(requestCount(x), ShouldEqual, 3)
	})
}

// Guards against losing the units of requests that have not run, and against refunding the units of
// requests that have run or may have run.
func TestUnitsOfRequestsThatNeverRanAreRefunded(t *testing.T) {
	for name, row := range map[string]struct {
		script script
		back   float64
	}{
		"answered":           {respond(200, "done"), 0},
		"rejected":           {notRun, 1},
		"lost":               {closes, 0},
		"failed at a target": {respond(500, "failed"), 0},
		"another's answer":   {respondRaw("HTTP/1.1 200 X\r\nId: other\r\nSigned: yes\r\nContent-Length: 1\r\n\r\nx", true), 0},
	} {
		Convey(name, t, func() {
			r, c := newLimitedRig(t, 5, newTarget(t, "t1", row.script))
			r.callWithKey("key-a", "/unsafe/x")
			So(c.refunded, ShouldEqual, row.back)
		})
	}
	Convey("no target", t, func() {
		r, c := newLimitedRig(t, 5)
		So(r.callWithKey("key-a", "/safe/x").status, ShouldEqual, 503)
		So(c.refunded, ShouldEqual, 1)
	})
}

// Guards against counting a forwarded request against the limit in both regions.
func TestForwardedRequestsAreCountedOnce(t *testing.T) {
	Convey("served by the other region", t, func() {
		a, b := newRegionPair(t, nil, []*target{newTarget(t, "far", respond(200, "far"))})
		here, there := &fakeLimits{remaining: 9}, &fakeLimits{remaining: 9}
		w := workspace("a", "key-a")
		w.Limit = routes.RateLimit{Rate: 1, Burst: 1}
		view := a.gateway.View()
		for r, c := range map[*rig]*fakeLimits{a: here, b: there} {
			r.options.Limits = c
			r.rebuild()
			r.setWorkspaces(w)
		}
		next := *view
		next.Index = a.gateway.View().Index
		a.gateway.SetView(&next)
		b.peers.Config.Handler = b.gateway.ForwardedHandler()
		So(a.callWithKey("key-a", "/safe/x").body, ShouldEqual, "far")
		So(here.remaining, ShouldEqual, 8)
		So(there.remaining, ShouldEqual, 9)
	})
}
