// Package metrics holds the metrics of an instance with their names, units and
// meanings, and writes them in the Prometheus text format.
package metrics

import "slices"

// Kind is the type of a metric.
type Kind string

// Kinds of metrics.
const (
	// Counter only increases.
	Counter Kind = "counter"
	// Gauge can increase and decrease.
	Gauge Kind = "gauge"
	// Histogram counts values in buckets.
	Histogram Kind = "histogram"
)

// Metric describes one metric.
type Metric struct {
	Name    string
	Kind    Kind
	Unit    string
	Meaning string
}

// Metrics of the request path.
var (
	Requests         = Metric{"gullhaven_requests_total", Counter, "requests", "Requests that came in."}
	InFlight         = Metric{"gullhaven_in_flight", Gauge, "requests", "Requests under way."}
	Answered         = Metric{"gullhaven_answered_total", Counter, "requests", "Requests that got a whole answer."}
	Refused          = Metric{"gullhaven_refused_total", Counter, "requests", "Requests refused or failed with the verdict not_run."}
	FailedMayHaveRun = Metric{"gullhaven_failed_may_have_run_total", Counter, "requests", "Requests failed with the verdict may_have_run."}
	FailedRan        = Metric{"gullhaven_failed_ran_total", Counter, "requests", "Requests failed with the verdict ran."}
	CutAnswers       = Metric{"gullhaven_cut_answers_total", Counter, "requests", "Answers that ended with an error event after they had begun."}
	CallersGone      = Metric{"gullhaven_callers_gone_total", Counter, "requests", "Requests whose caller left before the end."}
	Attempts         = Metric{"gullhaven_attempts_total", Counter, "attempts", "Sendings to targets."}
	Retries          = Metric{"gullhaven_retries_total", Counter, "attempts", "Sendings after a failed one, or beside one that has no answer yet."}
	Hedges           = Metric{"gullhaven_hedges_total", Counter, "attempts", "Second sendings beside a first one: before the first token, or while a stream is silent."}
	Resumes          = Metric{"gullhaven_resumes_total", Counter, "streams", "Cut streams taken up again."}
	MovedStreams     = Metric{"gullhaven_moved_streams_total", Counter, "streams", "Streams moved from a leaving target to another one."}
	FailedMoves      = Metric{"gullhaven_failed_moves_total", Counter, "streams", "Tries to move a stream that failed; it went on where it was."}
	LateAnswers      = Metric{"gullhaven_late_answers_total", Counter, "answers", "Answers of abandoned attempts, dropped."}
	Duplicates       = Metric{"gullhaven_chunks_duplicate_total", Counter, "chunks", "Chunks given twice, dropped."}
	Reordered        = Metric{"gullhaven_chunks_reordered_total", Counter, "chunks", "Chunks that came early and were put in order."}
	Foreign          = Metric{"gullhaven_chunks_foreign_total", Counter, "chunks", "Chunks of another attempt, dropped."}
	WrongAnswers     = Metric{"gullhaven_wrong_answers_total", Counter, "answers", "Answers of another attempt, dropped."}
	BrokenAnswers    = Metric{"gullhaven_broken_answers_total", Counter, "answers", "Answers that were lost, as they broke off at any point or are not valid HTTP."}
	Chunks           = Metric{"gullhaven_chunks_total", Counter, "chunks", "Chunks passed on to callers."}
	BodyBytes        = Metric{"gullhaven_body_bytes_total", Counter, "bytes", "Bytes of bodies read."}
	Spilled          = Metric{"gullhaven_spilled_total", Counter, "requests", "Requests passed on to another region."}
	Replayed         = Metric{"gullhaven_replayed_total", Counter, "requests", "Resends answered from a kept answer or joined to a running attempt."}
	ClaimsRecorded   = Metric{"gullhaven_claims_recorded_total", Counter, "claims", "Ends of claimed requests recorded."}
	ClaimsUnrecorded = Metric{"gullhaven_claims_unrecorded_total", Counter, "claims", "Ends of claimed requests given up unrecorded; they count as may_have_run."}
	FirstByteTime    = Metric{"gullhaven_first_byte_seconds", Histogram, "seconds", "Time from arrival to the first byte of the answer."}
	AnswerTime       = Metric{"gullhaven_answer_seconds", Histogram, "seconds", "Time from arrival to the end of the answer."}
)

// Metrics of the control plane, with their values in Control.
var (
	LinkConnections      = Metric{"gullhaven_link_connections", Gauge, "connections", "Connections to other instances open now."}
	LinkMessagesSent     = Metric{"gullhaven_link_messages_sent_total", Counter, "messages", "Messages sent to other instances, calls and answers among them."}
	LinkBytesSent        = Metric{"gullhaven_link_bytes_sent_total", Counter, "bytes", "Payload bytes of those messages."}
	LinkMessagesReceived = Metric{"gullhaven_link_messages_received_total", Counter, "messages", "Messages received from other instances."}
	LinkBytesReceived    = Metric{"gullhaven_link_bytes_received_total", Counter, "bytes", "Payload bytes of those messages."}
	LinkRefused          = Metric{"gullhaven_link_refused_total", Counter, "messages", "Messages turned away by a full ring to a peer, as too long, or as a call to an unreachable peer."}
	LinkDropped          = Metric{"gullhaven_link_dropped_total", Counter, "messages", "Messages taken and then not written: too old, given up, or the connection was lost."}
	LinkOverflow         = Metric{"gullhaven_link_overflow_total", Counter, "messages", "Messages received and dropped because the handler's ring was full."}
	LinkDials            = Metric{"gullhaven_link_dials_total", Counter, "attempts", "Attempts to connect to other instances."}
	LinkDialFailures     = Metric{"gullhaven_link_dial_failures_total", Counter, "attempts", "Attempts to connect that failed."}
	LinkAcceptRefusals   = Metric{"gullhaven_link_accept_refusals_total", Counter, "attempts", "Connections of others turned away, for example for their certificate."}
	LinkPingTimeouts     = Metric{"gullhaven_link_ping_timeouts_total", Counter, "connections", "Connections given up because no pong came in time."}
	LinkLateAnswers      = Metric{"gullhaven_link_late_answers_total", Counter, "answers", "Answers of other instances that came late, twice or unasked, dropped."}
	LinkBadBatches       = Metric{"gullhaven_link_bad_batches_total", Counter, "batches", "Batches that could not be decoded; each ended its connection."}
	RingRefused          = Metric{"gullhaven_ring_refused_total", Counter, "items", "Messages of other instances, and polls of targets, that full rings of this instance turned away."}
	BundleVersion        = Metric{"gullhaven_bundle_version", Gauge, "versions", "Version of the bundle in force here; 0 before the first."}
	BundleInstalls       = Metric{"gullhaven_bundle_installs_total", Counter, "versions", "Versions put in force here since the start."}
	BundleWholeCopies    = Metric{"gullhaven_bundle_whole_copies_total", Counter, "versions", "Those of them that were taken as whole copies and not as changes."}
	SpreadRefused        = Metric{"gullhaven_spread_refused_total", Counter, "messages", "Messages of bundle spreading whose content did not verify."}
	SpreadLate           = Metric{"gullhaven_spread_late_total", Counter, "messages", "Messages about versions that were in force here already."}
	RegionsBehind        = Metric{"gullhaven_regions_behind", Gauge, "regions", "Regions that lack the accepted version or are not known to have it."}
	RegionsUnreachable   = Metric{"gullhaven_regions_unreachable", Gauge, "regions", "Other regions that this instance can't reach."}
	LogSyncs             = Metric{"gullhaven_log_syncs_total", Counter, "syncs", "Syncs of the replicated logs on the disk of this instance."}
	LogSyncedEntries     = Metric{"gullhaven_log_synced_entries_total", Counter, "entries", "Entries in those syncs."}
	LogProposals         = Metric{"gullhaven_log_proposals_total", Counter, "commands", "Commands that this instance proposed to a replicated log."}
	LogProposalFailures  = Metric{"gullhaven_log_proposal_failures_total", Counter, "commands", "Those of them that ended with an error; each may be proposed again."}
	LogApplied           = Metric{"gullhaven_log_applied_index", Gauge, "entries", "Index up to which the global log is applied here; 0 at instances that are no voters."}
	LogLeading           = Metric{"gullhaven_log_leading", Gauge, "logs", "Replicated logs that this instance leads under a valid lease."}
	LogSnapshots         = Metric{"gullhaven_log_snapshots_total", Counter, "snapshots", "Snapshots of replicated logs saved."}
	LogSnapshotErrors    = Metric{"gullhaven_log_snapshot_errors_total", Counter, "snapshots", "Snapshots that failed; the log grows until one succeeds."}
	LogMalformed         = Metric{"gullhaven_log_malformed_total", Counter, "messages", "Messages of replicated logs that were refused."}
	LogDropped           = Metric{"gullhaven_log_dropped_total", Counter, "messages", "Messages of replicated logs that found the inbox full."}
	MembersAlive         = Metric{"gullhaven_members_alive", Gauge, "instances", "Instances of the region that are alive."}
	MembersSuspect       = Metric{"gullhaven_members_suspect", Gauge, "instances", "Instances of the region that did not answer of late."}
	MembersLeaving       = Metric{"gullhaven_members_leaving", Gauge, "instances", "Instances of the region that are leaving."}
	MembersDead          = Metric{"gullhaven_members_dead", Gauge, "instances", "Instances of the region that are taken for dead and not yet forgotten."}
	ClaimsHeld           = Metric{"gullhaven_claims_held", Gauge, "claims", "Records in the claim tables of this instance."}
	SuspectRequests      = Metric{"gullhaven_suspects", Gauge, "requests", "Request digests under suspicion of killing targets."}
	LimitBuckets         = Metric{"gullhaven_limit_buckets", Gauge, "workspaces", "Workspaces that this instance holds a share of limits for."}
	TargetsWarm          = Metric{"gullhaven_targets_warm", Gauge, "targets", "Targets of the region that take work."}
	TargetsLoading       = Metric{"gullhaven_targets_loading", Gauge, "targets", "Targets of the region that load a model, adapter or version."}
	TargetsLeaving       = Metric{"gullhaven_targets_leaving", Gauge, "targets", "Targets of the region that finish what they have."}
	TargetsDown          = Metric{"gullhaven_targets_down", Gauge, "targets", "Targets of the region that don't answer."}
	OrdersSent           = Metric{"gullhaven_orders_sent_total", Counter, "orders", "Orders that this instance sent to targets."}
	OrdersFailed         = Metric{"gullhaven_orders_failed_total", Counter, "orders", "Orders that were refused, expired, or ended without an answer."}
)

// All has all metrics, each once.
var All = slices.Concat(Instance, Site, intakeMetrics)

// Instance has the metrics of an instance with the product's own interface, each once.
var Instance = []Metric{
	Requests, InFlight, Answered, Refused, FailedMayHaveRun, FailedRan, CutAnswers,
	CallersGone, Attempts, Retries, Hedges, Resumes, MovedStreams, FailedMoves, LateAnswers, Duplicates, Reordered,
	Foreign, WrongAnswers, BrokenAnswers, Chunks, BodyBytes, Spilled, Replayed, ClaimsRecorded,
	ClaimsUnrecorded, FirstByteTime, AnswerTime, LinkConnections, LinkMessagesSent,
	LinkBytesSent, LinkMessagesReceived, LinkBytesReceived, LinkRefused, LinkDropped,
	LinkOverflow, LinkDials, LinkDialFailures, LinkAcceptRefusals, LinkPingTimeouts,
	LinkLateAnswers, LinkBadBatches, RingRefused, BundleVersion, BundleInstalls,
	BundleWholeCopies, SpreadRefused, SpreadLate, RegionsBehind, RegionsUnreachable, LogSyncs,
	LogSyncedEntries, LogProposals, LogProposalFailures, LogApplied, LogLeading, LogSnapshots,
	LogSnapshotErrors, LogMalformed, LogDropped, MembersAlive, MembersSuspect, MembersLeaving,
	MembersDead, ClaimsHeld, SuspectRequests, LimitBuckets, TargetsWarm, TargetsLoading,
	TargetsLeaving, TargetsDown, OrdersSent, OrdersFailed,
}
