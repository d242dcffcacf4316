package deciding_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/node/deciding"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/route/admit"
	"github.com/gullhaven/gullhaven/route/pick"
)

func fair() *deciding.Admission {
	return deciding.NewAdmission(deciding.AdmissionOptions{})
}

// ownPart is the last part of the prompts so far, which no two of them share.
var ownPart atomic.Uint64

// admission asks for the admission of a request, until the link is up. The aim is a multiple of the work
// queued ahead; 0 for none.
func (i *instance) admission(t *testing.T, workspace string, aim float64) exchange.Decision {
	t.Helper()
	c := call(1)
	c.Parts[2].ID = ownPart.Add(1)
	probe := i.ask(t, call(1))
	i.s.ReportEnd(probe, pick.Neutral)
	a := &exchange.AdmissionRequest{Workspace: workspace, AimMillis: int64(aim * probe.QueueWait), LeftMillis: 3_600_000, ContentKey: 7, NotRun: true}
	var d exchange.Decision
	So(eventually(func() (ok bool) {
		d, ok = i.s.Choose(context.Background(), c, "id", time.Minute, a)
		return ok
	}), ShouldBeTrue)
	return d
}

// eventually waits up to 20 s for a condition and returns it.
func eventually(ok func() bool) bool {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// running returns the number of requests that the instance counts.
func (i *instance) running() (n int) {
	for _, l := range i.pool.Loads(time.Now()) {
		n += l.Running
	}
	return n
}

// Guards against shares of which each instance knows only its own requests, against a place that a refused
// request keeps, and against a workspace that is refused beside the one that floods the group.
func TestGroupOwnerRefusesByTheSharesOfAllInstances(t *testing.T) {
	Convey("a workspace has filled most of the queue through one instance", t, func() {
		all := startWith(t, 3, fair)
		owner, _ := split(all)
		others := slices.DeleteFunc(all, func(i *instance) bool { return i == owner })
		var flood []exchange.Decision
		for range 10 {
			others[1].admission(t, "another", 0)
		}
		for range 30 {
			flood = append(flood, others[0].admission(t, "flood", 0))
		}
		So(flood[29].Admission.Refused, ShouldBeFalse)
		late := others[1].admission(t, "usual", 0.5)
		So(late.Admission.Refused, ShouldBeTrue)
		So(late.Admission.Reason, ShouldEqual, exchange.CodeOverloaded)
		So(eventually(func() bool { return owner.running() == 40 }), ShouldBeTrue)

		over := others[1].admission(t, "flood", 1.5)
		So(over.Admission.Reason, ShouldEqual, exchange.CodeOverShare)
		So(over.Admission.UsedMillis, ShouldBeGreaterThan, over.Admission.ShareMillis)
		So(over.Owner, ShouldEqual, owner.id)
		So(others[1].admission(t, "usual", 1.5).Admission.Refused, ShouldBeFalse)

		Convey("what has not run gives its work back, but not what had begun", func() {
			others[0].s.ReportFirstEvent(flood[0])
			for _, d := range flood[:20] {
				others[0].s.ReportEnd(d, pick.Neutral)
			}
			So(eventually(func() bool { return owner.running() == 21 }), ShouldBeTrue)
			left := others[1].admission(t, "flood", 1.1).Admission.UsedMillis
			So(left, ShouldBeLessThan, 0.7*over.Admission.UsedMillis)
			So(left, ShouldBeGreaterThan, 0)
		})
	})
	Convey("an instance decides alone", t, func() {
		a := fair()
		decide := func(workspace string, queue float64, notRun bool) exchange.AdmissionDecision {
			d, _ := a.Decide(time.Now(), &pick.Choice{QueueWait: queue, Work: 100}, exchange.AdmissionRequest{Workspace: workspace, AimMillis: 1000, LeftMillis: 5000, NotRun: notRun})
			return d
		}
		So(decide("flood", 600, true).Refused, ShouldBeFalse)
		So(decide("usual", 1100, true).Reason, ShouldEqual, exchange.CodeOverloaded)
		So(decide("flood", 600, true).Reason, ShouldEqual, exchange.CodeOverShare)
		So(decide("flood", 1100, false).Refused, ShouldBeFalse)
	})
}

// Guards against decisions that an instance of a build without admissions gets or is taken to have made.
func TestNoAdmissionIsDecidedUnasked(t *testing.T) {
	Convey("neither for who does not ask, nor by an owner without one", t, func() {
		_, other := split(startWith(t, 2, fair))
		So(other.ask(t, call(1)).Admission, ShouldBeNil)
		_, other = split(start(t, 2))
		other.ask(t, call(1))
		d, ok := other.s.Choose(context.Background(), call(1), "id", time.Minute, &exchange.AdmissionRequest{NotRun: true, AimMillis: 1})
		So(ok, ShouldBeTrue)
		So(d.Admission, ShouldBeNil)
	})
}

// returns promises every refused request a place, and adds up the content keys of those withdrawn.
type returns struct{ withdrawn uint64 }

func (r *returns) Arrived(time.Time, deciding.Arrival) (float64, bool) { return 5000, false }
func (r *returns) Withdrawn(_ time.Time, _ pick.Group, key uint64)     { r.withdrawn += key }
func (r *returns) Sweep(time.Time)                                     {}
func (r *returns) Admitted(time.Time, deciding.Arrival)                {}
func (r *returns) Refused(time.Time, deciding.Arrival, admit.Decision) (time.Duration, bool) {
	return 700 * time.Millisecond, true
}

// Guards against callers that are told another time than the one that was kept for them, and against
// places kept for requests that another region has taken.
func TestRefusedRequestsAreToldWhenToReturn(t *testing.T) {
	Convey("a request that is refused for the work promised to others", t, func() {
		book := &returns{}
		a := deciding.NewAdmission(deciding.AdmissionOptions{Returns: book})
		d, ticket := a.Decide(time.Now(), &pick.Choice{QueueWait: 300}, exchange.AdmissionRequest{AimMillis: 1000, LeftMillis: 5000, ContentKey: 7, NotRun: true})
		So(d, ShouldResemble, exchange.AdmissionDecision{Refused: true, Reason: exchange.CodeOverloaded, RetryMillis: 700, Promised: true, QueueMillis: 5300})
		ticket.End(time.Now(), pick.Neutral)
		ticket.End(time.Now(), pick.Neutral)
		So(book.withdrawn, ShouldEqual, 7)
	})
}

// Guards against long prompts of a low rank that take the places of urgent requests: they are refused by the
// instance that decides for the group while urgent ones queue for most of their aim.
func TestUrgentRequestsHavePrecedenceInTheirGroup(t *testing.T) {
	a := deciding.NewAdmission(deciding.AdmissionOptions{UrgentFirst: true})
	now := time.Unix(100, 0)
	decide := func(rank int, queue float64, aim int64) exchange.AdmissionDecision {
		d, _ := a.Decide(now, &pick.Choice{Rank: rank, QueueWait: queue}, exchange.AdmissionRequest{AimMillis: aim, LeftMillis: 15_000, NotRun: true})
		return d
	}
	if d := decide(2, 900, 2000); d.Refused {
		t.Errorf("refused without urgent requests: %+v", d)
	}
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		if d := decide(0, 760, 800); d.Refused {
			t.Fatalf("an urgent request is refused: %+v", d)
		}
	}
	d := decide(2, 900, 2000)
	if !d.Refused || d.Reason != exchange.CodeOutranked || d.UrgentPressure < 0.9 {
		t.Errorf("not refused beside urgent requests: %+v", d)
	}
	now = now.Add(5 * time.Second)
	if d := decide(2, 900, 2000); d.Refused {
		t.Errorf("refused when no urgent requests come any more: %+v", d)
	}
}

// Guards against a precedence that is forgotten each second where no shares are kept, and so lets less urgent
// requests in at every sweep.
func TestPrecedenceOutlivesASweep(t *testing.T) {
	a := deciding.NewAdmission(deciding.AdmissionOptions{UrgentFirst: true, QueueOnly: true})
	now := time.Unix(100, 0)
	decide := func(rank int, queue float64, aim int64) exchange.AdmissionDecision {
		d, _ := a.Decide(now, &pick.Choice{Rank: rank, QueueWait: queue}, exchange.AdmissionRequest{AimMillis: aim, LeftMillis: 15_000, NotRun: true})
		return d
	}
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		decide(0, 760, 800)
	}
	a.Sweep(now)
	if d := decide(2, 900, 2000); d.Reason != exchange.CodeOutranked {
		t.Errorf("after a sweep: %+v", d)
	}
}
