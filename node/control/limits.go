package control

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/newest"
	"github.com/gullhaven/gullhaven/coord/replhost"
	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/node/quota"
)

// errNoLeader: no leader of the group is known, or this instance was asked and does not lead.
var errNoLeader = errors.New("no leader divides limits")

// dividing holds the division of workspaces' limits while this instance leads.
type dividing struct {
	mu      sync.Mutex
	term    uint64
	divider *quota.Divider
	// newcomers are to be added to those that may hold shares; adding says that a proposal
	// is under way.
	newcomers map[string]bool
	adding    bool
}

// forwarded is a report of limits that another core instance passes on to the leader.
type forwarded struct {
	From   string          `cbor:"1,keyasint"`
	Report cbor.RawMessage `cbor:"2,keyasint"`
}

// passLimits answers an entry instance's report of limits, or has the leader answer it.
func (i *Instance) passLimits(ctx context.Context, from string, payload []byte) ([]byte, error) {
	leader := i.Leader()
	if i.isOutside() {
		leader = i.outside.leaderID()
	}
	switch leader {
	case "":
		return nil, errNoLeader
	case i.o.Self.ID:
		return i.divide(from, payload)
	}
	data, err := cbor.Marshal(forwarded{From: from, Report: payload})
	if err != nil {
		return nil, err
	}
	return i.hub.Call(ctx, leader, channelMemberLimits, data)
}

// serveLimits answers a report that another core instance has passed on.
func (i *Instance) serveLimits(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var f forwarded
	if err := cbor.Unmarshal(payload, &f); err != nil {
		return nil, err
	}
	return i.divide(f.From, f.Report)
}

// divide answers a report as the leader. Shares are granted only under the leader's lease, so
// that those of one term end before the next term's Divider grants anew, and only to
// instances that the log names, so that the next leader knows them.
func (i *Instance) divide(from string, payload []byte) ([]byte, error) {
	var r quota.Report
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return nil, err
	}
	d := &i.dividing
	d.mu.Lock()
	defer d.mu.Unlock()
	s := i.node.Status()
	if !i.mayDivide(&s) {
		return nil, errNoLeader
	}
	now := i.clock()
	if d.divider == nil || d.term != s.Core.Term {
		known := i.machine.Holders()
		i.log.Info("divides limits", zap.Uint64("term", s.Core.Term), zap.Int("holders", len(known)))
		d.term, d.divider = s.Core.Term, quota.NewDivider(now, s.Core.Term, i.o.Regions, known)
	}
	if !i.machine.IsHolder(from) {
		i.addHolder(from)
		return cbor.Marshal(quota.Answer{Number: r.Number})
	}
	return cbor.Marshal(d.divider.Report(now, from, &r))
}

// mayDivide reports whether this instance leads under a lease and has applied what earlier
// leaders have committed.
func (i *Instance) mayDivide(s *replhost.Status) bool {
	if s.Core.Role != replog.Leader || i.node.LeaseUntil().IsZero() {
		return false
	}
	return i.dividing.term == s.Core.Term || s.Applied >= s.Core.Commit
}

// addHolder has the log name an instance, with others that come meanwhile. d.mu is held.
func (i *Instance) addHolder(id string) {
	d := &i.dividing
	if d.newcomers == nil {
		d.newcomers = map[string]bool{}
	}
	d.newcomers[id] = true
	if !d.adding {
		d.adding = true
		i.wg.Go(i.addHolders)
	}
}

// addHolders proposes until no newcomers are left, or one proposal fails: their next reports
// bring them again.
func (i *Instance) addHolders() {
	d := &i.dividing
	for {
		d.mu.Lock()
		change := &newest.Holders{Add: slices.Sorted(maps.Keys(d.newcomers)), Remove: d.divider.Silent(i.clock(), i.machine.Holders())}
		d.newcomers = nil
		d.adding = len(change.Add) > 0
		d.mu.Unlock()
		if len(change.Add) == 0 {
			return
		}
		if _, err := i.propose(context.Background(), newest.Command{Holders: change}); err != nil {
			i.log.Info("holders of limits were not named", zap.Int("holders", len(change.Add)), zap.Error(err))
			d.mu.Lock()
			d.adding = false
			d.mu.Unlock()
			return
		}
	}
}
