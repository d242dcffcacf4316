package standin

import (
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that an engine runs. Its JSON form stands for the KV cache
// that engines transfer.
type run struct {
	Attempt string `json:"attempt"`
	Chat    bool   `json:"chat"`
	Model   string `json:"model"`
	Prompt  string `json:"prompt"`
	Tokens  int    `json:"tokens"`

	cancelled   atomic.Bool
	incarnation *incarnation
}

// copyFor returns a copy of the run that belongs to another incarnation, not cancelled.
func (x *run) copyFor(l *incarnation) *run {
	return &run{Attempt: x.Attempt, Chat: x.Chat, Model: x.Model, Prompt: x.Prompt, Tokens: x.Tokens, incarnation: l}
}

// runs holds the requests in flight and, for resumeTTL, interrupted ones.
type runs struct {
	resumeTTL time.Duration
	mu        sync.Mutex
	byAttempt map[string]*run
	counts    map[string]int
}

func newRuns(keep time.Duration) *runs {
	return &runs{resumeTTL: keep, byAttempt: map[string]*run{}, counts: map[string]int{}}
}

// maxCountedKeys bounds the prompts or keys whose runs are counted, so that
// memory stays bounded in long load tests.
const maxCountedKeys = 1 << 16

func (r *runs) add(x *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byAttempt[x.Attempt] = x
	if _, known := r.counts[x.Prompt]; known || len(r.counts) < maxCountedKeys {
		r.counts[x.Prompt]++
	}
}

// put registers a run that began earlier, here or at another engine, without counting it.
func (r *runs) put(x *run) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byAttempt[x.Attempt] = x
	return x
}

func (r *runs) get(attempt string) (*run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, ok := r.byAttempt[attempt]
	return x, ok
}

func (r *runs) remove(attempt string) (*run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, ok := r.byAttempt[attempt]
	delete(r.byAttempt, attempt)
	return x, ok
}

func (r *runs) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.byAttempt)
}

// removeLater removes an interrupted run after resumeTTL, until when it can be resumed.
func (r *runs) removeLater(x *run) {
	time.AfterFunc(r.resumeTTL, func() { r.removeSame(x) })
}

// removeSame removes x, unless a resumed copy has replaced it.
func (r *runs) removeSame(x *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byAttempt[x.Attempt] == x {
		delete(r.byAttempt, x.Attempt)
	}
}

func (r *runs) count(prompt string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[prompt]
}
