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

// leavingTime is how long a leaving target may still get new work.
const leavingTime = 2 * time.Second

// Symptom: a target that leaves gets new work, or what it runs is cut off.
// Events: long answers run at two engines; a bundle that marks one as leaving
// comes into force; requests go on. Then the other drains by itself while the
// first is active again.
// Cause: instances that go by what they knew of a target before.
func TestLeavingTargetFinishesAndGetsNothingNew(t *testing.T) {
	c := startShape(t, shape{perRegion: 3, engines: 2, sites: true})
	site := c.sites["jatim"]
	leaves, stays := site.engines[0], site.engines[1]
	running := c.startLong("by bundle", site)
	b := c.next(c.bundle, "one leaves")
	b.Targets = slices.Clone(b.Targets)
	setState(b, engineID("jatim", 0), bundle.TargetLeaving)
	c.mustRoll(b)
	c.getsNothingNew(leaves, stays, "after the bundle")
	running.finish(t)
	b = c.next(b, "it stays")
	b.Targets = slices.Clone(b.Targets)
	setState(b, engineID("jatim", 0), bundle.TargetActive)
	c.mustRoll(b)
	c.serving(leaves, "active again")
	running = c.startLong("by itself", site)
	c.order(stays, ports.OrderDrain)
	c.getsNothingNew(stays, leaves, "after its drain")
	running.finish(t)
}

func setState(b *bundle.Bundle, id string, s bundle.TargetState) {
	for i := range b.Targets {
		if b.Targets[i].ID == id {
			b.Targets[i].State = s
		}
	}
}

// order gives an engine an order, as its platform or a person would.
func (c *cluster) order(e *engineTarget, kind ports.OrderKind) {
	c.t.Helper()
	transports := transport.NewTransports(transport.Options{})
	defer transports.Close()
	o := ports.Order{ID: "by-hand", Kind: kind, Fence: 1 << 40, Expires: time.Now().Add(time.Minute)}
	_, err := enginehttp.New(e.address, transports).Order(c.t.Context(), o)
	must(c.t, err)
}

// maxLong bounds the long answers of one test.
const maxLong = 64

// long are answers of some seconds that run.
type long struct {
	results chan error
	started int
}

// startLong begins long answers until both engines of a site run some. Which
// engine takes one is drawn, so their number is not known before.
func (c *cluster) startLong(name string, s *site) *long {
	c.t.Helper()
	l := &long{results: make(chan error, maxLong)}
	before := []int64{s.engines[0].Counts().Runs, s.engines[1].Counts().Runs}
	c.eventually("both engines run long answers", func() error {
		for k, e := range s.engines {
			if e.Counts().Runs-before[k] < 2 {
				l.another(c, name)
				return errorString(fmt.Sprintf("one idles, %d begun", l.started))
			}
		}
		return nil
	})
	return l
}

// another begins one more long answer, within the bound.
func (l *long) another(c *cluster, name string) {
	if l.started == maxLong {
		return
	}
	n := l.started
	l.started++
	i := c.in("jatim")[n%3]
	go func() { l.results <- c.longBriefing(i, fmt.Sprint(name, " ", n)) }()
}

// longBriefing checks an answer of about five seconds.
func (c *cluster) longBriefing(i *instance, prompt string) error {
	const tokens = 2500
	text, err := c.briefing(i, "jatim", prompt, tokens)
	if err == nil && text != standin.Answer([]byte(prompt), tokens) {
		err = errorString(prompt + ": the answer is another")
	}
	return err
}

// finish waits for all answers, which must be whole.
func (l *long) finish(t *testing.T) {
	t.Helper()
	for range l.started {
		if err := <-l.results; err != nil {
			t.Error(err)
		}
	}
}

// getsNothingNew waits for the time given to a leaving target and checks that
// requests go elsewhere after it: no run begins there, and none is refused there.
func (c *cluster) getsNothingNew(leaves, stays *engineTarget, what string) {
	c.t.Helper()
	time.Sleep(leavingTime)
	before, other := leaves.Counts(), stays.Counts()
	const requests = 40
	for n := range requests {
		i, prompt := c.in("jatim")[n%3], fmt.Sprint(what, " ", n)
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

// serving waits until an engine gets work.
func (c *cluster) serving(e *engineTarget, what string) {
	c.t.Helper()
	before, n := e.Counts().Runs, 0
	c.eventually("the engine gets work, "+what, func() error {
		n++
		_, err := c.briefing(c.in("jatim")[n%3], "jatim", fmt.Sprint(what, " ", n), 4)
		if err == nil && e.Counts().Runs == before {
			err = errorString("none yet")
		}
		return err
	})
}

// Symptom: a planned stop of an instance loses a booking's outcome.
// Events: SIGTERM comes while bookings run, one whose caller waits and one whose
// caller has left; both are sent again elsewhere.
// Cause: a stop that waits for connections only, or ends before the outcome is
// recorded.
func TestGracefulStopFinishesBookings(t *testing.T) {
	c := startShape(t, shape{perRegion: 2, sites: true})
	l, i, other := newLedger(c), c.in("jatim")[1], c.in("jatim")[0]
	desk := c.sites["jatim"].desk
	// The one whose caller has left runs on after the last connection has ended.
	desk.SetFaults(
		standin.Fault{Kind: standin.FaultLate, Match: "waits", DelayMillis: 1500},
		standin.Fault{Kind: standin.FaultLate, Match: "leaves", DelayMillis: 5000},
	)
	waits := make(chan *reply, 1)
	go func() { waits <- c.mayBook(i, "waits") }()
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
		if l.said[key] != verdict.Ran || c.bookingRuns(key) != 1 {
			t.Errorf("%s: told %v, %d runs", key, l.said[key], c.bookingRuns(key))
		}
	}
}

// mayBook is book whose failure is nil.
func (c *cluster) mayBook(i *instance, key string) *reply {
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
		return // the booking never runs then, which the test finds out
	}
	req.Header.Set("Authorization", "Bearer "+keyOf("jatim"))
	req.Header.Set(pipeline.HeaderIdempotencyKey, key)
	if resp, err := c.client.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}
