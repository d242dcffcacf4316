package entry

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/coord/suspect"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
)

// admits reports whether a request of a caller may be sent to a target.
func (p *poisonRequests) admits(c exchange.Content) bool {
	return p.Admit(context.Background(), c, exchange.FromCaller).Admitted
}

// crash reports a crash under a request that was sent just now.
func (p *poisonRequests) crash(c exchange.Content, target string) {
	p.ReportCrash(c, exchange.Sending{Target: target, SentAt: time.Now()})
}

// Guards against one request that crashes target after target: its caller retries it under new IDs
// at any instance, and the instances do not know of each other's crashes.
func TestPoisonRequestIsRefusedEverywhereAfterTwoCrashes(t *testing.T) {
	Convey("two instances and a request that crashes its targets", t, func() {
		one, other := newPoisonRequests(zap.NewNop()), newPoisonRequests(zap.NewNop())
		poison := exchange.Content{Method: "POST", Host: "h", Target: "/x", Body: []byte("poison")}
		innocent := exchange.Content{Method: "POST", Host: "h", Target: "/x", Body: []byte("innocent")}
		one.crash(poison, "t1")
		one.crash(innocent, "t1")
		other.merge(one.takePending())
		So(other.admits(poison), ShouldBeTrue)
		So(one.takePending(), ShouldBeEmpty)
		other.crash(poison, "t2")
		So(other.admits(poison), ShouldBeFalse)
		one.merge(other.takePending())
		So(one.admits(poison), ShouldBeFalse)
		So(one.MayRetry(poison), ShouldBeFalse)
		So(one.admits(innocent), ShouldBeTrue)
		So(one.admits(exchange.Content{Method: "GET", Host: "h", Target: "/x", Body: []byte("poison")}), ShouldBeTrue)
		So(one.admits(exchange.Content{Method: "POST", Host: "h", Target: "/x", Body: []byte("poison"), Caller: routes.KeyDigest{1}}), ShouldBeTrue)
	})
	Convey("a target that returns under its ID and crashes again counts twice", t, func() {
		one := newPoisonRequests(zap.NewNop())
		r := exchange.Content{Method: "GET", Host: "h", Target: "/x"}
		one.crash(r, "t1")
		one.crash(r, "t1")
		So(one.admits(r), ShouldBeFalse)
	})
	Convey("one that was answered is cleared everywhere", t, func() {
		one, other := newPoisonRequests(zap.NewNop()), newPoisonRequests(zap.NewNop())
		r := exchange.Content{Method: "GET", Host: "h", Target: "/x"}
		one.crash(r, "t1")
		one.ReportFinished(r)
		one.crash(r, "t3")
		So(one.admits(r), ShouldBeTrue)
		other.merge(one.takePending())
		So(other.admits(r), ShouldBeTrue)
	})
	Convey("entries that could not be reported are kept", t, func() {
		one := newPoisonRequests(zap.NewNop())
		one.crash(exchange.Content{Method: "GET", Target: "/x"}, "t1")
		pending := one.takePending()
		So(len(pending), ShouldBeGreaterThan, 0)
		one.restorePending(pending)
		So(one.takePending(), ShouldResemble, pending)
	})
}

// Guards against an innocent request that is refused for minutes, and against trials of a poison
// request at several instances at once.
func TestRefusedRequestHasOneTrialAtATime(t *testing.T) {
	Convey("two instances that refuse a request, long after its crashes", t, func() {
		owner, other := newPoisonRequests(zap.NewNop()), newPoisonRequests(zap.NewNop())
		for _, p := range []*poisonRequests{owner, other} {
			p.reserve = func(_ context.Context, quarantined []suspect.Digest) bool { return owner.grantTrial(quarantined) }
		}
		ended := make(chan trialEnd, 1)
		other.release = func(e trialEnd) { ended <- e }
		r := exchange.Content{Method: "GET", Host: "h", Target: "/x"}
		long := time.Now().Add(-trialAfter)
		for _, at := range []time.Time{long.Add(-time.Second), long} {
			entries := []suspect.Entry{{
				Digest: digestOf(r), Crash: suspect.Crash{Target: at.String()}, Until: at.Add(poisonTTL), SentAt: suspect.InstantOf(at.Add(-time.Millisecond)), CrashedAt: suspect.InstantOf(at),
			}}
			owner.merge(entries)
			other.merge(entries)
		}
		So(other.admits(r), ShouldBeTrue)
		So(other.admits(r), ShouldBeFalse)
		So(owner.admits(r), ShouldBeFalse)
		So(owner.Admit(t.Context(), r, exchange.FromPeerAsTrial).Admitted, ShouldBeTrue)
		So(owner.Admit(t.Context(), r, exchange.FromPeer).Admitted, ShouldBeFalse)
		Convey("it does not run, and another one has the trial", func() {
			other.ReportNotRun(r)
			e := <-ended
			owner.endReservation(e)
			So(owner.admits(r), ShouldBeTrue)
		})
		Convey("it finishes and is cleared", func() {
			other.ReportFinished(r)
			e := <-ended
			owner.endReservation(e)
			So(owner.admits(r), ShouldBeTrue)
			So(other.admits(r), ShouldBeTrue)
		})
		Convey("it crashes another target and is refused for longer", func() {
			other.crash(r, "t")
			e := <-ended
			owner.endReservation(e)
			a := owner.Admit(t.Context(), r, exchange.FromCaller)
			So(a.Admitted, ShouldBeFalse)
			So(a.RefusedFor, ShouldBeGreaterThan, trialAfter)
			So(other.admits(r), ShouldBeFalse)
		})
	})
}
