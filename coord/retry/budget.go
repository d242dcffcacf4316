// Package retry bounds the cost of failures: retries and hedges spend from a Budget
// that successes fill, delays between attempts are jittered, and a Breaker stops
// requests to targets that fail or are slow.
//
// Time and randomness are passed in by the caller.
package retry

import (
	"math"
	"time"
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Ratio of retries to successes at a success rate of 1, from 0 to 1.
	Ratio float64
	// MinPerSecond is earned per second without successes, so that a service with
	// few requests can retry at all.
	MinPerSecond float64
	// Window is the time constant of the success rate, and the time for which
	// earnings can be saved at the current rate.
	Window time.Duration
}

// Budget bounds retries and hedges of one service at one instance. A region that lost
// capacity has many failures; retries in a fixed ratio to requests would then add load
// just when capacity is short. Here successes pay for retries, and each success earns in
// proportion to the success rate, so that the budget shrinks with its square.
type Budget struct {
	cfg BudgetConfig
	at  time.Time
	// succeeded and total count attempts and decay with Window.
	succeeded, total float64
	tokens           float64
	denied           uint64
}

// minMaxTokens is the least capacity: it lets one retry be saved up where earnings are small.
const minMaxTokens = 1

// NewBudget returns a Budget that has tokens for one retry.
func NewBudget(now time.Time, cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, at: now, tokens: minMaxTokens}
}

// Succeeded records an attempt that succeeded.
func (b *Budget) Succeeded(now time.Time) {
	b.decay(now)
	b.succeeded++
	b.total++
	b.tokens = min(b.tokens+b.cfg.Ratio*b.SuccessRate(), b.maxTokens())
}

// Failed records an attempt that failed.
func (b *Budget) Failed(now time.Time) {
	b.decay(now)
	b.total++
	b.tokens = min(b.tokens, b.maxTokens())
}

// TrySpend pays for one retry or hedge and reports whether the budget allowed it.
func (b *Budget) TrySpend(now time.Time) bool {
	b.decay(now)
	if b.tokens < 1 {
		b.denied++
		return false
	}
	b.tokens--
	return true
}

// SuccessRate returns the recent share of attempts that succeeded, 0 to 1; 1 without any.
func (b *Budget) SuccessRate() float64 {
	if b.total < 1 {
		return 1
	}
	return b.succeeded / b.total
}

// Denied returns how often TrySpend refused.
func (b *Budget) Denied() uint64 { return b.denied }

// Tokens returns the balance at the last update.
func (b *Budget) Tokens() float64 { return b.tokens }

// maxTokens returns the most tokens that can be saved: the earnings of one Window.
func (b *Budget) maxTokens() float64 {
	earned := b.cfg.Ratio*b.succeeded*b.SuccessRate() + b.cfg.MinPerSecond*b.cfg.Window.Seconds()*b.SuccessRate()
	return max(minMaxTokens, earned)
}

func (b *Budget) decay(now time.Time) {
	d := now.Sub(b.at)
	if d <= 0 {
		return
	}
	b.at = now
	k := math.Exp(-d.Seconds() / b.cfg.Window.Seconds())
	b.succeeded *= k
	b.total *= k
	b.tokens = min(b.tokens+b.cfg.MinPerSecond*d.Seconds()*b.SuccessRate(), b.maxTokens())
}

// BackoffConfig configures Backoff.
type BackoffConfig struct {
	// Base is the longest delay before the first retry.
	Base time.Duration
	// Max bounds every delay.
	Max time.Duration
}

// Backoff returns the delay before a retry. retry counts from 1; u must be uniform
// in [0, 1). The delay is uniform between a tenth and the whole of Base doubled
// for each retry, so that callers that failed together don't retry together.
func Backoff(cfg BackoffConfig, retry int, u float64) time.Duration {
	limit := float64(cfg.Base) * math.Pow(2, float64(max(0, min(retry, 32)-1)))
	limit = min(limit, float64(cfg.Max))
	return time.Duration(limit * (0.1 + 0.9*u))
}

// Attempt describes a running attempt for a HedgeGate.
type Attempt struct {
	Idempotent bool
	// ResponseStarted: some of the response was sent to the caller.
	ResponseStarted bool
	// Hedges is the number of hedges that the request has had.
	Hedges int
	// Deadline of the request, and the predicted Finish of a hedge started now.
	Deadline, Finish time.Time
}

// HedgeGate decides whether a hedge, a second attempt beside a slow one, may start.
// Hedges are paid from the retry budget and also bounded to a share of requests:
// when all targets are slow, every request looks worth one.
type HedgeGate struct {
	budget *Budget
	share  float64
	credit float64
}

// maxHedgeBurst is the most hedges that can start in a row.
const maxHedgeBurst = 5

// NewHedgeGate returns a HedgeGate; share is the bound of hedges to requests, 0 to 1.
func NewHedgeGate(budget *Budget, share float64) *HedgeGate {
	return &HedgeGate{budget: budget, share: share}
}

// Request counts the first attempt of a request.
func (g *HedgeGate) Request() { g.credit = min(g.credit+g.share, maxHedgeBurst) }

// Allow reports whether the hedge may start, and pays for it if so.
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
