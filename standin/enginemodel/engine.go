// Package enginemodel is a deterministic model of one inference engine in
// virtual time, without I/O.
//
// The engine works in steps, as continuous batching does: each step generates
// one token for every decoding sequence and prefills at most ChunkTokens of
// prompt, so prefill slows the decoding that shares its steps. Running
// sequences reserve KV memory for prompt and answer when they are admitted; a
// prefix cache of limited memory saves prefill. The waiting queue is ordered by
// priority, then by arrival.
//
// The host calls Enqueue, Cancel and Advance with the time, and calls Advance at
// NextEvent. Steps whose composition does not change are simulated together, so
// that the cost is one event for each change, not for each token.
//
// Not modelled: preemption of running sequences, swapping, and blocks that
// running sequences share with the cache.
package enginemodel

import (
	"errors"
	"slices"
	"time"
)

// Errors of Enqueue. None of them means that the request ran.
var (
	// ErrFull means that the waiting queue holds MaxWaiting requests.
	ErrFull = errors.New("waiting queue is full")
	// ErrTooLong means that the request can never fit into the KV memory.
	ErrTooLong = errors.New("request exceeds KV memory")
	// ErrDown means that the engine has crashed and not restarted.
	ErrDown = errors.New("engine is down")
)

// Config describes an engine.
type Config struct {
	// Slots bounds the running sequences.
	Slots int
	// ChunkTokens bounds the prompt tokens prefilled in one step.
	ChunkTokens int
	// PrefillRate is the speed of prefill in tokens per second. 0 models a plain
	// service: no prefill, every request takes OutputTokens steps, and the
	// first token comes with the whole answer.
	PrefillRate float64
	// StepBase is the fixed duration of a step, StepPerSeq the time that each
	// decoding sequence adds.
	StepBase, StepPerSeq time.Duration
	// KVTokens bounds the prompt and answer tokens reserved by running sequences.
	KVTokens int
	// CacheTokens bounds the tokens in the prefix cache.
	CacheTokens int
	// MaxWaiting bounds the waiting queue; further requests get ErrFull.
	MaxWaiting int
	// EmitTokens requests an event for each generated token, for hosts that
	// stream. Without it there are events only for the first token and the end.
	EmitTokens bool
	// EventTokens is the number of tokens in an event of an answer, for
	// Event.LongestPause; 0 measures no pauses.
	EventTokens int
}

// DecodeRate returns the rated decode speed with all slots in use, in tokens per second.
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

// EventKind is the kind of an Event.
type EventKind uint8

const (
	// FirstToken means that prefill is done and the first token is generated.
	FirstToken EventKind = iota
	// Token means that a further token is generated; only with EmitTokens.
	Token
	// Finished means that the whole answer is generated.
	Finished
)

// Event is a step in the progress of a request.
type Event struct {
	Kind EventKind
	ID   uint64
	At   time.Time
	// CachedTokens is the prefix hit of the request, OutputTokens the tokens
	// generated so far.
	CachedTokens, OutputTokens int
	// LongestPause is the longest time between two events of the answer so far.
	LongestPause time.Duration
}

// Load is the load of an engine at one moment.
type Load struct {
	Running, Waiting int
	// WaitingTokens are the prompt tokens of running and waiting requests that
	// are not prefilled yet.
	WaitingTokens int
	// KVUsed is the reserved fraction of KV memory, 0 to 1.
	KVUsed float64
}

// sequence is one request inside the engine.
type sequence struct {
	Request
	arrival   uint64
	cancelled bool
	// toPrefill are the prompt tokens still to prefill, set at admission.
	toPrefill int
	cached    int
	generated int
	pauses    pauses
}

func (s *sequence) reservedTokens() int { return s.PromptTokens + s.OutputTokens }

// before compares sequences in the order of the waiting queue and of prefill.
func before(a, b *sequence) int {
	if a.Priority != b.Priority {
		return b.Priority - a.Priority
	}
	return int(int64(a.arrival) - int64(b.arrival))
}

// chunk is the number of tokens that a sequence prefills in one step.
type chunk struct {
	seq    *sequence
	tokens int
}

// plan is a series of equal steps.
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
	cfg      Config
	speed    float64
	down     bool
	arrivals uint64
	waiting  []*sequence
	running  []*sequence
	kv       int
	plan     plan
	active   bool
	cache    cache
	events   []Event
	busy     time.Duration
}

// New returns an idle engine with an empty cache.
func New(cfg Config) *Engine {
	return &Engine{cfg: cfg, speed: 1, cache: newCache(cfg.CacheTokens / BlockTokens)}
}

// Enqueue adds a request to the waiting queue. It returns ErrFull, ErrTooLong or
// ErrDown.
func (e *Engine) Enqueue(now time.Time, r Request) error {
	e.advanceTo(now)
	switch {
	case e.down:
		return ErrDown
	case r.PromptTokens+r.OutputTokens > e.cfg.KVTokens:
		return ErrTooLong
	case len(e.waiting) >= e.cfg.MaxWaiting:
		return ErrFull
	}
	e.arrivals++
	s := &sequence{Request: r, arrival: e.arrivals}
	at, _ := slices.BinarySearchFunc(e.waiting, s, before)
	e.waiting = slices.Insert(e.waiting, at, s)
	e.interrupt(now)
	return nil
}

// Cancel cancels a request. It reports whether the engine still had it; no
// event of the request follows.
func (e *Engine) Cancel(now time.Time, id uint64) bool {
	e.advanceTo(now)
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

// Crash drops all requests and the cache, and returns the IDs of the requests.
// The engine accepts no requests until Restart.
func (e *Engine) Crash(now time.Time) []uint64 {
	e.advanceTo(now)
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

// Restart restarts a crashed or idle engine with an empty cache.
func (e *Engine) Restart(now time.Time) {
	e.advanceTo(now)
	e.down = false
	e.cache = newCache(e.cfg.CacheTokens / BlockTokens)
}

// SetSpeed sets the speed as a factor of the rated speed, above 0. The current
// step keeps its duration.
func (e *Engine) SetSpeed(now time.Time, factor float64) {
	e.advanceTo(now)
	e.speed = factor
	e.interrupt(now)
}

// NextEvent returns when Advance must be called next; false means that the
// engine is idle.
func (e *Engine) NextEvent() (time.Time, bool) {
	if len(e.events) > 0 {
		return e.events[0].At, true
	}
	return e.plan.end(), e.active
}

// Advance runs the engine up to now and returns the events in order. The slice
// is valid until the next call.
func (e *Engine) Advance(now time.Time) []Event {
	e.advanceTo(now)
	out := e.events
	e.events = nil
	return out
}

// Load returns the load at now.
func (e *Engine) Load(now time.Time) Load {
	e.advanceTo(now)
	e.applyElapsed(now)
	l := Load{Running: len(e.running), Waiting: len(e.waiting)}
	for _, s := range e.running {
		l.WaitingTokens += s.toPrefill
	}
	for _, s := range e.waiting {
		l.WaitingTokens += s.PromptTokens
	}
	if e.cfg.KVTokens > 0 {
		l.KVUsed = float64(e.kv) / float64(e.cfg.KVTokens)
	}
	return l
}

// Busy returns the total time in which the engine ran steps.
func (e *Engine) Busy() time.Duration { return e.busy }

// Idle reports whether no request runs or waits.
func (e *Engine) Idle() bool { return len(e.running)+len(e.waiting) == 0 }
