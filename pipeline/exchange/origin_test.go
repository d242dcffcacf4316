package exchange_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/route/pick"
)

// ofVersion sets the software version of a target.
func ofVersion(software string, x *target) *target {
	x.software = software
	return x
}

// takeUp takes up a stream after its third event.
func (r *rig) takeUp(resumes string) reply {
	req := r.request("/resume/x", "b")
	req.Header.Set("After", "3")
	if resumes != "" {
		req.Header.Set("Resumes", resumes)
	}
	return do(req)
}

// Guards against streams that hold events of two software versions, resumed in one answer or taken up
// by their callers, here or in another region.
func TestStreamsGoOnAtTheirSoftwareOnly(t *testing.T) {
	Convey("a stream that breaks goes on at a target of its version", t, func() {
		for range 10 {
			first := sequence(streamEvents(3, false), streamEvents(6, true))
			x, y := newTarget(t, "t1", first), newTarget(t, "t2", first)
			other := ofVersion("v2", newTarget(t, "t3", first))
			r := newRig(t, "r", x, y, other)
			got := r.call("/resume/x", "b")
			begun, others := []*target{x, y}, []*target{other}
			if r.streams.origins["id-1"].Software == "v2" {
				begun, others = others, begun
			}
			So(got.truncated, ShouldBeFalse)
			So(got.body, ShouldEqual, eventText(1, 6))
			So(requestCount(begun...), ShouldEqual, 2)
			So(requestCount(others...), ShouldEqual, 0)
		}
	})
	Convey("it ends, with all attempts at one target that has not started again, if there is none", t, func() {
		x, y := newTarget(t, "t1", streamEvents(3, false)), ofVersion("v2", newTarget(t, "t2", streamEvents(3, false)))
		r := newRig(t, "r", x, y)
		ended, heard := make(chan struct{}), make(chan struct{})
		before := []*pick.Choice{r.pool.PickAt(time.Now(), pick.Call{Service: "s"}, "t1"), r.pool.PickAt(time.Now(), pick.Call{Service: "s"}, "t2")}
		go func() {
			defer close(heard)
			for {
				select {
				case <-ended:
					return
				case <-time.After(time.Millisecond):
					before[0].Heard(time.Now().Add(time.Minute))
					before[1].Heard(time.Now().Add(time.Minute))
				}
			}
		}()
		got := r.call("/resume/x", "b")
		close(ended)
		<-heard
		So(got.truncated, ShouldBeTrue)
		So(got.body, ShouldEqual, eventText(1, 3))
		So(max(requestCount(x), requestCount(y)), ShouldEqual, 3)
		So(min(requestCount(x), requestCount(y)), ShouldEqual, 0)
	})
	Convey("it ends if the only target of its version may have started again with another one", t, func() {
		x, y := newTarget(t, "t1", streamEvents(3, false)), ofVersion("v2", newTarget(t, "t2", streamEvents(3, false)))
		got := newRig(t, "r", x, y).call("/resume/x", "b")
		So(got.truncated, ShouldBeTrue)
		So(got.body, ShouldEqual, eventText(1, 3))
		So(requestCount(x, y), ShouldEqual, 1)
	})
	Convey("a caller takes it up at its version", t, func() {
		for n := range 6 {
			x, y := newTarget(t, "t1", streamEvents(5, true)), ofVersion("v2", newTarget(t, "t2", streamEvents(5, true)))
			r := newRig(t, "r", x, y)
			software := fmt.Sprint("v", 1+n%2)
			r.streams.Began("first", exchange.Origin{Service: "s", Software: software})
			So(r.takeUp("first").body, ShouldEqual, eventText(4, 5))
			So(requestCount(x), ShouldEqual, 1-n%2)
			So(requestCount(y), ShouldEqual, n%2)
		}
	})
	Convey("a stream that nobody knows is refused, and has not run", t, func() {
		x := newTarget(t, "t1", streamEvents(5, true))
		r := newRig(t, "r", x)
		for _, resumes := range []string{"unknown", ""} {
			got := r.takeUp(resumes)
			So(got.status, ShouldEqual, 503)
			So(got.body, ShouldEqual, "unknown_stream\n")
			So(got.header.Get("Retry-After"), ShouldNotEqual, "")
		}
		So(requestCount(x), ShouldEqual, 0)
	})
	Convey("one that its caller does not name goes on if there has been one version only", t, func() {
		for _, versions := range [][]string{{"v1"}, {"v1", "v2"}} {
			x := newTarget(t, "t1", streamEvents(5, true))
			r := newRig(t, "r", x)
			view := *r.view
			view.Versions, view.VersionsSince = map[string][]string{"s": versions}, time.Now().Add(-time.Hour)
			r.gateway.SetView(&view)
			So(r.takeUp("").status == 200, ShouldEqual, len(versions) == 1)
			So(r.takeUp("unknown").status, ShouldEqual, 503)
		}
	})
	Convey("so is one that its caller does not name, at an instance that has just started", t, func() {
		x := newTarget(t, "t1", streamEvents(5, true))
		r := newRig(t, "r", x)
		for _, since := range []time.Duration{0, 59 * time.Second} {
			view := *r.view
			view.Versions, view.VersionsSince = map[string][]string{"s": {"v1"}}, time.Now().Add(-since)
			r.gateway.SetView(&view)
			So(r.takeUp("").status, ShouldEqual, 503)
		}
		So(requestCount(x), ShouldEqual, 0)
	})
	Convey("so is one of another caller", t, func() {
		x := newTarget(t, "t1", streamEvents(5, true))
		r := newRig(t, "r", x)
		r.streams.Began("first "+"00", exchange.Origin{Service: "s", Software: "v1"})
		req := r.request("/resume/x", "b")
		req.Header.Set("After", "3")
		req.Header.Set("Resumes", "first")
		req.Header.Set("Key", "another")
		So(do(req).status, ShouldEqual, 503)
	})
	Convey("one whose target's version is not known is not resumed", t, func() {
		first := sequence(streamEvents(3, false), streamEvents(6, true))
		r := newRig(t, "r", ofVersion("", newTarget(t, "t1", first)), ofVersion("", newTarget(t, "t2", first)))
		So(r.call("/resume/x", "b").truncated, ShouldBeTrue)
		So(r.streams.origins, ShouldBeEmpty)
	})
}

// Guards against streams that hold events of two software versions because a region does not know what
// another one has begun.
func TestStreamsKeepTheirSoftwareInOtherRegions(t *testing.T) {
	Convey("one that begins in another region is recorded here, and its caller sees no header of instances", t, func() {
		a, b := newRegionPair(t, nil, []*target{ofVersion("v 2\n", newTarget(t, "far", streamEvents(5, true)))})
		got := a.call("/resume/x", "b")
		So(got.body, ShouldEqual, eventText(1, 5))
		So(a.streams.origins["id-1"], ShouldResemble, exchange.Origin{Service: "s", Software: "v 2\n"})
		So(b.streams.origins, ShouldBeEmpty)
		for name := range got.header {
			So(name, ShouldNotStartWith, "Gullhaven-")
		}
	})
	Convey("one that breaks here goes on at a target of its version there, or nowhere", t, func() {
		for _, software := range []string{"v1", "v2"} {
			x, y := newTarget(t, "near", streamEvents(3, false)), ofVersion(software, newTarget(t, "far", streamEvents(6, true)))
			a, _ := newRegionPair(t, []*target{x}, []*target{y})
			got := a.call("/resume/x", "b")
			So(got.truncated, ShouldEqual, software == "v2")
			So(requestCount(y) == 1, ShouldEqual, software == "v1")
		}
	})
	Convey("one that is taken up here goes on at its version there", t, func() {
		x, y := newTarget(t, "near", streamEvents(5, true)), ofVersion("v2", newTarget(t, "far", streamEvents(5, true)))
		a, _ := newRegionPair(t, []*target{x}, []*target{y})
		a.streams.Began("first", exchange.Origin{Service: "s", Software: "v2"})
		So(a.takeUp("first").body, ShouldEqual, eventText(4, 5))
		So(requestCount(x), ShouldEqual, 0)
	})
	Convey("a region that is known to lack the version is not asked", t, func() {
		a, b := newRegionPair(t, nil, []*target{newTarget(t, "far", streamEvents(5, true))})
		view := *a.gateway.View()
		view.Regions = map[exchange.RegionService]pick.RegionLoad{{Region: "other", Service: "s"}: {Targets: 1, Slots: 4, Software: map[string]int{"v1": 1}}}
		a.gateway.SetView(&view)
		a.streams.Began("first", exchange.Origin{Service: "s", Software: "v2"})
		So(a.takeUp("first").status, ShouldEqual, 503)
		So(b.metrics.ForwardedIn.Count(), ShouldEqual, 0)
		a.streams.Began("first", exchange.Origin{Service: "s", Software: "v1"})
		So(a.takeUp("first").body, ShouldEqual, eventText(4, 5))
	})
}

// Guards against a stream that is taken up at another service than the one that began it, by the weights
// of its route.
func TestStreamsGoOnAtTheirService(t *testing.T) {
	Convey("a route that splits between two services", t, func() {
		r := newRig(t, "r")
		r.table.Routes = append(r.table.Routes, routes.Route{
			Name: "split", Host: host, Prefix: "/split/", Kind: routes.Stream, Resumable: true, Attempts: 1, Timeout: r.table.Routes[0].Timeout,
			Split: []routes.Share{{Service: "s", Weight: 1}, {Service: "s2", Weight: 1}},
		})
		r.table.Services = append(r.table.Services, routes.Service{Name: "s2"})
		view := *r.view
		view.Index = routes.NewIndex(r.table)
		r.gateway.SetView(&view)
		x, y := newTarget(t, "t1", streamEvents(5, true)), newTarget(t, "t2", streamEvents(5, true))
		r.setTargetsOf(map[string][]*target{"s": {x}, "s2": {y}})
		r.streams.Began("first", exchange.Origin{Service: "s2", Software: "v1"})
		for n := range 10 {
			req := r.request("/split/x", "b")
			req.Header.Set("Id", fmt.Sprint("take-up-", n))
			req.Header.Set("After", "3")
			req.Header.Set("Resumes", "first")
			So(do(req).body, ShouldEqual, eventText(4, 5))
		}
		So(requestCount(x), ShouldEqual, 0)
	})
}
