// Package retry bounds what failures may cost: retries and hedges spend from a
// Budget that successes fill, pauses between attempts are jittered, and a
// Breaker takes targets out that answer badly or slowly.
//
// Everything here is stepped with the time and randomness passed in.
package retry

import (
	"math"
	"time"
)

// BudgetConfig are the settings of a Budget.
type BudgetConfig struct {
	// Ratio of retries to successes while all goes well, 0 to 1.
	Ratio float64
	// MinPerSecond is earned without successes, so that a service with few
	// requests may retry at all.
	MinPerSecond float64
	// Window is the time constant of the success rate and, at the present
	// earnings, how long what was earned may be saved.
	Window time.Duration
}

// Budget bounds retries and hedges of one service at one instance. A region
// that lost capacity fails much; retries in a fixed ratio to requests would
// then add load just when there is too little capacity. Here a retry is paid
// from successes, and each success earns in proportion to the success rate, so
// that the budget shrinks with the square of it.
type Budget struct {
	cfg BudgetConfig
	at  time.Time
	// good and all are counts that fade with Window.
	good, all float64
	tokens    float64
	denied    uint64
}

// minSaved lets one retry be saved up where earnings are small.
const minSaved = 1

// NewBudget makes a budget that can spend its minimum at once.
func NewBudget(now time.Time, cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, at: now, tokens: minSaved}
}

// Succeeded records an attempt that ended well.
func (b *Budget) Succeeded(now time.Time) {
	b.fade(now)
	b.good++
	b.all++
	b.tokens = min(b.tokens+b.cfg.Ratio*b.SuccessRate(), b.most())
}

// Failed records an attempt that did not.
func (b *Budget) Failed(now time.Time) {
	b.fade(now)
	b.all++
	b.tokens = min(b.tokens, b.most())
}

// TrySpend takes the price of one retry or hedge, if the budget has it.
func (b *Budget) TrySpend(now time.Time) bool {
	b.fade(now)
	if b.tokens < 1 {
		b.denied++
		return false
	}
	b.tokens--
	return true
}

// SuccessRate is the share of attempts that ended well lately; 1 without any.
func (b *Budget) SuccessRate() float64 {
	if b.all < 1 {
		return 1
	}
	return b.good / b.all
}

// Denied counts what TrySpend refused.
func (b *Budget) Denied() uint64 { return b.denied }

// Tokens is what could be spent at the last step.
func (b *Budget) Tokens() float64 { return b.tokens }

// most is what may be saved: the earnings of one Window.
func (b *Budget) most() float64 {
	earned := b.cfg.Ratio*b.good*b.SuccessRate() + b.cfg.MinPerSecond*b.cfg.Window.Seconds()*b.SuccessRate()
	return max(minSaved, earned)
}

func (b *Budget) fade(now time.Time) {
	d := now.Sub(b.at)
	if d <= 0 {
		return
	}
	b.at = now
	k := math.Exp(-d.Seconds() / b.cfg.Window.Seconds())
	b.good *= k
	b.all *= k
	b.tokens = min(b.tokens+b.cfg.MinPerSecond*d.Seconds()*b.SuccessRate(), b.most())
}

// BackoffConfig are the settings of Backoff.
type BackoffConfig struct {
	// Base is the longest pause before the first retry.
	Base time.Duration
	// Max bounds every pause.
	Max time.Duration
}

// Backoff returns the pause before a retry. retry counts from 1; u is uniform
// in [0, 1). The pause is uniform between a tenth and the whole of Base doubled
// for each retry: callers that failed together don't come back together.
func Backoff(cfg BackoffConfig, retry int, u float64) time.Duration {
	limit := float64(cfg.Base) * math.Pow(2, float64(max(0, min(retry, 32)-1)))
	limit = min(limit, float64(cfg.Max))
	return time.Duration(limit * (0.1 + 0.9*u))
}

// Attempt is what a HedgeGate needs to know of a running attempt.
type Attempt struct {
	Idempotent bool
	// ResponseStarted says that something was passed on to the caller.
	ResponseStarted bool
	// Hedges is how many second attempts the request has had.
	Hedges int
	// Deadline of the request, and the predicted Finish of a hedge started now.
	Deadline, Finish time.Time
}

// HedgeGate decides whether a second attempt may be started beside a slow one.
// Hedges are paid from the budget of retries, and beside that bounded to a
// share of requests: when all targets are slow every request looks worth one.
type HedgeGate struct {
	budget *Budget
	share  float64
	credit float64
}

// maxHedgeCredit is the most hedges that can be started in a row.
const maxHedgeCredit = 5

// NewHedgeGate makes a gate; share is the bound of hedges to requests, 0 to 1.
func NewHedgeGate(budget *Budget, share float64) *HedgeGate {
	return &HedgeGate{budget: budget, share: share}
}

// Request counts a request that was sent first.
func (g *HedgeGate) Request() { g.credit = min(g.credit+g.share, maxHedgeCredit) }

// Allow reports whether the hedge may start, and pays for it.
func (g *HedgeGate) Allow(now time.Time, a Attempt) bool {
	if !a.Idempotent || a.ResponseStarted || a.Hedges > 0 {
		return false
	}
	if !a.Deadline.IsZero() && a.Finish.After(a.Deadline) {
		return false
	}
	if g.credit < 1 || !g.budget.TrySpend(now) {
		return false
	}
	g.credit--
	return true
}
