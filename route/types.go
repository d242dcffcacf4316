// Package route decides where a request runs: at which target, in which
// region, or nowhere.
//
// A Router is a state machine without input or output. The host steps it with
// what it sees (reports, sendings, ends, cache events) and asks it to decide;
// time and randomness are passed in. One Router serves one instance: it knows
// its own sendings exactly and everything else through lagging reports.
package route

import "time"

// TargetID names a target.
type TargetID string

// State is what is known of a target's readiness.
type State uint8

const (
	// Warm targets take work.
	Warm State = iota
	// Loading targets do not take work yet.
	Loading
	// Leaving targets finish what they have and take nothing new.
	Leaving
	// Down targets are not reachable.
	Down
)

// String is the word for a state in logs and in the operators' interface.
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

// TargetSpec is what the bundle and the platform say of a target.
type TargetSpec struct {
	ID       TargetID
	Service  string
	Region   string
	Zone     string
	Adapters []string
	State    State
	// Slots is the number of requests it runs at once.
	Slots int
	// PrefillRate and DecodeRate are rated speeds in tokens per second over
	// all slots; 0 for plain services.
	PrefillRate, DecodeRate float64
	// CostPerSecond weighs a busy second in the cost of serving.
	CostPerSecond float64
}

// Report is one load report of a target. It describes the target at At, which
// lies in the past by an unknown lag.
type Report struct {
	Target  TargetID
	At      time.Time
	Running int
	Waiting int
	// WaitingTokens are prompt tokens not prefilled yet, of running and waiting requests.
	WaitingTokens int
	// KVUsed is the share of KV cache memory in use, 0 to 1.
	KVUsed float64
}

// CacheEvent tells that a target now holds, or dropped, prefix blocks. Events
// come late and with gaps, so what they say is a hint.
type CacheEvent struct {
	Target  TargetID
	Seq     uint64
	Stored  []uint64
	Evicted []uint64
}

// Request is what a decision needs to know of a request.
type Request struct {
	ID        uint64
	Service   string
	Adapter   string
	Workspace string
	// Priority is 0 (lowest) to 9.
	Priority int
	Arrival  time.Time
	// Deadline is when the whole answer must have been given.
	Deadline time.Time
	// FirstTokenBy is when the first token must have been given; zero means no
	// bound of its own.
	FirstTokenBy time.Time
	// PromptTokens and OutputTokens are estimates, at least 1 for model services.
	PromptTokens, OutputTokens int
	// Prefix are chained digests of the prompt's blocks of PrefixBlockTokens
	// tokens, outermost first.
	Prefix []uint64
	// Idempotent requests may be sent again after an unknown end.
	Idempotent bool
	// Home is the region that the request belongs to.
	Home string
	// Regions that may serve it; empty means any.
	Regions []string
	// Crossed says that it has already crossed from another region; it must
	// not cross again.
	Forwarded bool
	// Attempt counts earlier sendings; Tried names their targets.
	Attempt int
	Tried   []TargetID
}

// PrefixBlockTokens is the number of tokens that one prefix digest covers.
const PrefixBlockTokens = 64

// Action is what to do with a request.
type Action uint8

const (
	// Send it to Decision.Target.
	Send Action = iota
	// Spill it to Decision.Region, which decides anew.
	Spill
	// Refuse it at once; Decision.RetryAfter says when to come back.
	Refuse
	// Hold it and decide again at Decision.DecideAgain at the latest, or when
	// an attempt of this instance ends. The host bounds how many it holds.
	Hold
)

// Reason says why a request was refused or spilled.
type Reason string

const (
	// ReasonNone stands with Send.
	ReasonNone Reason = ""
	// ReasonUnknownService: no target of any allowed region serves it.
	ReasonUnknownService Reason = "unknown_service"
	// ReasonNoTarget: no target can take work now.
	ReasonNoTarget Reason = "no_target"
	// ReasonDeadline: no target is predicted to finish in time.
	ReasonDeadline Reason = "deadline_unmeetable"
	// ReasonOverload: the request was shed in favour of others.
	ReasonOverload Reason = "overloaded"
	// ReasonResidency: its allowed regions do not include one that can serve it.
	ReasonResidency Reason = "residency"
)

// Decision is the answer of a Router.
type Decision struct {
	Action Action
	Target TargetID
	Region string
	Reason Reason
	// RetryAfter goes with Refuse.
	RetryAfter time.Duration
	// DecideAgain goes with Hold.
	DecideAgain time.Time
	// Start and Finish are predicted times of the first token and of the whole
	// answer; they go with Send.
	Start, Finish time.Time
	// CachedTokens is the predicted prefix hit at the target, in tokens.
	CachedTokens int
	// HedgeAt is when a second attempt is worth starting; zero means never.
	HedgeAt time.Time
}

// AttemptID names one sending of one request by one instance.
type AttemptID uint64

// Outcome is how an attempt ended.
type Outcome uint8

const (
	// Succeeded: the whole answer came.
	Succeeded Outcome = iota
	// Failed: the target answered with an error of its own or broke off.
	Failed
	// Unreached: the connection was refused; the target did not see it.
	Unreached
	// Rejected: the target refused it for load.
	Rejected
	// Cancelled: this side gave it up (caller gone, hedge lost).
	Cancelled
)

// End is the end of an attempt.
type End struct {
	Attempt AttemptID
	Outcome Outcome
	// OutputTokens that came; CachedTokens as the engine told, -1 if it did not.
	OutputTokens, CachedTokens int
}

// RegionSummary is what a neighbour's relay tells about one service in its region.
type RegionSummary struct {
	Region  string
	Service string
	At      time.Time
	// FreeRate is the work that the region grants to this one, in requests per
	// second; 0 means none.
	FreeRate float64
	// Wait is its predicted time to first token for a cold prompt of average length.
	Wait time.Duration
	// Targets is how many targets of the service take work there.
	Targets int
}

// Link is a neighbour as the bundle describes it.
type Link struct {
	Region string
	// OneWay is the usual one-way delay.
	OneWay time.Duration
	// MaxShare bounds the share of requests sent over it, 0 to 1.
	MaxShare float64
	// Reachable is what membership says now.
	Reachable bool
}

// Decider is the set of steps of a Router. The experiment's baselines
// implement it as well, so that all are driven alike.
type Decider interface {
	// SetTargets replaces the targets known; state of the ones kept is kept.
	SetTargets(now time.Time, specs []TargetSpec)
	// SetLinks replaces the neighbours known.
	SetLinks(now time.Time, links []Link)
	// Report takes a load report.
	Report(now time.Time, r Report)
	// CacheEvent takes a prefix cache event.
	CacheEvent(now time.Time, e CacheEvent)
	// RegionSummary takes a neighbour's summary.
	RegionSummary(now time.Time, s RegionSummary)
	// Summarise makes the summary of this region to give to neighbours, one
	// for each service.
	Summarise(now time.Time) []RegionSummary
	// Decide says what to do with a request. It changes no load state.
	Decide(now time.Time, r *Request) Decision
	// Sent records that the host follows a Send decision.
	Sent(now time.Time, a AttemptID, r *Request, d Decision)
	// FirstToken records the first token of an attempt.
	FirstToken(now time.Time, a AttemptID)
	// Ended records the end of an attempt. Ends of unknown attempts are ignored.
	Ended(now time.Time, e End)
}
