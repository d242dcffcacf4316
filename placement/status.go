package placement

import (
	"time"

	"github.com/gullhaven/gullhaven/ports"
)

// Phase is the state of a target within a change.
type Phase string

// Phases of a target.
const (
	// PhaseUnseen: no recent report.
	PhaseUnseen Phase = "unseen"
	// PhaseServing: takes work.
	PhaseServing Phase = "serving"
	// PhaseDraining: takes no new requests; requests in progress finish, or the
	// drain is external.
	PhaseDraining Phase = "draining"
	// PhaseLoading: drained; version, adapters or role are changing.
	PhaseLoading Phase = "loading"
	// PhaseWarming: in the desired state, but does not take work yet.
	PhaseWarming Phase = "warming"
	// PhaseLeft: leaving, with no requests in progress.
	PhaseLeft Phase = "left"
)

// Blocked is why a target that is not in the desired state gets no order now.
type Blocked string

// Reasons for Blocked.
const (
	BlockedUnseen Blocked = "unseen"
	// BlockedOrder: an order is pending, or its effect is not reported yet.
	BlockedOrder Blocked = "order_under_way"
	// BlockedEarlierLeader: orders of an earlier leader may still arrive.
	BlockedEarlierLeader Blocked = "earlier_leader"
	// BlockedCapacity: the rest of the service could not carry the load.
	BlockedCapacity Blocked = "capacity"
	// BlockedLoads: the maximum number of targets is being changed.
	BlockedLoads Blocked = "concurrent_loads"
	// BlockedRate: the weight store is busy with earlier loads.
	BlockedRate Blocked = "weight_store_rate"
	// BlockedInProgress: requests are in progress, or may have been sent before
	// all instances learned of the drain.
	BlockedInProgress Blocked = "in_progress"
	// BlockedDrainOverdue: like BlockedInProgress, for longer than the bundle's
	// drain time.
	BlockedDrainOverdue Blocked = "drain_overdue"
	// BlockedWarmUp: the warm-up is in progress or failed.
	BlockedWarmUp Blocked = "warm_up"
	// BlockedDrainedElsewhere: a person or the platform drained the target and
	// must resume it.
	BlockedDrainedElsewhere Blocked = "drained_elsewhere"
	// BlockedRetry: an order or warm-up failed; the next order waits for the
	// retry delay.
	BlockedRetry Blocked = "retry_later"
	// BlockedLease: the lease is too short for an order.
	BlockedLease Blocked = "lease"
)

// TargetStatus is the state of one target.
type TargetStatus struct {
	Target string
	Phase  Phase
	// Since is when the phase began, as far as this leader observed.
	Since time.Time
	// Blocked is empty if there is nothing to do.
	Blocked Blocked
	// Converged is true if the target is in the desired state.
	Converged bool
}

// Counts are totals since the Planner was created.
type Counts struct {
	// Sent counts sent orders, Resent those among them that had been sent
	// before.
	Sent, Resent uint64
	// Refused orders had an old fencing number, Invalid orders were refused as
	// such, Expired orders were not sent in time, Unanswered orders may have
	// arrived, NotSent orders did not arrive.
	Refused, Invalid, Expired, Unanswered, NotSent uint64
	// Failed orders were accepted but had no effect.
	Failed uint64
	// WarmUpsFailed counts warm-ups without a complete response.
	WarmUpsFailed uint64
	// Unmatched counts ends of no pending order or warm-up: late or duplicate
	// ones.
	Unmatched uint64
}

// Status is the state of a Planner.
type Status struct {
	// Leading is true if a lease is held and not superseded.
	Leading bool
	Fence   uint64
	// Targets is sorted by target; empty while not leading.
	Targets []TargetStatus
	Counts  Counts
}

// Status returns the state after the last Step.
func (p *Planner) Status() Status {
	s := Status{Leading: p.leading(p.now), Fence: p.fence, Counts: p.counts}
	if !s.Leading {
		return s
	}
	for _, t := range p.targets {
		s.Targets = append(s.Targets, TargetStatus{
			Target: t.goal.Target, Phase: t.phase, Since: t.since, Blocked: t.blocked, Converged: t.converged(p.now, &p.o),
		})
	}
	return s
}

// setStatus updates the target's phase and what blocks it.
func (t *target) setStatus(now time.Time, blocked Blocked) {
	phase := t.currentPhase(blocked)
	if phase != t.phase {
		t.phase, t.since = phase, now
	}
	t.blocked = blocked
}

func (t *target) currentPhase(blocked Blocked) Phase {
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
	case r.Loading || t.goal.needsDrain(r) || t.goal.missingAdapter(r) != nil:
		return PhaseLoading
	default:
		return PhaseWarming
	}
}

func inProgress(r *ports.LoadReport) int { return r.Running + r.Waiting }
