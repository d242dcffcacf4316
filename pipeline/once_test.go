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

// Symptom: a family pays twice.
// Events: the caller sends a confirmation again while the first sending runs,
// from many connections at once, or after its own connection broke.
// Cause: resends recognised only after the first has ended, or not at all.
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

// Symptom: the caller's connection breaks, the resend runs the work again, or
// the work is cancelled half way.
// Events: the caller leaves while its request runs, then sends it again.
// Cause: work that may run once is tied to its caller's connection.
func TestCallerThatLeavesFindsItsAnswer(t *testing.T) {
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

// Symptom: a resend at another instance runs again, or its caller is left without
// the answer that is on its way.
// Events: the first sending runs at one instance; the caller sends it again to
// another of the region, which asks the claims' home.
// Cause: running attempts known to their own instance only.
func TestResendAtAnotherInstanceJoins(t *testing.T) {
	first := newRig(t)
	out := &peers{name: "malang-2", handlers: map[string]http.Handler{}}
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

// Symptom: a booking is lost or doubled although the caller was told its state.
// Events: in a table; each is followed by a resend.
// Cause: a send without a claim, a second send under an old claim, or a verdict
// that forgets earlier sendings.
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
			r.checkEnd(first, c.want)
			if n := r.plain.Runs("k"); n != c.runs {
				t.Fatalf("ran %d times", n)
			}
			r.claims.fail(nil)
			r.plain.SetFaults()
			if c.claims != nil {
				r.checkLaterResend(confirm("k", "true"))
				return
			}
			r.checkEnd(confirm("k", "true"), c.again)
			if n := r.plain.Runs("k"); n != 1 {
				t.Fatalf("ran %d times after the resend", n)
			}
		})
	}
}

// checkLaterResend sends again when claims are kept again. It runs now, or is
// refused while the first sending's claim may still be under way.
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

// Symptom: a booking is refused although a target is there; or runs twice.
// Events: the first target chosen refuses the connection, the second takes it.
// Cause: a claim used up by a send that reached nobody.
func TestOnceGoesOnWhereNobodyWasReached(t *testing.T) {
	r := newRig(t, withDeps(func(d *Deps) {
		d.Decider = ordered{d.Decider, []route.TargetID{"desk-gone", "desk-0"}}
	}))
	r.addTarget("booking-desk", "desk-gone", "http://127.0.0.1:1")
	r.p.SetView(NewView(r.b, "", "jatim"))
	c := confirm("k", "true")
	r.checkEnd(c, verdict.Ran)
	r.checkRuns(c, 1)
}

// checkEnd sends and checks the verdict of what comes, an answer or a refusal.
func (r *rig) checkEnd(c call, want verdict.Verdict) {
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

// Symptom: a refusal of a resend says "not run" although the first sending ran.
// Events: the first sending ends well; the resend is malformed, over its limit,
// or sent with a wrong key.
// Cause: a verdict of this sending alone.
func TestRefusedResendIsNotCalledNotRun(t *testing.T) {
	r := newRig(t)
	r.checkEnd(confirm("k", "false"), verdict.Ran)
	for _, change := range []func(*call){
		func(c *call) { c.header[HeaderDeadline] = "soon" },
		func(c *call) { c.key = "wrong" },
		func(c *call) { c.header[HeaderResidency] = "bali" },
	} {
		for resend, want := range map[string]verdict.Verdict{"": verdict.MayHaveRun, "true": verdict.MayHaveRun, "false": verdict.NotRun} {
			c := confirm("k", resend)
			change(&c)
			r.checkEnd(c, want)
		}
	}
}

// Symptom: two requests under one key; one caller gets the other's answer.
// Events: a key is used again with another body.
// Cause: the key alone taken for the request.
func TestKeyWithAnotherBodyIsRefused(t *testing.T) {
	r := newRig(t)
	r.checkEnd(confirm("k", ""), verdict.Ran)
	other := confirm("k", "")
	other.body = "seat 4"
	resp := r.do(other)
	if got := readRefusal(t, resp); got.Code != claim.CodeConflict || got.Verdict != verdict.NotRun || r.plain.Runs("k") != 1 {
		t.Fatalf("%+v after %d runs", got, r.plain.Runs("k"))
	}
}

// lateRecords keeps claims, and records no end of one.
type lateRecords struct{ *memClaims }

func (l lateRecords) Propose(ctx context.Context, home string, c claim.Command) (claim.Result, error) {
	if c.Finish != nil {
		return claim.Result{}, errors.New("not yet")
	}
	return l.memClaims.Propose(ctx, home, c)
}

// Symptom: a caller whose answer was cut off is told that the request still runs, and to
// come back in a second, though it has ended.
// Events: the answer is cut; the caller sends the request again at once; the claim's home
// has not recorded the end yet.
// Cause: only the home's word was asked, and ends are recorded after they are told.
func TestResendBeforeTheEndIsRecorded(t *testing.T) {
	r := newRig(t, withDeps(func(d *Deps) { d.Claims = lateRecords{newMemClaims()} }))
	r.plain.SetFaults(standin.Fault{Kind: standin.FaultCut, Count: 1})
	r.checkEnd(confirm("k", ""), verdict.Ran)
	r.plain.SetFaults()
	for range 2 {
		r.checkEnd(confirm("k", "true"), verdict.Ran)
	}
	r.checkRuns(confirm("k", "true"), 1)
}
