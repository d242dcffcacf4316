package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/platform/platformtest"
)

// part returns an answer with the events from to last of a stream, by runners of the versions in turn.
func part(stream string, from int, versions ...string) string {
	var b strings.Builder
	for n, v := range versions {
		b.WriteString(platformtest.EventAt(stream, from+n, v))
	}
	return b.String()
}

// Guards against a ledger that finds no stream of two software versions, and none that never goes on.
func TestLedgerFindsStreamsOfTwoVersions(t *testing.T) {
	whole := func(id, resumes string, after int, body string) Request {
		return Request{
			ID: id, Path: stream, Entry: "e", Start: began, End: began.Add(time.Second), Resumes: resumes, After: after,
			Outcome: platformtest.Outcome{Status: 200, Signed: true, Body: body},
		}
	}
	refused := Request{ID: "r", Path: stream, Entry: "e", Start: began, End: began, Resumes: "q", After: 1, Outcome: platformtest.Outcome{Status: 503}}
	allRefused := append(manyOf(minTakenUp, refused), manyOf(minTakenUp, whole("q", "", 0, part("q", 1, "v1", "v1", "v1")))...)
	for _, c := range []struct {
		name     string
		requests []Request
		want     string
		// faulty are the numbers of runners with a fault.
		faulty []int
	}{
		{"one version", []Request{whole("q", "", 0, part("q", 1, "v1", "v1", "v1"))}, "", nil},
		{"two in one answer", []Request{whole("q", "", 0, part("q", 1, "v1", "v2", "v2"))}, "holds events of [v1 v2]", nil},
		{"two over two answers", []Request{
			whole("q", "", 0, part("q", 1, "v1", "v1", "v1")), whole("r", "q", 2, part("q", 3, "v2")),
		}, "holds events of [v1 v2]", nil},
		{"one over two answers", []Request{
			whole("q", "", 0, part("q", 1, "v1", "v1", "v1")), whole("r", "q", 2, part("q", 3, "v1")),
		}, "", nil},
		{"the wrong rest", []Request{whole("r", "q", 1, part("q", 3, "v1"))}, "complete with", nil},
		{"all take-ups refused", allRefused, "0 of 12 streams", nil},
		{"all refused while one runner of the version serves", allRefused, "", []int{1}},
	} {
		l := &Ledger{Events: 3, Runs: func(id string) int {
			if id == "r" && c.requests[0].Status == 503 {
				return 0
			}
			return 1
		}, Deadline: time.Second, Slack: time.Second}
		for n := range minServing {
			l.AddTarget(n, platformtest.ServiceEngine, "r0", "v1", began.Add(-time.Minute))
		}
		for _, r := range c.requests {
			l.AddRequest(r)
		}
		for _, n := range c.faulty {
			l.AddDisturbance(Disturbance{Fault: Fault{Kind: Reject, Role: RoleRunner, Number: n}, From: began.Add(-time.Second), To: began.Add(time.Hour)})
		}
		found := strings.Join(l.Violations(), "\n")
		if (found == "") != (c.want == "") || !strings.Contains(found, c.want) {
			t.Errorf("%s: %q", c.name, found)
		}
	}
}

func manyOf(n int, r Request) (out []Request) {
	for range n {
		out = append(out, r)
	}
	return out
}

// Guards against a ledger that lets a poison request reach runners again and again once it is known.
func TestLedgerFindsPoisonRequestsThatAreSentOn(t *testing.T) {
	for _, c := range []struct {
		name      string
		later     int
		disturbed bool
		want      string
	}{
		{"three later", 3, false, ""},
		{"four later", 4, false, "reached runners 4 times more; 7 ended in all"},
		{"four later by an instance with a fault", 4, true, ""},
	} {
		l := &Ledger{Events: 3, Runs: func(string) int { return 1 }, Deadline: time.Second, Slack: time.Second}
		for n := range knownCrashes + c.later {
			at := began.Add(time.Duration(n) * time.Second)
			if n >= knownCrashes {
				at = at.Add(inTouch)
			}
			r := Request{ID: fmt.Sprint("p", n), Path: poisonPath, Entry: "e", Start: at, End: at, Outcome: platformtest.Outcome{Status: 502}}
			l.AddRequest(r)
			l.AddCrash(r.ID, at)
		}
		if c.disturbed {
			l.AddDisturbance(Disturbance{Fault: Fault{Kind: Cut, Role: RoleEntry}, From: began, To: began.Add(time.Hour), Entry: "e"})
		}
		found := strings.Join(l.Violations(), "\n")
		if (found == "") != (c.want == "") || !strings.Contains(found, c.want) {
			t.Errorf("%s: %q", c.name, found)
		}
	}
}
