// Package enginemodel is a deterministic model of one inference engine, in
// virtual time and without input or output.
//
// The engine works in steps, as continuous batching does: each step generates
// one token for every decoding sequence and prefills at most ChunkTokens of
// prompt, so prefill slows the decoding that shares its steps. Running
// sequences reserve KV memory for prompt and answer when they are admitted; a
// prefix cache of limited memory saves prefill. The waiting queue is ordered by
// priority, then by arrival.
//
// The host calls Enqueue, Cancel and Advance with the time, and wakes the
// engine at NextEvent. Steps whose composition does not change are taken
// together, so that the cost is one event for each change, not for each token.
//
// What is left out: preemption of running sequences, swapping, and blocks that
// running sequences share with the cache.
package enginemodel

import (
	"errors"
	"slices"
	"time"
)

// Errors of Enqueue. None of them means that the request ran.
var (
	// ErrFull: the waiting queue holds MaxWaiting requests.
	ErrFull = errors.New("waiting queue is full")
	// ErrTooLong: the request can never fit the KV memory.
	ErrTooLong = errors.New("request exceeds KV memory")
	// ErrDown: the engine has crashed and not restarted.
	ErrDown = errors.New("engine is down")
)

// Config describes an engine.
type Config struct {
	// Slots bounds the running sequences.
	Slots int
	// ChunkTokens bounds the prompt tokens prefilled in one step.
	ChunkTokens int
	// PrefillRate is in tokens per second of pure prefill. 0 makes a plain
	// service: no prefill, every request takes OutputTokens steps, and the
	// first token comes with the whole answer.
	PrefillRate float64
	// StepBase is the fixed time of a step, StepPerSeq the time that each
	// decoding sequence adds.
	StepBase, StepPerSeq time.Duration
	// KVTokens bounds prompt and answer tokens reserved by running sequences.
	KVTokens int
	// CacheTokens bounds the prefix cache.
	CacheTokens int
	// MaxWaiting bounds the waiting queue; more are rejected.
	MaxWaiting int
	// EmitTokens asks for an event for each generated token, for hosts that
	// stream. Without it only the first token and the end are told.
	EmitTokens bool
	// EventTokens is how many tokens an event of an answer holds; 0 measures no pauses.
	EventTokens int
}

// DecodeRate is the rated decode speed with all slots in use, in tokens per second.
func (c Config) DecodeRate() float64 {
	step := c.StepBase + time.Duration(c.Slots)*c.StepPerSeq
	return float64(c.Slots) / step.Seconds()
}

// Request is one request to run.
type Request struct {
	ID uint64
	// Priority 0 (lowest) to 9.
	Priority int
	// PromptTokens and OutputTokens are exact lengths, at least 1.
	PromptTokens, OutputTokens int
	// Prefix are chained digests of the prompt's blocks of BlockTokens tokens,
	// outermost first.
	Prefix []uint64
}

// EventKind tells what happened to a request.
type EventKind uint8

const (
	// FirstToken: prefill is done and the first token is out.
	FirstToken EventKind = iota
	// Token: a further token is out; only with EmitTokens.
	Token
	// Finished: the whole answer is out.
	Finished
)

// Event is one thing that happened to a request.
type Event struct {
	Kind EventKind
	ID   uint64
	At   time.Time
	// CachedTokens is the prefix hit of the request, OutputTokens what is out so far.
	CachedTokens, OutputTokens int
	// Pause is the longest time between two events of the answer so far.
	LongestPause time.Duration
}

// Load is what the engine reports of itself at one moment.
type Load struct {
	Running, Waiting int
	// WaitingTokens are prompt tokens not prefilled yet, of running and waiting requests.
	WaitingTokens int
	// KVUsed is the reserved share of KV memory, 0 to 1.
	KVUsed float64
}

// sequence is one request inside the engine.
type sequence struct {
	Request
	order     uint64
	cancelled bool
	// todo are prompt tokens still to prefill; known at admission.
	todo      int
	cached    int
	generated int
	pauses    pauses
}

func (s *sequence) kv() int { return s.PromptTokens + s.OutputTokens }

// before is the order of the waiting queue and of prefill.
func before(a, b *sequence) int {
	if a.Priority != b.Priority {
		return b.Priority - a.Priority
	}
	return int(int64(a.order) - int64(b.order))
}

// chunk is the part of one step that a prefilling sequence gets.
type chunk struct {
	seq    *sequence
	tokens int
}

// plan is a run of equal steps.
type plan struct {
	start    time.Time
	step     time.Duration
	steps    int
	prefill  []chunk
	decoding []*sequence
}

func (p *plan) end() time.Time { return p.start.Add(time.Duration(p.steps) * p.step) }

// Engine is the model of one engine. It is not safe for concurrent use.
type Engine struct {
	cfg     Config
	speed   float64
	down    bool
	orders  uint64
	waiting []*sequence
	running []*sequence
	kv      int
	plan    plan
	active  bool
	cache   cache
	out     []Event
	busy    time.Duration
}

// New returns an idle engine with a cold cache.
func New(cfg Config) *Engine {
	return &Engine{cfg: cfg, speed: 1, cache: newCache(cfg.CacheTokens / BlockTokens)}
}

// Enqueue puts a request into the waiting queue.
func (e *Engine) Enqueue(now time.Time, r Request) error {
	e.run(now)
	switch {
	case e.down:
		return ErrDown
	case r.PromptTokens+r.OutputTokens > e.cfg.KVTokens:
		return ErrTooLong
	case len(e.waiting) >= e.cfg.MaxWaiting:
		return ErrFull
	}
	e.orders++
	s := &sequence{Request: r, order: e.orders}
	at, _ := slices.BinarySearchFunc(e.waiting, s, before)
	e.waiting = slices.Insert(e.waiting, at, s)
	e.interrupt(now)
	return nil
}

// Cancel gives a request up. It tells whether the engine still had it; no
// event of the request follows.
func (e *Engine) Cancel(now time.Time, id uint64) bool {
	e.run(now)
	if i := slices.IndexFunc(e.waiting, func(s *sequence) bool { return s.ID == id }); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return true
	}
	i := slices.IndexFunc(e.running, func(s *sequence) bool { return s.ID == id && !s.cancelled })
	if i < 0 {
		return false
	}
	e.running[i].cancelled = true
	e.interrupt(now)
	return true
}

// Crash loses every request and the cache, and returns the requests lost. The
// engine takes nothing until Restart.
func (e *Engine) Crash(now time.Time) []uint64 {
	e.run(now)
	var lost []uint64
	for _, s := range slices.Concat(e.running, e.waiting) {
		if !s.cancelled {
			lost = append(lost, s.ID)
		}
	}
	e.running, e.waiting, e.kv = nil, nil, 0
	e.active = false
	e.down = true
	e.cache = newCache(e.cfg.CacheTokens / BlockTokens)
	return lost
}

// Restart brings a crashed or idle engine back with a cold cache.
func (e *Engine) Restart(now time.Time) {
	e.run(now)
	e.down = false
	e.cache = newCache(e.cfg.CacheTokens / BlockTokens)
}

// SetSpeed sets the speed factor: 1 is the rated speed, 0.25 a grey engine.
// The step under way keeps its length.
func (e *Engine) SetSpeed(now time.Time, factor float64) {
	e.run(now)
	e.speed = factor
	e.interrupt(now)
}

// NextEvent is when the engine wants Advance to be called; false means that it
// has nothing to do.
func (e *Engine) NextEvent() (time.Time, bool) {
	if len(e.out) > 0 {
		return e.out[0].At, true
	}
	return e.plan.end(), e.active
}

// Advance runs the engine up to now and returns what happened, in order. The
// slice is valid until the next call.
func (e *Engine) Advance(now time.Time) []Event {
	e.run(now)
	out := e.out
	e.out = nil
	return out
}

// Load returns the load at now.
func (e *Engine) Load(now time.Time) Load {
	e.run(now)
	e.settle(now)
	l := Load{Running: len(e.running), Waiting: len(e.waiting)}
	for _, s := range e.running {
		l.WaitingTokens += s.todo
	}
	for _, s := range e.waiting {
		l.WaitingTokens += s.PromptTokens
	}
	if e.cfg.KVTokens > 0 {
		l.KVUsed = float64(e.kv) / float64(e.cfg.KVTokens)
	}
	return l
}

// Busy is the total time in which the engine ran something.
func (e *Engine) Busy() time.Duration { return e.busy }

// Idle tells whether nothing runs or waits.
func (e *Engine) Idle() bool { return len(e.running)+len(e.waiting) == 0 }
