package claim

import (
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// Guards against a caller that is told "not run" although an earlier attempt ran: every
// reply of the table, for an attempt of each mark. The cause would be a refusal whose
// verdict covers this attempt only.
func TestVerdictReportedToTheCaller(t *testing.T) {
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

// Guards against a request that runs without a granted claim, and a claim left without an
// owner: no reply arrives, the Gate proposes until ClaimWait, and the grant arrives late.
func TestNoClaimNoSend(t *testing.T) {
	for _, mark := range []Mark{First, Resend, Unmarked} {
		g, s := Open(start, Request{Mark: mark, Lifetime: time.Hour})
		first := s.Command.Claim.Attempt
		now := start
		proposals := 0
		for ; s.Action == Propose; s = g.Failed(now, ReplyLost) {
			if s.Command.Claim.Attempt != first || g.BeginSend() {
				t.Fatal("proposed under another attempt id, or sent without a claim")
			}
			proposals++
			now = s.At.Add(10 * time.Millisecond)
		}
		notRun := s.Err.Verdict == verdict.NotRun
		if proposals < 3 || now.Sub(start) > ClaimWait || notRun != (mark == First) || s.Command.Abandon == nil {
			t.Fatalf("mark %d: %d proposals in %v, then %+v", mark, proposals, now.Sub(start), s)
		}
		if s = g.Replied(now, Result{Reply: Granted}); s.Action != Record || s.Command.Abandon == nil || g.BeginSend() {
			t.Fatalf("a late grant was kept: %+v", s)
		}
	}
}

// Guards against a request that runs although a later attempt, which released the key, was
// told "not run", and against a finished key that runs again. A grant arrives after
// ClaimWait, or a second time after the end while Finish is in flight.
func TestLateAndDuplicateGrants(t *testing.T) {
	g, _ := Open(start, Request{Lifetime: time.Hour})
	s := g.Replied(start.Add(ClaimWait), Result{Reply: Granted})
	if s.Action != Refuse || s.Err.Verdict != verdict.NotRun || s.Command.Abandon == nil || g.BeginSend() {
		t.Errorf("late grant: %+v", s)
	}
	g, _ = Open(start, Request{Lifetime: time.Hour})
	g.Replied(start, Result{Reply: Granted})
	if !g.BeginSend() || g.BeginSend() {
		t.Error("one grant allows one send")
	}
	if s = g.Finished(start, verdict.Ran, 200, Digest{}); s.Command.Finish == nil {
		t.Errorf("end of the send: %+v", s)
	}
	if s = g.Replied(start, Result{Reply: Granted}); s.Command != nil || g.BeginSend() {
		t.Errorf("duplicate grant: %+v", s)
	}
}
