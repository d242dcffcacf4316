package soak

import (
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/platform/platformtest"
)

var began = time.Unix(1_800_000_000, 0)

const unsafe, stream = platformtest.PathUnsafe + "x", platformtest.PathResumable + "events"

var errCut = errors.New("cut")

// ledgerOf returns a ledger with one request that ran a number of times.
func ledgerOf(runs int, r Request) *Ledger {
	l := &Ledger{Events: 3, Runs: func(string) int { return runs }, Deadline: time.Second, Slack: time.Second}
	r.ID, r.Entry, r.Start = "q", "e", began
	if r.End.IsZero() {
		r.End = began.Add(100 * time.Millisecond)
	}
	l.AddRequest(r)
	return l
}

func answered(path, body string) Request {
	return Request{Path: path, Outcome: platformtest.Outcome{Status: 200, Signed: true, Body: body}}
}

// Guards against checks that find nothing: each guarantee is violated once.
func TestLedgerFindsWhatMustNotBe(t *testing.T) {
	refused := Request{Path: unsafe, Outcome: platformtest.Outcome{Status: 503}}
	cut := Request{Path: unsafe, Outcome: platformtest.Outcome{Err: errCut}}
	late := answered(unsafe, platformtest.Answer("q"))
	late.End = began.Add(3 * time.Second)
	for _, c := range []struct {
		name string
		l    *Ledger
		want string
	}{
		{"an answer", ledgerOf(1, answered(unsafe, platformtest.Answer("q"))), ""},
		{"a second run", ledgerOf(2, answered(unsafe, platformtest.Answer("q"))), "ran 2 times"},
		{"a stream that is resumed runs again", ledgerOf(2, answered(stream, platformtest.Stream("q", 3))), ""},
		{"a stream that is not", ledgerOf(2, answered(platformtest.PathStream+"events", platformtest.Stream("q", 3))), "ran 2 times"},
		{"no run", ledgerOf(0, answered(unsafe, platformtest.Answer("q"))), "did not run"},
		{"a refusal", ledgerOf(0, refused), ""},
		{"a false refusal", ledgerOf(1, refused), "was refused and ran"},
		{"a runner's own 503", ledgerOf(1, Request{Path: unsafe, Outcome: platformtest.Outcome{Status: 503, Signed: true}}), ""},
		{"another one's answer", ledgerOf(1, answered(unsafe, platformtest.Answer("p"))), "complete with"},
		{"a short stream that is complete", ledgerOf(1, answered(stream, platformtest.Stream("q", 2))), "complete with"},
		{"a doubled event", ledgerOf(1, answered(stream, platformtest.Stream("q", 2)+platformtest.Event("q", 2))), "complete with"},
		{"a gap before a cut", ledgerOf(1, Request{Path: stream, Outcome: platformtest.Outcome{
			Status: 200, Body: platformtest.Event("q", 2), Err: errCut,
		}}), "other bytes"},
		{"a late answer", ledgerOf(1, late), "took 3s"},
		{"a request that ran is cut off", ledgerOf(1, cut), "broken off without a fault"},
		{"one that has not run", ledgerOf(0, cut), ""},
	} {
		Convey(c.name, t, func() {
			got := strings.Join(c.l.Violations(), "\n")
			if c.want == "" {
				So(got, ShouldEqual, "")
				return
			}
			So(got, ShouldContainSubstring, c.want)
		})
	}
}

func TestFaultsExplainOnlyWhatTheyOverlap(t *testing.T) {
	disturbance := func(k Kind, entry string, from, to time.Duration) Disturbance {
		return Disturbance{Fault: Fault{Kind: k}, Entry: entry, From: began.Add(from), To: began.Add(to)}
	}
	cut := Request{Path: unsafe, Outcome: platformtest.Outcome{Err: errCut}}
	late := answered(unsafe, platformtest.Answer("q"))
	late.End = began.Add(3 * time.Second)
	for _, c := range []struct {
		name   string
		r      Request
		d      Disturbance
		faults int
	}{
		{"a kill explains a cut", cut, disturbance(Kill, "other", 0, time.Second), 0},
		{"planned work does not", cut, disturbance(Restart, "e", 0, time.Second), 1},
		{"nor one that was over", cut, disturbance(Kill, "e", -time.Second, 0), 1},
		{"a fault there explains a late answer", late, disturbance(Pause, "e", 0, time.Second), 0},
		{"one elsewhere does not", late, disturbance(Pause, "other", 0, time.Second), 1},
	} {
		Convey(c.name, t, func() {
			l := ledgerOf(1, c.r)
			l.AddDisturbance(c.d)
			So(len(l.Violations()), ShouldEqual, c.faults)
		})
	}
}

// Guards against a request that planned work cuts and that is not found, as an instance was about to end then.
func TestOnlyTheEndOfAGracePeriodExplainsACut(t *testing.T) {
	for _, c := range []struct {
		name, entry string
		// sent and ended are times after the signal.
		sent, ended time.Duration
		faults      int
	}{
		{"sent soon, cut in the last sixth", "e", 2900 * time.Millisecond, 5500 * time.Millisecond, 0},
		{"cut before", "e", 2900 * time.Millisecond, 4900 * time.Millisecond, 1},
		{"sent late", "e", 3100 * time.Millisecond, 5500 * time.Millisecond, 1},
		{"cut at another instance", "other", 2900 * time.Millisecond, 5500 * time.Millisecond, 1},
	} {
		Convey(c.name, t, func() {
			l := &Ledger{Runs: func(string) int { return 1 }, Deadline: time.Minute}
			l.AddRequest(Request{Path: unsafe, Entry: "e", Start: began.Add(c.sent), End: began.Add(c.ended), Outcome: platformtest.Outcome{Err: errCut}})
			l.AddDisturbance(Disturbance{Fault: Fault{Kind: Restart}, Entry: c.entry, From: began, To: began.Add(7 * time.Second)})
			So(len(l.Violations()), ShouldEqual, c.faults)
		})
	}
}

func TestOldVersionsAreFound(t *testing.T) {
	Convey("version 5 is acknowledged at 1 s", t, func() {
		l := &Ledger{}
		l.AddAcknowledged(5, began.Add(time.Second))
		l.CheckRead(4, began.Add(500*time.Millisecond), "a")
		So(l.Violations(), ShouldBeEmpty)
		l.CheckRead(5, began.Add(2*time.Second), "a")
		So(l.Violations(), ShouldBeEmpty)
		l.CheckRead(4, began.Add(2*time.Second), "a")
		So(len(l.Violations()), ShouldEqual, 1)
	})
}
