package exchange_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/route/pick"
)

// scriptedAdmission gives the decisions in turn.
type scriptedAdmission struct {
	decisions []exchange.AdmissionDecision
	asked     []exchange.AdmissionRequest
	ends      []pick.Result
}

func (a *scriptedAdmission) Decide(_ time.Time, _ *pick.Choice, r exchange.AdmissionRequest) (exchange.AdmissionDecision, exchange.AdmissionTicket) {
	a.asked = append(a.asked, r)
	return a.decisions[len(a.asked)-1], a
}

func (a *scriptedAdmission) FirstEvent()                    {}
func (a *scriptedAdmission) End(_ time.Time, r pick.Result) { a.ends = append(a.ends, r) }

// Guards against a caller that is told another time than that of its place; against returning requests that
// are not recognized, or taken for others; against a request that has used its promise and is refused when
// a target rejects it; and against a place that is kept for a request which another region serves.
func TestRefusedRequestsAreToldTheirPlaces(t *testing.T) {
	Convey("a request is refused with a place", t, func() {
		near, far := newTarget(t, "near", streamEvents(2, true)), newTarget(t, "far", streamEvents(2, true))
		r, other := newRegionPair(t, []*target{near}, []*target{far})
		refused := exchange.AdmissionDecision{Refused: true, Reason: exchange.CodeOverloaded, RetryMillis: 730, Promised: true}
		a := &scriptedAdmission{decisions: []exchange.AdmissionDecision{refused, {Promised: true}, refused}}
		for _, x := range []*rig{r, other} {
			x.options.Admission, x.options.PromisedReturns = a, true
		}
		regions := r.gateway.View()
		r.rebuild()
		other.rebuild()
		got := r.call("/aimed/x", "b")
		So(got.body+got.header.Get("Retry-After"), ShouldEqual, "overloaded\n0.73")
		Convey("it returns under another ID, and is not refused after two targets have rejected it", func() {
			r.setTargets(newTarget(t, "t1", notRun), newTarget(t, "t2", notRun))
			back := r.request("/aimed/x", "b")
			back.Header.Set("Id", "id-2")
			So(do(back).body, ShouldEqual, "no_target\n")
			So(a.asked[1].ContentKey, ShouldEqual, a.asked[0].ContentKey)
			So(a.asked[1].NotRun && !a.asked[2].NotRun, ShouldBeTrue)
		})
		Convey("another one goes to another region, where it gets no place, and gives its own up", func() {
			other.peers.Config.Handler = other.gateway.ForwardedHandler()
			r.gateway.SetView(regions)
			for range 30 {
				// Makes the other region the cheaper one.
				r.pool.PickAt(time.Now(), pick.Call{Service: "s"}, "near")
			}
			a.decisions[1], a.decisions[2].Refused = refused, false
			So(r.call("/aimed/x", "c").status, ShouldEqual, 200)
			So(a.ends[0], ShouldEqual, pick.Neutral)
			So([]uint64{a.asked[0].ContentKey, a.asked[2].ContentKey}, ShouldNotContain, a.asked[1].ContentKey)
			So(a.asked[2].ContentKey, ShouldEqual, 0)
		})
	})
}
