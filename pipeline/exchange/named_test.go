package exchange_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const inNeed = "HTTP/1.1 200 X\r\nId: %ID%\r\nSigned: yes\r\nLimit: 1\r\nContent-Length: 4\r\n\r\nneed"

// mostLimited is what a target may get in so long that takes one request a second.
func mostLimited(d time.Duration) int { return int(1.5*max(4, d.Seconds())) + 5 }

// Guards against a target in need that gets its full share in spite of the limit that it names.
func TestTargetGetsNoMoreThanItNames(t *testing.T) {
	Convey("400 requests and two targets, of which one names a limit of one a second", t, func() {
		x, y := newTarget(t, "t2", raw(inNeed, true)), newTarget(t, "t1", whole(200, "well"))
		r := newRig(t, "r", x, y)
		began := time.Now()
		for range 400 {
			So(r.call("/safe/x", "").status, ShouldEqual, 200)
		}
		So(sent(x), ShouldBeLessThanOrEqualTo, mostLimited(time.Since(began)))
		So(sent(x), ShouldBeGreaterThan, 0)
		So(sent(x, y), ShouldEqual, 400)
	})
}
