package route

import (
	"testing"
	"time"
)

// Symptom: idle targets refuse long prompts as overload, or spill them.
// Events: little load; the size of the memory is learned too small.
// Cause: a wait for more memory than is in use.
func TestIdleTargetsHaveNoWaitForMemory(t *testing.T) {
	r := region(2)
	grantFrom(r, epoch, 30)
	s := r.services["llm"]
	s.memory = memory{used: 0.5, running: 1, ownTokens: 1000, own: 1, weighted: 60, tokens: 1}
	queue(r, epoch, 0)
	q := prompt(10_000)
	q.Deadline = epoch.Add(10 * time.Second)
	if d := r.Decide(epoch, q); d.Action != Send {
		t.Fatalf("%+v with nothing in use", d)
	}
	r.Report(epoch.Add(1), Report{Target: "here-0", At: epoch.Add(1), Running: 1, KVUsed: 0.1})
	r.Report(epoch.Add(1), Report{Target: "here-1", At: epoch.Add(1), Running: 1, KVUsed: 0.9})
	if d := r.Decide(epoch.Add(1), q); d.Action != Send || d.Target != "here-0" {
		t.Fatalf("%+v, want the target that frees its memory sooner", d)
	}
}

// Symptom: a healthy target is taken for slow or stalled.
// Events: the host chooses it itself for requests that must run alone.
// Cause: no prediction with such a sending, read as one of no time at all.
func TestSendingsOfTheHostTeachNoWrongSpeed(t *testing.T) {
	r := region(2)
	q := prompt(20_000)
	took := duration(20_000 / modelTarget(0, "here").PrefillRate)
	for i := range 10 {
		now := epoch.Add(time.Duration(i) * time.Minute)
		r.Sent(now, AttemptID(i), q, Decision{Action: Send, Target: "here-0"})
		r.Decide(now.Add(took-time.Millisecond), prompt(1))
		if s := r.targets["here-0"].stalled; s != 0 {
			t.Fatalf("stalled for %v s", s)
		}
		r.FirstToken(now.Add(took), AttemptID(i))
		r.Ended(now.Add(took), End{Attempt: AttemptID(i), Outcome: Succeeded, OutputTokens: 1, CachedTokens: -1})
	}
	if f := r.targets["here-0"].speed.first.factor(); f < 0.9 || f > 1.1 {
		t.Fatalf("learned a factor of %v", f)
	}
}

// Symptom: a target's load stays as it was for an hour.
// Events: its clock is ahead, then right again; reports come late.
// Cause: the time of a report compared as if all had one clock.
func TestReportsOfAWrongClock(t *testing.T) {
	r := region(1)
	at := func(now, said time.Duration, running int) float64 {
		r.Report(epoch.Add(now), Report{Target: "here-0", At: epoch.Add(said), Running: running})
		v := r.targets["here-0"]
		return v.load.inFlight(now.Seconds(), r.cfg.ReportStale.Seconds(), peers{})
	}
	q := prompt(100)
	steps := []struct {
		now, said time.Duration
		running   int
		want      float64
	}{
		{time.Second, time.Hour, 3, 3},
		{2 * time.Second, time.Hour, 4, 4},
		{3 * time.Second, time.Second, 9, 4},
		{20 * time.Second, 3 * time.Second, 9, 0}, // too old: own sendings count alone
		{20 * time.Second, 19 * time.Second, 6, 6},
	}
	for i, s := range steps {
		if got := at(s.now, s.said, s.running); got != s.want {
			t.Fatalf("step %d: %v in flight, want %v", i, got, s.want)
		}
	}
	now := epoch.Add(20 * time.Second)
	r.Sent(now, 1, q, r.Decide(now, q))
	if got := r.targets["here-0"].load.sentSince; got != 1 {
		t.Fatalf("%d own sendings since the report", got)
	}
}

// Symptom: a target's cache is believed warm after a restart, or its events are
// dropped until their number has caught up.
func TestCacheEventsOfANewLife(t *testing.T) {
	r := region(1)
	c := r.targets["here-0"].cache
	for _, e := range []CacheEvent{{Seq: 1, Stored: []uint64{7}}, {Seq: 2, Stored: []uint64{8}}, {Seq: 2, Evicted: []uint64{7}}} {
		e.Target = "here-0"
		r.CacheEvent(epoch, e)
	}
	if len(c.at) != 2 {
		t.Fatalf("%d blocks held, want 2", len(c.at))
	}
	r.CacheEvent(epoch, CacheEvent{Target: "here-0", Seq: 1, Stored: []uint64{9}})
	if _, ok := c.at[9]; !ok || len(c.at) != 1 {
		t.Fatalf("%d blocks held after a new life, want the one told", len(c.at))
	}
	steps := []struct {
		state State
		held  int
	}{{Leaving, 1}, {Warm, 1}, {Loading, 1}, {Warm, 0}}
	for i, s := range steps {
		spec := modelTarget(0, "here")
		spec.State = s.state
		r.SetTargets(epoch, []TargetSpec{spec})
		if len(c.at) != s.held {
			t.Fatalf("step %d: %d blocks held, want %d", i, len(c.at), s.held)
		}
	}
}

// Symptom: long queues at targets whose caches were lost.
// Events: the engine tells smaller hits than predicted.
// Cause: predictions that never look at what came of them.
func TestTrustFollowsTheHitsTold(t *testing.T) {
	v := &target{trust: 1}
	for range 30 {
		v.sawHit(1000, 0)
	}
	low := v.trust
	v.sawHit(1000, -1)
	v.sawHit(0, 50)
	if low > 0.1 || v.trust != low {
		t.Fatalf("trust %v, then %v without an observation", low, v.trust)
	}
	for range 30 {
		v.sawHit(500, 2000)
	}
	if v.trust < 0.9 || v.trust > 1 {
		t.Fatalf("trust %v after good hits", v.trust)
	}
}
