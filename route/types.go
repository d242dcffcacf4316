// Package route decides where a request runs: at which target, in which region,
// or nowhere.
//
// A Router is a state machine without I/O. The host feeds it events (load
// reports, started and ended attempts, cache events) and asks it for decisions;
// time and randomness are passed in. One Router serves one instance: it knows
// its own attempts exactly and everything else from lagging reports.
package route

import "time"

// TargetID identifies a target.
type TargetID string

// State is the readiness of a target.
type State uint8

const (
	// Warm targets take work.
	Warm State = iota
	// Loading targets do not take work yet.
	Loading
	// Leaving targets finish their requests and take no new ones.
	Leaving
	// Down targets are unreachable.
	Down
)

// String returns the name of a state used in logs and in the operators'
// interface.
func (s State) String() string {
	switch s {
	case Warm:
		return "warm"
	case Loading:
		return "loading"
	case Leaving:
		return "leaving"
	default:
		return "down"
	}
}

// TargetSpec is a target's specification from the bundle and the platform.
type TargetSpec struct {
	ID       TargetID
	Service  string
	Region   string
	Zone     string
	Adapters []string
	State    State
	// Slots is the number of requests it can run at once.
	Slots int
	// PrefillRate and DecodeRate are the rated speeds in tokens per second over
	// all slots; 0 for plain services.
	PrefillRate, DecodeRate float64
	// CostPerSecond is the weight of a busy second in the cost of serving.
	CostPerSecond float64
}

// Report is a load report of a target. It describes the target at time At,
// which lies in the past by an unknown lag.
type Report struct {
	Target  TargetID
	At      time.Time
	Running int
	Waiting int
	// WaitingTokens is the number of prompt tokens not prefilled yet, of
	// running and waiting requests.
	WaitingTokens int
	// KVUsed is the share of KV cache memory in use, 0 to 1.
	KVUsed float64
}

// CacheEvent reports prefix blocks that a target stored or evicted. Events
// arrive late and with gaps, so they are only hints.
type CacheEvent struct {
	Target TargetID
	// Seq is the event's number in the target's sequence, from 1; 0 if it has
	// none.
	Seq uint64
	// Stored and Evicted are block digests, as in Request.Prefix.
	Stored  []uint64
	Evicted []uint64
}

// Request holds the properties of a request that decisions depend on.
type Request struct {
	ID        uint64
	Service   string
	Adapter   string
	Workspace string
	// Priority is 0 (lowest) to 9.
	Priority int
	Arrival  time.Time
	// Deadline is the time by which the response must be complete; zero means
	// no such deadline.
	Deadline time.Time
	// FirstTokenBy is the time by which the first token must have been sent;
	// zero means no such deadline.
	FirstTokenBy time.Time
	// PromptTokens and OutputTokens are estimates, at least 1 for model
	// services.
	PromptTokens, OutputTokens int
	// Prefix holds chained digests of the prompt's blocks of PrefixBlockTokens
	// tokens, outermost first.
	Prefix []uint64
	// Idempotent requests may be retried after an unknown outcome.
	Idempotent bool
	// Home is the request's home region.
	Home string
	// Regions lists the regions that may serve it; empty means any.
	Regions []string
	// Forwarded is true if the request was forwarded from another region; it
	// must not be forwarded again.
	Forwarded bool
	// Attempt is the number of earlier attempts, Tried their targets.
	Attempt int
	Tried   []TargetID
}

// PrefixBlockTokens is the number of tokens covered by one prefix digest.
const PrefixBlockTokens = 64

// Action is what the host must do with a request.
type Action uint8

const (
	// Send the request to Decision.Target.
	Send Action = iota
	// Spill the request to Decision.Region, which decides again.
	Spill
	// Refuse the request immediately; Decision.RetryAfter is the delay before a
	// retry.
	Refuse
	// Hold the request and decide again at Decision.DecideAgain at the latest,
	// or when an attempt of this instance ends. The host bounds the number of
	// held requests.
	Hold
)

// Reason is why a request was refused or spilled.
type Reason string

const (
	// ReasonNone is the reason of a decision that needs none, such as Send.
	ReasonNone Reason = ""
	// ReasonUnknownService: no known region serves it.
	ReasonUnknownService Reason = "unknown_service"
	// ReasonNoTarget: no target can take work now.
	ReasonNoTarget Reason = "no_target"
	// ReasonDeadline: no target is predicted to meet its deadlines.
	ReasonDeadline Reason = "deadline_unmeetable"
	// ReasonOverload: the predicted wait exceeds the bound for its priority.
	ReasonOverload Reason = "overloaded"
	// ReasonResidency: regions serve it, but none that it allows.
	ReasonResidency Reason = "residency"
)

// Decision is the result of Decider.Decide.
type Decision struct {
	Action Action
	Target TargetID
	Region string
	Reason Reason
	// RetryAfter is set for Refuse.
	RetryAfter time.Duration
	// DecideAgain is set for Hold.
	DecideAgain time.Time
	// Start and Finish are the predicted times of the first token and of the
	// complete response, set for Send.
	Start, Finish time.Time
	// CachedTokens is the predicted prefix hit at the target, in tokens.
	CachedTokens int
	// HedgeAt is when to start a second attempt; zero means never.
	HedgeAt time.Time
}

// AttemptID identifies one attempt of one request by one instance.
type AttemptID uint64

// Outcome is how an attempt ended.
type Outcome uint8

const (
	// Succeeded: the response was complete.
	Succeeded Outcome = iota
	// Failed: the target returned an error of its own or broke off the
	// response.
	Failed
	// Unreached: the connection was refused; the target did not see the
	// request.
	Unreached
	// Rejected: the target refused the request because of its load.
	Rejected
	// Cancelled: this side gave up (caller gone, or the other attempt of a
	// hedge won).
	Cancelled
)

// End is the end of an attempt.
type End struct {
	Attempt AttemptID
	Outcome Outcome
	// OutputTokens is the number of received tokens; CachedTokens is the prefix
	// hit reported by the engine, -1 if it reported none.
	OutputTokens, CachedTokens int
	// Rest is for how long the target, which turned the request away, wants no
	// requests from this instance, Busy for how long it expects to be too busy;
	// 0 if it has not said so.
	Rest, Busy time.Duration
}

// RegionSummary is a neighbour's summary of one service in its region.
type RegionSummary struct {
	Region  string
	Service string
	At      time.Time
	// FreeRate is the capacity that the region grants to this one, in requests
	// per second; 0 means none.
	FreeRate float64
	// Wait is its predicted time to first token for a cold prompt of average
	// length.
	Wait time.Duration
	// Targets is the number of targets there that take work for the service.
	Targets int
}

// Link describes the connection to a neighbour, from the bundle and the
// membership.
type Link struct {
	Region string
	// OneWay is the usual one-way delay to the neighbour.
	OneWay time.Duration
	// MaxShare bounds the fraction of requests spilled over it, 0 to 1.
	MaxShare float64
	// Reachable is the current state according to the membership.
	Reachable bool
}

// Decider is the interface of a Router. The experiment's baselines implement it
// too, so that all are driven alike.
type Decider interface {
	// SetTargets replaces the known targets; the state of those that remain is
	// kept.
	SetTargets(now time.Time, specs []TargetSpec)
	// SetLinks replaces the known neighbours.
	SetLinks(now time.Time, links []Link)
	// Report processes a load report.
	Report(now time.Time, r Report)
	// CacheEvent processes a prefix cache event.
	CacheEvent(now time.Time, e CacheEvent)
	// RegionSummary processes a neighbour's summary.
	RegionSummary(now time.Time, s RegionSummary)
	// Summarise returns this region's summaries for its neighbours, one per
	// service.
	Summarise(now time.Time) []RegionSummary
	// Decide returns the decision for a request. It does not change the load
	// state.
	Decide(now time.Time, r *Request) Decision
	// Sent records that the host carries out a Send decision.
	Sent(now time.Time, a AttemptID, r *Request, d Decision)
	// FirstToken records the first token of an attempt.
	FirstToken(now time.Time, a AttemptID)
	// Ended records the end of an attempt. Ends of unknown attempts are ignored.
	Ended(now time.Time, e End)
}
