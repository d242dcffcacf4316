package placement

import (
	"time"

	"github.com/gullhaven/gullhaven/ports"
)

// Phase is where a target stands.
type Phase string

// Phases of a target.
const (
	// PhaseUnseen: no fresh report.
	PhaseUnseen Phase = "unseen"
	// PhaseServing: takes work.
	PhaseServing Phase = "serving"
	// PhaseDraining: takes nothing new; requests in progress end.
	PhaseDraining Phase = "draining"
	// PhaseLoading: drained; version, adapters or role change.
	PhaseLoading Phase = "loading"
	// PhaseWarming: has what the bundle wants and does not take work yet.
	PhaseWarming Phase = "warming"
	// PhaseLeft: leaving, with nothing in progress.
	PhaseLeft Phase = "left"
)

// Blocked says why a target that is not as the bundle wants gets no order now.
type Blocked string

// Reasons.
const (
	BlockedUnseen Blocked = "unseen"
	// BlockedOrder: an order is under way or its effect is not reported yet.
	BlockedOrder Blocked = "order_under_way"
	// BlockedEarlierLeader: orders of an earlier leader may still arrive.
	BlockedEarlierLeader Blocked = "earlier_leader"
	// BlockedCapacity: the rest of the service could not carry the load.
	BlockedCapacity Blocked = "capacity"
	// BlockedLoads: as many targets as allowed are under change.
	BlockedLoads Blocked = "concurrent_loads"
	// BlockedRate: the weight store is taken up by earlier loads.
	BlockedRate Blocked = "weight_store_rate"
	// BlockedInProgress: requests in progress, or sent before all instances
	// knew of the drain.
	BlockedInProgress Blocked = "in_progress"
	// BlockedDrainOverdue: the same, for longer than the bundle's drain time.
	BlockedDrainOverdue Blocked = "drain_overdue"
	// BlockedWarmUp: the warm-up is under way or failed.
	BlockedWarmUp Blocked = "warm_up"
	// BlockedDrainedElsewhere: a person or the platform has drained the target;
	// whoever did so has to resume it.
	BlockedDrainedElsewhere Blocked = "drained_elsewhere"
	// BlockedRetry: an order failed and is tried again later.
	BlockedRetry Blocked = "retry_later"
	// BlockedLease: the lease is too short for an order.
	BlockedLease Blocked = "lease"
)

// TargetStatus is the state of one target.
type TargetStatus struct {
	Target string
	Phase  Phase
	// Since is when the phase began, as far as this leader saw.
	Since time.Time
	// Blocked is empty if nothing is to be done.
	Blocked Blocked
	// Reached says that the target is as the bundle wants.
	Converged bool
}

// Counts since the making of the Planner.
type Counts struct {
	// Sent counts sendings, Resent those of them of an order sent before.
	Sent, Resent uint64
	// Refused orders carried an old fencing number, Invalid ones were refused
	// for themselves, Expired ones were not sent in time, Unanswered ones may
	// have arrived, NotSent ones did not.
	Refused, Invalid, Expired, Unanswered, NotSent uint64
	// Failed orders were taken but had no effect.
	Failed uint64
	// WarmUpsFailed had no whole answer.
	WarmUpsFailed uint64
	// Stray ends belong to no order under way: late or doubled.
	Unmatched uint64
}

// Status is the state of a Planner.
type Status struct {
	// Leading says that a lease is held and was not overtaken.
	Leading bool
	Fence   uint64
	// Targets is empty while not leading; sorted by target.
	Targets []TargetStatus
	Counts  Counts
}

// Status returns the state as of the last Step.
func (p *Planner) Status() Status {
	s := Status{Leading: p.leading(p.now), Fence: p.fence, Counts: p.counts}
	if !s.Leading {
		return s
	}
	for _, t := range p.targets {
		s.Targets = append(s.Targets, TargetStatus{
			Target: t.goal.Target, Phase: t.phase, Since: t.since, Blocked: t.blocked, Converged: t.reached(p.now, &p.o),
		})
	}
	return s
}

// note sets the status of a target.
func (t *target) note(now time.Time, blocked Blocked) {
	phase := t.phaseNow(blocked)
	if phase != t.phase {
		t.phase, t.since = phase, now
	}
	t.blocked = blocked
}

func (t *target) phaseNow(blocked Blocked) Phase {
	r := &t.report
	switch {
	case blocked == BlockedUnseen:
		return PhaseUnseen
	case !r.Draining:
		return PhaseServing
	case inProgress(r) > 0 && (t.goal.Leaving || t.goal.needsDrain(r)):
		return PhaseDraining
	case t.drainedElsewhere && !t.goal.needsDrain(r):
		return PhaseDraining
	case t.goal.Leaving:
		return PhaseLeft
	case r.Loading || t.goal.needsDrain(r) || t.goal.missing(r) != nil:
		return PhaseLoading
	default:
		return PhaseWarming
	}
}

func inProgress(r *ports.LoadReport) int { return r.Running + r.Waiting }
