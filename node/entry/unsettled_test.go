package entry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/suspect"
	"github.com/gullhaven/gullhaven/node/feed"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/route/pick"
)

// promptOf returns a request with a prompt of these parts.
func promptOf(body string, parts ...uint64) exchange.Content {
	c := exchange.Content{Method: "POST", Host: "h", Target: "/x", Body: []byte(body)}
	for _, id := range parts {
		c.Parts = append(c.Parts, pick.Part{ID: id, Tokens: 1})
	}
	return c
}

// Guards against unlike requests that share a deadly part, whose crashes are found by other instances or
// only by what follows an end that looks like that of a whole answer.
func TestEndsThatTellNothingAreSettledByWhatFollows(t *testing.T) {
	now := time.Now()
	sending := func(target string) exchange.Sending {
		return exchange.Sending{Target: target, StartMillis: 7, SentAt: time.Now()}
	}
	suspects := func(p *poisonRequests) int {
		n := 0
		for _, e := range p.takePending() {
			if e.Digest == digestOfPart(2) && e.Status == suspect.Suspected {
				n++
			}
		}
		return n
	}
	Convey("an unframed answer of a request that has crashed a target", t, func() {
		p := newPoisonRequests(zap.NewNop())
		p.crash(promptOf("a", 1, 2, 3), "t0")
		So(suspects(p), ShouldEqual, 1)
		p.ReportUnsettled(promptOf("b", 1, 2, 4), sending("t"), true)
		Convey("clears its parts if the target answers soon after", func() {
			p.unsettled.Alive(now.Add(suspect.ProbeAfter), "t")
			p.settle(now.Add(suspect.ProbeAfter))
			p.crash(promptOf("c", 1, 2, 5), "t1")
			So(p.admits(promptOf("d", 1, 2, 6)), ShouldBeTrue)
		})
		Convey("is a crash if the target accepts no connection", func() {
			p.ReportUnreachable("t")
			So(suspects(p), ShouldEqual, 1)
			So(p.admits(promptOf("c", 1, 2, 5)), ShouldBeFalse)
		})
		Convey("is a crash if the target has started again", func() {
			p.targetsListed([]feed.Target{{ID: "t", StartMillis: 7}}, []feed.Target{{ID: "t", StartMillis: 9}})
			So(suspects(p), ShouldEqual, 1)
		})
		Convey("is a crash if the target is gone", func() {
			p.targetsListed([]feed.Target{{ID: "t", StartMillis: 7}}, nil)
			So(suspects(p), ShouldEqual, 1)
		})
		Convey("tells nothing if the target has drained, or is as before", func() {
			same := []feed.Target{{ID: "t", StartMillis: 7}}
			p.targetsListed(same, same)
			p.targetsListed([]feed.Target{{ID: "t", StartMillis: 7, Draining: true}}, nil)
			So(suspects(p), ShouldEqual, 0)
		})
		Convey("is a crash if another request breaks off there", func() {
			p.crash(promptOf("z", 8, 9), "t")
			So(suspects(p), ShouldEqual, 1)
		})
	})
	Convey("a request whose caller left first is a suspect of a crash that another instance tells", t, func() {
		p, other := newPoisonRequests(zap.NewNop()), newPoisonRequests(zap.NewNop())
		p.ReportUnsettled(promptOf("a", 1, 2, 3), sending("t"), false)
		p.ReportUnreachable("t")
		So(suspects(p), ShouldEqual, 0)
		other.ReportCrash(promptOf("z", 8, 9), sending("t"))
		p.merge(other.takePending())
		So(suspects(p), ShouldEqual, 1)
	})
	Convey("an answer that ends just after a crash was found is one of it", t, func() {
		p := newPoisonRequests(zap.NewNop())
		s := sending("t")
		p.crash(promptOf("z", 8, 9), "t")
		p.ReportUnsettled(promptOf("a", 1, 2, 3), s, true)
		So(suspects(p), ShouldEqual, 1)
	})
}
