package deciding_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/node/deciding"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/route/pick"
)

// Guards against returning callers that are refused again at the time that they were told; against promises
// that are honoured twice, that outlive the request at this instance, or by which a workspace passes its
// share; and against promised capacity that new requests take or that draining targets stand for.
func TestRefusedCallersReturnToTheirPlaces(t *testing.T) {
	Convey("a request is refused as 2 s are queued at each of five targets", t, func() {
		pool, begin, s := pick.New("self"), time.Now(), snapshot([]string{"self"})
		pool.Update(begin, s)
		returns := deciding.NewPromisedReturns(pool)
		admission := deciding.NewAdmission(deciding.AdmissionOptions{Returns: returns})
		decide := func(after time.Duration, workspace string, key uint64) (exchange.AdmissionDecision, exchange.AdmissionTicket) {
			c, _ := pool.Pick(begin.Add(after), pick.Call{Service: "s", PromptTokens: 3000})
			d, ticket := admission.Decide(begin.Add(after), c, exchange.AdmissionRequest{
				Workspace: workspace, AimMillis: 1000, LeftMillis: 30_000, ContentKey: key, NotRun: true,
			})
			if d.Refused {
				c.Done(begin, pick.Neutral)
			}
			return d, ticket
		}
		for key := range uint64(10) {
			decide(0, "flood", 100+key)
		}
		var queued []*pick.Choice
		for range 30 {
			c, _ := pool.Pick(begin, pick.Call{Service: "s", PromptTokens: 9000})
			queued = append(queued, c)
		}
		first, ticket := decide(0, "", 7)
		So(first.Refused && first.Promised, ShouldBeTrue)
		after := time.Duration(first.RetryMillis) * time.Millisecond
		So(after, ShouldBeGreaterThan, time.Second)

		Convey("its caller returns early and keeps its place, then is admitted once", func() {
			early, _ := decide(after/2, "", 7)
			So(early.Refused && early.Promised, ShouldBeTrue)
			back, _ := decide(after, "", 7)
			So(back.Promised && !back.Refused, ShouldBeTrue)
			again, _ := decide(after, "", 7)
			So(again.Refused, ShouldBeTrue)
		})
		Convey("it goes to another region and has no place any more", func() {
			ticket.End(begin, pick.Neutral)
			back, _ := decide(after, "", 7)
			So(back.Refused, ShouldBeTrue)
		})
		Convey("a forwarded request is told no time, and a workspace over its share has no place", func() {
			forwarded, _ := decide(0, "", 0)
			So(forwarded.Refused && forwarded.RetryMillis == 0, ShouldBeTrue)
			flood, _ := decide(0, "flood", 8)
			So(flood.Refused && !flood.Promised && flood.RetryMillis > 0, ShouldBeTrue)
		})
		Convey("new requests leave the promised room, which goes with the targets", func() {
			for key := range uint64(20) {
				decide(0, "", 200+key)
			}
			for k, c := range queued[5:] {
				c.Done(begin, pick.Neutral)
				if k < 10 {
					pool.Pick(begin, pick.Call{Service: "s", PromptTokens: 500})
				}
			}
			other, _ := decide(after, "", 300)
			So(other.Refused, ShouldBeTrue)
			_, before := returns.Stats()
			for k := range s.Targets[1:] {
				s.Targets[k].Draining = true
			}
			pool.Update(begin, s)
			decide(after, "", 301)
			_, left := returns.Stats()
			So(before, ShouldBeGreaterThan, 1000)
			So(left, ShouldBeLessThanOrEqualTo, 1000/3)
		})
	})
}

// Guards against a place that the group owner keeps for a request which another region serves.
func TestGroupOwnerWithdrawsAPromise(t *testing.T) {
	Convey("the owner has refused a request of another instance, and its ticket has expired", t, func() {
		pool := pick.New("")
		pool.Update(time.Now(), snapshot(nil))
		returns := deciding.NewPromisedReturns(pool)
		owner, other := split(startWith(t, 2, func() *deciding.Admission {
			return deciding.NewAdmission(deciding.AdmissionOptions{Returns: returns, QueueOnly: true})
		}))
		for range 30 {
			other.admission(t, "", 0)
		}
		d := other.admission(t, "", 0.9)
		So(d.Admission.Refused && d.Admission.Promised, ShouldBeTrue)
		update, err := cbor.Marshal(map[int]any{1: "expired", 2: true, 6: d.ContentKey})
		So(err, ShouldBeNil)
		other.hub.Send(owner.id, "decided", update)
		So(eventually(func() bool { counts, _ := returns.Stats(); return counts.Withdrawn == 1 }), ShouldBeTrue)
	})
}
