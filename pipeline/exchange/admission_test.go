package exchange_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/route/pick"
)

// fakeAdmission gives each request the same answer, and keeps what it was asked and told.
type fakeAdmission struct {
	answer exchange.AdmissionDecision
	asked  []exchange.AdmissionRequest
	ends   []pick.Result
}

func (a *fakeAdmission) Decide(_ time.Time, _ *pick.Choice, r exchange.AdmissionRequest) (exchange.AdmissionDecision, exchange.AdmissionTicket) {
	a.asked = append(a.asked, r)
	return a.answer, a
}

func (a *fakeAdmission) FirstEvent()                    {}
func (a *fakeAdmission) End(_ time.Time, r pick.Result) { a.ends = append(a.ends, r) }

// ownerWithAnswer is a group owner that chooses target t1 and decides on the admission itself.
type ownerWithAnswer struct {
	exchange.GroupOwner
	answer *exchange.AdmissionDecision
	wait   float64
	ends   []pick.Result
}

func (o *ownerWithAnswer) Choose(_ context.Context, _ pick.Call, _ string, _ time.Duration, a *exchange.AdmissionRequest) (exchange.Decision, bool) {
	return exchange.Decision{Target: "t1", Owner: "owner", QueueWait: o.wait, Admission: o.answer}, true
}
func (o *ownerWithAnswer) ReportEnd(_ exchange.Decision, r pick.Result) { o.ends = append(o.ends, r) }

var overShare = exchange.AdmissionDecision{
	Refused: true, Reason: exchange.CodeOverShare, RetryMillis: 700, QueueMillis: 600, ShareMillis: 1000, UsedMillis: 1500,
}

// Guards against a refused request that is sent or keeps its place, and against a refusal whose reason and
// numbers nobody can see.
func TestAdmissionRefuses(t *testing.T) {
	Convey("an instance that chooses itself", t, func() {
		x := newTarget(t, "t1", streamEvents(2, true))
		r := newRig(t, "r", x)
		admission := &fakeAdmission{answer: overShare}
		core, logs := observer.New(zap.InfoLevel)
		r.options.Admission, r.options.Log, r.options.Self = admission, zap.New(core), "self"
		r.rebuild()
		got := r.call("/aimed/x", "b")
		So(got.status, ShouldEqual, http.StatusServiceUnavailable)
		So(got.body, ShouldEqual, "over_share\n")
		So(got.header.Get("Retry-After"), ShouldEqual, "0.70")
		So(x.requests(), ShouldBeEmpty)
		So(r.metrics.RefusedOverShare.Count(), ShouldEqual, 1)
		So(r.pool.Loads(time.Now()), ShouldBeEmpty)
		// What it has asked for stays counted, as it has gone nowhere else.
		So(admission.ends, ShouldBeEmpty)
		line := logs.FilterMessage("refused").All()[0].ContextMap()["admission"]
		So(line, ShouldResemble, map[string]any{
			"queue": 600 * time.Millisecond, "aim": time.Second, "share": time.Second, "used": 1500 * time.Millisecond, "by": "self", "promised": false,
		})

		Convey("a retry has the same key and another content has another", func() {
			again := r.request("/aimed/x", "b")
			again.Header.Set("Id", "id-2")
			do(again)
			r.call("/aimed/x", "c")
			first := admission.asked[0]
			So(admission.asked[1].ContentKey, ShouldEqual, first.ContentKey)
			So(admission.asked[2].ContentKey, ShouldNotEqual, first.ContentKey)
			So(first.AimMillis == 1000 && first.NotRun, ShouldBeTrue)
		})
		Convey("an admitted one gives its place back if its target does not run it", func() {
			admission.answer = exchange.AdmissionDecision{}
			y := newTarget(t, "t1", notRun)
			r.setTargets(y)
			So(r.call("/aimed/x", "b").body, ShouldEqual, "no_target\n")
			So(admission.ends, ShouldResemble, []pick.Result{pick.Rejected})
		})
	})
	Convey("the group owner decides", t, func() {
		r := newRig(t, "r", newTarget(t, "t1", streamEvents(2, true)))
		owner := &ownerWithAnswer{answer: &overShare}
		r.options.GroupOwner, r.options.Admission = owner, &fakeAdmission{}
		r.rebuild()
		So(r.call("/aimed/x", "b").body, ShouldEqual, "over_share\n")
		So(owner.ends, ShouldBeEmpty)
		Convey("one of an older build does not, and the length of the queue does", func() {
			owner.answer, owner.wait = nil, 1500
			So(r.call("/aimed/x", "b").body, ShouldEqual, "overloaded\n")
			So(owner.ends, ShouldResemble, []pick.Result{pick.Neutral})
		})
	})
}

// Guards against a region that gets no requests at all as it has refused those of one workspace, and
// against work that stays counted here for a request that another region has served.
func TestRefusalOfAWorkspaceElsewhere(t *testing.T) {
	Convey("two workspaces, of which the other region refuses one", t, func() {
		near, far := newTarget(t, "near", respond(200, "near")), newTarget(t, "far", respond(200, "far"))
		a, b := newRegionPair(t, []*target{near}, []*target{far})
		list := a.gateway.View()
		here, there := &fakeAdmission{answer: overShare}, &fakeAdmission{answer: overShare}
		a.options.Admission, b.options.Admission = here, there
		a.rebuild()
		a.gateway.SetView(list)
		b.rebuild()
		b.peers.Config.Handler = b.gateway.ForwardedHandler()
		for _, r := range []*rig{a, b} {
			r.setWorkspaces(workspace("flood", "key-1"), workspace("usual", "key-2"))
		}
		for range 30 {
			// Makes the other region the cheaper one.
			a.pool.PickAt(time.Now(), pick.Call{Service: "s"}, "near")
		}
		So(a.callWithKey("key-1", "/safe/x").body, ShouldEqual, "over_share\n")
		So(there.asked[0].Workspace, ShouldEqual, "flood")
		So(here.ends, ShouldResemble, []pick.Result{pick.Neutral})
		there.answer = exchange.AdmissionDecision{}
		So(a.callWithKey("key-2", "/safe/x").body, ShouldEqual, "far")
		So(a.callWithKey("key-1", "/safe/x").body, ShouldEqual, "over_share\n")
		So(len(there.asked), ShouldEqual, 2)
	})
}
