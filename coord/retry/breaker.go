package retry

import (
	"math"
	"slices"
	"time"
)

// State is the state of a target at a Breaker.
type State uint8

const (
	// Closed targets take work.
	Closed State = iota
	// Open targets take none until their open time has passed.
	Open
	// HalfOpen targets take a few trial requests.
	HalfOpen
)

var stateNames = [...]string{Closed: "closed", Open: "open", HalfOpen: "half_open"}

// String returns closed, open or half_open.
func (s State) String() string { return stateNames[s] }

// BreakerConfig configures a Breaker; see DefaultBreakerConfig.
type BreakerConfig struct {
	// FailureShare of recent attempts that opens a target, above 0 to 1.
	FailureShare float64
	// SlowFactor times the median slowness of its peers opens a target; above 1.
	SlowFactor float64
	// MinAttempts within Window that are needed to evaluate a target.
	MinAttempts float64
	// Window is the time constant of all averages.
	Window time.Duration
	// OpenTime is how long a target stays open; it doubles with each consecutive
	// opening, up to MaxOpenTime.
	OpenTime, MaxOpenTime time.Duration
	// Trials is how many requests a half-open target takes at a time, and how
	// many must succeed to close it.
	Trials int
	// MaxOpenShare of the targets of a service may be open or half-open at once.
	MaxOpenShare float64
	// SlowStart is how long a target's weight takes to grow to 1 after closing or a load.
	SlowStart time.Duration
}

// DefaultBreakerConfig returns settings for a dozen model runners with responses that
// take seconds.
func DefaultBreakerConfig() BreakerConfig {
	return BreakerConfig{
		FailureShare: 0.5, SlowFactor: 3, MinAttempts: 5, Window: 10 * time.Second,
		OpenTime: 5 * time.Second, MaxOpenTime: time.Minute, Trials: 2,
		MaxOpenShare: 0.34, SlowStart: 10 * time.Second,
	}
}

// minWeight is the weight at the beginning of slow start: a target without any requests
// could never show that it has recovered.
const minWeight = 0.1

// Outcome is the end of an attempt at a target.
type Outcome struct {
	Target string
	// OK is false for failures that are the target's fault; a refusal because of load
	// or a cancellation by this side must not be reported at all.
	OK bool
	// Slowness is the time taken divided by the time predicted for this request at a
	// healthy target, so that long requests don't look slow. 0 if not known.
	Slowness float64
}

// Breaker stops requests to gray targets of one service: alive, but failing or slow.
// Slowness is compared with the peers, and only a share of targets may be open at once,
// so that a region-wide slowdown ejects nobody: with everything ejected no capacity
// would remain. It is not safe for concurrent use.
type Breaker struct {
	cfg         BreakerConfig
	targets     map[string]*target
	sortedNames []string
	// openings counts targets opened, suppressed those not opened because of MaxOpenShare.
	openings, suppressed uint64
}

type target struct {
	state State
	// successes, attempts and measured count attempts that succeeded, that ended, and
	// whose slowness is known; they decay with Window, last at time at.
	successes, attempts, measured float64
	at                            time.Time
	// slowness is the mean over the measured attempts.
	slowness float64
	// openings counts consecutive openings, since it was last closed for longer than
	// MaxOpenTime.
	openings int
	// openUntil is when an open target becomes half-open.
	openUntil time.Time
	inFlight  int
	// trialSuccesses counts successful trials since it opened.
	trialSuccesses int
	// slowStartAt is when slow start began; zero if it never did.
	slowStartAt time.Time
}

// NewBreaker returns the Breaker of one service.
func NewBreaker(cfg BreakerConfig) *Breaker {
	return &Breaker{cfg: cfg, targets: make(map[string]*target)}
}

// SetTargets replaces the targets; those that remain keep their state.
func (b *Breaker) SetTargets(now time.Time, names []string) {
	kept := make(map[string]*target, len(names))
	for _, n := range names {
		kept[n] = b.targets[n]
		if kept[n] == nil {
			kept[n] = &target{at: now}
		}
	}
	b.targets = kept
	b.sortedNames = slices.Sorted(slices.Values(names))
}

// Loaded reports that a target has just loaded what it serves: its caches are cold, so its
// weight grows from a tenth to 1 over SlowStart, and its earlier state no longer applies.
func (b *Breaker) Loaded(now time.Time, name string) {
	if t := b.targets[name]; t != nil {
		*t = target{at: now, slowStartAt: now, inFlight: t.inFlight}
	}
}

// State returns the state of a target; unknown ones are Closed.
func (b *Breaker) State(now time.Time, name string) State {
	t := b.targets[name]
	if t == nil {
		return Closed
	}
	t.update(now)
	return t.state
}

// Counts returns how many openings there were, and how many were suppressed
// because too many targets were open or half-open.
func (b *Breaker) Counts() (openings, suppressed uint64) { return b.openings, b.suppressed }

// Weight returns a target's weight for choosing, 0 to 1; 0 means that it takes no
// request. Unknown targets have 1.
func (b *Breaker) Weight(now time.Time, name string) float64 {
	t := b.targets[name]
	if t == nil {
		return 1
	}
	t.update(now)
	switch {
	case t.state == Open, t.state == HalfOpen && t.inFlight >= b.cfg.Trials:
		return 0
	case t.state == HalfOpen:
		return minWeight
	case t.slowStartAt.IsZero():
		return 1
	}
	ramp := float64(now.Sub(t.slowStartAt)) / float64(b.cfg.SlowStart)
	return max(minWeight, min(1, ramp))
}

// Sent counts an attempt sent to a target.
func (b *Breaker) Sent(now time.Time, name string) {
	if t := b.targets[name]; t != nil {
		t.update(now)
		t.inFlight++
	}
}

// Cancelled uncounts an attempt that this side gave up.
func (b *Breaker) Cancelled(name string) {
	if t := b.targets[name]; t != nil {
		t.inFlight = max(0, t.inFlight-1)
	}
}

// RecordOutcome records the end of an attempt and reports whether that changed the
// target's state.
func (b *Breaker) RecordOutcome(now time.Time, e Outcome) bool {
	t := b.targets[e.Target]
	if t == nil {
		return false
	}
	t.update(now)
	previous := t.state
	t.inFlight = max(0, t.inFlight-1)
	t.record(now, e, b.cfg.Window)
	switch t.state {
	case Closed:
		b.evaluate(now, t)
	case HalfOpen:
		b.recordTrial(now, t, e)
	}
	return t.state != previous
}

// evaluate opens a closed target that fails or is slow, if enough others remain.
func (b *Breaker) evaluate(now time.Time, t *target) {
	if !b.failing(t) && !b.slow(now, t) {
		return
	}
	if float64(b.notClosed(now)+1) > b.cfg.MaxOpenShare*float64(len(b.targets)) {
		b.suppressed++
		return
	}
	b.open(now, t)
}

func (b *Breaker) failing(t *target) bool {
	return t.attempts >= b.cfg.MinAttempts && (t.attempts-t.successes)/t.attempts >= b.cfg.FailureShare
}

// slow reports whether a target is slow compared with its peers.
func (b *Breaker) slow(now time.Time, t *target) bool {
	if t.measured < b.cfg.MinAttempts {
		return false
	}
	return b.slowerThanPeers(now, t, t.slowness)
}

// slowerThanPeers compares with the median of the other closed targets that have a
// measured slowness; without any it returns false.
func (b *Breaker) slowerThanPeers(now time.Time, t *target, slowness float64) bool {
	var peers []float64
	for _, name := range b.sortedNames {
		p := b.targets[name]
		p.update(now)
		if p != t && p.state == Closed && p.measured >= 1 {
			peers = append(peers, p.slowness)
		}
	}
	if len(peers) == 0 {
		return false
	}
	slices.Sort(peers)
	return slowness > b.cfg.SlowFactor*peers[len(peers)/2]
}

// notClosed returns the number of targets that are open or half-open.
func (b *Breaker) notClosed(now time.Time) int {
	n := 0
	for _, t := range b.targets {
		t.update(now)
		if t.state != Closed {
			n++
		}
	}
	return n
}

func (b *Breaker) open(now time.Time, t *target) {
	b.openings++
	if t.state == Closed && now.Sub(t.slowStartAt) > b.cfg.MaxOpenTime {
		t.openings = 0
	}
	openTime := float64(b.cfg.OpenTime) * math.Pow(2, float64(min(t.openings, 16)))
	t.state = Open
	t.openUntil = now.Add(time.Duration(min(openTime, float64(b.cfg.MaxOpenTime))))
	t.openings++
	t.trialSuccesses = 0
}

// recordTrial handles the end of an attempt at a half-open target. One that was sent
// before the target opened counts as a trial too: it says just as much.
func (b *Breaker) recordTrial(now time.Time, t *target, e Outcome) {
	if !e.OK || e.Slowness > 0 && b.slowerThanPeers(now, t, e.Slowness) {
		b.open(now, t)
		return
	}
	t.trialSuccesses++
	if t.trialSuccesses < b.cfg.Trials {
		return
	}
	*t = target{at: now, slowStartAt: now, inFlight: t.inFlight, openings: t.openings}
}

// update makes an open target half-open when its open time has passed.
func (t *target) update(now time.Time) {
	if t.state == Open && !now.Before(t.openUntil) {
		t.state = HalfOpen
	}
}

// record decays the counts and adds an outcome.
func (t *target) record(now time.Time, e Outcome, window time.Duration) {
	if d := now.Sub(t.at); d > 0 {
		k := math.Exp(-d.Seconds() / window.Seconds())
		t.successes, t.attempts, t.measured = t.successes*k, t.attempts*k, t.measured*k
		t.at = now
	}
	t.attempts++
	if e.OK {
		t.successes++
	}
	if e.Slowness > 0 {
		t.measured++
		t.slowness += (e.Slowness - t.slowness) / t.measured
	}
}
