package exchange

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	simStep      = 100 * time.Millisecond
	simSpan      = 10 * time.Second
	stepsPerSpan = int(simSpan / simStep)
	simShare     = 0.2
	// maxSimStartsPerSpan is how often an instance may start within a span.
	maxSimStartsPerSpan = 4
	// maxSimLag is the longest time in steps that a process may lag without noticing.
	maxSimLag = 10
	// maxRetriesPerRequest is how often a failing request asks for a retry.
	maxRetriesPerRequest = 3
)

// budgetSim simulates all entry instances of a site in virtual time. Each failing request asks for
// maxRetriesPerRequest retries, which its instance allows or denies.
type budgetSim struct {
	limits    RetryLimits
	now       time.Time
	instances []*simInstance
	// requests and retries count what all instances together have sent, by step.
	requests, retries []int
}

type simInstance struct {
	region int
	budget *retryBudget
	// visible is the number of entry instances that this one sees.
	visible int
	starts  []time.Time
	// paused says that the process stands still: requests wait in its sockets.
	paused  bool
	waiting int
	// lag is how many steps after it was sent each request is read, and unread the numbers of
	// requests of the last steps that are not read yet.
	lag    int
	unread []int
}

func newBudgetSim(allowance float64, regions, perRegion int) *budgetSim {
	w := &budgetSim{limits: RetryLimits{Span: simSpan, Share: simShare, Allowance: allowance}, now: time.Unix(1_800_000_000, 0)}
	for k := range regions * perRegion {
		w.instances = append(w.instances, &simInstance{region: k % regions, visible: regions * perRegion})
	}
	for k := range w.instances {
		w.restart(k)
	}
	return w
}

// restart replaces a process. What waited in its sockets is lost.
func (w *budgetSim) restart(k int) {
	s := w.instances[k]
	s.waiting, s.unread = 0, nil
	s.budget, s.starts = newRetryBudget(w.limits, w.now), append(s.starts, w.now)
}

// mayRestart bounds how often an instance starts within a span.
func (w *budgetSim) mayRestart(k int) bool {
	starts := w.instances[k].starts
	return len(starts) < maxSimStartsPerSpan || w.now.Sub(starts[len(starts)-maxSimStartsPerSpan]) > simSpan
}

// step sends each instance load(region) requests and advances the time.
func (w *budgetSim) step(load func(region int) int, failing bool) {
	requests, retries := 0, 0
	for _, s := range w.instances {
		requests += load(s.region)
		s.unread = append(s.unread, load(s.region))
		for ; len(s.unread) > s.lag; s.unread = s.unread[1:] {
			s.waiting += s.unread[0]
		}
		if s.paused {
			continue
		}
		s.budget.heartbeat(w.now)
		for ; s.waiting > 0; s.waiting-- {
			s.budget.recordRequest(w.now, "s", s.visible)
			for range maxRetriesPerRequest {
				if failing && s.budget.tryRetry(w.now, "s", s.visible).allowed {
					retries++
				}
			}
		}
	}
	w.requests, w.retries = append(w.requests, requests), append(w.retries, retries)
	w.now = w.now.Add(simStep)
}

// pauseAll has all processes stand still, or continue.
func (w *budgetSim) pauseAll(paused bool) {
	for _, s := range w.instances {
		s.paused = paused
	}
}

func (w *budgetSim) run(d time.Duration, load func(region int) int, failing bool) {
	for range int(d / simStep) {
		w.step(load, failing)
	}
}

// check returns an error if a span has more retries than the shared bound allows. The bound counts
// the requests of the span itself, of the one before it, or of the one half a span earlier, whichever
// are most.
func (w *budgetSim) check() error {
	for a := range w.retries {
		retries := sumSpan(w.retries, a)
		requests := max(sumSpan(w.requests, a), sumSpan(w.requests, a-stepsPerSpan), sumSpan(w.requests, a-stepsPerSpan/2))
		if allowed := w.limits.Share*float64(requests) + w.limits.Allowance; float64(retries) > allowed {
			return fmt.Errorf("%d retries in the span from step %d, for %d requests; allowed %.1f", retries, a, requests, allowed)
		}
	}
	return nil
}

// sumSpan sums the span that begins with a step.
func sumSpan(steps []int, from int) int {
	n := 0
	for k := max(0, from); k < min(len(steps), from+stepsPerSpan); k++ {
		n += steps[k]
	}
	return n
}

func constantLoad(perStep int) func(int) int { return func(int) int { return perStep } }

// Guards against processes that restart with their full share of the budget, although they spent it
// within the same span before the restart.
func TestRestartsDoNotRenewTheRetryBudget(t *testing.T) {
	w := newBudgetSim(50, 3, 2)
	w.run(2*simSpan, constantLoad(2), false)
	for range 3 {
		w.run(3*time.Second, constantLoad(2), true)
		for k := range w.instances {
			w.restart(k)
		}
	}
	w.run(simSpan, constantLoad(2), true)
	if err := w.check(); err != nil {
		t.Fatal(err)
	}
}

// Guards against exceeding the budget when peaks move between regions: each instance must not go by
// its own busiest span.
func TestMovingPeaksKeepTheRetryBudget(t *testing.T) {
	w := newBudgetSim(50, 3, 2)
	peak := func(at int) func(int) int {
		return func(region int) int {
			if region == at {
				return 10
			}
			return 0
		}
	}
	w.run(simSpan, peak(0), false)
	w.run(time.Second, peak(0), true)
	w.run(4*time.Second, peak(1), true)
	w.run(4*time.Second, peak(2), true)
	w.run(simSpan, constantLoad(0), true)
	if err := w.check(); err != nil {
		t.Fatal(err)
	}
}

// Guards against instances that divide the allowance only among those that they still see in a
// partition.
func TestPartitionsDoNotMultiplyTheRetryAllowance(t *testing.T) {
	w := newBudgetSim(50, 3, 10)
	w.run(2*simSpan, constantLoad(1), false)
	for _, s := range w.instances {
		s.visible = 1
	}
	w.run(simSpan, constantLoad(1), false)
	w.run(2*simSpan, constantLoad(0), false)
	for _, s := range w.instances {
		for s.budget.tryRetry(w.now, "s", s.visible).allowed {
			w.retries[len(w.retries)-1]++
		}
	}
	if err := w.check(); err != nil {
		t.Fatal(err)
	}
}

// Guards against instances that count requests, which waited in their sockets while they stood still,
// as if callers had sent them only then.
func TestRequestsReadAfterAPauseEarnNoRetries(t *testing.T) {
	w := newBudgetSim(50, 3, 2)
	w.run(simSpan, constantLoad(2), false)
	w.pauseAll(true)
	w.run(8*time.Second, constantLoad(10), false)
	w.pauseAll(false)
	w.run(9*time.Second, constantLoad(2), false)
	w.run(simSpan, constantLoad(2), true)
	if err := w.check(); err != nil {
		t.Fatal(err)
	}
}

// Guards against more retries of a service than all instances together may send, under any load,
// restarts, partitions, pauses and lags.
func TestRetriesOfAllInstancesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions, perRegion := rapid.IntRange(1, 3).Draw(t, "regions"), rapid.IntRange(1, 3).Draw(t, "instances")
		w := newBudgetSim(float64(rapid.SampledFrom([]int{5, 50}).Draw(t, "allowance")), regions, perRegion)
		for range rapid.IntRange(1, 12).Draw(t, "phases") {
			var load [3]int
			for k := range load {
				load[k] = rapid.SampledFrom([]int{0, 1, 2, 8}).Draw(t, "load")
			}
			failing := rapid.Bool().Draw(t, "failing")
			for range rapid.SampledFrom([]int{1, 5, 20, 60, 110}).Draw(t, "steps") {
				w.step(func(region int) int { return load[region] }, failing)
			}
			sees := rapid.SampledFrom([]int{1, regions * perRegion}).Draw(t, "sees")
			restarts := rapid.SampledFrom([]int{0, 1, len(w.instances)}).Draw(t, "restarts")
			paused := rapid.SampledFrom([]int{0, 0, 1, len(w.instances)}).Draw(t, "paused")
			for k, s := range w.instances {
				s.visible, s.paused = sees, k < paused
				s.lag = rapid.SampledFrom([]int{0, 5, maxSimLag}).Draw(t, "lag")
				if k < restarts && w.mayRestart(k) {
					w.restart(k)
				}
			}
		}
		if err := w.check(); err != nil {
			t.Fatal(err)
		}
	})
}
