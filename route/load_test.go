package route

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// pastAttempt is an own attempt with its times in seconds; tokens are those to
// prefill and to hold in memory.
type pastAttempt struct {
	sent, ended, tokens float64
}

// Guards against a target that looks idle or loaded long after it was: reports
// lag, and come between attempts and ends in any order. An attempt must not be
// counted twice (by itself and by a report that includes it) or not at all; the
// estimate must equal a replay of all events.
func TestLoadCountsAttemptsMissingFromReport(t *testing.T) {
	const rate, never = 1000.0, math.MaxFloat64
	rapid.Check(t, func(t *rapid.T) {
		var l load
		var all []pastAttempt
		now, reportedAt := 0.0, -1.0
		var last Report
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += float64(rapid.IntRange(1, 1000).Draw(t, "ms")) / 1000
			open := rapid.IntRange(0, max(0, len(all)-1)).Draw(t, "which")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				p := pastAttempt{sent: now, ended: never, tokens: float64(rapid.IntRange(1, 3000).Draw(t, "tokens"))}
				all = append(all, p)
				l.send(now, sentAttempt{tokens: p.tokens, memory: p.tokens}, rate, peers{})
			case 1:
				if len(all) > 0 && all[open].ended == never {
					all[open].ended = now
					l.end(now, all[open].sent, all[open].tokens)
				}
			case 2:
				at := now - float64(rapid.IntRange(0, 1500).Draw(t, "lag"))/1000
				if at <= reportedAt || at < 0 {
					continue
				}
				reportedAt = at
				last = Report{Running: 50, WaitingTokens: rapid.IntRange(0, 5000).Draw(t, "queue")}
				l.report(now, at, last, rate, peers{})
			}
			checkLoad(t, &l, all, last, now, reportedAt, rate)
		}
	})
}

// checkLoad fails the test if the estimate of l at now differs from a replay of
// all attempts since the last report.
func checkLoad(t *rapid.T, l *load, all []pastAttempt, last Report, now, reportedAt, rate float64) {
	own, memory := 0, 0.0
	in, pending, asOf := float64(last.Running), float64(last.WaitingTokens), max(0, reportedAt)
	for _, p := range all {
		open := p.ended > now
		if open {
			own++
			memory += p.tokens
		}
		switch {
		case p.sent > reportedAt:
			pending = max(0, pending-rate*(p.sent-asOf)) + p.tokens
			asOf = p.sent
			if open {
				in++
			}
		case p.ended > reportedAt && !open:
			in--
		}
	}
	pending = max(0, pending-rate*(now-asOf))
	l.advance(now, rate, peers{})
	if l.ownInFlight != own || math.Abs(l.ownTokens-memory) > 1e-6 {
		t.Fatalf("%d own attempts of %v tokens, want %d of %v", l.ownInFlight, l.ownTokens, own, memory)
	}
	if math.Abs(l.pendingTokens-pending) > 1e-6 {
		t.Fatalf("%v tokens pending, want %v", l.pendingTokens, pending)
	}
	if got := l.inFlight(now, math.Inf(1), peers{}); reportedAt >= 0 && got != max(in, float64(own)) {
		t.Fatalf("%v in flight, want %v", got, in)
	}
}
