package exchange_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against answers whose malformed headers fail the request, or are ignored unnoticed.
func TestMalformedHeadersAreCountedAndLogged(t *testing.T) {
	Convey("an answer with two malformed headers", t, func() {
		x := newTarget(t, "t1", respondRaw("HTTP/1.1 200 X\r\nId: %ID%\r\nSigned: yes\r\nMalformed: a\r\nMalformed: b\r\nContent-Length: 2\r\n\r\nok", true))
		r := newRig(t, "r", x)
		core, logs := observer.New(zap.InfoLevel)
		r.setAccessLog(zap.New(core))
		So(r.call("/safe/x", "").body, ShouldEqual, "ok")
		So(r.metrics.MalformedHeaders.Count(), ShouldEqual, 2)
		So(logs.FilterMessage("malformed header of a target").Len(), ShouldEqual, 1)
	})
}
