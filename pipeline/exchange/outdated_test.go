package exchange_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against callers that are turned away for good while only this instance lacks the configuration that
// allows their requests.
func TestRequestsAreNotWrongByAnOutdatedConfiguration(t *testing.T) {
	for name, c := range map[string]struct {
		current int
		send    func(r *rig) reply
	}{
		"unknown route": {http.StatusNotFound, func(r *rig) reply { return r.callWithKey("key", "/none/x") }},
		"unknown key":   {http.StatusUnauthorized, func(r *rig) reply { return r.callWithKey("other", "/safe/x") }},
		"long body": {http.StatusRequestEntityTooLarge, func(r *rig) reply {
			req := r.request("/unsafe/x", strings.Repeat("b", 11))
			req.Header.Set("Key", "key")
			return do(req)
		}},
	} {
		Convey("a request with an "+name, t, func() {
			r := newRig(t, "r", newTarget(t, "t1", respond(200, "done")))
			r.table.Limits.MaxBodyBytes = 10
			r.setWorkspaces(workspace("w", "key"))
			outdatedAt := func(at time.Time) {
				v := *r.gateway.View()
				v.OutdatedAt = at
				r.gateway.SetView(&v)
			}
			for _, at := range []time.Time{{}, time.Now().Add(time.Hour)} {
				outdatedAt(at)
				So(c.send(r).status, ShouldEqual, c.current)
			}
			outdatedAt(time.Now())
			got := c.send(r)
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			So(got.header.Get("Retry-After"), ShouldNotEqual, "")
			So(r.callWithKey("key", "/safe/x").status, ShouldEqual, http.StatusOK)
		})
	}
}
