package pipeline

import (
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/coord/retry"
	"github.com/gullhaven/gullhaven/route"
)

const (
	// minRetriesPerSecond is allowed to each service even without successes.
	minRetriesPerSecond = 1
	// budgetWindow is the time constant of a budget.
	budgetWindow = 10 * time.Second
	// hedgeShare bounds hedges to this fraction of requests.
	hedgeShare = 0.05
)

// budgets bounds the retries and hedges of each service at this instance. No
// client or transport below retries by itself.
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
	return retry.BudgetConfig{Ratio: ratio, MinPerSecond: minRetriesPerSecond, Window: budgetWindow}
}

// setRatio sets the bundle's ratio of retries to requests. A new ratio resets all
// budgets.
func (b *budgets) setRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ratio != b.ratio {
		b.ratio = ratio
		clear(b.byService)
	}
}

// forService returns the budget of a service. b.mu must be held.
func (b *budgets) forService(service string) *serviceBudget {
	s, ok := b.byService[service]
	if !ok {
		budget := retry.NewBudget(b.now(), budgetConfig(b.ratio))
		s = &serviceBudget{budget: budget, gate: retry.NewHedgeGate(budget, hedgeShare)}
		b.byService[service] = s
	}
	return s
}

// countFirstAttempt counts the first attempt of a request.
func (b *budgets) countFirstAttempt(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forService(service).gate.Request()
}

// ended counts the success or failure of an attempt. A cancelled one counts as
// neither.
func (b *budgets) ended(service string, o route.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch o {
	case route.Succeeded:
		b.forService(service).budget.Succeeded(b.now())
	case route.Failed, route.Unreached, route.Rejected:
		b.forService(service).budget.Failed(b.now())
	}
}

// retry pays for a retry. It reports false if the budget is used up.
func (b *budgets) retry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.forService(service).budget.TrySpend(b.now())
}

// hedge pays for a hedge that is predicted to end at finish. It reports false if
// the hedge isn't allowed.
func (b *budgets) hedge(x *Exchange, finish time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.forService(x.Service.ID).gate.Allow(b.now(), retry.Attempt{
		Idempotent:      !x.Once,
		ResponseStarted: x.headWritten,
		Deadline:        x.Deadline,
		Finish:          finish,
	})
}
