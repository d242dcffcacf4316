// Package bundle defines the versioned, signed configuration that operators
// decide on: models, adapters, versions, regions, targets, services, workspaces,
// limits, residency and rules.
//
// A bundle is immutable and identified by its Digest. The digest covers the
// digests of all sections, so that two instances can exchange only the sections
// that differ.
package bundle

// Digest is the SHA-256 of a canonical encoding in lower-case hex; empty means none.
type Digest string

// Bundle is one version of the whole configuration.
type Bundle struct {
	// Version counts accepted bundles; each follows its parent by exactly one.
	Version uint64 `json:"version"`
	// Parent is the digest of the bundle that this one replaces; empty only in
	// version 1.
	Parent Digest `json:"parent,omitempty"`
	// Note is a comment by the operators.
	Note string `json:"note,omitempty"`
	// Operators may sign the next bundle.
	Operators []Operator `json:"operators"`
	// SignOffs is the number of distinct operators who must sign the next bundle;
	// at least 1.
	SignOffs int `json:"sign_offs"`
	// Regions with their availability zones and links to neighbours.
	Regions []Region `json:"regions"`
	// Models that targets can load.
	Models []Model `json:"models"`
	// Services that callers can request.
	Services []Service `json:"services"`
	// Targets that run the services.
	Targets []Target `json:"targets"`
	// Workspaces of callers.
	Workspaces []Workspace `json:"workspaces"`
	// Rules for retries, hedges, claims, draining and loading.
	Rules Rules `json:"rules"`
}

// Operator is a person who may sign bundles.
type Operator struct {
	ID string `json:"id"`
	// PublicKey is an Ed25519 public key, standard base64 (32 bytes decoded).
	PublicKey string `json:"public_key"`
}

// Region is one region. Its instances go on serving callers while it is partitioned
// from the others.
type Region struct {
	ID    string   `json:"id"`
	Zones []string `json:"zones"`
	// ClaimsHome is the region that stores the claims of this region's
	// non-idempotent requests (digests only); empty means the region itself.
	ClaimsHome string `json:"claims_home,omitempty"`
	// Neighbours may take requests that this region can't serve in time.
	Neighbours []Neighbour `json:"neighbours,omitempty"`
}

// Neighbour is a link to another region.
type Neighbour struct {
	Region string `json:"region"`
	// OneWayMillis is the typical one-way delay of the link, in milliseconds.
	OneWayMillis float64 `json:"one_way_ms"`
	// MaxShare bounds the share of this region's requests sent over the link, 0 to 1.
	MaxShare float64 `json:"max_share"`
}

// Model is one language model.
type Model struct {
	ID string `json:"id"`
	// Versions that may be loaded.
	Versions []ModelVersion `json:"versions"`
	// Adapters that may be loaded on top of a version.
	Adapters []Adapter `json:"adapters,omitempty"`
	// ContextTokens bounds the tokens of prompt and answer together.
	ContextTokens int `json:"context_tokens"`
}

// ModelVersion is one set of weights.
type ModelVersion struct {
	ID string `json:"id"`
	// Weights is the key in the weight store.
	Weights string `json:"weights"`
	// SizeBytes is the size of the weights in the weight store.
	SizeBytes int64 `json:"size_bytes"`
}

// Adapter is a small set of weights on top of a version.
type Adapter struct {
	ID        string `json:"id"`
	Weights   string `json:"weights"`
	SizeBytes int64  `json:"size_bytes"`
}

// ServiceKind is the kind of requests that a service answers.
type ServiceKind string

const (
	// KindModel services answer OpenAI-style completions.
	KindModel ServiceKind = "model"
	// KindPlain services answer any HTTP request.
	KindPlain ServiceKind = "plain"
)

// Service is a model or HTTP service that callers can request.
type Service struct {
	ID   string      `json:"id"`
	Kind ServiceKind `json:"kind"`
	// Model, Version and Adapters are what a target of a model service loads.
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// NonIdempotent makes every request to the service run at most once, whatever
	// its headers say.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// Residency lists the regions that may serve or store its requests; empty
	// means any region.
	Residency []string `json:"residency,omitempty"`
	// DefaultDeadlineMillis is the deadline of requests that give none, in
	// milliseconds after their arrival.
	DefaultDeadlineMillis int64 `json:"default_deadline_ms"`
	// Objective is the service level that reports compare with.
	Objective Objective `json:"objective"`
}

// Objective is a service level objective.
type Objective struct {
	// FirstTokenMillis bounds the time to the first byte of the answer.
	FirstTokenMillis float64 `json:"first_token_ms"`
	// BetweenTokensMillis bounds the time between tokens; 0 for plain services.
	BetweenTokensMillis float64 `json:"between_tokens_ms,omitempty"`
	// Share of requests that must meet the bounds, between 0 and 1.
	Share float64 `json:"share"`
}

// TargetState is the state of a target that operators ask for.
type TargetState string

const (
	// TargetActive targets take requests.
	TargetActive TargetState = "active"
	// TargetLeaving targets finish running requests and take no new ones.
	TargetLeaving TargetState = "leaving"
)

// TargetRole is the part of a request that an engine runs.
type TargetRole string

const (
	// RoleBoth engines prefill and decode.
	RoleBoth TargetRole = "both"
	// RolePrefill engines only prefill and export the KV cache.
	RolePrefill TargetRole = "prefill"
	// RoleDecode engines import the KV cache and decode.
	RoleDecode TargetRole = "decode"
)

// Target serves the requests of one service.
type Target struct {
	ID      string      `json:"id"`
	Service string      `json:"service"`
	Region  string      `json:"region"`
	Zone    string      `json:"zone"`
	State   TargetState `json:"state"`
	Role    TargetRole  `json:"role,omitempty"`
	// Address is IP:port of its HTTP interface.
	Address string `json:"address"`
	// Slots is the number of requests that it runs at once.
	Slots int `json:"slots"`
	// PrefillTokensPerSecond and DecodeTokensPerSecond are its rated speeds
	// over all slots; 0 for plain services.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second,omitempty"`
	DecodeTokensPerSecond  float64 `json:"decode_tokens_per_second,omitempty"`
	// CostPerSecond is the relative cost of a second of this target.
	CostPerSecond float64 `json:"cost_per_second"`
	// ChecksFence is set if it refuses an order with an old fencing number. Otherwise
	// a new leader waits until the orders of earlier ones to it have expired.
	ChecksFence bool `json:"checks_fence"`
	// OrderExpiryMillis is the longest time that an order to it can be in flight.
	OrderExpiryMillis int64 `json:"order_expiry_ms"`
}

// Workspace is a caller's account.
type Workspace struct {
	ID string `json:"id"`
	// KeyHashes are the SHA-256 sums of its keys in lower-case hex.
	KeyHashes []string `json:"key_hashes"`
	// Home is the region that its requests belong to.
	Home string `json:"home"`
	// Residency lists the regions that may serve or store its requests; empty
	// means any region.
	Residency []string `json:"residency,omitempty"`
	// MaxPriority is the highest priority that its requests may ask for, 0 to 9.
	MaxPriority int `json:"max_priority"`
	// Weight is its relative share under contention; at least 1.
	Weight float64 `json:"weight"`
	Limits Limits  `json:"limits"`
}

// Limits bound the rates of a workspace over all instances; 0 means no bound.
type Limits struct {
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `json:"tokens_per_second,omitempty"`
}

// Rules configure how requests are handled and targets are loaded.
type Rules struct {
	// MaxAttempts bounds the attempts of one request; at least 1.
	MaxAttempts int `json:"max_attempts"`
	// RetryBudget bounds the ratio of retries to successes, 0 to 1.
	RetryBudget float64 `json:"retry_budget"`
	// HedgeAfterMillis is the time after which an idempotent request without a
	// first byte gets a second attempt; 0 turns hedging off.
	HedgeAfterMillis int64 `json:"hedge_after_ms,omitempty"`
	// ClaimLifetimeSeconds is the time for which the record of a non-idempotent
	// request is kept; a later resend is treated as a new request.
	ClaimLifetimeSeconds int64 `json:"claim_lifetime_s"`
	// DrainSeconds bounds the wait for requests in progress at a leaving target.
	DrainSeconds int64 `json:"drain_s"`
	// WeightStoreBytesPerSecond bounds the rate of reading from the weight store,
	// for each region.
	WeightStoreBytesPerSecond int64 `json:"weight_store_bytes_per_second"`
	// MaxConcurrentLoads bounds the concurrent loads in one region.
	MaxConcurrentLoads int `json:"max_concurrent_loads"`
}
