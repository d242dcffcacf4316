package route

import (
	"testing"
	"time"
)

// Guards against idle targets that refuse or spill long prompts: at little load
// the memory size can be learned too small, and the predicted wait then covers
// more memory than is in use.
func TestIdleTargetsHaveNoWaitForMemory(t *testing.T) {
	r := newTestRouter(2)
	grantFrom(r, epoch, 30)
	s := r.services["llm"]
	s.memory = memory{used: 0.5, running: 1, ownTokens: 1000, own: 1, tokenSeconds: 60, tokens: 1}
	reportQueue(r, epoch, 0)
	q := prompt(10_000)
	q.Deadline = epoch.Add(10 * time.Second)
	if d := r.Decide(epoch, q); d.Action != Send {
		t.Fatalf("%+v with nothing in use", d)
	}
	r.Report(epoch.Add(1), Report{Target: "here-0", At: epoch.Add(1), Running: 1, KVUsed: 0.1})
	r.Report(epoch.Add(1), Report{Target: "here-1", At: epoch.Add(1), Running: 1, KVUsed: 0.9})
	if d := r.Decide(epoch.Add(1), q); d.Action != Send || d.Target != "here-0" {
		t.Fatalf("%+v, want the target whose memory is freed sooner", d)
	}
}

// Guards against a healthy target that counts as slow or stalled: attempts that
// the host placed itself, for requests that must run alone, have no prediction,
// which must not be read as a prediction of zero.
func TestHostChosenAttemptsKeepLearnedSpeed(t *testing.T) {
	r := newTestRouter(2)
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
	if f := r.targets["here-0"].speed.firstToken.factor(); f < 0.9 || f > 1.1 {
		t.Fatalf("learned a factor of %v", f)
	}
}

// Guards against a target's load that stays unchanged for an hour: its clock
// was ahead and is then corrected, and report times are compared as if all
// clocks agreed.
func TestReportsWithWrongClock(t *testing.T) {
	r := newTestRouter(1)
	at := func(now, reportTime time.Duration, running int) float64 {
		r.Report(epoch.Add(now), Report{Target: "here-0", At: epoch.Add(reportTime), Running: running})
		v := r.targets["here-0"]
		return v.load.inFlight(now.Seconds(), r.cfg.ReportStale.Seconds(), peers{})
	}
	q := prompt(100)
	steps := []struct {
		now, reportTime time.Duration
		running         int
		want            float64
	}{
		{time.Second, time.Hour, 3, 3},
		{2 * time.Second, time.Hour, 4, 4},
		{3 * time.Second, time.Second, 9, 4},
		{20 * time.Second, 3 * time.Second, 9, 0}, // too old: only own attempts count
		{20 * time.Second, 19 * time.Second, 6, 6},
	}
	for i, s := range steps {
		if got := at(s.now, s.reportTime, s.running); got != s.want {
			t.Fatalf("step %d: %v in flight, want %v", i, got, s.want)
		}
	}
	now := epoch.Add(20 * time.Second)
	r.Sent(now, 1, q, r.Decide(now, q))
	if got := r.targets["here-0"].load.sentSinceReport; got != 1 {
		t.Fatalf("%d own attempts since the report", got)
	}
}

// Guards against a target's cache that counts as warm after a restart, and
// against dropping its events until their sequence number has caught up.
func TestCacheEventsAfterRestart(t *testing.T) {
	r := newTestRouter(1)
	c := r.targets["here-0"].cache
	for _, e := range []CacheEvent{{Seq: 1, Stored: []uint64{7}}, {Seq: 2, Stored: []uint64{8}}, {Seq: 2, Evicted: []uint64{7}}} {
		e.Target = "here-0"
		r.CacheEvent(epoch, e)
	}
	if len(c.nodeOf) != 2 {
		t.Fatalf("%d blocks held, want 2", len(c.nodeOf))
	}
	r.CacheEvent(epoch, CacheEvent{Target: "here-0", Seq: 1, Stored: []uint64{9}})
	if _, ok := c.nodeOf[9]; !ok || len(c.nodeOf) != 1 {
		t.Fatalf("%d blocks held after a restart, want the one reported", len(c.nodeOf))
	}
	steps := []struct {
		state State
		held  int
	}{{Leaving, 1}, {Warm, 1}, {Loading, 1}, {Warm, 0}}
	for i, s := range steps {
		spec := modelTarget(0, "here")
		spec.State = s.state
		r.SetTargets(epoch, []TargetSpec{spec})
		if len(c.nodeOf) != s.held {
			t.Fatalf("step %d: %d blocks held, want %d", i, len(c.nodeOf), s.held)
		}
	}
}

// Guards against long queues at targets that lost their caches: the engine
// reports smaller hits than predicted, and predictions must take that into
// account.
func TestTrustFollowsReportedHits(t *testing.T) {
	v := &target{trust: 1}
	for range 30 {
		v.observeHit(1000, 0)
	}
	low := v.trust
	v.observeHit(1000, -1)
	v.observeHit(0, 50)
	if low > 0.1 || v.trust != low {
		t.Fatalf("trust %v, then %v without an observation", low, v.trust)
	}
	for range 30 {
		v.observeHit(500, 2000)
	}
	if v.trust < 0.9 || v.trust > 1 {
		t.Fatalf("trust %v after good hits", v.trust)
	}
}

// Guards against a gap in the cache events that goes unnoticed after an event without a number.
func TestUnnumberedCacheEventHidesNoGap(t *testing.T) {
	r := newTestRouter(1)
	for id := range r.targets {
		for _, seq := range []uint64{1, 2, 0, 5} {
			r.CacheEvent(epoch, CacheEvent{Target: id, Seq: seq, Stored: []uint64{seq}})
		}
		if got := r.targets[id].trust; got != gapTrust {
			t.Errorf("trust %v after events 3 and 4 were lost, want %v", got, gapTrust)
		}
	}
}
