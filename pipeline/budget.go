package pipeline

import (
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/coord/retry"
	"github.com/gullhaven/gullhaven/route"
)

const (
	// retriesPerSecond may be made without successes, for each service.
	retriesPerSecond = 1
	// budgetWindow is the time constant of a budget.
	budgetWindow = 10 * time.Second
	// hedgeShare bounds hedges to requests.
	hedgeShare = 0.05
)

// budgets bounds retries and hedges of each service at this instance. It is the
// only layer that retries: neither clients nor transports below do.
type budgets struct {
	now       func() time.Time
	mu        sync.Mutex
	ratio     float64
	byService map[string]*serviceBudget
}

type serviceBudget struct {
	budget *retry.Budget
	gate   *retry.HedgeGate
}

func newBudgets(now func() time.Time) *budgets {
	return &budgets{now: now, byService: map[string]*serviceBudget{}}
}

func budgetConfig(ratio float64) retry.BudgetConfig {
	return retry.BudgetConfig{Ratio: ratio, MinPerSecond: retriesPerSecond, Window: budgetWindow}
}

// setRatio takes the bundle's share of retries; a new share starts budgets anew.
func (b *budgets) setRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ratio != b.ratio {
		b.ratio = ratio
		clear(b.byService)
	}
}

// of must be called with the lock held.
func (b *budgets) of(service string) *serviceBudget {
	s, ok := b.byService[service]
	if !ok {
		budget := retry.NewBudget(b.now(), budgetConfig(b.ratio))
		s = &serviceBudget{budget: budget, gate: retry.NewHedgeGate(budget, hedgeShare)}
		b.byService[service] = s
	}
	return s
}

// request counts a first sending.
func (b *budgets) request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).gate.Request()
}

// ended counts how an attempt ended; one that this side gave up says nothing.
func (b *budgets) ended(service string, o route.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch o {
	case route.Succeeded:
		b.of(service).budget.Succeeded(b.now())
	case route.Failed, route.Unreached, route.Rejected:
		b.of(service).budget.Failed(b.now())
	}
}

// retry pays for a retry, if there is enough.
func (b *budgets) retry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).budget.TrySpend(b.now())
}

// hedge pays for a hedge that is predicted to finish at finish.
func (b *budgets) hedge(x *Exchange, finish time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(x.Service.ID).gate.Allow(b.now(), retry.Attempt{
		Idempotent:      !x.Once,
		ResponseStarted: x.headWritten,
		Deadline:        x.Deadline,
		Finish:          finish,
	})
}
