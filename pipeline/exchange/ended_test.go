package exchange_test

import (
	"io"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/gullhaven/gullhaven/pipeline/exchange"
)

// breakLog keeps the lines of a gateway; broken gets a value for each answer that was broken off.
type breakLog struct {
	lines  *observer.ObservedLogs
	broken chan struct{}
}

// code returns what the first line about an answer that was broken off gives as the code.
func (l *breakLog) code() string {
	<-l.broken
	return l.lines.FilterMessage("broke off").All()[0].ContextMap()["code"].(string)
}

// observe rebuilds the gateway with a log that is kept.
func (r *rig) observe() *breakLog {
	core, lines := observer.New(zapcore.InfoLevel)
	l := &breakLog{lines: lines, broken: make(chan struct{}, 100)}
	view := r.gateway.View()
	r.options.Log = zap.New(core, zap.Hooks(func(e zapcore.Entry) error {
		if e.Message == "broke off" {
			l.broken <- struct{}{}
		}
		return nil
	}))
	r.rebuild()
	r.gateway.SetView(view)
	r.peers.Config.Handler = r.gateway.ForwardedHandler()
	return l
}

// Guards against logging the end of a stream as the deadline's, whatever ended it.
func TestLogSaysWhatEndedAStream(t *testing.T) {
	Convey("the caller leaves", t, func() {
		x, _, _, _ := silentTarget(t, "far")
		a, b := newRegionPair(t, nil, []*target{x})
		linesA, linesB := a.observe(), b.observe()
		res, err := http.DefaultTransport.RoundTrip(a.request("/resume/x", "b"))
		So(err, ShouldBeNil)
		_ = res.Body.Close()
		So(linesA.code(), ShouldEqual, string(exchange.CodeCallerLeft))
		So(linesB.code(), ShouldEqual, string(exchange.CodeSenderLeft))
	})
	Convey("the deadline passes", t, func() {
		x, _, _, _ := silentTarget(t, "t1")
		r := newRig(t, "r", x)
		lines := r.observe()
		req := r.request("/resume/x", "b")
		req.Header.Set("Deadline", "50ms")
		So(do(req).truncated, ShouldBeTrue)
		So(lines.code(), ShouldEqual, string(exchange.CodeTimeout))
	})
	Convey("the instance ends", t, func() {
		x, _, _, _ := silentTarget(t, "t1")
		r := newRig(t, "r", x)
		lines := r.observe()
		res, err := http.DefaultTransport.RoundTrip(r.request("/resume/x", "b"))
		So(err, ShouldBeNil)
		r.endNow()
		_, err = io.ReadAll(res.Body)
		So(err, ShouldNotBeNil)
		_ = res.Body.Close()
		So(lines.code(), ShouldEqual, string(exchange.CodeLeaving))
	})
}
