package metrics

import (
	"sync"

	gometrics "github.com/rcrowley/go-metrics"
)

// Metrics of the instances of a site, in addition to those of the request path.
var (
	SiteForwardedIn       = Metric{"gullhaven_site_passed_on_total", Counter, "requests", "Requests that came from another region."}
	SiteNoTarget          = Metric{"gullhaven_site_refused_no_target_total", Counter, "requests", "Requests refused as no target was available."}
	SiteResting           = Metric{"gullhaven_site_refused_resting_total", Counter, "requests", "Requests refused as all targets had asked for rest."}
	SiteNoConfiguration   = Metric{"gullhaven_site_refused_no_configuration_total", Counter, "requests", "Requests refused before a configuration was known."}
	SiteLeaving           = Metric{"gullhaven_site_refused_leaving_total", Counter, "requests", "Streams refused as the instance is about to end."}
	SitePoisonRequests    = Metric{"gullhaven_site_refused_killer_total", Counter, "requests", "Requests refused that crash their targets."}
	SiteSuspects          = Metric{"gullhaven_site_suspects", Gauge, "entries", "Requests and prompt parts that were in flight at a crash of a target, one entry for each crash."}
	SiteSuspectsEvicted   = Metric{"gullhaven_site_suspects_evicted_total", Counter, "entries", "Of these, how many made room for others before they expired."}
	SiteSuspectsPending   = Metric{"gullhaven_site_suspects_pending", Gauge, "entries", "Entries about suspects that this entry instance has yet to report to a core instance."}
	SiteSuspectsReceived  = Metric{"gullhaven_site_suspects_received_total", Counter, "entries", "Entries about suspects that came in at this core instance, from entry instances and from other core instances."}
	SiteSuspectsChanged   = Metric{"gullhaven_site_suspects_changed_total", Counter, "entries", "Of these, how many told something new, which is sent on to all."}
	SiteUnknownStreams    = Metric{"gullhaven_site_refused_unknown_stream_total", Counter, "requests", "Requests refused as no instance knows what began the stream that they take up."}
	SiteOverloaded        = Metric{"gullhaven_site_refused_overloaded_total", Counter, "requests", "Requests refused as what waits in front of the best target takes longer than the route's aim."}
	SiteOverShare         = Metric{"gullhaven_site_refused_over_share_total", Counter, "requests", "Requests refused as their workspace had had more than its share, and what waits in front of the best target takes longer than half the route's aim."}
	SiteOutranked         = Metric{"gullhaven_site_refused_outranked_total", Counter, "requests", "Requests refused as more urgent ones of the same group of targets needed the room."}
	SitePastDeadline      = Metric{"gullhaven_site_refused_past_deadline_total", Counter, "requests", "Requests refused as their first event was expected after their deadline."}
	SitePromisesGiven     = Metric{"gullhaven_site_promises_given_total", Counter, "promises", "Places promised to the callers of refused requests by this instance, where it decides on admissions."}
	SitePromisesKept      = Metric{"gullhaven_site_promises_kept_total", Counter, "promises", "Of these, how many callers returned and were admitted."}
	SitePromisesMissed    = Metric{"gullhaven_site_promises_missed_total", Counter, "promises", "Of these, how many callers returned and were refused, as their first event was expected after their deadline."}
	SitePromisesExpired   = Metric{"gullhaven_site_promises_expired_total", Counter, "promises", "Of these, how many callers did not return in time."}
	SitePromisesWithdrawn = Metric{"gullhaven_site_promises_withdrawn_total", Counter, "promises", "Of these, how many were withdrawn as the request went to another region."}
	SitePromisesDropped   = Metric{"gullhaven_site_promises_dropped_total", Counter, "promises", "Of these, how many were dropped as targets had become unusable."}
	SitePromisedWork      = Metric{"gullhaven_site_promised_work_milliseconds", Gauge, "milliseconds", "Work promised now, summed over all targets."}
	SiteUnknownKeys       = Metric{"gullhaven_site_refused_key_total", Counter, "requests", "Requests refused as they carried no key that a workspace holds."}
	SiteNoHomeRegion      = Metric{"gullhaven_site_refused_no_home_total", Counter, "requests", "Requests refused as the homes of their route and workspace have no region in common."}
	SiteOverLimit         = Metric{"gullhaven_site_refused_over_limit_total", Counter, "requests", "Requests refused as their workspace was over its limit."}
	SiteOtherRefusals     = Metric{"gullhaven_site_refused_other_total", Counter, "requests", "Requests refused for other reasons: no route, malformed, too large, a peer that is behind."}
	SiteRetriesDenied     = Metric{"gullhaven_site_retries_denied_total", Counter, "attempts", "Further sendings that the budget did not allow."}
	SitePauses            = Metric{"gullhaven_site_pauses_total", Counter, "pauses", "Times that the process stood still for long enough that requests waited unread."}
	SiteOwnedElsewhere    = Metric{"gullhaven_site_decided_elsewhere_total", Counter, "attempts", "Sendings whose target another instance chose."}
	SiteRestsAsked        = Metric{"gullhaven_site_rests_asked_total", Counter, "answers", "Answers of targets that turned a request away and asked this instance for rest."}
	SiteLeavingAnswers    = Metric{"gullhaven_site_answers_leaving_total", Counter, "answers", "Answers of targets that said that they are leaving."}
	SiteMalformedHeaders  = Metric{"gullhaven_site_headers_malformed_total", Counter, "headers", "Headers of targets about themselves that were ignored or clamped as their values are malformed."}
	SiteInvalidSummaries  = Metric{"gullhaven_site_summaries_invalid_total", Counter, "summaries", "Summaries of other regions left out as their figures cannot be."}
	SiteUnknownSummaries  = Metric{"gullhaven_site_summaries_untold_total", Counter, "summaries", "Summaries of other regions whose load was not known: they get requests only where there is no other place."}
	SiteRegionsUnreached  = Metric{"gullhaven_site_regions_out_total", Counter, "regions", "Times that another region was left out as none of its instances could be reached."}
	SiteChooseTime        = Metric{"gullhaven_site_choose_seconds", Histogram, "seconds", "Time to choose where to send, with asking another instance."}
	SiteSendTime          = Metric{"gullhaven_site_send_seconds", Histogram, "seconds", "Time from sending to the head of the answer or the loss of it."}
	SiteWaitRatio         = Metric{"gullhaven_site_wait_ratio", Histogram, "ratio", "Wait for the first event over the one that was expected, of requests to engines of the own region."}
	SiteEventGapTime      = Metric{"gullhaven_site_event_gap_seconds", Histogram, "seconds", "Time between two events of a stream."}
	SiteRequestTime       = Metric{"gullhaven_site_whole_seconds", Histogram, "seconds", "Time from the acceptance of a request to its end."}
	SiteDials             = Metric{"gullhaven_site_connections_total", Counter, "connections", "New connections to targets."}
	SiteTargets           = Metric{"gullhaven_site_targets", Gauge, "targets", "Targets of the region on the list."}
	SiteTargetsBackingOff = Metric{"gullhaven_site_targets_out", Gauge, "targets", "Targets left out for a while as they were lost."}
	SiteTargetsCold       = Metric{"gullhaven_site_targets_cold", Gauge, "targets", "Targets that bear only a few requests a second."}
	SiteTargetsLimited    = Metric{"gullhaven_site_targets_limited", Gauge, "targets", "Targets that name in their answers how many requests a second they take."}
	SiteTargetsResting    = Metric{"gullhaven_site_targets_resting", Gauge, "targets", "Targets that have asked this instance for rest and get nothing from it until its end."}
	SiteTargetsLeaving    = Metric{"gullhaven_site_targets_draining", Gauge, "targets", "Targets that drain, or whose zone is evacuated."}
	SiteVersion           = Metric{"gullhaven_site_version", Gauge, "version", "Version of the configuration in force, or accepted at a core instance; 0 for none."}
	SiteReceivedVersion   = Metric{"gullhaven_site_version_heard", Gauge, "version", "Newest version that a core instance told this entry instance of; above the one in force it is on its way."}
	SiteReportsFailed     = Metric{"gullhaven_site_reports_failed_total", Counter, "reports", "Reports to core instances that got no answer in time. Without answers the list of targets and the configuration grow old."}
	SitePiecesLeft        = Metric{"gullhaven_site_pieces_left", Gauge, "pieces", "Pieces of the newest configuration that are still to come; 0 also while its list of pieces is."}
	SitePieceBytes        = Metric{"gullhaven_site_piece_bytes_total", Counter, "bytes", "Bytes of pieces of configurations that came."}
	SitePiecesFailed      = Metric{"gullhaven_site_pieces_failed_total", Counter, "questions", "Questions for a configuration that got no answer of use; another core instance was asked, for less."}
	SiteListAge           = Metric{"gullhaven_site_list_age_milliseconds", Gauge, "milliseconds", "Age of the list of targets; negative if there is none."}
	SiteEntries           = Metric{"gullhaven_site_entries", Gauge, "instances", "Entry instances known."}
	SiteEntriesBehind     = Metric{"gullhaven_site_entries_behind", Gauge, "instances", "Entry instances that report to this core instance and lack what is accepted for over four seconds."}
	SiteInvalidCapacities = Metric{"gullhaven_site_capacities_invalid_total", Counter, "reports", "Reports of entry instances whose capacity counts as unknown as it is negative, not finite, or not between a thousandth of a core and a million cores."}
	SiteCores             = Metric{"gullhaven_site_cores", Gauge, "instances", "Core instances known."}
	SiteLogRole           = Metric{"gullhaven_site_log_leads", Gauge, "bool", "1 at the leader of the log, else 0."}
	SiteLogTerm           = Metric{"gullhaven_site_log_term", Gauge, "term", "Term of the log."}
	SiteLogApplied        = Metric{"gullhaven_site_log_applied", Gauge, "entries", "Entries of the log applied."}
	SiteLogBehind         = Metric{"gullhaven_site_log_behind", Gauge, "entries", "Entries committed and not applied."}
	SiteLogVoters         = Metric{"gullhaven_site_log_voters", Gauge, "instances", "Voters of the group."}
	SiteLinesDropped      = Metric{"gullhaven_site_log_lines_dropped_total", Counter, "lines", "Log lines dropped as their reader was too slow."}
	SiteLinesSkipped      = Metric{"gullhaven_site_log_lines_left_out_total", Counter, "lines", "Log lines of ordinary outcomes beyond their budget."}
)

// Site has the metrics that only instances of a site have, each once.
var Site = []Metric{
	SiteForwardedIn, SiteNoTarget, SiteResting, SiteNoConfiguration, SiteLeaving, SitePoisonRequests, SiteSuspects, SiteSuspectsEvicted, SiteSuspectsPending, SiteSuspectsReceived, SiteSuspectsChanged, SiteUnknownStreams, SiteOverloaded, SiteOverShare, SiteOutranked, SitePastDeadline,
	SitePromisesGiven, SitePromisesKept, SitePromisesMissed, SitePromisesExpired, SitePromisesWithdrawn, SitePromisesDropped, SitePromisedWork,
	SiteUnknownKeys, SiteNoHomeRegion, SiteOverLimit, SiteOtherRefusals, SiteRetriesDenied, SitePauses, SiteOwnedElsewhere, SiteRestsAsked, SiteLeavingAnswers, SiteMalformedHeaders, SiteInvalidSummaries, SiteUnknownSummaries, SiteRegionsUnreached,
	SiteChooseTime, SiteSendTime, SiteWaitRatio, SiteEventGapTime, SiteRequestTime, SiteDials, SiteTargets, SiteTargetsBackingOff, SiteTargetsCold, SiteTargetsLimited, SiteTargetsResting,
	SiteTargetsLeaving, SiteVersion, SiteReceivedVersion, SiteReportsFailed, SitePiecesLeft, SitePieceBytes, SitePiecesFailed, SiteListAge, SiteEntries, SiteEntriesBehind, SiteInvalidCapacities, SiteCores, SiteLogRole, SiteLogTerm, SiteLogApplied,
	SiteLogBehind, SiteLogVoters, SiteLinesDropped, SiteLinesSkipped,
}

// SiteEntry has the metrics of an entry instance.
type SiteEntry struct {
	*Set
	ForwardedIn, RefusedNoTarget, RefusedNoConfiguration, RefusedLeaving, RefusedPoison, RefusedOverloaded, RefusedOther gometrics.Counter
	RefusedOverShare, RefusedOutranked, RefusedPastDeadline, RefusedUnknownKey, RefusedNoHome, RefusedOverLimit          gometrics.Counter
	RetriesDenied, OwnedElsewhere, SummariesInvalid, SummariesUnknown, RegionsUnreached, ReportsFailed                   gometrics.Counter
	RefusedResting, RefusedUnknownStream, RestsAsked, LeavingAnswers, MalformedHeaders, Pauses                           gometrics.Counter
	// WaitRatio is the actual wait over the expected wait, which shows the quality of choices.
	WaitRatio                                       *Ratios
	ChooseTime, SendTime, EventGapTime, RequestTime *Times
}

// EntryState has the values that are read from an entry instance for each page.
type EntryState struct {
	InFlight, Dials, Targets, BackingOff, Cold, Limited, Resting, Draining, Version, ReceivedVersion, ListAge, Entries, Cores int64
	LinesDropped, LinesSkipped, PiecesLeft, PieceBytes, PiecesFailed                                                          int64
	Suspects, SuspectsEvicted, SuspectsPending                                                                                int64
	PromisesGiven, PromisesKept, PromisesMissed, PromisesExpired, PromisesWithdrawn, PromisesDropped, PromisedWork            int64
	Links                                                                                                                     Links
}

// NewSiteEntry returns the metrics of an entry instance; read is called once for each page.
func NewSiteEntry(read func() EntryState) *SiteEntry {
	s := NewSet()
	page := newPageState(s, read)
	page.gauge(InFlight, func(e *EntryState) int64 { return e.InFlight })
	page.gauge(SiteDials, func(e *EntryState) int64 { return e.Dials })
	page.gauge(SiteTargets, func(e *EntryState) int64 { return e.Targets })
	page.gauge(SiteTargetsBackingOff, func(e *EntryState) int64 { return e.BackingOff })
	page.gauge(SiteTargetsCold, func(e *EntryState) int64 { return e.Cold })
	page.gauge(SiteTargetsLimited, func(e *EntryState) int64 { return e.Limited })
	page.gauge(SiteTargetsResting, func(e *EntryState) int64 { return e.Resting })
	page.gauge(SiteTargetsLeaving, func(e *EntryState) int64 { return e.Draining })
	page.gauge(SiteVersion, func(e *EntryState) int64 { return e.Version })
	page.gauge(SiteReceivedVersion, func(e *EntryState) int64 { return e.ReceivedVersion })
	page.gauge(SitePiecesLeft, func(e *EntryState) int64 { return e.PiecesLeft })
	page.gauge(SitePieceBytes, func(e *EntryState) int64 { return e.PieceBytes })
	page.gauge(SitePiecesFailed, func(e *EntryState) int64 { return e.PiecesFailed })
	page.gauge(SiteSuspects, func(e *EntryState) int64 { return e.Suspects })
	page.gauge(SiteSuspectsEvicted, func(e *EntryState) int64 { return e.SuspectsEvicted })
	page.gauge(SiteSuspectsPending, func(e *EntryState) int64 { return e.SuspectsPending })
	page.gauge(SitePromisesGiven, func(e *EntryState) int64 { return e.PromisesGiven })
	page.gauge(SitePromisesKept, func(e *EntryState) int64 { return e.PromisesKept })
	page.gauge(SitePromisesMissed, func(e *EntryState) int64 { return e.PromisesMissed })
	page.gauge(SitePromisesExpired, func(e *EntryState) int64 { return e.PromisesExpired })
	page.gauge(SitePromisesWithdrawn, func(e *EntryState) int64 { return e.PromisesWithdrawn })
	page.gauge(SitePromisesDropped, func(e *EntryState) int64 { return e.PromisesDropped })
	page.gauge(SitePromisedWork, func(e *EntryState) int64 { return e.PromisedWork })
	page.gauge(SiteListAge, func(e *EntryState) int64 { return e.ListAge })
	page.gauge(SiteEntries, func(e *EntryState) int64 { return e.Entries })
	page.gauge(SiteCores, func(e *EntryState) int64 { return e.Cores })
	page.gauge(SiteLinesDropped, func(e *EntryState) int64 { return e.LinesDropped })
	page.gauge(SiteLinesSkipped, func(e *EntryState) int64 { return e.LinesSkipped })
	registerLinks(page, func(e *EntryState) *Links { return &e.Links })
	return &SiteEntry{
		Set: s, ForwardedIn: s.Counter(SiteForwardedIn), RefusedNoTarget: s.Counter(SiteNoTarget), RefusedResting: s.Counter(SiteResting), RefusedNoConfiguration: s.Counter(SiteNoConfiguration),
		RefusedLeaving: s.Counter(SiteLeaving), RefusedPoison: s.Counter(SitePoisonRequests), RefusedUnknownStream: s.Counter(SiteUnknownStreams),
		RefusedOverloaded: s.Counter(SiteOverloaded), RefusedOverShare: s.Counter(SiteOverShare), RefusedOutranked: s.Counter(SiteOutranked), RefusedPastDeadline: s.Counter(SitePastDeadline), RefusedOther: s.Counter(SiteOtherRefusals),
		RefusedUnknownKey: s.Counter(SiteUnknownKeys), RefusedNoHome: s.Counter(SiteNoHomeRegion), RefusedOverLimit: s.Counter(SiteOverLimit),
		RetriesDenied: s.Counter(SiteRetriesDenied), Pauses: s.Counter(SitePauses), OwnedElsewhere: s.Counter(SiteOwnedElsewhere),
		RestsAsked: s.Counter(SiteRestsAsked), LeavingAnswers: s.Counter(SiteLeavingAnswers), MalformedHeaders: s.Counter(SiteMalformedHeaders),
		SummariesInvalid: s.Counter(SiteInvalidSummaries), SummariesUnknown: s.Counter(SiteUnknownSummaries), RegionsUnreached: s.Counter(SiteRegionsUnreached), ReportsFailed: s.Counter(SiteReportsFailed),
		ChooseTime: s.Times(SiteChooseTime), SendTime: s.Times(SiteSendTime), EventGapTime: s.Times(SiteEventGapTime), WaitRatio: s.Ratios(SiteWaitRatio), RequestTime: s.Times(SiteRequestTime),
	}
}

// CoreState has the values that are read from a core instance for each page.
type CoreState struct {
	IsLeader                                                 bool
	Term, Applied, Behind, Voters, Version, ListAge, Targets int64
	Entries, EntriesBehind, CapacitiesInvalid, Cores         int64
	Syncs, SyncedEntries, LinesDropped, LinesSkipped         int64
	Suspects, SuspectsReceived, SuspectsChanged              int64
	Links                                                    Links
}

// NewSiteCore returns the metrics of a core instance; read is called once for each page.
func NewSiteCore(read func() CoreState) *Set {
	s := newEmptySet()
	page := newPageState(s, read)
	page.gauge(SiteLogRole, func(c *CoreState) int64 {
		if c.IsLeader {
			return 1
		}
		return 0
	})
	page.gauge(SiteLogTerm, func(c *CoreState) int64 { return c.Term })
	page.gauge(SiteLogApplied, func(c *CoreState) int64 { return c.Applied })
	page.gauge(SiteLogBehind, func(c *CoreState) int64 { return c.Behind })
	page.gauge(SiteLogVoters, func(c *CoreState) int64 { return c.Voters })
	page.gauge(SiteVersion, func(c *CoreState) int64 { return c.Version })
	page.gauge(SiteListAge, func(c *CoreState) int64 { return c.ListAge })
	page.gauge(SiteTargets, func(c *CoreState) int64 { return c.Targets })
	page.gauge(SiteEntries, func(c *CoreState) int64 { return c.Entries })
	page.gauge(SiteEntriesBehind, func(c *CoreState) int64 { return c.EntriesBehind })
	page.gauge(SiteInvalidCapacities, func(c *CoreState) int64 { return c.CapacitiesInvalid })
	page.gauge(SiteCores, func(c *CoreState) int64 { return c.Cores })
	page.gauge(SiteSuspects, func(c *CoreState) int64 { return c.Suspects })
	page.gauge(SiteSuspectsReceived, func(c *CoreState) int64 { return c.SuspectsReceived })
	page.gauge(SiteSuspectsChanged, func(c *CoreState) int64 { return c.SuspectsChanged })
	page.gauge(LogSyncs, func(c *CoreState) int64 { return c.Syncs })
	page.gauge(LogSyncedEntries, func(c *CoreState) int64 { return c.SyncedEntries })
	page.gauge(SiteLinesDropped, func(c *CoreState) int64 { return c.LinesDropped })
	page.gauge(SiteLinesSkipped, func(c *CoreState) int64 { return c.LinesSkipped })
	registerLinks(page, func(c *CoreState) *Links { return &c.Links })
	return s
}

// pageState registers gauges for the fields of one state, which is read once for each page.
type pageState[T any] struct {
	set  *Set
	mu   sync.Mutex
	last T
}

func newPageState[T any](s *Set, read func() T) *pageState[T] {
	p := &pageState[T]{set: s}
	s.onPage = func() {
		state := read()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.last = state
	}
	return p
}

func (p *pageState[T]) gauge(m Metric, read func(*T) int64) {
	p.set.Gauge(m, func() int64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		return read(&p.last)
	})
}
