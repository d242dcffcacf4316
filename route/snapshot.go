package route

import (
	"math"
	"time"
)

// Snapshot is the input of the plugins for one decision. All plugins share one
// snapshot, so that filters and scores are consistent.
type Snapshot struct {
	// Request is the request to route.
	Request *Request
	// Config holds the Router's settings with defaults filled in.
	Config *Config
	// HoldTime is the mean time in seconds that a request of the service holds
	// a slot.
	HoldTime float64
	// Model is true for model engines, false for plain services.
	Model bool
	// MemoryShare is the share of a target's KV cache memory that the request
	// takes, MemoryHoldTime the mean time in seconds that memory is held.
	MemoryShare, MemoryHoldTime float64
	// WaitFactor is the factor, at least 1, by which waits grow because
	// requests of higher priority arrive later and run first.
	WaitFactor float64
	// MaxFirst and MaxFinish are the request's deadlines for the first token
	// and the whole response in seconds from now; infinite if it has none.
	MaxFirst, MaxFinish float64
	// NewPrefix is the outermost digest of the request's prefix that no target
	// is known to hold; 0 if there is none. NewTokens is the number of tokens
	// from there on.
	NewPrefix uint64
	NewTokens float64
}

// setBounds sets the deadlines of a request.
func (s *Snapshot) setBounds(now time.Time, q *Request) {
	s.MaxFirst, s.MaxFinish = math.Inf(1), math.Inf(1)
	if !q.FirstTokenBy.IsZero() {
		s.MaxFirst = q.FirstTokenBy.Sub(now).Seconds()
	}
	if !q.Deadline.IsZero() {
		s.MaxFinish = q.Deadline.Sub(now).Seconds()
	}
}

// lateness returns by how many seconds a candidate misses the request's
// deadlines; 0 or less if it meets them.
func (s *Snapshot) lateness(c *Candidate) float64 {
	return max(c.FirstToken-s.MaxFirst, c.Finish-s.MaxFinish)
}

// Candidate is the estimated state of one target at the time of the decision.
type Candidate struct {
	// Spec is the target's specification.
	Spec *TargetSpec
	// PendingTokens is the estimated number of queued prompt tokens that run
	// before the request.
	PendingTokens float64
	// AheadShare is the fraction of queued work that runs before or with a
	// request of this priority, 0 to 1. PendingTokens already includes it.
	AheadShare float64
	// InFlight is the estimated number of running and waiting requests from all
	// instances.
	InFlight float64
	// Slots is the number of requests the target can run at once, as far as
	// memory allows.
	Slots float64
	// KVUsed is the share of KV cache memory in use or waited for; above 1 if
	// requests wait for memory.
	KVUsed float64
	// PrefillTime is the learned time per prompt token in seconds; 0 for a
	// plain service.
	PrefillTime float64
	// TokenTime is the learned time per output token in seconds.
	TokenTime float64
	// PlainTime is the learned duration of a plain call in seconds.
	PlainTime float64
	// CachedTokens is the predicted prefix hit in tokens.
	CachedTokens float64
	// Health is not Healthy if the circuit breaker or grey detection excludes
	// the target.
	Health Health
	// RestFor is for how many more seconds the target wants no requests, BusyFor
	// for how many it expects to be too busy; not above 0 for none.
	RestFor, BusyFor float64
	// StalledFor is the time in seconds for which the target has given no first
	// token although one is overdue.
	StalledFor float64
	// WarmFor is the time in seconds since the target became warm.
	WarmFor float64
	// Wait is the predicted wait in seconds before the request's own prefill.
	Wait float64
	// FirstToken and Finish are predicted times in seconds from now, set by the
	// queue scorer.
	FirstToken, Finish float64
	// Score is the sum of all scorers in seconds; lower is better.
	Score float64

	// hash is a hash of the target's ID.
	hash uint64
	// weight is the candidate's weight in the random choice.
	weight float64
}

// Health is the state of a target according to the circuit breaker and grey
// detection.
type Health uint8

const (
	// Healthy targets take work.
	Healthy Health = iota
	// Ejected targets respond, but far more slowly than the service's other
	// targets.
	Ejected
	// Broken targets failed several times in a row.
	Broken
)

// Filter drops candidates that must not be used. Apply works in place and keeps
// the order.
type Filter interface {
	Apply(s *Snapshot, in []Candidate) []Candidate
}

// Scorer adds to the score of each candidate, in seconds. As all scorers use
// this unit, no weights between them are needed.
type Scorer interface {
	Score(s *Snapshot, in []Candidate)
}

// Picker chooses one of the scored candidates. Pick returns its index; in must
// not be empty.
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
