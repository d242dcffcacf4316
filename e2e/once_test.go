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

// ledger keeps what callers were told of each key, to be held against the
// desks' counters.
type ledger struct {
	c    *cluster
	mu   sync.Mutex
	said map[string]verdict.Verdict
}

func newLedger(c *cluster) *ledger { return &ledger{c: c, said: map[string]verdict.Verdict{}} }

// note notes the last word on a key and checks it against the counters of now.
func (l *ledger) note(what, key string, r *reply) {
	l.c.t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := l.c.bookingRuns(key)
	if r.told() == verdict.NotRun && runs != 0 {
		l.c.t.Errorf("%s: %s was told not_run after %d runs: %s", what, key, runs, r.body)
	}
	if before, known := l.said[key]; known && before == verdict.Ran && r.told() == verdict.NotRun {
		l.c.t.Errorf("%s: %s was told ran, and now not_run", what, key)
	}
	l.said[key] = r.told()
}

// book sends a booking and notes the answer, which must come.
func (l *ledger) book(what string, i *instance, key string, h headers) *reply {
	l.c.t.Helper()
	r := l.c.mustBook(i, "jatim", key, h)
	l.note(what, key, r)
	return r
}

// settle checks the last words on all keys: what was told stays true.
func (l *ledger) settle() {
	l.c.t.Helper()
	for key, said := range l.said {
		runs := l.c.bookingRuns(key)
		if runs > 1 || (said == verdict.NotRun && runs != 0) || (said == verdict.Ran && runs != 1) {
			l.c.t.Errorf("%s was told %v and ran %d times", key, said, runs)
		}
	}
}

// failureCase is one way in which a booking can fail.
type failureCase struct {
	name string
	// fault of the desk for the first sending.
	fault standin.Fault
	// breaks is done before the sending, during it, and mends after it.
	breaks, during, mends func()
	headers               headers
	// told is what the first sending must be told, and runs what it must have led to.
	told []verdict.Verdict
	runs int
}

// Symptom: a caller is told "not run", sends again, and pays twice; or is told
// so for ever of what never ran.
// Events: a table of losses before, during and after a target took a booking.
// Cause: a verdict by the last error alone.
func TestNotRunIsTrue(t *testing.T) {
	c := startShape(t, shape{perRegion: 3, sites: true})
	l := newLedger(c)
	home, desk := c.voter("jatim"), c.sites["jatim"].desk
	through := c.in("jatim")[1]
	nothing := func() {}
	notRun, maybe := []verdict.Verdict{verdict.NotRun}, []verdict.Verdict{verdict.MayHaveRun}
	began := []verdict.Verdict{verdict.MayHaveRun, verdict.Ran}
	freeze, thaw := func() { home.signal(syscall.SIGSTOP) }, func() { home.signal(syscall.SIGCONT) }
	restart := func() {
		through.start()
		c.inForce(c.bundle)
	}
	late := standin.Fault{Kind: standin.FaultLate, DelayMillis: 1500}
	soon := headers{pipeline.HeaderDeadline: "500"}
	for _, f := range []failureCase{
		{"target-gone-first", standin.Fault{}, desk.down, nothing, desk.up, firstSending, notRun, 0},
		{"target-gone-unmarked", standin.Fault{}, desk.down, nothing, desk.up, nil, notRun, 0},
		{"target-breaks-off", standin.Fault{Kind: standin.FaultCrash}, nothing, nothing, nothing, firstSending, began, 1},
		{"target-lost-while-it-runs", late, nothing, desk.down, desk.up, firstSending, began, 1},
		{"half-an-answer", standin.Fault{Kind: standin.FaultCut}, nothing, nothing, nothing, firstSending, began, 1},
		{"deadline-while-it-runs", late, nothing, nothing, nothing, soon, began, 1},
		{"never-answered", standin.Fault{Kind: standin.FaultHang}, nothing, nothing, nothing, soon, began, 1},
		{"home-frozen-first", standin.Fault{}, freeze, nothing, thaw, firstSending, notRun, 0},
		{"home-frozen-unmarked", standin.Fault{}, freeze, nothing, thaw, nil, maybe, 0},
		{"home-frozen-resend", standin.Fault{}, freeze, nothing, thaw, resent, maybe, 0},
		{"instance-lost-while-it-runs", late, nothing, through.kill, restart, firstSending, nil, 1},
	} {
		f.run(l, through, f.name)
		// What was refused is not run later, and what is sent again runs once.
		f.run(l, through, f.name+"-again")
		l.resend(c.in("jatim")[2], f.name+"-again")
	}
	for _, there := range c.in("bali") {
		l.elsewhere(through, there)
	}
	l.settle()
}

// resend sends a booking again until its answer is final. One that was told
// not_run must run now.
func (l *ledger) resend(i *instance, key string) {
	c := l.c
	c.t.Helper()
	before, known := l.word(key)
	c.eventually(key+" is answered by "+i.id(), func() error {
		r, err := c.book(i, "jatim", key, resent)
		if err != nil {
			return err
		}
		l.note("resend", key, r)
		if r.refusal.RetryAfterMillis > 0 {
			return errorString(r.body)
		}
		return nil
	})
	if after, _ := l.word(key); known && before == verdict.NotRun && after != verdict.Ran {
		c.t.Errorf("%s was told not_run, and its resend %v", key, after)
	}
}

// word is the last word on a key.
func (l *ledger) word(key string) (v verdict.Verdict, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, known = l.said[key]
	return v, known
}

// elsewhere sends bookings to another region: after they were refused at home,
// after they ran there, and to both at once.
func (l *ledger) elsewhere(here, there *instance) {
	c := l.c
	c.t.Helper()
	desk := c.sites[here.settings.Region].desk
	moves, stays := "moves-"+there.id(), "stays-"+there.id()
	desk.down()
	l.book("refused at home", here, moves, firstSending)
	l.resend(there, moves)
	desk.up()
	l.resend(here, moves)
	l.book("ran at home", here, stays, firstSending)
	l.resend(there, stays)
	for n := range 10 {
		key := fmt.Sprint("race-", there.id(), "-", n)
		var wg sync.WaitGroup
		for _, i := range []*instance{here, there, c.in("jatim")[2]} {
			wg.Go(func() {
				r, err := c.book(i, "jatim", key, nil)
				if err == nil && r.told() == verdict.NotRun && c.bookingRuns(key) != 0 {
					c.t.Errorf("%s was told not_run and ran: %s", key, r.body)
				}
			})
		}
		wg.Wait()
		l.resend(there, key)
	}
}

// run has one booking fail.
func (f failureCase) run(l *ledger, i *instance, key string) {
	c := l.c
	c.t.Helper()
	if f.fault.Kind != "" {
		f.fault.Match, f.fault.Count = key, 1
		c.sites["jatim"].desk.SetFaults(f.fault)
	}
	f.breaks()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r, err := c.book(i, "jatim", key, f.headers)
		if err != nil {
			return // a broken connection says nothing
		}
		l.note(f.name, key, r)
		if !slices.Contains(f.told, r.told()) {
			c.t.Errorf("%s: told %v: %s", f.name, r.told(), r.body)
		}
	}()
	if f.runs > 0 {
		c.eventually(f.name+" reached the desk", func() error {
			if c.bookingRuns(key) == 0 {
				return errorString("no run yet")
			}
			return nil
		})
	}
	f.during()
	<-done
	f.mends()
	if n := c.bookingRuns(key); n != f.runs {
		c.t.Errorf("%s: %d runs, want %d", f.name, n, f.runs)
	}
}
