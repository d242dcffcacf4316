package claim

import (
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// Symptom: a caller is told "not run" of a request that an earlier sending ran.
// Events: every reply of the table, and every failure to ask, for a sending of
// each mark.
// Cause: a refusal whose verdict looks at this sending only.
func TestWhatTheCallerIsTold(t *testing.T) {
	const nr, mhr = verdict.NotRun, verdict.MayHaveRun
	rows := []struct {
		reply         Reply
		action        Action
		first, resend verdict.Verdict
	}{
		{Running, Join, mhr, mhr},
		{MayHaveRun, Refuse, mhr, mhr},
		{Conflict, Refuse, nr, nr},
		{Held, Refuse, nr, mhr},
		{Released, Refuse, nr, mhr},
		{Full, Refuse, nr, mhr},
		{Stale, Refuse, nr, mhr},
		{OwnerLost, Refuse, nr, mhr},
		{Invalid, Refuse, nr, mhr},
	}
	for _, row := range rows {
		for _, mark := range []Mark{First, Resend, Unmarked} {
			g, _ := Open(start, Request{Mark: mark, Lifetime: time.Hour})
			s := g.Replied(start, Result{Reply: row.reply})
			want := row.resend
			if mark == First {
				want = row.first
			}
			if s.Action != row.action || s.Err.Verdict != want || g.BeginSend() {
				t.Errorf("%v, mark %d: action %d, verdict %v", row.reply, mark, s.Action, s.Err.Verdict)
			}
		}
	}
}

// Symptom: a request runs although its claim was never granted, or a claim
// stays with nobody.
// Events: no reply comes; the Gate asks until ClaimWait; the grant comes late.
// Cause: a send without a claim; a refusal that leaves its claim behind.
func TestNoClaimNoSend(t *testing.T) {
	for _, mark := range []Mark{First, Resend, Unmarked} {
		g, s := Open(start, Request{Mark: mark, Lifetime: time.Hour})
		first := s.Command.Claim.Attempt
		now := start
		asks := 0
		for ; s.Action == Propose; s = g.Failed(now, ReplyLost) {
			if s.Command.Claim.Attempt != first || g.BeginSend() {
				t.Fatal("asked under another attempt, or sent without a claim")
			}
			asks++
			now = s.At.Add(10 * time.Millisecond)
		}
		told := s.Err.Verdict == verdict.NotRun
		if asks < 3 || now.Sub(start) > ClaimWait || told != (mark == First) || s.Command.Abandon == nil {
			t.Fatalf("mark %d: %d asks in %v, then %+v", mark, asks, now.Sub(start), s)
		}
		if s = g.Replied(now, Result{Reply: Granted}); s.Action != Record || s.Command.Abandon == nil || g.BeginSend() {
			t.Fatalf("a late grant was kept: %+v", s)
		}
	}
}

// Symptom: "not run" was told, by a later sending that released the key, of a
// request that an earlier one then runs; or a finished key runs again.
// Events: a grant comes after ClaimWait; a grant comes a second time, after
// the end, while Finish is under way.
// Cause: a late grant that is used; a release by a Gate that has sent.
func TestLateAndDoubledGrants(t *testing.T) {
	g, _ := Open(start, Request{Lifetime: time.Hour})
	s := g.Replied(start.Add(ClaimWait), Result{Reply: Granted})
	if s.Action != Refuse || s.Err.Verdict != verdict.NotRun || s.Command.Abandon == nil || g.BeginSend() {
		t.Errorf("a late grant: %+v", s)
	}
	g, _ = Open(start, Request{Lifetime: time.Hour})
	g.Replied(start, Result{Reply: Granted})
	if !g.BeginSend() || g.BeginSend() {
		t.Error("one grant allows one send")
	}
	if s = g.Finished(start, verdict.Ran, 200, Digest{}); s.Command.Finish == nil {
		t.Errorf("the end: %+v", s)
	}
	if s = g.Replied(start, Result{Reply: Granted}); s.Command != nil || g.BeginSend() {
		t.Errorf("a doubled grant: %+v", s)
	}
}
