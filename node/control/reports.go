package control

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/node/feed"
)

// serveReport answers an entry instance: at once if there is an update, else after the wait
// that the report allows.
func (i *Instance) serveReport(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var r feed.Report
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return nil, err
	}
	began := time.Now()
	i.recordReport(began, &r)
	i.addSuspects(r.Suspects)
	if r.WantConfirmed {
		i.confirmFirst(ctx)
	}
	wait := time.NewTimer(i.reportWait(&r))
	defer wait.Stop()
	changed := i.store.Changed()
	if i.upToDate(&r) {
		select {
		case <-changed:
		case <-wait.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	r.ListAgeMillis += time.Since(began).Milliseconds()
	return cbor.Marshal(i.updateFor(r))
}

// reportWait returns how long a report may be held back. One whose sender misses suspects is not answered at
// once: another one follows, and there may be new ones for seconds.
func (i *Instance) reportWait(r *feed.Report) time.Duration {
	wait := time.Duration(r.WaitMillis) * time.Millisecond
	if atMost, misses := i.store.SuspectsWait(r); misses {
		return min(wait, atMost)
	}
	return wait
}

// recordReport records what a report says about the reporting instance.
func (i *Instance) recordReport(now time.Time, r *feed.Report) {
	switch {
	case r.Probe:
		return
	case r.Brief:
		i.store.AddComparison(now, r.Self)
	default:
		i.store.AddReport(now, r.Self)
	}
	i.recordLag(now, r)
}

// upToDate reports whether there is no update for the reporting instance yet. A probe is
// answered once there is a state, or a leader that has none.
func (i *Instance) upToDate(r *feed.Report) bool {
	if i.accepted().Index > r.Index {
		return false
	}
	if r.Probe {
		return !i.hasLeader()
	}
	return !i.store.HasListFor(time.Now(), r)
}

// confirmFirst tries to confirm the accepted state for an instance that has just started. This
// member may lag, and the instance would begin with a version older than one acknowledged
// before its start. If no majority answers in time, the instance begins with what this member
// holds, which was accepted: a partitioned region serves its callers, and after a power
// loss of all, nobody waits for an election. A member without a leader answers at once: if
// there is a leader, the instance learns newer states from the other members, which it asks at
// the same time.
func (i *Instance) confirmFirst(ctx context.Context) {
	if !i.hasLeader() {
		s := i.accepted()
		if i.noLeaderLogged.Swap(s.Index+1) != s.Index+1 {
			i.log.Info("first state not confirmed for want of a leader", zap.Uint64("version", s.Version))
		}
		return
	}
	i.confirmations.Do(ctx, func() {
		ctx, cancel := context.WithTimeout(context.Background(), firstConfirmTimeout)
		defer cancel()
		if err := i.node.Read(ctx); err != nil {
			i.log.Info("first state not confirmed", zap.Error(err), zap.Uint64("version", i.accepted().Version))
		}
	})
}

func (i *Instance) updateFor(r feed.Report) feed.Update {
	at := i.position()
	u := feed.Update{HasLeader: at.hasLeader, Behind: at.behind}
	s := i.accepted()
	if s.Index > r.DocumentIndex {
		u.Head = s.Head()
	}
	i.store.FillUpdate(time.Now(), r, s.Evacuated, &u)
	requested := time.Duration(r.WaitMillis) * time.Millisecond
	if wait := i.store.ReportWait(requested); !r.Brief && wait > requested {
		u.WaitMillis = wait.Milliseconds()
	}
	return u
}

// confirm returns nil once this member holds everything that was acknowledged before the call.
func (i *Instance) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return i.node.Read(ctx)
}

// errNoDocument: no configuration was accepted yet.
var errNoDocument = errors.New("no configuration was accepted yet")
