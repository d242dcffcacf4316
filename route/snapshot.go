package route

import (
	"math"
	"time"
)

// Snapshot is what the plugins of one decision see. All of them see the same
// one, so that a score and the filter before it cannot disagree.
type Snapshot struct {
	// Request is the request to place.
	Request *Request
	// Config are the Router's settings with defaults filled in.
	Config *Config
	// HoldTime is the mean time in seconds that a request of the service keeps
	// a slot.
	HoldTime float64
	// Model says that the service is a model engine; else a plain service.
	Model bool
	// Memory is the share of a target's KV cache memory that the request takes,
	// MemoryHold the mean time in seconds that memory is held.
	MemoryShare, MemoryHoldTime float64
	// Stretch is by how much waits grow because requests of more priority come
	// and go first, 1 or more.
	WaitFactor float64
	// MaxFirst and MaxFinish are the request's bounds on first token and whole
	// answer in seconds from now, infinite where it has none.
	MaxFirst, MaxFinish float64
	// NewPrefix is the outermost digest of the request's prefix that no target
	// is known to hold, 0 if there is none. NewTokens is what stands from there on.
	NewPrefix uint64
	NewTokens float64
}

// setBounds takes the bounds of a request.
func (s *Snapshot) setBounds(now time.Time, q *Request) {
	s.MaxFirst, s.MaxFinish = math.Inf(1), math.Inf(1)
	if !q.FirstTokenBy.IsZero() {
		s.MaxFirst = q.FirstTokenBy.Sub(now).Seconds()
	}
	if !q.Deadline.IsZero() {
		s.MaxFinish = q.Deadline.Sub(now).Seconds()
	}
}

// lateness is by how many seconds a candidate misses the request's bounds; 0 or
// less means that it makes them.
func (s *Snapshot) lateness(c *Candidate) float64 {
	return max(c.FirstToken-s.MaxFirst, c.Finish-s.MaxFinish)
}

// Candidate is one target as it is believed to be at the time of the decision.
type Candidate struct {
	// Spec is the target's description.
	Spec *TargetSpec
	// Pending is the estimate of prompt tokens in front.
	PendingTokens float64
	// Ahead is the part of queued work that runs before or with a request of
	// this priority, 0 to 1; Pending has it counted in.
	AheadShare float64
	// InFlight is the estimate of requests running and waiting, of all instances.
	InFlight float64
	// Slots is the number of requests it runs at once, as far as memory allows.
	Slots float64
	// KVUsed is the share of KV cache memory in use or waited for; over 1 if
	// requests wait for it.
	KVUsed float64
	// PrefillTime is the learned time of one prompt token in seconds, 0 for a
	// plain service.
	PrefillTime float64
	// TokenTime is the learned time of one output token in seconds.
	TokenTime float64
	// PlainTime is the learned time of a plain call in seconds.
	PlainTime float64
	// Cached is the predicted prefix hit in tokens.
	CachedTokens float64
	// Health says whether the breaker or the grey signal bars it.
	Health Health
	// Stalled is how long it has given no first token though one is overdue, in
	// seconds.
	StalledFor float64
	// WarmFor is how long it has been warm, in seconds.
	WarmFor float64
	// Wait is the predicted wait in seconds before the own prefill.
	Wait float64
	// FirstToken and Finish are predicted seconds from now, set by the queue scorer.
	FirstToken, Finish float64
	// Score is the sum of the scorers in seconds; lower is better.
	Score float64

	// hash is a hash of the target's name.
	hash uint64
	// weight is its weight in the choice.
	weight float64
}

// Health is what the breaker and the grey signal say of a target.
type Health uint8

const (
	// Healthy targets take work.
	Healthy Health = iota
	// Ejected targets answer, but far slower than their like.
	Ejected
	// Broken targets failed several times in a row.
	Broken
)

// Filter drops candidates that must not be used. It works in place and returns
// what is left, in the same order.
type Filter interface {
	Apply(s *Snapshot, in []Candidate) []Candidate
}

// Scorer adds to the score of each candidate, in seconds. All speak of the same
// unit, so that no weights between them are needed.
type Scorer interface {
	Score(s *Snapshot, in []Candidate)
}

// Picker chooses one of at least one scored candidates.
type Picker interface {
	Pick(s *Snapshot, in []Candidate) int
}

// keep drops the candidates for which ok is false, in place.
func keep(in []Candidate, ok func(*Candidate) bool) []Candidate {
	n := 0
	for i := range in {
		if !ok(&in[i]) {
			continue
		}
		if n != i {
			in[n] = in[i]
		}
		n++
	}
	return in[:n]
}
