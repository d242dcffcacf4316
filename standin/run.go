package standin

import (
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that an engine runs; its JSON form is the KV cache that
// engines hand on.
type run struct {
	Attempt string `json:"attempt"`
	Chat    bool   `json:"chat"`
	Model   string `json:"model"`
	Prompt  string `json:"prompt"`
	Tokens  int    `json:"tokens"`

	cancelled atomic.Bool
	life      *life
}

// in is the run taken up in a life of an engine.
func (x *run) in(l *life) *run {
	return &run{Attempt: x.Attempt, Chat: x.Chat, Model: x.Model, Prompt: x.Prompt, Tokens: x.Tokens, life: l}
}

// runs are the requests that run, or broke off a short while ago.
type runs struct {
	keep   time.Duration
	mu     sync.Mutex
	live   map[string]*run
	counts map[string]int
}

func newRuns(keep time.Duration) *runs {
	return &runs{keep: keep, live: map[string]*run{}, counts: map[string]int{}}
}

// maxCounted bounds the prompts that are counted, for long measurements.
const maxCounted = 1 << 16

func (r *runs) add(x *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.live[x.Attempt] = x
	if _, known := r.counts[x.Prompt]; known || len(r.counts) < maxCounted {
		r.counts[x.Prompt]++
	}
}

// takeUp keeps a run that began before, here or elsewhere.
func (r *runs) takeUp(x *run) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.live[x.Attempt] = x
	return x
}

func (r *runs) get(attempt string) (*run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, ok := r.live[attempt]
	return x, ok
}

func (r *runs) remove(attempt string) (*run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, ok := r.live[attempt]
	delete(r.live, attempt)
	return x, ok
}

// clear forgets what runs.
func (r *runs) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.live)
}

// brokenOff keeps a run for resuming, for a while.
func (r *runs) brokenOff(x *run) {
	time.AfterFunc(r.keep, func() { r.ended(x) })
}

// ended forgets a run, unless it was taken up meanwhile.
func (r *runs) ended(x *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.live[x.Attempt] == x {
		delete(r.live, x.Attempt)
	}
}

func (r *runs) count(prompt string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[prompt]
}
