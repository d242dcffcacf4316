package exchange_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const limitedResponse = "HTTP/1.1 200 X\r\nId: %ID%\r\nSigned: yes\r\nLimit: 1\r\nContent-Length: 4\r\n\r\nneed"

// maxLimited returns the maximum number of requests within d for a target that reports a limit of
// one per second.
func maxLimited(d time.Duration) int { return int(1.5*max(4, d.Seconds())) + 5 }

// Guards against sending a target its full share of requests although it reports a limit.
func TestTargetGetsNoMoreThanItsReportedLimit(t *testing.T) {
	Convey("400 requests and two targets, one of which reports a limit of one per second", t, func() {
		x, y := newTarget(t, "t2", respondRaw(limitedResponse, true)), newTarget(t, "t1", respond(200, "well"))
		r := newRig(t, "r", x, y)
		began := time.Now()
		for range 400 {
			So(r.call("/safe/x", "").status, ShouldEqual, 200)
		}
		So(requestCount(x), ShouldBeLessThanOrEqualTo, maxLimited(time.Since(began)))
		So(requestCount(x), ShouldBeGreaterThan, 0)
		So(requestCount(x, y), ShouldEqual, 400)
	})
}
