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

// Guards against a request that has used its promise and is refused when a target rejects it, and against
// a place for a forwarded request, whose caller does not return to this region.
func TestRequestWithAPromisedPlace(t *testing.T) {
	Convey("a request takes its place", t, func() {
		refused := exchange.AdmissionDecision{Refused: true, Reason: exchange.CodeOverloaded, RetryMillis: 730, Promised: true}
		a := &fakeAdmission{answer: exchange.AdmissionDecision{Promised: true}}
		reject := afterChange(func() { a.answer = refused }, notRun)
		x, y := newTarget(t, "t1", reject), newTarget(t, "t2", reject)
		r, other := newRegionPair(t, nil, []*target{x, y})
		regions := r.gateway.View()
		core, logs := observer.New(zap.InfoLevel)
		for _, g := range []*rig{r, other} {
			g.options.Admission, g.options.PromisedReturns, g.options.Log = a, true, zap.New(core)
			g.rebuild()
		}
		Convey("and is not refused after a target has rejected it, but the next one is", func() {
			So(other.call("/aimed/x", "b").body, ShouldEqual, "no_target\n")
			So(a.asked[0].NotRun && !a.asked[1].NotRun, ShouldBeTrue)
			So(other.call("/aimed/x", "c").header.Get("Retry-After"), ShouldEqual, "0.73")
			So(logs.FilterMessage("refused").All()[1].ContextMap()["retry_after"], ShouldEqual, 730*time.Millisecond)
		})
		Convey("and has no key in another region", func() {
			other.peers.Config.Handler = other.gateway.ForwardedHandler()
			r.gateway.SetView(regions)
			r.call("/aimed/x", "b")
			So(a.asked[0].ContentKey, ShouldEqual, 0)
		})
	})
}

// promptDialect has prompts without shared parts.
type promptDialect struct{ testDialect }

func (d promptDialect) Call(h http.Header) (exchange.Call, error) {
	c, err := d.testDialect.Call(h)
	c.PromptTokens = 100
	return c, err
}

// spreadOwner leaves all choices to the instance, and keeps what they are spread by.
type spreadOwner struct {
	exchange.GroupOwner
	keys []uint64
}

func (o *spreadOwner) Choose(_ context.Context, c pick.Call, _ string, _ time.Duration, _ *exchange.AdmissionRequest) (exchange.Decision, bool) {
	o.keys = append(o.keys, c.SpreadKey)
	return exchange.Decision{}, false
}

// Guards against a caller that returns to another group of targets than the one that promised its place.
func TestReturningPromptsGoToTheSameGroup(t *testing.T) {
	Convey("a prompt without shared parts returns under another ID", t, func() {
		r, owner := newRig(t, "r", newTarget(t, "t1", streamEvents(2, true))), &spreadOwner{}
		r.options.Dialect, r.options.GroupOwner = promptDialect{}, owner
		for _, on := range []bool{false, true} {
			r.options.PromisedReturns = on
			r.rebuild()
			r.call("/aimed/x", "b")
			back := r.request("/aimed/x", "b")
			back.Header.Set("Id", "id-2")
			do(back)
		}
		So(owner.keys[0], ShouldNotEqual, owner.keys[1])
		So(owner.keys[2], ShouldEqual, owner.keys[3])
	})
}
