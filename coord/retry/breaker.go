package retry

import (
	"math"
	"slices"
	"time"
)

// State is where a target stands with a Breaker.
type State uint8

const (
	// Closed targets take work.
	Closed State = iota
	// Open targets take none until their pause has passed.
	Open
	// HalfOpen targets take a few trial requests.
	HalfOpen
)

var stateNames = [...]string{Closed: "closed", Open: "open", HalfOpen: "half_open"}

// String returns closed, open or half_open.
func (s State) String() string { return stateNames[s] }

// BreakerConfig are the settings of a Breaker; see DefaultBreakerConfig.
type BreakerConfig struct {
	// FailureShare of recent attempts opens a target, above 0 to 1.
	FailureShare float64
	// SlowFactor opens a target whose slowness is this many times the median
	// of its peers, above 1.
	SlowFactor float64
	// MinAttempts within Window before a target is judged.
	MinAttempts float64
	// Window is the time constant of all averages.
	Window time.Duration
	// OpenTime of an open target; it doubles with each opening in a row to MaxPause.
	OpenTime, MaxOpenTime time.Duration
	// Trials is how many requests a half-open target takes at a time, and how
	// many must succeed to close it.
	Trials int
	// MaxOpenShare of the targets of a service may be open or half-open at once.
	MaxOpenShare float64
	// SlowStart is how long a target's weight grows to 1 after closing or a load.
	SlowStart time.Duration
}

// DefaultBreakerConfig suits a dozen model runners with answers of seconds.
func DefaultBreakerConfig() BreakerConfig {
	return BreakerConfig{
		FailureShare: 0.5, SlowFactor: 3, MinAttempts: 5, Window: 10 * time.Second,
		OpenTime: 5 * time.Second, MaxOpenTime: time.Minute, Trials: 2,
		MaxOpenShare: 0.34, SlowStart: 10 * time.Second,
	}
}

// minWeight is where slow start begins: a target without any work would never
// show that it is well.
const minWeight = 0.1

// Outcome is the end of an attempt at a target.
type Outcome struct {
	Target string
	// OK is false for failures that speak against the target; a refusal for
	// load or a cancel by this side is not reported at all.
	OK bool
	// Slowness is the time taken over the time predicted for this request at a
	// target in good order, so that long requests don't look slow. 0 if not known.
	Slowness float64
}

// Breaker takes grey targets of one service out: alive, but failing or slow.
// Slow is judged against the peers, and only a share may be out at once, so
// that a region-wide slowness ejects nobody: with everything ejected the
// remaining capacity would be nothing. It has a single owner.
type Breaker struct {
	cfg     BreakerConfig
	targets map[string]*target
	order   []string
	// openings and withheld count targets opened, and not opened for MaxOpenShare.
	openings, withheld uint64
}

type target struct {
	state State
	// good, all and timed count attempts that succeeded, that ended, and whose
	// slowness is known; they fade with Window, the last time at.
	good, all, timed float64
	at               time.Time
	// slowness is the mean over the timed attempts.
	slowness float64
	// openings in a row since it was last closed for a while.
	openings int
	// until is when the pause of an open target ends.
	until    time.Time
	underway int
	// succeeded counts the trials that went well since it opened.
	succeeded int
	// weightFrom is when slow start began; zero if it never did.
	weightFrom time.Time
}

// NewBreaker makes the Breaker of one service.
func NewBreaker(cfg BreakerConfig) *Breaker {
	return &Breaker{cfg: cfg, targets: make(map[string]*target)}
}

// SetTargets replaces the targets; the state of those kept is kept.
func (b *Breaker) SetTargets(now time.Time, names []string) {
	kept := make(map[string]*target, len(names))
	for _, n := range names {
		kept[n] = b.targets[n]
		if kept[n] == nil {
			kept[n] = &target{at: now}
		}
	}
	b.targets = kept
	b.order = slices.Sorted(slices.Values(names))
}

// Loaded tells that a target has just loaded what it serves: its caches are
// cold, so its weight grows from a tenth to 1 over SlowStart, and what was
// known of it no longer holds.
func (b *Breaker) Loaded(now time.Time, name string) {
	if t := b.targets[name]; t != nil {
		*t = target{at: now, weightFrom: now, underway: t.underway}
	}
}

// State returns where a target stands; unknown ones are Closed.
func (b *Breaker) State(now time.Time, name string) State {
	t := b.targets[name]
	if t == nil {
		return Closed
	}
	t.step(now)
	return t.state
}

// Counts returns how many openings there were, and how many were withheld
// because too many targets were out.
func (b *Breaker) Counts() (openings, withheld uint64) { return b.openings, b.withheld }

// Weight of a target for choosing, 0 to 1; 0 means that it takes no request.
func (b *Breaker) Weight(now time.Time, name string) float64 {
	t := b.targets[name]
	if t == nil {
		return 1
	}
	t.step(now)
	switch {
	case t.state == Open, t.state == HalfOpen && t.underway >= b.cfg.Trials:
		return 0
	case t.state == HalfOpen:
		return minWeight
	case t.weightFrom.IsZero():
		return 1
	}
	grown := float64(now.Sub(t.weightFrom)) / float64(b.cfg.SlowStart)
	return max(minWeight, min(1, grown))
}

// Sent counts an attempt that was sent to a target.
func (b *Breaker) Sent(now time.Time, name string) {
	if t := b.targets[name]; t != nil {
		t.step(now)
		t.underway++
	}
}

// Cancelled takes back an attempt that this side gave up.
func (b *Breaker) Cancelled(name string) {
	if t := b.targets[name]; t != nil {
		t.underway = max(0, t.underway-1)
	}
}

// RecordOutcome records the end of an attempt and reports whether the target's state
// changed by it.
func (b *Breaker) RecordOutcome(now time.Time, e Outcome) bool {
	t := b.targets[e.Target]
	if t == nil {
		return false
	}
	t.step(now)
	before := t.state
	t.underway = max(0, t.underway-1)
	t.record(now, e, b.cfg.Window)
	switch t.state {
	case Closed:
		b.judge(now, t)
	case HalfOpen:
		b.tried(now, t, e)
	}
	return t.state != before
}

// judge opens a closed target that fails or is slow, if enough others stay.
func (b *Breaker) judge(now time.Time, t *target) {
	if !b.failing(t) && !b.slow(now, t) {
		return
	}
	if float64(b.out(now)+1) > b.cfg.MaxOpenShare*float64(len(b.targets)) {
		b.withheld++
		return
	}
	b.open(now, t)
}

func (b *Breaker) failing(t *target) bool {
	return t.all >= b.cfg.MinAttempts && (t.all-t.good)/t.all >= b.cfg.FailureShare
}

// slow compares a target with its peers.
func (b *Breaker) slow(now time.Time, t *target) bool {
	if t.timed < b.cfg.MinAttempts {
		return false
	}
	return b.slowerThanPeers(now, t, t.slowness)
}

// slowerThanPeers compares with the median of the other closed targets that
// were timed; without any nobody is slow.
func (b *Breaker) slowerThanPeers(now time.Time, t *target, slowness float64) bool {
	var peers []float64
	for _, name := range b.order {
		p := b.targets[name]
		p.step(now)
		if p != t && p.state == Closed && p.timed >= 1 {
			peers = append(peers, p.slowness)
		}
	}
	if len(peers) == 0 {
		return false
	}
	slices.Sort(peers)
	return slowness > b.cfg.SlowFactor*peers[len(peers)/2]
}

// out counts the targets that are not closed.
func (b *Breaker) out(now time.Time) int {
	n := 0
	for _, t := range b.targets {
		t.step(now)
		if t.state != Closed {
			n++
		}
	}
	return n
}

func (b *Breaker) open(now time.Time, t *target) {
	b.openings++
	if t.state == Closed && now.Sub(t.weightFrom) > b.cfg.MaxOpenTime {
		t.openings = 0
	}
	pause := float64(b.cfg.OpenTime) * math.Pow(2, float64(min(t.openings, 16)))
	t.state = Open
	t.until = now.Add(time.Duration(min(pause, float64(b.cfg.MaxOpenTime))))
	t.openings++
	t.succeeded = 0
}

// tried takes the end of an attempt at a half-open target. One that was sent
// before the target opened counts as a trial too: it is as good a sign.
func (b *Breaker) tried(now time.Time, t *target, e Outcome) {
	if !e.OK || e.Slowness > 0 && b.slowerThanPeers(now, t, e.Slowness) {
		b.open(now, t)
		return
	}
	t.succeeded++
	if t.succeeded < b.cfg.Trials {
		return
	}
	*t = target{at: now, weightFrom: now, underway: t.underway, openings: t.openings}
}

// step moves an open target on when its pause has passed.
func (t *target) step(now time.Time) {
	if t.state == Open && !now.Before(t.until) {
		t.state = HalfOpen
	}
}

// record fades the counts and adds an end.
func (t *target) record(now time.Time, e Outcome, window time.Duration) {
	if d := now.Sub(t.at); d > 0 {
		k := math.Exp(-d.Seconds() / window.Seconds())
		t.good, t.all, t.timed = t.good*k, t.all*k, t.timed*k
		t.at = now
	}
	t.all++
	if e.OK {
		t.good++
	}
	if e.Slowness > 0 {
		t.timed++
		t.slowness += (e.Slowness - t.slowness) / t.timed
	}
}
