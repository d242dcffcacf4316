// Package pick chooses the target of one request among those of a service in the
// own region, as filter, scorer and picker over what is known now.
//
// What is known: the platform's list, the evacuated zones, what this instance has
// under way at each target, what the other entry instances told of theirs, which
// prompt parts this instance has sent where, and how each target has answered. Costs
// are estimates in milliseconds until the first event. There is no input or output:
// the time is passed in, and a Pool is safe for several goroutines.
package pick

import "time"

// Target is one back end, as listed.
type Target struct {
	// ID names the target. It may start again under its id, and knows nothing of before.
	ID, Service, Address, Zone string
	// Born is when it started, in Unix milliseconds; 0 if unknown.
	StartMillis int64
	// Slots is how many requests it runs at once; 0 if unknown.
	Slots int
	// Draining targets get nothing new.
	Draining bool
	// ColdUntil is when it has warmed up; zero if it is warm.
	ColdUntil time.Time
	// ColdTurn tells one cold time of a target from the next.
	ColdEpoch uint8
}

// Part is one part of a prompt, from its beginning on.
type Part struct {
	// ID names the content.
	ID uint64
	// Tokens is its length.
	Tokens int
}

// Call is what the choice rests on.
type Call struct {
	Service string
	// Model whose weights read the prompt.
	Model string
	// Parts of the prompt in order. The last one belongs to the request alone.
	Parts []Part
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// OutputTokens is the most that the answer may have.
	OutputTokens int
	// Rank orders an engine's queue, 0 first.
	Rank int
	// Tried targets are not chosen again.
	Tried []string
	// Lot spreads calls without shared parts over the groups of targets.
	SpreadKey uint64 `cbor:"Lot"`
}

// Load is what others have under way at a target.
type Load struct {
	// Running counts requests.
	Running int
	// Unread are the prompt tokens of those not yet answered.
	PendingPrefill Queue
	// Reading is the time in milliseconds that reading prompts takes there, as it was given
	// out lately: it fades over readingSpan.
	PrefillMillis int
}

// ServiceRules are what a service says of its targets.
type ServiceRules struct {
	// ColdFor is how long a target is cold after it has come back, ColdPerSecond
	// how many requests a second it bears meanwhile from all instances together.
	ColdFor       time.Duration
	ColdPerSecond float64
	// Engine says that the targets are model engines.
	Engine bool
	// FetchPerKilo is how long a target takes to fetch 1,000 tokens of kept prompt parts from
	// another one, in milliseconds; 0 where it is not known.
	FetchPerKilo float64
	// GapAim is the longest pause between events of an answer in time, the shortest of the
	// service's routes; 0 for none.
	GapAim time.Duration
}

// Snapshot is a new view of the surroundings.
type Snapshot struct {
	// Targets are those of the own region.
	Targets []Target
	// Evacuated zones get nothing.
	Evacuated map[string]bool
	// Loads are what the other entry instances of the region have under way; Partial says
	// that they are those of the Duties only.
	Loads        map[string]Load
	PartialLoads bool
	// Entries are the ids of the region's entry instances that take requests, this
	// one included, in order. They share out the groups of targets.
	Entries []string
	// Settle is how long news of an entry instance may take to the others of the region: a
	// report to a core instance, its news to the other ones, and the answer to the next report.
	PropagationDelay time.Duration
	// Unheard says that this instance has started and not been told the others yet.
	Joining bool
	// Rules by service.
	Rules map[string]ServiceRules
}

// Constants of the estimates.
const (
	// disturb is the weight of the time that the reading of a prompt takes from each
	// request that runs at the target, against waiting of its own.
	disturb = 0.03
	// slowed is the weight of the time that an answer takes longer at a target that reads
	// much or runs many: chunkTime is how much longer a step takes in which a part of a
	// prompt is read, and runningTime what each running request adds, both in milliseconds.
	// With disturb it keeps long prompts and long answers at different targets; without
	// runningTime long answers crowd at the targets that read little.
	slowed      = 0.286
	chunkTime   = 26.0
	runningTime = 0.3
	// readingSpan is the time over which the share of reading is measured.
	readingSpan = 4 * time.Second
	// learning is the weight of each newer first event in a target's slowness, and the
	// bounds keep one odd answer from deciding. Estimates below leastLearned milliseconds
	// tell too little.
	learning      = 0.1
	leastSlowness = 0.5
	mostSlowness  = 6.0
	leastLearned  = 20.0
	// slotCost is what a request at a plain target costs the next one, in
	// milliseconds for a full set of slots: a few tens of milliseconds of work.
	slotCost = 40.0
	// queueCost is the cost of each request beyond the slots, in milliseconds.
	queueCost = 60.0
	// guess is the share of the shared parts that is taken as kept at the target
	// that all instances prefer for them, where this instance has not sent them.
	guess = 0.6
	// leaveGroup is what a call may meet at the best target of its prompt's group, in
	// milliseconds; beyond it all targets are candidates. What the call costs others is not
	// in it: with that, long answers leave their group at any load, to targets of which their
	// decider knows only what others told.
	leaveGroup = 400.0
	// failCost is the cost of a target of which each answer failed lately, in
	// milliseconds: about what a failed request costs its caller.
	failCost = 1500.0
	// failKeep is how much of the old share of failures stays with each answer.
	failKeep = 0.8
	// downFirst and downMost bound how long a target that could not be reached, or
	// broke off, is left out. It doubles with each failure in a row. Then it gets one
	// request at a time until one succeeds: a target that is well again has work
	// within seconds, also under low traffic.
	downFirst = 300 * time.Millisecond
	downMost  = 3 * time.Second
	// keepTime is how long a part counts as kept after its last use: parts yield to
	// newer ones, and the list of targets does not tell.
	keepTime = 40 * time.Second
	// coldMargin is added to a cold time: a target that was listed as cold until some
	// moment still crashed at a full rate 40 ms after it.
	coldMargin = 400 * time.Millisecond
)
