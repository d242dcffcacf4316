package explain_test

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/operate/explain"
)

const sampleLog = `{"level":"info","ts":"2026-03-01T10:00:00.1Z","msg":"in force","instance":"e1","version":3}
{"level":"info","ts":"2026-03-01T10:00:01.1Z","msg":"in force","instance":"e1","version":4}
{"level":"info","ts":"2026-03-01T10:00:02.5Z","msg":"attempt lost","instance":"e1","id":"abc","target":"i-1","error":"EOF"}
  2.6 e1 {"level":"info","ts":"2026-03-01T10:00:02.6Z","msg":"refused","instance":"e1","id":"abc","status":502}
{"level":"info","ts":"2026-03-01T10:00:02.7Z","msg":"served","instance":"e1","id":"other"}
{"level":"info","ts":"2026-03-01T10:00:03Z","msg":"in force","instance":"e1","version":5}
{"level":"info","ts":"2026-03-01T10:00:03.1Z","ms
panic: something else
`

func TestTimelineIsInOrder(t *testing.T) {
	Convey("the lines of one request with the state of its instance", t, func() {
		var l explain.Logs
		So(l.Read("one", strings.NewReader(sampleLog)), ShouldBeNil)
		So(len(l.Skipped), ShouldEqual, 2)
		So(l.Skipped[0].Number, ShouldEqual, 7)
		So(l.Skipped[1].Number, ShouldEqual, 8)
		s, ok := l.Timeline("abc")
		So(ok, ShouldBeTrue)
		var out strings.Builder
		So(s.Write(&out, "abc"), ShouldBeNil)
		So(out.String(), ShouldEqual, `   -1.400 s  e1  in force  version=4
   +0.000 s  e1  attempt lost  error=EOF target=i-1
   +0.100 s  e1  refused  status=502
`)
	})
	Convey("an id that no line names", t, func() {
		var l explain.Logs
		So(l.Read("one", strings.NewReader(sampleLog)), ShouldBeNil)
		_, ok := l.Timeline("nowhere")
		So(ok, ShouldBeFalse)
	})
}

func TestGapsAreReported(t *testing.T) {
	Convey("no end, lines left out, and another region without lines", t, func() {
		var l explain.Logs
		So(l.Read("two", strings.NewReader(`{"ts":"2026-03-01T10:00:02Z","msg":"attempt lost","instance":"e1","id":"abc","place":"10.0.0.1:7660"}
{"ts":"2026-03-01T10:00:02.5Z","msg":"log lines missing","instance":"e1","left_out":7,"dropped":0}
`)), ShouldBeNil)
		s, ok := l.Timeline("abc")
		So(ok, ShouldBeTrue)
		So(len(s.Gaps), ShouldEqual, 3)
		So(s.Gaps[0], ShouldContainSubstring, "its end at e1 is not logged")
		So(s.Gaps[1], ShouldContainSubstring, "10.0.0.1:7660")
		So(s.Gaps[2], ShouldContainSubstring, "left out 7 lines")
	})
}
