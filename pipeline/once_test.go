package pipeline

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
	"github.com/gullhaven/gullhaven/standin"
)

const deskPath = "/services/booking-desk/confirm"

func confirm(key string, resend string) call {
	c := call{path: deskPath, body: "seat 3", header: map[string]string{HeaderIdempotencyKey: key}}
	if resend != "" {
		c.header[HeaderResend] = resend
	}
	return c
}

// Guards against running a request twice when the caller sends it again while
// the first one runs, here from many connections at once: resends are recognised
// too late or not at all.
func TestResendsJoinTheRunningAttempt(t *testing.T) {
	r := newRig(t)
	r.plain.SetFaults(standin.Fault{Kind: standin.FaultLate, DelayMillis: 50})
	answers := make([]string, 16)
	var wait sync.WaitGroup
	for i := range answers {
		wait.Go(func() {
			resp := r.do(confirm("k1", ""))
			body, _ := io.ReadAll(resp.Body)
			answers[i] = fmt.Sprint(resp.StatusCode, string(body))
		})
	}
	wait.Wait()
	whole := 0
	for _, a := range answers {
		switch {
		case a == answers[0] && a[:3] == "200":
			whole++
		case a[:3] != "409" && a[:3] != "200":
			t.Errorf("answered %s", a)
		}
	}
	if n := r.plain.Runs("k1"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
	if whole == 0 {
		t.Fatalf("nobody got the answer: %v", answers)
	}
}

// Guards against tying a request that runs at most once to its caller's
// connection: when the connection breaks, the work is cancelled halfway, or the
// resend runs it again.
func TestResendAfterDisconnectGetsTheAnswer(t *testing.T) {
	r := newRig(t)
	ctx, leave := context.WithCancel(context.Background())
	left := make(chan struct{})
	r.onPlain = func() {
		leave()
		<-left
	}
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, r.url+deskPath, strings.NewReader("seat 3"))
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set(HeaderIdempotencyKey, "k2")
	if _, err := http.DefaultClient.Do(req); err == nil {
		t.Fatal("the caller did not leave")
	}
	close(left)
	resp := r.do(confirm("k2", "true"))
	if resp.StatusCode != http.StatusOK || resp.Header.Get(HeaderReplayed) != "true" || r.plain.Runs("k2") != 1 {
		t.Fatalf("status %d after %d runs", resp.StatusCode, r.plain.Runs("k2"))
	}
}

// Guards against a resend at another instance of the region that runs the
// request again, or gets no answer while the first attempt runs: the attempt is
// known to its own instance only.
func TestResendAtAnotherInstanceJoins(t *testing.T) {
	first := newRig(t)
	out := &localForwarder{name: "malang-2", handlers: map[string]http.Handler{}}
	second := newRig(t, withDeps(func(d *Deps) {
		d.Instance, d.Claims, d.Forwarder = claim.Instance{ID: "malang-2"}, first.claims, out
	}))
	out.handlers["malang-1"] = first.p.PeerHandler(KindPlain, peerName)
	runs, goOn := make(chan struct{}), make(chan struct{})
	first.onPlain = func() { close(runs); <-goOn }
	answered := make(chan string)
	ask := func(r *rig) {
		body, _ := io.ReadAll(r.do(confirm("k", "")).Body)
		answered <- string(body)
	}
	go ask(first)
	<-runs
	go ask(second)
	for first.p.InFlight() < 3 { // the first caller, the run, and the joined resend
		runtime.Gosched()
	}
	close(goOn)
	if a, b := <-answered, <-answered; a != b || second.plain.Runs("k") != 0 {
		t.Fatalf("%s, and %s", a, b)
	}
	// Until its end is recorded the kept answer comes from the first instance.
	resp := second.do(confirm("k", "true"))
	if resp.StatusCode == http.StatusOK && resp.Header.Get(HeaderReplayed) == "true" {
		return
	}
	if got := readRefusal(t, resp); got.Code != CodeAlreadyRan || got.Verdict != verdict.Ran {
		t.Fatalf("after its end: %+v", got)
	}
}

// Guards against a request that runs twice, or whose verdict is wrong: it is sent
// without a claim or a second time under an old one, or the verdict leaves out
// earlier attempts. Each case is followed by a resend.
func TestAtMostOnce(t *testing.T) {
	crash := standin.Fault{Kind: standin.FaultCrash, Count: 1}
	for _, c := range []struct {
		name   string
		resend string
		fault  standin.Fault
		claims error
		want   verdict.Verdict
		runs   int
		again  verdict.Verdict
	}{
		{"breaks while running", "false", crash, nil, verdict.MayHaveRun, 1, verdict.MayHaveRun},
		{"cut answer", "", standin.Fault{Kind: standin.FaultCut, Count: 1}, nil, verdict.Ran, 1, verdict.Ran},
		{"no claim, first", "false", standin.Fault{}, ports.ErrClaimNotSent, verdict.NotRun, 0, 0},
		{"no claim, unmarked", "", standin.Fault{}, ports.ErrClaimNotSent, verdict.MayHaveRun, 0, 0},
		{"reply lost, first", "false", standin.Fault{}, errors.New("lost"), verdict.NotRun, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.plain.SetFaults(c.fault)
			r.claims.fail(c.claims)
			first := confirm("k", c.resend)
			if c.claims != nil {
				first.header[HeaderDeadline] = "400"
			}
			r.checkVerdict(first, c.want)
			if n := r.plain.Runs("k"); n != c.runs {
				t.Fatalf("ran %d times", n)
			}
			r.claims.fail(nil)
			r.plain.SetFaults()
			if c.claims != nil {
				r.checkLaterResend(confirm("k", "true"))
				return
			}
			r.checkVerdict(confirm("k", "true"), c.again)
			if n := r.plain.Runs("k"); n != 1 {
				t.Fatalf("ran %d times after the resend", n)
			}
		})
	}
}

// checkLaterResend sends a request again after claims work again. It runs, or is
// refused while the first request's claim may still be in flight.
func (r *rig) checkLaterResend(c call) {
	r.t.Helper()
	resp := r.do(c)
	if resp.StatusCode == http.StatusOK {
		r.checkRuns(c, 1)
		return
	}
	if got := readRefusal(r.t, resp); got.Code != claim.CodeHeld || got.Verdict != verdict.MayHaveRun {
		r.t.Fatalf("%+v", got)
	}
	r.checkRuns(c, 0)
}

func (r *rig) checkRuns(c call, want int) {
	r.t.Helper()
	if n := r.plain.Runs(c.header[HeaderIdempotencyKey]); n != want {
		r.t.Fatalf("ran %d times", n)
	}
}

// Guards against a claim that is used up by an attempt which reached no target:
// the request is refused although the second target accepts it, or runs twice.
func TestAtMostOnceRetriesAnUnreachedTarget(t *testing.T) {
	r := newRig(t, withDeps(func(d *Deps) {
		d.Decider = orderedDecider{d.Decider, []route.TargetID{"desk-gone", "desk-0"}}
	}))
	r.addTarget("booking-desk", "desk-gone", "http://127.0.0.1:1")
	r.p.SetView(NewView(r.b, "", "jatim"))
	c := confirm("k", "true")
	r.checkVerdict(c, verdict.Ran)
	r.checkRuns(c, 1)
}

// checkVerdict sends a request and checks the verdict of the answer or refusal.
func (r *rig) checkVerdict(c call, want verdict.Verdict) {
	r.t.Helper()
	resp, err := r.try(c)
	if err != nil {
		if want != verdict.Ran {
			r.t.Fatalf("broke off: %v", err)
		}
		return
	}
	if got := resp.Header.Get(HeaderVerdict); got != want.String() {
		body, _ := io.ReadAll(resp.Body)
		r.t.Fatalf("%d, verdict %q, want %q: %s", resp.StatusCode, got, want, body)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
}

// Guards against a resend that is refused with "not run" although the first
// request ran: the verdict covers the resend alone. The resend is malformed, has
// a wrong key or is in a wrong region.
func TestRefusedResendIsNotCalledNotRun(t *testing.T) {
	r := newRig(t)
	r.checkVerdict(confirm("k", "false"), verdict.Ran)
	for _, change := range []func(*call){
		func(c *call) { c.header[HeaderDeadline] = "soon" },
		func(c *call) { c.key = "wrong" },
		func(c *call) { c.header[HeaderResidency] = "bali" },
	} {
		for resend, want := range map[string]verdict.Verdict{"": verdict.MayHaveRun, "true": verdict.MayHaveRun, "false": verdict.NotRun} {
			c := confirm("k", resend)
			change(&c)
			r.checkVerdict(c, want)
		}
	}
}

// Guards against identifying a request by its idempotency key alone: a caller
// that uses a key again with another body gets the other request's answer.
func TestKeyWithAnotherBodyIsRefused(t *testing.T) {
	r := newRig(t)
	r.checkVerdict(confirm("k", ""), verdict.Ran)
	other := confirm("k", "")
	other.body = "seat 4"
	resp := r.do(other)
	if got := readRefusal(t, resp); got.Code != claim.CodeConflict || got.Verdict != verdict.NotRun || r.plain.Runs("k") != 1 {
		t.Fatalf("%+v after %d runs", got, r.plain.Runs("k"))
	}
}

// lateRecords grants claims but fails to record their ends.
type lateRecords struct{ *memClaims }

func (l lateRecords) Propose(ctx context.Context, home string, c claim.Command) (claim.Result, error) {
	if c.Finish != nil {
		return claim.Result{}, errors.New("not yet")
	}
	return l.memClaims.Propose(ctx, home, c)
}

// heldRecords grants claims and holds the record of an end until release is closed.
type heldRecords struct {
	*memClaims
	release chan struct{}
}

func (h heldRecords) Propose(ctx context.Context, home string, c claim.Command) (claim.Result, error) {
	if c.Finish != nil {
		<-h.release
	}
	return h.memClaims.Propose(ctx, home, c)
}

// Guards against an instance that stops once nothing is in flight and leaves a claim whose request has ended: a
// resend at another instance is told that it still runs.
func TestEndsThatAreNotRecordedYetAreCounted(t *testing.T) {
	held := heldRecords{newMemClaims(), make(chan struct{})}
	r := newRig(t, withDeps(func(d *Deps) { d.Claims = held }))
	r.checkVerdict(confirm("k", ""), verdict.Ran)
	for r.p.InFlight() > 0 {
		runtime.Gosched()
	}
	if n := r.p.Unrecorded(); n != 1 {
		t.Errorf("%d ends to be recorded, 1 expected", n)
	}
	close(held.release)
	for r.p.Unrecorded() > 0 {
		runtime.Gosched()
	}
}

// Guards against telling a caller whose answer was cut off that its request still runs: it
// sends the request again at once, and the region that keeps the claim has not recorded the
// end yet, as ends are recorded after they are sent to the caller.
func TestResendBeforeTheEndIsRecorded(t *testing.T) {
	r := newRig(t, withDeps(func(d *Deps) { d.Claims = lateRecords{newMemClaims()} }))
	r.plain.SetFaults(standin.Fault{Kind: standin.FaultCut, Count: 1})
	r.checkVerdict(confirm("k", ""), verdict.Ran)
	r.plain.SetFaults()
	for range 2 {
		r.checkVerdict(confirm("k", "true"), verdict.Ran)
	}
	r.checkRuns(confirm("k", "true"), 1)
}
