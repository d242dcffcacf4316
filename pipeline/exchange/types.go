// Package exchange is a reverse proxy: it matches a request to a route by host and path,
// chooses a target, sends the request as received and relays the answer unchanged.
//
// Each step has its own file: accept (find the route, read the whole request), choose
// (own region or another), tried (the places so far), send (one attempt and its verdict), relay
// (whole answers and event streams), runwatch and hedge (a second attempt beside one that has no
// answer), finish (the final answer). A Dialect maps the header names of the platform to the types
// of this package.
package exchange

import (
	"context"
	"net/http"
	"time"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/route/pick"
)

// Call is what the headers of a request specify.
type Call struct {
	// ID identifies one attempt of a caller; targets echo it.
	ID string
	// Deadline is how long the caller waits; 0 if not given.
	Deadline time.Duration
	// Model, Parts and PromptTokens describe a prompt; empty for other requests.
	Model        string
	Parts        []pick.Part
	PromptTokens int
	// OutputTokens is the maximum number of tokens of the answer.
	OutputTokens int
	// HasTokenCounts says that the request gives its token counts.
	HasTokenCounts bool
	// Credential is the caller's key.
	Credential Credential
	// LastEventID is the id of the last event that the caller has; it is valid only with
	// HasLastEventID.
	LastEventID    int64
	HasLastEventID bool
	// Resumes is the ID of the attempt that brought the first event of the stream that the caller
	// takes up; empty if it gives none.
	Resumes string
}

// Credential is a caller's key. One that is present but malformed has a zero Digest.
type Credential struct {
	Present bool
	Digest  routes.KeyDigest
}

// Attempt is what the headers of a request to a target specify.
type Attempt struct {
	// Timeout is how long the target may take.
	Timeout time.Duration
	// Target is the id of the target; any other target must not run the request.
	Target string
	// Rank is the priority of the request; 0 is the highest.
	Rank int
	// QueueByRank says that the engine orders its queue by Rank.
	QueueByRank bool
	// LastEventID asks for the events after this id, if HasLastEventID is set.
	LastEventID    int64
	HasLastEventID bool
	// Source is the address of a target that has more of the prompt cached, which this
	// target is to fetch from it; empty for none.
	Source string
	// Keyed says that callers are identified by keys, which must not be sent to targets.
	// Workspace is the name of the caller's workspace; empty for a caller without a key.
	Keyed     bool
	Workspace string
}

// Reply is what the headers of a target's answer specify.
type Reply struct {
	// ID is the echoed id; empty if there is none.
	ID string
	// Signed says that a target itself made the answer.
	Signed bool
	// NotRun says that the target did not run the request, Replaced that another target now
	// has its address.
	NotRun, Replaced bool
	// Limit is the limit that the target reports.
	Limit pick.TargetLimit
	// Rest is for how long the target, which has turned the request away, wants no requests from
	// this instance; 0 for none.
	Rest time.Duration
	// BusyFor is for how long the target, which is too busy for the request, expects to be so; 0 if
	// it has not said so.
	BusyFor time.Duration
	// Leaving says that the target is about to end.
	Leaving bool
	// Malformed are the headers about the target itself that were ignored or clamped, as
	// "name: value".
	Malformed []string
}

// Dialect translates between headers and the types of this package. It makes no decisions.
type Dialect interface {
	// Call parses a caller's headers. The error says what is malformed.
	Call(h http.Header) (Call, error)
	// Prepare sets the headers of an attempt in h, a copy of the caller's headers, and
	// removes those that only the system may set.
	Prepare(h http.Header, a Attempt)
	// Conceal removes the caller's key and the workspace name that it claims.
	Conceal(h http.Header)
	// Reply parses the headers of a target's answer.
	Reply(status int, h http.Header) Reply
}

// GroupOwner has the entry instance that owns a group of targets choose among them.
type GroupOwner interface {
	// Choose asks the owner for a target, and for a decision on the admission a, which is nil if none
	// is wanted. It returns false if this instance must choose. timeout is how long the request may
	// take: the owner counts it no longer than that.
	Choose(ctx context.Context, c pick.Call, id string, timeout time.Duration, a *AdmissionRequest) (Decision, bool)
	// ReportLimit reports a limit that the target has set or lifted.
	ReportLimit(d Decision, n pick.TargetLimit)
	// ReportLeaving reports that the target has said that it is leaving.
	ReportLeaving(d Decision)
	// ReportFirstEvent reports that the target has begun to answer.
	ReportFirstEvent(d Decision)
	// ReportEnd reports how the request ended. A request that was refused is reported only if it has
	// gone to another region instead.
	ReportEnd(d Decision, r pick.Result)
}

// AdmissionControl decides whether requests are admitted for which this instance itself chose the
// target.
type AdmissionControl interface {
	// Decide decides on a request with a choice of the instance's own pool, and counts its work.
	Decide(now time.Time, c *pick.Choice, r AdmissionRequest) (AdmissionDecision, AdmissionTicket)
}

// AdmissionTicket is the work counted for one request.
type AdmissionTicket interface {
	// FirstEvent says that the target has begun to answer.
	FirstEvent()
	// End says how the request ended. One that no target has run gives its work back. A request that was
	// refused ends only if it has gone to another region instead.
	End(now time.Time, r pick.Result)
}

// AdmissionRequest is what the admission of a request depends on, beside its target.
type AdmissionRequest struct {
	// Workspace is the name of the caller's workspace; empty for none.
	Workspace string `cbor:"1,keyasint,omitempty"`
	// AimMillis is the time within which the answer is to begin, 0 for none, and LeftMillis the time to
	// the deadline, both in milliseconds.
	AimMillis  int64 `cbor:"2,keyasint,omitempty"`
	LeftMillis int64 `cbor:"3,keyasint,omitempty"`
	// ContentKey is a hash of what stays the same when the caller sends the request again; 0 if no
	// place is to be promised to it.
	ContentKey uint64 `cbor:"4,keyasint,omitempty"`
	// NotRun says that no earlier attempt may have run the request or had a promised place: only then may
	// it be refused.
	NotRun bool `cbor:"5,keyasint,omitempty"`
}

// AdmissionDecision is the answer to an AdmissionRequest.
type AdmissionDecision struct {
	// Refused says that the request must not be sent to the target, and Reason why.
	Refused bool         `cbor:"1,keyasint,omitempty"`
	Reason  verdict.Code `cbor:"2,keyasint,omitempty"`
	// RetryMillis is the time in milliseconds after which the caller of a refused request is to return;
	// 0 leaves it to the instance of the caller. Promised says that it then has a place, or that an
	// admitted request has taken a place that it was promised.
	RetryMillis int64 `cbor:"3,keyasint,omitempty"`
	Promised    bool  `cbor:"4,keyasint,omitempty"`
	// QueueMillis is the work queued ahead that the decision is based on, ShareMillis the fair level of
	// work and UsedMillis the work admitted for the workspace, in milliseconds, as in admit.Decision.
	QueueMillis float64 `cbor:"5,keyasint,omitempty"`
	ShareMillis float64 `cbor:"6,keyasint,omitempty"`
	UsedMillis  float64 `cbor:"7,keyasint,omitempty"`
	// UrgentPressure is the work queued ahead of more urgent requests of late, divided by their aim.
	UrgentPressure float64 `cbor:"8,keyasint,omitempty"`
}

// Limits enforces the limits of workspaces across all instances.
type Limits interface {
	// Consume consumes units of a workspace's limit.
	Consume(ctx context.Context, w *routes.Workspace, units float64) LimitDecision
	// Refund returns the units that a request consumed under decision d. The request must
	// never have run.
	Refund(w *routes.Workspace, units float64, d LimitDecision)
}

// LimitDecision says whether a request is within its workspace's limit.
type LimitDecision struct {
	Allowed bool
	// DecidedBy is the instance that owns the workspace; empty if none was reached.
	DecidedBy string
	// The other fields are set only if the request is not allowed.
	// RetryAfter is the time until more units are available.
	RetryAfter time.Duration
	// Rate is the units per second that the workspace had at DecidedBy, and Leased says
	// that they were leased from the leader; otherwise they are the instance's own share of
	// the limit.
	Rate   float64
	Leased bool
	// Version is the configuration that the request was judged by.
	Version uint64
}

// PoisonRequests knows the requests that crash every target that runs them, whatever in them does.
type PoisonRequests interface {
	// Admit reports whether a request may be sent to a target.
	Admit(ctx context.Context, c Content, from Sender) Admission
	// MayRetry reports whether a request may be sent to another target after one that was lost.
	MayRetry(c Content) bool
	// ReportCrash reports that a target broke off its answer to a request, or closed the connection
	// before it answered.
	ReportCrash(c Content, s Sending)
	// ReportFinished reports that a target ran the request to its end, ReportNotRun that none ran it.
	ReportFinished(c Content)
	ReportNotRun(c Content)
	// ReportUnsettled reports that an attempt ended without a sign of whether the target crashed. whole
	// says that its answer was whole if the target did not.
	ReportUnsettled(c Content, s Sending, whole bool)
	// ReportAlive reports that a target has answered, ReportUnreachable that it accepts no connection.
	ReportAlive(target string)
	ReportUnreachable(target string)
}

// Sender says who sent a request to this instance.
type Sender uint8

const (
	// FromCaller: a caller.
	FromCaller Sender = iota
	// FromPeer: an instance of another region, which has admitted it.
	FromPeer
	// FromPeerAsTrial: an instance of another region, which has admitted it as a trial.
	FromPeerAsTrial
)

// Admission is the answer of Admit.
type Admission struct {
	Admitted bool
	// Trial says that the request is the only one of its kind that may run now.
	Trial bool
	// RefusedFor is for how long a request that is not admitted will be refused at least.
	RefusedFor time.Duration
}

// Sending is one sending of a request to a target.
type Sending struct {
	Target string
	// StartMillis is the start time of the target in Unix milliseconds; 0 if unknown.
	StartMillis int64
	SentAt      time.Time
}

// Streams knows what began the streams that callers may take up.
type Streams interface {
	// Began records what began a stream, or that it goes on.
	Began(key string, o Origin)
	// Origin returns what began a stream, and asks other instances if need be; false if it is not
	// known.
	Origin(ctx context.Context, key string) (Origin, bool)
}

// Origin is what began a stream: a service, and the version of its target's software. It goes on at
// this version only.
type Origin struct {
	Service  string `cbor:"1,keyasint"`
	Software string `cbor:"2,keyasint"`
}

// Content is what stays the same when a caller sends a request again.
type Content struct {
	Method, Host, Target string
	Body                 []byte
	// Parts are the parts of its prompt. Other requests may share all but the last.
	Parts []pick.Part
	// Caller is the digest of the caller's key; zero for a caller without one.
	Caller routes.KeyDigest
}

// Decision is a target chosen by a group owner.
type Decision struct {
	Target string
	// Source, Cost, Wait, QueueWait and Tokens are as in pick.Choice.
	Source                        string
	Cost, Wait, QueueWait, Tokens float64
	// Limit is the target's last reported limit that the owner knew.
	Limit pick.TargetLimit
	// Ticket identifies the request at the instance Owner.
	Ticket, Owner string
	// Admission is nil if the owner decides on none. ContentKey is that of the admission request.
	Admission  *AdmissionDecision
	ContentKey uint64
}

// View is a snapshot of the configuration and of the other regions. It is replaced, and must
// never be changed.
type View struct {
	Index *routes.Index
	// Peers are the entry instances of other regions that accept requests.
	Peers []Peer
	// Regions is the load of other regions by region and service.
	Regions map[RegionService]pick.RegionLoad
	// Versions are the software versions of each service's targets, in any region, that were listed as
	// long as a stream may be taken up.
	Versions map[string][]string
	// VersionsSince is since when they have been recorded without a gap. Before that, others may have been listed.
	VersionsSince time.Time
	// TargetsReadAt is when the list of targets was read.
	TargetsReadAt time.Time
	// EntryInstances is the number of entry instances in all regions.
	EntryInstances int
	// OutdatedAt is from when on a newer configuration may be in force at others; zero for a configuration
	// that does not become outdated.
	OutdatedAt time.Time
}

// outdated reports whether a newer configuration may be in force at others.
func (v *View) outdated(now time.Time) bool {
	return !v.OutdatedAt.IsZero() && !now.Before(v.OutdatedAt)
}

// Peer is an entry instance of another region.
type Peer struct {
	// Address is where it accepts requests from other instances.
	Address, Region string
	// Capacity is its share of the processor in thousandths of a core; 0 if those of all are unknown.
	Capacity float64
}

// RegionService identifies a service in a region.
type RegionService struct{ Region, Service string }

// Refusal codes.
const (
	CodeNoConfiguration verdict.Code = "no_configuration"
	CodeNoRoute         verdict.Code = "no_route"
	CodeMalformed       verdict.Code = "malformed_request"
	CodeTooLarge        verdict.Code = "body_too_large"
	// CodeNoMemory: the requests in progress take up the memory for the body.
	CodeNoMemory verdict.Code = "no_memory"
	CodeNoTarget verdict.Code = "no_target"
	// CodeResting: all targets that may serve the request have asked for rest, CodeDraining: all are
	// about to end.
	CodeResting  verdict.Code = "targets_resting"
	CodeDraining verdict.Code = "targets_draining"
	// CodeOverloaded: the work queued ahead takes longer than the route's Aim.
	CodeOverloaded verdict.Code = "overloaded"
	// CodeOverShare: the work queued ahead takes longer than half the route's Aim, and the workspace has
	// had more than its share. CodePastDeadline: the first event is expected after the deadline.
	CodeOverShare verdict.Code = "over_share"
	// CodeOutranked: more urgent requests need the room.
	CodeOutranked    verdict.Code = "outranked"
	CodePastDeadline verdict.Code = "past_deadline"
	CodeTimeout      verdict.Code = "timeout"
	// CodeCallerLeft: the caller has closed its connection, CodeSenderLeft: the instance that forwarded the
	// request has.
	CodeCallerLeft verdict.Code = "caller_left"
	CodeSenderLeft verdict.Code = "sender_left"
	CodeTargetLost verdict.Code = "target_lost"
	// CodeUnknownStream: what began the stream that the caller takes up is not known.
	CodeUnknownStream verdict.Code = "unknown_stream"
	CodePoison        verdict.Code = "request_crashes_targets"
	CodeLeaving       verdict.Code = "instance_leaving"
	CodeBehind        verdict.Code = "configuration_behind"
	// CodeUnknownKey: no key, or a key that no workspace holds.
	CodeUnknownKey verdict.Code = "unknown_key"
	// CodeNoHomeRegion: the route and the workspace have no home region in common.
	CodeNoHomeRegion verdict.Code = "no_home_region"
	// CodeOverLimit: the workspace's limit is exhausted.
	CodeOverLimit verdict.Code = "workspace_over_limit"
)

// Headers between instances. They are never sent to callers or targets.
const (
	headerFrom     = "Gullhaven-From"
	headerVersion  = "Gullhaven-Version"
	headerTimeout  = "Gullhaven-Left-Millis"
	headerAttempts = "Gullhaven-Attempts"
	headerRefused  = "Gullhaven-Refused"
	// headerReachedTarget marks a refusal of a request that a target has rejected.
	headerReachedTarget = "Gullhaven-Arrived"
	headerLastEventID   = "Gullhaven-After"
	// headerService and headerSoftware hold what began the stream that the request goes on with,
	// escaped as in a URL query. An answer has headerSoftware if the request has headerBegins.
	headerService  = "Gullhaven-Service"
	headerSoftware = "Gullhaven-Software"
	headerBegins   = "Gullhaven-Begins"
	// headerTrial marks a trial of a request that has crashed targets.
	headerTrial = "Gullhaven-Trial"
	// headerKey holds the digest of the caller's key: the receiver checks it against its own
	// configuration, which is not older than the sender's.
	headerKey = "Gullhaven-Key"
	// headerTook is the time in milliseconds from when the receiving instance accepted the
	// forwarded request to the first byte of its answer.
	headerTook = "Gullhaven-Took-Millis"
)
