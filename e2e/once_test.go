package e2e

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/pipeline"
	"github.com/gullhaven/gullhaven/standin"
)

// ledger records the last verdict that callers got for each key, to compare it with
// the desks' counters.
type ledger struct {
	c            *cluster
	mu           sync.Mutex
	lastVerdicts map[string]verdict.Verdict
}

func newLedger(c *cluster) *ledger { return &ledger{c: c, lastVerdicts: map[string]verdict.Verdict{}} }

// record records the verdict of a reply and checks it against the current counters
// and the previous verdict.
func (l *ledger) record(what, key string, r *reply) {
	l.c.t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := l.c.bookingRuns(key)
	if r.callerVerdict() == verdict.NotRun && runs != 0 {
		l.c.t.Errorf("%s: %s got not_run after %d runs: %s", what, key, runs, r.body)
	}
	if before, known := l.lastVerdicts[key]; known && before == verdict.Ran && r.callerVerdict() == verdict.NotRun {
		l.c.t.Errorf("%s: %s got ran, and now not_run", what, key)
	}
	l.lastVerdicts[key] = r.callerVerdict()
}

// book sends a booking, which must get a reply, and records it.
func (l *ledger) book(what string, i *instance, key string, h headers) *reply {
	l.c.t.Helper()
	r := l.c.mustBook(i, "jatim", key, h)
	l.record(what, key, r)
	return r
}

// checkFinal checks that the last verdicts of all keys are still true.
func (l *ledger) checkFinal() {
	l.c.t.Helper()
	for key, said := range l.lastVerdicts {
		runs := l.c.bookingRuns(key)
		if runs > 1 || (said == verdict.NotRun && runs != 0) || (said == verdict.Ran && runs != 1) {
			l.c.t.Errorf("%s got %v and ran %d times", key, said, runs)
		}
	}
}

// failureCase is a way in which a booking can fail.
type failureCase struct {
	name string
	// fault of the desk for the booking.
	fault standin.Fault
	// before, during and after are run before, during and after the attempt.
	before, during, after func()
	headers               headers
	// wantVerdicts are the allowed verdicts, and wantRuns is the number of runs.
	wantVerdicts []verdict.Verdict
	wantRuns     int
}

// Guards against verdicts that depend on the last error alone, in a table of losses
// before, during and after a target accepted a booking: a caller that gets "not run",
// resends and pays twice, or gets it forever for a booking that never ran.
func TestNotRunIsTrue(t *testing.T) {
	c := startShape(t, shape{perRegion: 3, inProcessTargets: true})
	l := newLedger(c)
	home, desk := c.voter("jatim"), c.targets["jatim"].desk
	through := c.inRegion("jatim")[1]
	nothing := func() {}
	notRun, maybe := []verdict.Verdict{verdict.NotRun}, []verdict.Verdict{verdict.MayHaveRun}
	began := []verdict.Verdict{verdict.MayHaveRun, verdict.Ran}
	freeze, resume := func() { home.signal(syscall.SIGSTOP) }, func() { home.signal(syscall.SIGCONT) }
	restart := func() {
		through.start()
		c.awaitInForce(c.bundle)
	}
	late := standin.Fault{Kind: standin.FaultLate, DelayMillis: 1500}
	soon := headers{pipeline.HeaderDeadline: "500"}
	for _, f := range []failureCase{
		{"target-gone-first", standin.Fault{}, desk.down, nothing, desk.up, markedFirst, notRun, 0},
		{"target-gone-unmarked", standin.Fault{}, desk.down, nothing, desk.up, nil, notRun, 0},
		{"target-breaks-off", standin.Fault{Kind: standin.FaultCrash}, nothing, nothing, nothing, markedFirst, began, 1},
		{"target-lost-while-it-runs", late, nothing, desk.down, desk.up, markedFirst, began, 1},
		{"half-an-answer", standin.Fault{Kind: standin.FaultCut}, nothing, nothing, nothing, markedFirst, began, 1},
		{"deadline-while-it-runs", late, nothing, nothing, nothing, soon, began, 1},
		{"never-answered", standin.Fault{Kind: standin.FaultHang}, nothing, nothing, nothing, soon, began, 1},
		{"home-frozen-first", standin.Fault{}, freeze, nothing, resume, markedFirst, notRun, 0},
		{"home-frozen-unmarked", standin.Fault{}, freeze, nothing, resume, nil, maybe, 0},
		{"home-frozen-resend", standin.Fault{}, freeze, nothing, resume, markedResend, maybe, 0},
		{"instance-lost-while-it-runs", late, nothing, through.kill, restart, markedFirst, nil, 1},
	} {
		f.run(l, through, f.name)
		// A refused booking does not run later, and a resent one runs once.
		f.run(l, through, f.name+"-again")
		l.resend(c.inRegion("jatim")[2], f.name+"-again")
	}
	for _, there := range c.inRegion("bali") {
		l.checkOtherRegion(through, there)
	}
	l.checkFinal()
}

// resend resends a booking until its answer is final. If its last verdict was
// not_run, it must run now.
func (l *ledger) resend(i *instance, key string) {
	c := l.c
	c.t.Helper()
	before, known := l.lastVerdict(key)
	c.eventually(key+" is answered by "+i.id(), func() error {
		r, err := c.book(i, "jatim", key, markedResend)
		if err != nil {
			return err
		}
		l.record("resend", key, r)
		if r.refusal.RetryAfterMillis > 0 {
			return errorString(r.body)
		}
		return nil
	})
	if after, _ := l.lastVerdict(key); known && before == verdict.NotRun && after != verdict.Ran {
		c.t.Errorf("%s got not_run, and its resend %v", key, after)
	}
}

// lastVerdict returns the last verdict of a key.
func (l *ledger) lastVerdict(key string) (v verdict.Verdict, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, known = l.lastVerdicts[key]
	return v, known
}

// checkOtherRegion sends bookings to another region: after their home region refused
// them, after they ran there, and to both at once.
func (l *ledger) checkOtherRegion(here, there *instance) {
	c := l.c
	c.t.Helper()
	desk := c.targets[here.settings.Region].desk
	moves, stays := "moves-"+there.id(), "stays-"+there.id()
	desk.down()
	l.book("refused at home", here, moves, markedFirst)
	l.resend(there, moves)
	desk.up()
	l.resend(here, moves)
	l.book("ran at home", here, stays, markedFirst)
	l.resend(there, stays)
	for n := range 10 {
		key := fmt.Sprint("race-", there.id(), "-", n)
		var wg sync.WaitGroup
		for _, i := range []*instance{here, there, c.inRegion("jatim")[2]} {
			wg.Go(func() {
				r, err := c.book(i, "jatim", key, nil)
				if err == nil && r.callerVerdict() == verdict.NotRun && c.bookingRuns(key) != 0 {
					c.t.Errorf("%s got not_run and ran: %s", key, r.body)
				}
			})
		}
		wg.Wait()
		l.resend(there, key)
	}
}

// run runs the case with a booking of this key.
func (f failureCase) run(l *ledger, i *instance, key string) {
	c := l.c
	c.t.Helper()
	if f.fault.Kind != "" {
		f.fault.Match, f.fault.Count = key, 1
		c.targets["jatim"].desk.SetFaults(f.fault)
	}
	f.before()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r, err := c.book(i, "jatim", key, f.headers)
		if err != nil {
			return // a broken connection has no verdict
		}
		l.record(f.name, key, r)
		if !slices.Contains(f.wantVerdicts, r.callerVerdict()) {
			c.t.Errorf("%s: got %v: %s", f.name, r.callerVerdict(), r.body)
		}
	}()
	if f.wantRuns > 0 {
		c.eventually(f.name+" reached the desk", func() error {
			if c.bookingRuns(key) == 0 {
				return errorString("no run yet")
			}
			return nil
		})
	}
	f.during()
	<-done
	f.after()
	if n := c.bookingRuns(key); n != f.wantRuns {
		c.t.Errorf("%s: %d runs, want %d", f.name, n, f.wantRuns)
	}
}
