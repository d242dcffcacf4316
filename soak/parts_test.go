package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/platform/platformtest"
)

// Guards against a ledger that lets requests with a deadly part reach runners again and again once it is
// known, or lets sound requests of the same first part be refused with them.
func TestLedgerFindsDeadlyPartsThatAreSentOn(t *testing.T) {
	const all = 40
	for _, c := range []struct {
		name string
		// later is the number of late deadly requests, and sound that of sound ones of all that begin late.
		later, sound int
		disturbed    bool
		want         string
	}{
		{"three later", 3, all, false, ""},
		{"four later", 4, all, false, "reached runners 4 times more; 9 ended in all"},
		{"four later by an instance with a fault", 4, all, true, ""},
		{"half of the sound ones", 3, all / 2, false, ""},
		{"fewer sound ones", 3, all/2 - 1, false, "19 of 40 sound requests of the same first part began, 40 of 40 without faults"},
	} {
		l := &Ledger{Events: 3, Runs: func(id string) int { return strings.Count(id, "ran") }, Deadline: time.Second, Slack: time.Second}
		add := func(id string, at time.Time, began bool) {
			r := Request{ID: id + "-refused", Path: promptPath, Entry: "e", Start: at, End: at, Outcome: platformtest.Outcome{Status: http.StatusServiceUnavailable}}
			if began {
				r.ID, r.Outcome = id+"-ran", platformtest.Outcome{Status: http.StatusOK, Signed: true, Body: platformtest.Stream(id+"-ran", 3)}
			}
			l.AddRequest(r)
		}
		deadly := func(n int, at time.Time) {
			id := fmt.Sprint(deadlyPrefix, n, "-ran")
			l.AddRequest(Request{ID: id, Path: promptPath, Entry: "e", Start: at, End: at, Outcome: platformtest.Outcome{Status: http.StatusBadGateway}})
			l.AddCrash(id, at)
		}
		for n := range all {
			add(fmt.Sprint(soundPrefix, n), began.Add(-time.Second), true)
		}
		for n := range knownPartCrashes {
			deadly(n, began)
		}
		for n := range all {
			add(fmt.Sprint(soundPrefix, all+n), began.Add(2*inTouch+time.Second), n < c.sound)
		}
		for n := range c.later {
			deadly(knownPartCrashes+n, began.Add(3*inTouch))
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
