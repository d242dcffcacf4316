package explain_test

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "github.com/gullhaven/gullhaven/coord/fixedseed"
	"github.com/gullhaven/gullhaven/operate/explain"
)

// logLine returns a log line of an instance, at a number of milliseconds, with further JSON fields.
func logLine(ms int, instance, message, fields string) string {
	return fmt.Sprintf(`{"ts":"2026-03-01T10:00:%02d.%03dZ","msg":%q,"instance":%q,%s}`, ms/1000, ms%1000, message, instance, fields)
}

// refusedLine returns a line about a refusal of request a that has not run.
func refusedLine(ms int, instance, code string, passed bool) string {
	return logLine(ms, instance, "refused", fmt.Sprintf(`"id":"a","code":%q,"verdict":"not_run","route":"chat","workspace":"w","passed":%v`, code, passed))
}

// count counts lines, with the part of an instance's name before the dash as its region.
func count(max int, lines ...string) explain.Report {
	c := explain.NewCounter(func(instance string) string {
		region, _, _ := strings.Cut(instance, "-")
		return region
	}, max)
	n, err := explain.Scan("log", strings.NewReader(strings.Join(lines, "\n")), c.Add)
	So(err, ShouldBeNil)
	c.AddUnreadable(n)
	return c.Report()
}

const (
	lost      = `"id":"a","dial":false,"reused":false,"error":"EOF"`
	dialLost  = `"id":"a","dial":true,"reused":false,"error":"connection refused"`
	expired   = `"id":"a","dial":false,"reused":true,"error":"context deadline exceeded"`
	brokenEnd = `"id":"a","error":"unexpected EOF"`
	brokeOff  = `"id":"a","code":"timeout"`
	served    = `"id":"a","passed":false,"wait_ms":100,"first":0.15`
)

// Guards against a request that is counted under a later cause than its first, or under several.
func TestFirstCause(t *testing.T) {
	for _, c := range []struct {
		name  string
		lines []string
		want  explain.Cause
	}{
		{"a refusal names its cause, whatever came before", []string{logLine(1, "x-1", "attempt lost", lost), refusedLine(2, "x-1", "overloaded", false)}, explain.CauseOverloaded},
		{"no target and nothing before", []string{refusedLine(2, "x-1", "no_target", false)}, explain.CauseNoTarget},
		{"no target after unreachable ones", []string{logLine(1, "x-1", "attempt lost", dialLost), refusedLine(2, "x-1", "no_target", false)}, explain.CauseLostBefore},
		{"no target after another region refused", []string{refusedLine(1, "y-1", "over_share", true), logLine(2, "x-1", "attempt lost", dialLost), refusedLine(3, "x-1", "no_target", false)}, explain.CauseOverShare},
		{"no target after an error", []string{logLine(1, "x-1", "attempt failed", `"id":"a","result":2,"status":500`), refusedLine(2, "x-1", "no_target", false)}, explain.CauseTargetFailed},
		{"no target after one that asked for rest", []string{logLine(1, "x-1", "attempt failed", `"id":"a","result":7,"status":429`), refusedLine(2, "x-1", "no_target", false)}, explain.CauseResting},
		{"no target after one that was replaced", []string{logLine(1, "x-1", "attempt failed", `"id":"a","result":5,"status":421`), refusedLine(2, "x-1", "no_target", false)}, explain.CauseNoTarget},
		{"the deadline", []string{logLine(1, "x-1", "attempt lost", expired), refusedLine(2, "x-1", "timeout", false)}, explain.CauseDeadline},
		{"the deadline, after an attempt that ran nothing", []string{logLine(1, "x-1", "attempt lost", dialLost), refusedLine(2, "x-1", "timeout", false)}, explain.CauseDeadline},
		{"the deadline, after a lost target", []string{logLine(1, "x-1", "attempt lost", lost), refusedLine(2, "x-1", "timeout", false)}, explain.CauseLostBefore},
		{"the deadline, before the other instance lost its target", []string{refusedLine(2, "x-1", "timeout", false), logLine(3, "y-1", "attempt lost", lost)}, explain.CauseDeadline},
		{"a stream that broke and missed its deadline", []string{logLine(1, "x-1", "stream broken", brokenEnd), logLine(2, "x-1", "broke off", brokeOff)}, explain.CauseLostDuring},
		{"both instances broke off", []string{logLine(1, "y-1", "broke off", brokeOff), logLine(2, "x-1", "stream broken", brokenEnd), logLine(3, "x-1", "broke off", `"id":"a","code":"target_lost"`)}, explain.CauseLostDuring},
		{"an answer cut without a line on it", []string{logLine(1, "x-1", "broke off", `"id":"a","code":"target_lost"`)}, explain.CauseLostDuring},
		{"the same ID rejected twice", []string{refusedLine(1, "x-1", "overloaded", false), refusedLine(400, "x-2", "overloaded", false)}, explain.CauseRejectedAgain},
		{"one line in two files", []string{refusedLine(1, "x-1", "outranked", false), refusedLine(1, "x-1", "outranked", false)}, explain.CauseOutranked},
		{"refused before its ID was read", []string{logLine(1, "x-1", "refused", `"id":"","code":"no_route","passed":false`)}, explain.CauseUnknown},
	} {
		Convey(c.name, t, func() {
			r := count(10, c.lines...)
			So(r.Causes, ShouldResemble, explain.Counts{c.want: 1})
			So(r.NotServed, ShouldEqual, 1)
			So(r.Regions["x"], ShouldResemble, r.Causes)
		})
	}
}

// Guards against requests that are counted as not served though their caller's instance went on.
func TestNotCountedAsFailed(t *testing.T) {
	Convey("served after a refusal elsewhere", t, func() {
		r := count(10, refusedLine(1, "y-1", "overloaded", true), logLine(2, "x-1", "served", served))
		So(r.Served, ShouldEqual, 1)
		So(r.NotServed, ShouldEqual, 0)
		So(r.Waits.Requests, ShouldEqual, 1)
		So(r.Waits.Later, ShouldEqual, 1)
		So(r.Waits.Actual.P50, ShouldAlmostEqual, 150, 2)
		So(r.Waits.Excess.P99, ShouldAlmostEqual, 50, 1)
	})
	Convey("refused by another instance before its ID was read", t, func() {
		r := count(10, logLine(1, "y-1", "refused", `"id":"","code":"configuration_behind","passed":true`))
		So(r.NotServed+r.NoEnd, ShouldEqual, 0)
	})
	Convey("cut at another instance, resumed, and its end left out", t, func() {
		r := count(10, logLine(1, "y-1", "broke off", brokeOff), logLine(2, "x-1", "stream broken", brokenEnd))
		So(r.NoEnd, ShouldEqual, 1)
		So(r.NotServed, ShouldEqual, 0)
	})
	Convey("only the other instance's line is there, or the caller left", t, func() {
		r := count(10, logLine(1, "y-1", "served", `"id":"a","passed":true`), logLine(1, "y-1", "caller left", `"id":"b"`))
		So(r.NoEnd, ShouldEqual, 1)
		So(r.NoEndServed, ShouldEqual, 1)
		So(r.CallersLeft, ShouldEqual, 1)
	})
	Convey("streams whose caller or forwarding instance left", t, func() {
		r := count(10, logLine(1, "x-1", "broke off", `"id":"a","code":"caller_left"`), logLine(1, "y-1", "broke off", `"id":"b","code":"sender_left"`))
		So(r.CallersLeft, ShouldEqual, 1)
		So(r.NotServed, ShouldEqual, 0)
	})
}

// Guards against a refusal code that is added and silently counted as other.
func TestEveryRefusalCodeHasACause(t *testing.T) {
	Convey("the codes of pipeline/exchange", t, func() {
		source, err := os.ReadFile("../../pipeline/exchange/types.go")
		So(err, ShouldBeNil)
		codes := regexp.MustCompile(`verdict\.Code = "([a-z_]+)"`).FindAllStringSubmatch(string(source), -1)
		So(len(codes), ShouldBeGreaterThan, 15)
		var other []string
		for _, code := range codes {
			if count(10, refusedLine(1, "x-1", code[1], false)).Causes[explain.CauseOther] > 0 {
				other = append(other, code[1])
			}
		}
		So(other, ShouldResemble, []string{"malformed_request", "body_too_large", "unknown_stream", "no_home_region"})
	})
}

// Guards against memory that grows with the log, and against a report that hides what it left out.
func TestLimits(t *testing.T) {
	Convey("lines about requests beyond the limit are counted, also of requests without an ID", t, func() {
		noID := logLine(2, "x-1", "refused", `"id":"","code":"no_route","passed":false`)
		r := count(2, refusedLine(1, "x-1", "overloaded", false), noID, noID, logLine(3, "x-1", "served", `"id":"c"`), logLine(4, "x-1", "attempt lost", lost))
		So(r.NotServed, ShouldEqual, 2)
		So(r.LinesBeyondLimit, ShouldEqual, 2)
		var out strings.Builder
		So(r.Write(&out), ShouldBeNil)
		So(out.String(), ShouldContainSubstring, "limit of 2 requests reached: 2 lines about other requests are not counted")
	})
	Convey("unreadable and missing lines are counted, and the lines after them are read", t, func() {
		r := count(10, "panic: other", "", `{"ts":"2026-03-01T1`, "x"+strings.Repeat("y", 3<<20), refusedLine(1, "x-1", "outranked", false),
			logLine(1, "x-1", "log lines missing", `"left_out":7,"dropped":2`), logLine(1, "x-2", "log lines missing", `"left_out":1,"dropped":0`),
			"  2.6 x-1 "+logLine(2, "x-1", "served", `"id":"c","passed":false`))
		So(r.UnreadableLines, ShouldEqual, 3)
		So([]int{r.MissingReports, r.MissingLeftOut, r.MissingDropped}, ShouldResemble, []int{2, 8, 2})
		So([]int{r.NotServed, r.Served}, ShouldResemble, []int{1, 1})
	})
}

// Guards against counts that depend on the order of files or differ between the tables.
func TestCountsDoNotDependOnOrder(t *testing.T) {
	Convey("any lines in any order", t, func() {
		rapid.Check(t, func(rt *rapid.T) {
			var lines []string
			for i := range rapid.IntRange(1, 40).Draw(rt, "lines") {
				id := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(rt, "id")
				message := rapid.SampledFrom([]string{"served", "refused", "broke off", "caller left", "attempt lost", "attempt failed", "stream broken"}).Draw(rt, "message")
				code := rapid.SampledFrom([]string{"no_target", "timeout", "target_lost", "overloaded", "later"}).Draw(rt, "code")
				lines = append(lines, logLine(i/2*100, rapid.SampledFrom([]string{"x-1", "y-1"}).Draw(rt, "instance"), message,
					fmt.Sprintf(`"id":%q,"code":%q,"verdict":"not_run","passed":%v,"result":%d,"wait_ms":%d,"first":1,"route":%q,"workspace":%q`,
						id, code, rapid.Bool().Draw(rt, "passed"), rapid.IntRange(0, 7).Draw(rt, "result"), i%3,
						rapid.SampledFrom([]string{"", "r", "s"}).Draw(rt, "route"), rapid.SampledFrom([]string{"", "v", "w"}).Draw(rt, "workspace"))))
			}
			r := count(100, lines...)
			shuffled := count(100, rapid.Permutation(lines).Draw(rt, "order")...)
			one, _ := json.Marshal(r)
			two, _ := json.Marshal(shuffled)
			if string(one) != string(two) {
				rt.Fatalf("in order: %s\nshuffled: %s", one, two)
			}
			bySecond := 0
			for _, s := range r.Seconds {
				bySecond += s.Causes.Total()
			}
			sum := func(c explain.CountsByName) (n int) {
				for _, counts := range c {
					n += counts.Total()
				}
				return n
			}
			for _, n := range []int{r.Causes.Total(), sum(r.Regions), sum(r.Routes), sum(r.Workspaces), bySecond} {
				if n != r.NotServed {
					rt.Fatalf("%d of %d requests are counted", n, r.NotServed)
				}
			}
		})
	})
}
