// Package pick chooses the target of a request among the targets of a service in the instance's own
// region. It filters the targets, scores them and picks the cheapest, from what is known now: the
// platform's target list, evacuated zones, this instance's in-flight requests, the load that other
// entry instances report, which prompt parts this instance has sent where, and the results of
// earlier requests.
//
// Costs are estimates in milliseconds until the first event. The package does no input or output
// and reads no clock. A Pool is safe for concurrent use.
package pick

import "time"

// Target is one backend as the platform lists it.
type Target struct {
	// ID names the target. A target that restarts keeps its ID and loses its state.
	ID, Service, Address, Zone string
	// StartMillis is the start time in Unix milliseconds; 0 if unknown.
	StartMillis int64
	// Software is the version of its software; empty if unknown. What two versions write does not fit
	// together.
	Software string
	// Slots is the number of requests it runs concurrently; 0 if unknown.
	Slots int
	// Draining targets get no new requests.
	Draining bool
	// ColdUntil is when it has warmed up; zero if it is warm.
	ColdUntil time.Time
	// ColdEpoch distinguishes one cold period of the target from the next.
	ColdEpoch uint8
}

// MaxParts bounds the parts of one prompt that are looked at, the first ones.
const MaxParts = 64

// Part is one part of a prompt. Parts are listed from the start of the prompt.
type Part struct {
	// ID identifies the content.
	ID uint64
	// Tokens is the length.
	Tokens int
}

// Call describes the request that a target is chosen for.
type Call struct {
	Service string
	// Model is the model whose weights process the prompt.
	Model string
	// Parts of the prompt in order. The last one is unique to the request; the others may be
	// shared.
	Parts []Part
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// OutputTokens is the maximum length of the answer.
	OutputTokens int
	// Rank is the position in an engine's queue; 0 is served first.
	Rank int
	// Tried lists targets that must not be chosen again.
	Tried []string
	// Software is the version that the target must have; empty for any.
	Software string
	// SpreadKey spreads calls without shared parts over the groups of targets. It is encoded as
	// Lot.
	SpreadKey uint64 `cbor:"Lot"`
}

// Load is the work in flight at a target.
type Load struct {
	// Running is the number of requests.
	Running int
	// PendingPrefill holds the prompt tokens of requests without a first event.
	PendingPrefill Queue
	// PrefillMillis is the prefill time recently assigned to the target, in milliseconds; it decays
	// over prefillSpan.
	PrefillMillis int
}

// ServiceRules are the settings of a service that apply to its targets.
type ServiceRules struct {
	// ColdFor is how long a target is cold after it has come back. ColdPerSecond is how many
	// requests a second it can take meanwhile from all instances together.
	ColdFor       time.Duration
	ColdPerSecond float64
	// Engine says that the targets are model engines.
	Engine bool
	// FetchPerKilo is the time in milliseconds that a target needs to fetch 1,000 tokens of cached
	// prompt parts from another target; 0 if unknown.
	FetchPerKilo float64
	// GapAim is the longest allowed pause between events of an answer, the shortest of the
	// service's routes; 0 for none.
	GapAim time.Duration
}

// Snapshot is what the instance knows of its region at one time.
type Snapshot struct {
	// Targets are the targets of the own region.
	Targets []Target
	// Evacuated zones get no new requests.
	Evacuated map[string]bool
	// Loads are the loads that the region's other entry instances report, by target ID.
	// PartialLoads says that they cover only the groups of WatchedGroups.
	Loads        map[string]Load
	PartialLoads bool
	// Entries are the IDs of the region's entry instances that accept requests, in order, including
	// this one. They share the ownership of the groups of targets.
	Entries []string
	// PropagationDelay is the longest time until an update about an entry instance reaches the
	// others of the region: a report to a core instance, its update to the other core instances,
	// and the response to the next report.
	PropagationDelay time.Duration
	// Joining says that this instance has started and has not received the list of entry instances
	// yet.
	Joining bool
	// Rules by service name.
	Rules map[string]ServiceRules
}

const (
	// disturbWeight is the weight of the time that the prefill of a prompt takes from each request
	// running at the target, relative to the call's own waiting.
	disturbWeight = 0.03
	// slowdownWeight is the weight of the extra time that an answer takes at a target that prefills
	// much or runs many requests. chunkMillis is how much longer a step takes that prefills a part
	// of a prompt, runningMillis what each running request adds to a step. Together with
	// disturbWeight, slowdownWeight keeps long prompts and long answers at different targets.
	// Without runningMillis, long answers concentrate at targets with little prefill.
	slowdownWeight = 0.286
	chunkMillis    = 26.0
	runningMillis  = 0.3
	// prefillSpan is the decay time of the recent prefill time and sums.
	prefillSpan = 4 * time.Second
	// slownessGain is the weight of each new first event in a target's slowness. minSlowness and
	// maxSlowness keep a single outlier from deciding. Estimates below minLearnMillis are too
	// imprecise to learn from.
	slownessGain   = 0.1
	minSlowness    = 0.5
	maxSlowness    = 6.0
	minLearnMillis = 20.0
	// slotCostMillis is what the running requests of a plain target cost the next one when all
	// slots are full: a few tens of milliseconds of work.
	slotCostMillis = 40.0
	// queueCostMillis is the cost of each request beyond the slots, in waiting for a slot.
	queueCostMillis = 60.0
	// preferredHitShare is the share of the shared parts assumed to be cached at the preferred
	// target, where this instance has not sent them itself.
	preferredHitShare = 0.6
	// leaveGroupMillis is the cost to the call itself at the best target of its group beyond which
	// all targets are candidates. Costs to other requests are not counted: otherwise long answers
	// leave their group at any load, for targets of which their group owner knows only what others
	// report.
	leaveGroupMillis = 400.0
	// failCostMillis is the cost of a target whose recent answers all failed: about what a failed
	// request costs its caller.
	failCostMillis = 1500.0
	// failShareDecay is the weight of the old failure share when an answer is added.
	failShareDecay = 0.8
	// minBackoff and maxBackoff bound how long a target is in backoff after it could not be reached
	// or broke off. The time doubles with each consecutive failure. The target then gets one
	// request at a time until one succeeds, so a recovered target has work within seconds even
	// under low traffic.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 3 * time.Second
	// prefixTTL is how long a part counts as cached after its last use: engines evict parts for
	// newer ones, and the target list does not report it.
	prefixTTL = 40 * time.Second
	// coldMargin extends a cold period: a target crashed at the full rate 40 ms after the end of
	// its listed cold period.
	coldMargin = 400 * time.Millisecond
)
