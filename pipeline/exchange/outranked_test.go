package exchange_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/route/pick"
)

// Guards against a request that is refused for want of room although another region would begin it within its
// aim, and against one that is sent there in vain: over its workspace's share, or too late.
func TestRequestWithoutRoomGoesToAnotherRegion(t *testing.T) {
	for name, c := range map[string]struct {
		reason  exchange.AdmissionDecision
		running int
		body    string
	}{
		"outranked":                    {exchange.AdmissionDecision{Refused: true, Reason: exchange.CodeOutranked}, 0, eventText(1, 2)},
		"overloaded":                   {exchange.AdmissionDecision{Refused: true, Reason: exchange.CodeOverloaded}, 0, eventText(1, 2)},
		"over its share":               {exchange.AdmissionDecision{Refused: true, Reason: exchange.CodeOverShare}, 0, "over_share\n"},
		"outranked, the other is full": {exchange.AdmissionDecision{Refused: true, Reason: exchange.CodeOutranked}, 900, "outranked\n"},
	} {
		Convey(name, t, func() {
			near, far := newTarget(t, "near", streamEvents(2, true)), newTarget(t, "far", streamEvents(2, true))
			a, _ := newRegionPair(t, []*target{near}, []*target{far})
			admission := &fakeAdmission{answer: c.reason}
			view := *a.gateway.View()
			view.Regions = map[exchange.RegionService]pick.RegionLoad{{Region: "other", Service: "s"}: {Targets: 1, Slots: 4, Load: pick.Load{Running: c.running}}}
			a.options.Admission = admission
			a.rebuild()
			a.gateway.SetView(&view)
			So(a.call("/aimed/x", "b").body, ShouldEqual, c.body)
			So(requestCount(near), ShouldEqual, 0)
			So(a.pool.Loads(time.Now()), ShouldBeEmpty)
			if c.body == eventText(1, 2) {
				// The work asked for here is given back.
				So(admission.ends, ShouldResemble, []pick.Result{pick.Neutral})
			} else {
				So(admission.ends, ShouldBeEmpty)
			}
		})
	}
}

// Guards against a region that gets no urgent requests for half a second as it has refused less urgent ones.
func TestRegionThatRefusesARankServesMoreUrgentOnes(t *testing.T) {
	Convey("the other region refuses requests of rank 2 as outranked", t, func() {
		far := newTarget(t, "far", respond(200, "far"))
		a, b := newRegionPair(t, nil, []*target{far})
		for _, r := range []*rig{a, b} {
			for i := range r.table.Routes {
				if r.table.Routes[i].Name == "unsafe" {
					r.table.Routes[i].Priority = 2
				}
			}
		}
		there := &fakeAdmission{answer: exchange.AdmissionDecision{Refused: true, Reason: exchange.CodeOutranked}}
		b.options.Admission = there
		b.rebuild()
		b.peers.Config.Handler = b.gateway.ForwardedHandler()
		view := *a.gateway.View()
		view.Index = routes.NewIndex(a.table)
		view.Regions[exchange.RegionService{Region: "third", Service: "s"}] = pick.RegionLoad{Targets: 1, Slots: 4, Load: pick.Load{Running: 100}}
		third := newTarget(t, "third", respond(200, "third"))
		view.Peers = append(view.Peers, exchange.Peer{Address: third.addr, Region: "third"})
		a.gateway.SetView(&view)
		So(a.call("/unsafe/x", "b").body, ShouldEqual, "third")
		there.answer = exchange.AdmissionDecision{}
		So(a.call("/unsafe/x", "b").body, ShouldEqual, "third")
		So(a.call("/safe/x", "b").body, ShouldEqual, "far")
	})
}
