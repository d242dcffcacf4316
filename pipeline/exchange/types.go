// Package exchange serves requests by host and path: it finds the route, chooses
// targets, sends the request as it came and relays the answer unchanged.
//
// The steps, a file each: accept (read the request whole, find the route), choose
// (own region or a neighbour), send (one attempt and its verdict), relay (whole
// answers and event streams), finish (the final answer). What surrounds the product
// is met through a Dialect, which knows the header names.
package exchange

import (
	"context"
	"net/http"
	"time"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/route/pick"
)

// Call is what the headers of a request say.
type Call struct {
	// ID names one attempt of a caller; targets echo it.
	ID string
	// Deadline is how long the caller waits; 0 if it does not say.
	Deadline time.Duration
	// Model, Parts and PromptTokens describe a prompt; empty for other requests.
	Model        string
	Parts        []pick.Part
	PromptTokens int
	// OutputTokens is the most that the answer may have.
	OutputTokens int
	// Counted says that the request tells its tokens.
	Counted bool
	// Credential is what the caller has shown.
	Credential Credential
	// After is the id of the last event that the caller has; HasAfter says that it
	// gave one.
	After    int64
	HasAfter bool
}

// Credential is a caller's key. One that is given and cannot be read has no digest.
type Credential struct {
	Given bool
	Key   routes.KeyDigest
}

// Sending is what the headers towards a target carry.
type Sending struct {
	// Left is how long the target may take.
	Left time.Duration
	// Target is the id of the one that is meant; another one must not run it.
	Target string
	// Rank is the route's priority.
	Rank int
	// Streaming says that Rank orders the engine's queue.
	Streaming bool
	// After and HasAfter ask for the events after an id.
	After    int64
	HasAfter bool
	// Source is the address of a target that keeps more of the prompt, from where this
	// one is to fetch it; empty for none.
	Source string
	// Keyed says that callers are told by their keys, which stay here; Workspace is the
	// name of the caller's, empty for a caller without a key.
	Keyed     bool
	Workspace string
}

// Reply is what the headers of a target's answer say.
type Reply struct {
	// ID is the echoed id; empty if there is none.
	ID string
	// Signed says that the answer is a target's own.
	Signed bool
	// NotRun says that the target did not run the request; Gone that another target
	// has its address.
	NotRun, Gone bool
	// Named is the limit that the target names.
	Named pick.TargetLimit
}

// Dialect translates between headers and these types. It decides nothing.
type Dialect interface {
	// Call reads a caller's headers. The error says what is malformed.
	Call(h http.Header) (Call, error)
	// Prepare sets the headers of a sending on a copy of the caller's, without those
	// that only the system may set.
	Prepare(h http.Header, s Sending)
	// Conceal takes off a caller's key, and what it says of its workspace.
	Conceal(h http.Header)
	// Reply reads the headers of a target's answer.
	Reply(status int, h http.Header) Reply
}

// Decider has another instance of the region choose the target of a request.
type Decider interface {
	// Decide asks for a target within left; false where this instance is to choose.
	Decide(ctx context.Context, c pick.Call, id string, left time.Duration) (Decision, bool)
	// Named tells of a limit that the target names, or names no more, Began that it has begun to
	// answer, Ended how the request ended.
	Named(d Decision, n pick.TargetLimit)
	Began(d Decision)
	Ended(d Decision, r pick.Result)
}

// Limits keeps workspaces within their limits, over all instances.
type Limits interface {
	// Take spends units of a workspace's limit.
	Take(ctx context.Context, w *routes.Workspace, units float64) LimitAnswer
	// Return gives back what a request took, by an answer, that never ran.
	Return(w *routes.Workspace, units float64, a LimitAnswer)
}

// LimitAnswer says whether a request is within its workspace's limit.
type LimitAnswer struct {
	OK bool
	// By is the instance that stands for the workspace; empty where none was reached.
	By string
	// Wait is when there will be more, and the rest what the request was judged by, where not
	// OK: the units per second that the workspace had there, leased from the leader or its own
	// part of the limit; and the configuration.
	Wait    time.Duration
	Rate    float64
	Leased  bool
	Version uint64
}

// Killers knows the requests that crash each target that runs them.
type Killers interface {
	// Refused reports whether a request must not be sent any more.
	Refused(r *rawhttp.Request) bool
	// Crashed notes that a target broke off before it answered a request, Answered that
	// one answered it.
	Crashed(r *rawhttp.Request, target string)
	Answered(r *rawhttp.Request, target string)
}

// Decision is a target chosen by another instance.
type Decision struct {
	Target string
	// Source, Cost, Wait, Front and Tokens are those of pick.Choice.
	Source                    string
	Cost, Wait, Front, Tokens float64
	// Limit is what the target named last, as far as was known there.
	Limit pick.TargetLimit
	// Ticket names the request at the instance By.
	Ticket, By string
}

// View is what is known of the surroundings. It is replaced, never changed.
type View struct {
	Index *routes.Index
	// Peers are entry instances of other regions that take requests.
	Peers []Peer
	// Regions sums up the load of other regions by region and service.
	Regions map[RegionService]pick.RegionLoad
	// ListAt is when the list of targets was read.
	ListAt time.Time
	// Entries is the number of entry instances in all regions.
	Entries int
}

// Peer is an entry instance of another region.
type Peer struct {
	// Address is where it takes requests of other instances.
	Address, Region string
}

// RegionService names a service in a region.
type RegionService struct{ Region, Service string }

// Codes of the refusals.
const (
	CodeNoView    verdict.Code = "no_configuration"
	CodeNoRoute   verdict.Code = "no_route"
	CodeMalformed verdict.Code = "malformed_request"
	CodeTooLarge  verdict.Code = "body_too_large"
	CodeNoTarget  verdict.Code = "no_target"
	// CodeOverloaded: what waits in front takes longer than the route's aim.
	CodeOverloaded verdict.Code = "overloaded"
	CodeNoTime     verdict.Code = "no_time_left"
	CodeTimeout    verdict.Code = "timeout"
	CodeTargetLost verdict.Code = "target_lost"
	CodeKiller     verdict.Code = "request_crashes_targets"
	CodeLeaving    verdict.Code = "instance_leaving"
	CodeBehind     verdict.Code = "configuration_behind"
	// CodeKey: no key, or none that a workspace holds.
	CodeKey verdict.Code = "unknown_key"
	// CodeNoHome: the homes of route and workspace have no region in common.
	CodeNoHome verdict.Code = "no_home_region"
	// CodeLimit: the workspace's limit is used up.
	CodeLimit verdict.Code = "workspace_over_limit"
)

// Headers between instances. They never leave the system.
const (
	headerFrom     = "Gullhaven-From"
	headerVersion  = "Gullhaven-Version"
	headerLeft     = "Gullhaven-Left-Millis"
	headerAttempts = "Gullhaven-Attempts"
	headerRefused  = "Gullhaven-Refused"
	// headerArrived says of a refusal that a target has turned the request away.
	headerArrived = "Gullhaven-Arrived"
	headerAfter   = "Gullhaven-After"
	// headerKey holds the digest of the caller's key: the receiver judges by its own
	// configuration, which is not older.
	headerKey = "Gullhaven-Key"
	// headerTook says of an answer how many milliseconds it took to begin, from when the
	// instance that was passed the request had accepted it.
	headerTook = "Gullhaven-Took-Millis"
)
