package e2e

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/pipeline"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/ports/enginehttp"
	"github.com/gullhaven/gullhaven/ports/transport"
	"github.com/gullhaven/gullhaven/standin"
)

// leavingDelay is how long a leaving target may still get new work.
const leavingDelay = 2 * time.Second

// Guards against instances that act on a target's former state: a leaving target must
// finish its requests and get no new ones. Long answers run at two engines while a
// bundle marks one as leaving and requests continue. Then the other one drains by an
// order while the first is active again.
func TestLeavingTargetFinishesAndGetsNothingNew(t *testing.T) {
	c := startShape(t, shape{perRegion: 3, engines: 2, inProcessTargets: true})
	targets := c.targets["jatim"]
	leaves, stays := targets.engines[0], targets.engines[1]
	running := c.startLong("by bundle", targets)
	b := c.next(c.bundle, "one leaves")
	b.Targets = slices.Clone(b.Targets)
	setState(b, engineID("jatim", 0), bundle.TargetLeaving)
	c.mustRoll(b)
	c.checkNoNewWork(leaves, stays, "after the bundle")
	running.finish(t)
	b = c.next(b, "it stays")
	b.Targets = slices.Clone(b.Targets)
	setState(b, engineID("jatim", 0), bundle.TargetActive)
	c.mustRoll(b)
	c.awaitWork(leaves, "active again")
	running = c.startLong("by itself", targets)
	c.order(stays, ports.OrderDrain)
	c.checkNoNewWork(stays, leaves, "after its drain")
	running.finish(t)
}

func setState(b *bundle.Bundle, id string, s bundle.TargetState) {
	for i := range b.Targets {
		if b.Targets[i].ID == id {
			b.Targets[i].State = s
		}
	}
}

// order sends an order to an engine, as its platform or a person would.
func (c *cluster) order(e *engineTarget, kind ports.OrderKind) {
	c.t.Helper()
	transports := transport.NewTransports(transport.Options{})
	defer transports.Close()
	o := ports.Order{ID: "by-hand", Kind: kind, Fence: 1 << 40, Expires: time.Now().Add(time.Minute)}
	_, err := enginehttp.New(e.address, transports).Order(c.t.Context(), o)
	must(c.t, err)
}

// maxLongAnswers bounds the long answers of a test.
const maxLongAnswers = 64

// longAnswers are running answers of some seconds.
type longAnswers struct {
	name    string
	results chan error
	started int
}

// startLong starts long answers, one after the other has begun, until both engines of a
// region run at least two. The choice of engines is random, so the number of answers
// varies. An answer that waits for a slot would begin later, as if it were new work.
func (c *cluster) startLong(name string, s *regionTargets) *longAnswers {
	c.t.Helper()
	l := &longAnswers{name: name, results: make(chan error, maxLongAnswers)}
	before := []int64{s.engines[0].Counts().Runs, s.engines[1].Counts().Runs}
	c.eventually("both engines run long answers", func() error {
		if l.started > 0 && s.runsOf(l.prompt(l.started-1)) == 0 {
			return errorString(l.prompt(l.started-1) + " has not begun")
		}
		for k, e := range s.engines {
			if e.Counts().Runs-before[k] < 2 {
				l.startOne(c)
				return errorString(fmt.Sprintf("one idles, %d begun", l.started))
			}
		}
		return nil
	})
	return l
}

// startOne starts another long answer, up to maxLongAnswers.
func (l *longAnswers) startOne(c *cluster) {
	if l.started == maxLongAnswers {
		return
	}
	i, prompt := c.inRegion("jatim")[l.started%3], l.prompt(l.started)
	l.started++
	go func() { l.results <- c.longBriefing(i, prompt) }()
}

func (l *longAnswers) prompt(n int) string { return fmt.Sprint(l.name, " ", n) }

// longBriefing requests and checks an answer of about five seconds.
func (c *cluster) longBriefing(i *instance, prompt string) error {
	const tokens = 2500
	text, err := c.briefing(i, "jatim", prompt, tokens)
	if err == nil && text != standin.Answer([]byte(prompt), tokens) {
		err = errorString(prompt + ": the answer is another")
	}
	return err
}

// finish waits for all answers, which must be complete.
func (l *longAnswers) finish(t *testing.T) {
	t.Helper()
	for range l.started {
		if err := <-l.results; err != nil {
			t.Error(err)
		}
	}
}

// checkNoNewWork waits for leavingDelay and checks that all further requests go to the
// other engine: none starts or is rejected at the leaving one.
func (c *cluster) checkNoNewWork(leaves, stays *engineTarget, what string) {
	c.t.Helper()
	time.Sleep(leavingDelay)
	before, other := leaves.Counts(), stays.Counts()
	const requests = 40
	for n := range requests {
		i, prompt := c.inRegion("jatim")[n%3], fmt.Sprint(what, " ", n)
		text, err := c.briefing(i, "jatim", prompt, 4)
		if err != nil || text != standin.Answer([]byte(prompt), 4) {
			c.t.Errorf("%s: %q, %v", i.id(), text, err)
		}
	}
	after := leaves.Counts()
	if after.Runs != before.Runs || after.Rejected != before.Rejected {
		c.t.Errorf("%s: the leaving engine went from %+v to %+v", what, before, after)
	}
	if n := stays.Counts().Runs - other.Runs; n != requests {
		c.t.Errorf("%s: the other engine ran %d of %d", what, n, requests)
	}
}

// awaitWork waits until an engine gets work.
func (c *cluster) awaitWork(e *engineTarget, what string) {
	c.t.Helper()
	before, n := e.Counts().Runs, 0
	c.eventually("the engine gets work, "+what, func() error {
		n++
		_, err := c.briefing(c.inRegion("jatim")[n%3], "jatim", fmt.Sprint(what, " ", n), 4)
		if err == nil && e.Counts().Runs == before {
			err = errorString("none yet")
		}
		return err
	})
}

// Guards against a planned stop that waits for connections only, or ends before a
// booking's outcome is recorded. SIGTERM arrives while two bookings run, one whose
// caller waits and one whose caller has left; both are resent to another instance.
func TestGracefulStopFinishesBookings(t *testing.T) {
	c := startShape(t, shape{perRegion: 2, inProcessTargets: true})
	l, i, other := newLedger(c), c.inRegion("jatim")[1], c.inRegion("jatim")[0]
	desk := c.targets["jatim"].desk
	// The booking whose caller has left still runs after the last connection has ended.
	desk.SetFaults(
		standin.Fault{Kind: standin.FaultLate, Match: "waits", DelayMillis: 1500},
		standin.Fault{Kind: standin.FaultLate, Match: "leaves", DelayMillis: 5000},
	)
	waits := make(chan *reply, 1)
	go func() { waits <- c.tryBook(i, "waits") }()
	leaves, leave := context.WithCancel(t.Context())
	go c.bookUntil(leaves, i, "leaves")
	c.eventually("both run", func() error {
		if c.bookingRuns("waits")+c.bookingRuns("leaves") < 2 {
			return errorString("not yet")
		}
		return nil
	})
	leave()
	i.signal(syscall.SIGTERM)
	if r := <-waits; r == nil || r.status != http.StatusOK {
		t.Errorf("the caller that waits got %+v", r)
	}
	<-i.exited
	if code := i.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	desk.SetFaults()
	for _, key := range []string{"waits", "leaves"} {
		l.resend(other, key)
		if l.lastVerdicts[key] != verdict.Ran || c.bookingRuns(key) != 1 {
			t.Errorf("%s: got %v, %d runs", key, l.lastVerdicts[key], c.bookingRuns(key))
		}
	}
}

// tryBook is book; it returns nil if there is no reply.
func (c *cluster) tryBook(i *instance, key string) *reply {
	r, err := c.book(i, "jatim", key, nil)
	if err != nil {
		return nil
	}
	return r
}

// bookUntil sends a booking whose caller leaves with ctx.
func (c *cluster) bookUntil(ctx context.Context, i *instance, key string) {
	url := "http://" + i.settings.Listen.Callers + "/services/desk/bookings/" + key
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"booking":"`+key+`"}`))
	if err != nil {
		return // the booking never runs then, which fails the test
	}
	req.Header.Set("Authorization", "Bearer "+keyOf("jatim"))
	req.Header.Set(pipeline.HeaderIdempotencyKey, key)
	if resp, err := c.client.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}
