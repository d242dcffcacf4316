package route

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against requests to a target during a rest that it has asked for, and against a target
// that gets none after it.
func TestRestingTargetIsNotChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestRouter(3)
		now, restUntil := epoch, map[TargetID]time.Time{}
		for n := range AttemptID(60) {
			now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
			q := prompt(100)
			d := r.Decide(now, q)
			if d.Action != Send {
				for id := range r.targets {
					// The router counts in fractions of a second, as floats.
					if now.After(restUntil[id].Add(time.Microsecond)) {
						t.Fatalf("%v of %s while %s has room", d, d.Reason, id)
					}
					if end := now.Add(d.RetryAfter); d.Action == Refuse && end.Before(restUntil[id]) && len(restUntil) == 1 {
						t.Fatalf("told to return %v before the rest ends", restUntil[id].Sub(end))
					}
				}
				continue
			}
			if now.Before(restUntil[d.Target]) {
				t.Fatalf("%s is chosen %v before the end of its rest", d.Target, restUntil[d.Target].Sub(now))
			}
			r.Sent(now, n+1, q, d)
			end := End{Attempt: n + 1, Outcome: Succeeded, OutputTokens: 10, CachedTokens: -1}
			if rapid.Bool().Draw(t, "rests") {
				end.Outcome, end.Rest = Rejected, time.Duration(rapid.IntRange(1, 3000).Draw(t, "rest"))*time.Millisecond
				restUntil[d.Target] = now.Add(end.Rest)
			}
			r.Ended(now, end)
		}
	})
}

// Guards against refusals while a busy target might accept the request, and against its choice
// beside a free one.
func TestBusyTargetIsChosenLast(t *testing.T) {
	r := newTestRouter(2)
	q := prompt(100)
	first := r.Decide(epoch, q)
	r.Sent(epoch, 1, q, first)
	r.Ended(epoch, End{Attempt: 1, Outcome: Rejected, Busy: time.Second})
	now := epoch.Add(100 * time.Millisecond)
	for range 20 {
		if d := r.Decide(now, q); d.Action != Send || d.Target == first.Target {
			t.Fatalf("%+v", d)
		}
	}
	for id := range r.targets {
		if id != first.Target {
			q.Tried = append(q.Tried, id)
		}
	}
	if d := r.Decide(now, q); d.Action != Send || d.Target != first.Target {
		t.Fatalf("%+v", d)
	}
}

// Guards against refusals that tell another time than the end of the first rest.
func TestRefusalDuringRestsTellsWhenTheFirstEnds(t *testing.T) {
	r := newTestRouter(2)
	for n, rest := range []time.Duration{9 * time.Second, 7 * time.Second} {
		q := prompt(100)
		d := r.Decide(epoch, q)
		r.Sent(epoch, AttemptID(n+1), q, d)
		r.Ended(epoch, End{Attempt: AttemptID(n + 1), Outcome: Rejected, Rest: rest})
	}
	d := r.Decide(epoch.Add(time.Second), prompt(100))
	if d.Action != Refuse || d.RetryAfter < 6*time.Second || d.RetryAfter > 6*time.Second+restSpread {
		t.Fatalf("%+v", d)
	}
}
