package control

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/node/feed"
)

// serveReport answers an entry instance, at once if there is news and else after
// the time that it allows.
func (i *Instance) serveReport(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var r feed.Report
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return nil, err
	}
	began := time.Now()
	i.noteReport(began, &r)
	i.board.AddSuspects(time.Now(), r.Suspects, true)
	if r.WantConfirmed {
		i.confirmFirst(ctx)
	}
	wait := time.NewTimer(time.Duration(r.WaitMillis) * time.Millisecond)
	defer wait.Stop()
	changed := i.board.Changed()
	if i.nothingFor(&r) {
		select {
		case <-changed:
		case <-wait.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	r.ListAgeMillis += time.Since(began).Milliseconds()
	return cbor.Marshal(i.update(r))
}

// noteReport takes in what a report tells of the asker.
func (i *Instance) noteReport(now time.Time, r *feed.Report) {
	switch {
	case r.Probe:
		return
	case r.Brief:
		i.board.AddComparison(now, r.Self)
	default:
		i.board.AddReport(now, r.Self)
	}
	i.noteHeld(now, r)
}

// nothingFor reports whether there is nothing yet that the asker waits for. A probe ends with
// a state, or with a leader that has none.
func (i *Instance) nothingFor(r *feed.Report) bool {
	if i.accepted().Index > r.Index {
		return false
	}
	if r.Probe {
		return !i.led()
	}
	return !i.board.HasListFor(time.Now(), r)
}

// confirmFirst tries to have the state confirmed for an instance that has just
// started: this member may lag, and the instance would begin with a version older than
// one acknowledged before its start. Where no majority answers in time it begins with
// what this member holds, which was accepted once: a region that is cut off serves its
// callers, and after a loss of power of all nobody waits for an election. A member that
// hears from no leader answers at once: where there is one, the instance hears of newer
// states from the other members, which it asks at the same time.
func (i *Instance) confirmFirst(ctx context.Context) {
	if !i.led() {
		if !i.unled.Swap(true) {
			i.log.Info("first state not confirmed for want of a leader", zap.Uint64("version", i.accepted().Version))
		}
		return
	}
	i.confirming.Do(ctx, func() {
		ctx, cancel := context.WithTimeout(context.Background(), firstTime)
		defer cancel()
		if err := i.node.Read(ctx); err != nil {
			i.log.Info("first state not confirmed", zap.Error(err), zap.Uint64("version", i.accepted().Version))
		}
	})
}

func (i *Instance) update(r feed.Report) feed.Update {
	u := feed.Update{HasLeader: i.led()}
	s := i.accepted()
	if s.Index > r.DocumentIndex {
		u.Head = s.Head()
	}
	i.board.FillUpdate(time.Now(), r, s.Evacuated, &u)
	asked := time.Duration(r.WaitMillis) * time.Millisecond
	if wait := i.board.ReportWait(asked); !r.Brief && wait > asked {
		u.WaitMillis = wait.Milliseconds()
	}
	return u
}

// confirm returns nil once this member holds everything that was acknowledged
// before the call.
func (i *Instance) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return i.node.Read(ctx)
}

// errNoDocument: no configuration was accepted yet.
var errNoDocument = errors.New("no configuration was accepted yet")
