package cli_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/metrics/burn"
	"github.com/gullhaven/gullhaven/operate"
	"github.com/gullhaven/gullhaven/operate/cli"
)

// burnInstance starts an instance with a history of a hundred requests, of which the
// first were refused. The name of their workspace contains markup.
func burnInstance(b *harness, id, region string, refused int) *httptest.Server {
	h := burn.NewHistory(id, region, 1)
	for i := range 100 {
		e := burn.Event{Service: "briefing-llm", Workspace: "<b>pilots</b>"}
		if i < refused {
			e.Cause = burn.Refused
		}
		h.Observe(b.clock, e)
	}
	history, err := h.Snapshot(b.clock).Encode(1 << 20)
	convey.So(err, convey.ShouldBeNil)
	answer := operate.BurnAnswer{
		Instance: id, Region: region, Version: 3, AtMillis: b.clock.UnixMilli(), History: history,
		Services: []operate.BurnObjective{{Service: "briefing-llm", Objective: 0.95, FirstTokenMillis: 1400}},
	}
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != operate.BurnPath {
			w.WriteHeader(http.StatusNotFound)
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
}

func TestReportBurn(t *testing.T) {
	convey.Convey("Given two instances that saw requests and one that does not answer", t, func() {
		b := newHarness(t)
		one, two := burnInstance(b, "malang-1", "jatim", 100), burnInstance(b, "denpasar-1", "bali", 20)
		defer one.Close()
		defer two.Close()
		to := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
		silent := "127.0.0.1:1"
		args := []string{"report", "burn", "--to", to(one), "--to", to(two), "--to", silent}

		convey.Convey("the table merges both, shows causes and names the missing instance", func() {
			convey.So(b.run(args...), convey.ShouldEqual, cli.ExitOK)
			out := b.out.String()
			convey.So(out, convey.ShouldContainSubstring, "120 of 200")
			convey.So(out, convey.ShouldContainSubstring, "refused 100")
			convey.So(out, convey.ShouldContainSubstring, "not answered: "+silent)
			convey.So(b.err.String(), convey.ShouldContainSubstring, silent+" did not answer")
		})
		convey.Convey("JSON has the same, and fast burn can fail a check", func() {
			convey.So(b.run(append(args, "--json", "--fail-on", "slow")...), convey.ShouldEqual, cli.ExitRefused)
			var report operate.BurnReport
			convey.So(json.Unmarshal(b.out.Bytes(), &report), convey.ShouldBeNil)
			convey.So(report.Rows[0].Verdict, convey.ShouldEqual, burn.Slow)
			convey.So(report.Unreachable, convey.ShouldHaveLength, 1)
			convey.So(report.Worst(), convey.ShouldEqual, burn.Fast)
		})
		convey.Convey("the page is self-contained and escapes names", func() {
			convey.So(b.run(append(args, "--html", b.path("burn.html"))...), convey.ShouldEqual, cli.ExitOK)
			data, err := os.ReadFile(b.path("burn.html"))
			convey.So(err, convey.ShouldBeNil)
			text := string(data)
			convey.So(strings.Count(text, "<svg"), convey.ShouldEqual, 3)
			convey.So(text, convey.ShouldContainSubstring, "&lt;b&gt;pilots")
			for _, outside := range []string{"<script", "src=", "href=", "url(", "http:", "https:", "ZgotmplZ"} {
				convey.So(text, convey.ShouldNotContainSubstring, outside)
			}
		})
		convey.Convey("without any answer the exit code says so", func() {
			convey.So(b.run("report", "burn", "--to", silent), convey.ShouldEqual, cli.ExitUnreachable)
		})
	})
}
