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

// counted is a limit of so many units, none of which come again.
type counted struct {
	mu         sync.Mutex
	left, back float64
}

func (c *counted) Consume(_ context.Context, _ *routes.Workspace, units float64) exchange.LimitDecision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if units > c.left {
		return exchange.LimitDecision{RetryAfter: 1500 * time.Millisecond}
	}
	c.left -= units
	return exchange.LimitDecision{Allowed: true}
}

func (c *counted) Refund(_ *routes.Workspace, units float64, _ exchange.LimitDecision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left += units
	c.back += units
}

// limited is a rig whose only workspace may ask for so many requests.
func limited(t *testing.T, units float64, targets ...*target) (*rig, *counted) {
	r := newRig(t, "r", targets...)
	c := &counted{left: units}
	r.options.Limits = c
	r.renew()
	w := workspace("a", "key-a")
	w.Limit = routes.UseLimit{Rate: 1, Burst: 1}
	r.keyed(w, workspace("free", "key-free"))
	return r, c
}

// Guards against requests beyond a workspace's limit at targets, and against refusals of
// workspaces that have none.
func TestWorkspaceOverItsLimitIsTurnedAway(t *testing.T) {
	Convey("two requests are allowed", t, func() {
		x := newTarget(t, "t1", whole(200, "done"))
		r, _ := limited(t, 2, x)
		So(r.as("key-a", "/safe/x").status, ShouldEqual, 200)
		So(r.as("key-a", "/safe/x").status, ShouldEqual, 200)
		got := r.as("key-a", "/safe/x")
		So(got.status, ShouldEqual, http.StatusTooManyRequests)
		So(got.body, ShouldEqual, string(exchange.CodeOverLimit)+"\n")
		So(got.header.Get("Retry-After"), ShouldEqual, "1.50")
		So(r.as("key-free", "/safe/x").status, ShouldEqual, 200)
		So(sent(x), ShouldEqual, 3)
	})
}

// Guards against units lost for requests that have not run, and given back for those that
// have, or may have.
func TestWhatNeverRanIsGivenBack(t *testing.T) {
	for name, row := range map[string]struct {
		script script
		back   float64
	}{
		"answered":            {whole(200, "done"), 0},
		"turned away":         {notRun, 1},
		"lost":                {closes, 0},
		"failed at a target":  {whole(500, "failed"), 0},
		"an answer of others": {raw("HTTP/1.1 200 X\r\nId: other\r\nSigned: yes\r\nContent-Length: 1\r\n\r\nx", true), 0},
	} {
		Convey(name, t, func() {
			r, c := limited(t, 5, newTarget(t, "t1", row.script))
			r.as("key-a", "/unsafe/x")
			So(c.back, ShouldEqual, row.back)
		})
	}
	Convey("no target", t, func() {
		r, c := limited(t, 5)
		So(r.as("key-a", "/safe/x").status, ShouldEqual, 503)
		So(c.back, ShouldEqual, 1)
	})
}

// Guards against a request that is counted in two regions.
func TestRequestsPassedOnAreCountedOnce(t *testing.T) {
	Convey("served by the other region", t, func() {
		a, b := pair(t, nil, []*target{newTarget(t, "far", whole(200, "far"))})
		here, there := &counted{left: 9}, &counted{left: 9}
		w := workspace("a", "key-a")
		w.Limit = routes.UseLimit{Rate: 1, Burst: 1}
		view := a.gateway.View()
		for r, c := range map[*rig]*counted{a: here, b: there} {
			r.options.Limits = c
			r.renew()
			r.keyed(w)
		}
		next := *view
		next.Index = a.gateway.View().Index
		a.gateway.SetView(&next)
		b.peers.Config.Handler = b.gateway.ForwardedHandler()
		So(a.as("key-a", "/safe/x").body, ShouldEqual, "far")
		So(here.left, ShouldEqual, 8)
		So(there.left, ShouldEqual, 9)
	})
}
