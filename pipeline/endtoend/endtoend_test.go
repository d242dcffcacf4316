package endtoend_test

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/pipeline/endtoend"
)

func TestCopyDropsHopByHopHeaders(t *testing.T) {
	Convey("a header whose Connection names some of its fields", t, func() {
		h := http.Header{
			"Connection": {"close, x-one", "X-Two"}, "X-One": {"1"}, "X-Two": {"2"}, "Te": {"trailers"},
			"X-Kept": append(make([]string, 0, 4), "a"),
		}
		out := endtoend.Copy(h)
		So(out, ShouldResemble, http.Header{"X-Kept": {"a"}})
		Convey("stays as it is when its copy changes", func() {
			out.Add("X-Kept", "b")
			out.Set("X-New", "c")
			So(h["X-Kept"], ShouldResemble, []string{"a"})
			So(h["X-Kept"][:2][1], ShouldBeEmpty)
			So(h, ShouldNotContainKey, "X-New")
		})
	})
}
