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

// errNoLeader: no leader of the group is known, or this instance was asked but does not lead.
var errNoLeader = errors.New("no leader divides limits")

// limitDivision divides the workspaces' limits while this instance leads.
type limitDivision struct {
	mu      sync.Mutex
	term    uint64
	divider *quota.Divider
	// pending are instances to add to the holders of shares; proposing says that a proposal is
	// in flight.
	pending   map[string]bool
	proposing bool
}

// forwardedReport is a report of limits that another core instance forwards to the leader.
type forwardedReport struct {
	From   string          `cbor:"1,keyasint"`
	Report cbor.RawMessage `cbor:"2,keyasint"`
}

// serveOrForwardLimits answers an entry instance's report of limits, or forwards it to the
// leader.
func (i *Instance) serveOrForwardLimits(ctx context.Context, from string, payload []byte) ([]byte, error) {
	leader := i.Leader()
	if i.isStandby() {
		leader = i.standby.leaderID()
	}
	switch leader {
	case "":
		return nil, errNoLeader
	case i.o.Self.ID:
		return i.answerLimits(from, payload)
	}
	data, err := cbor.Marshal(forwardedReport{From: from, Report: payload})
	if err != nil {
		return nil, err
	}
	return i.hub.Call(ctx, leader, channelMemberLimits, data)
}

// serveLimits answers a report that another core instance has forwarded.
func (i *Instance) serveLimits(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var f forwardedReport
	if err := cbor.Unmarshal(payload, &f); err != nil {
		return nil, err
	}
	return i.answerLimits(f.From, f.Report)
}

// answerLimits answers a report as the leader. Shares are granted only under the leader's
// lease, so that the shares of one term end before the Divider of the next term grants new
// ones, and only to instances that the log names, so that the next leader knows them.
func (i *Instance) answerLimits(from string, payload []byte) ([]byte, error) {
	var r quota.Report
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return nil, err
	}
	d := &i.division
	d.mu.Lock()
	defer d.mu.Unlock()
	s := i.node.Status()
	if !i.mayDivide(&s) {
		return nil, errNoLeader
	}
	now := i.clock()
	if d.divider == nil || d.term != s.Core.Term {
		known := i.machine.Holders()
		i.log.Info("dividing limits as the leader", zap.Uint64("term", s.Core.Term), zap.Int("holders", len(known)))
		d.term, d.divider = s.Core.Term, quota.NewDivider(now, s.Core.Term, i.o.Regions, known)
	}
	if !i.machine.IsHolder(from) {
		i.addHolder(from)
		return cbor.Marshal(quota.Answer{Number: r.Number})
	}
	return cbor.Marshal(d.divider.Report(now, from, &r))
}

// mayDivide reports whether this instance leads under a lease and has applied what earlier
// leaders committed.
func (i *Instance) mayDivide(s *replhost.Status) bool {
	if s.Core.Role != replog.Leader || i.node.LeaseUntil().IsZero() {
		return false
	}
	return i.division.term == s.Core.Term || s.Applied >= s.Core.Commit
}

// addHolder has the log name an instance, together with others that arrive meanwhile. d.mu must
// be held.
func (i *Instance) addHolder(id string) {
	d := &i.division
	if d.pending == nil {
		d.pending = map[string]bool{}
	}
	d.pending[id] = true
	if !d.proposing {
		d.proposing = true
		i.wg.Go(i.addHolders)
	}
}

// addHolders proposes until no instances are pending or a proposal fails. After a failure, the
// instances' next reports add them again.
func (i *Instance) addHolders() {
	d := &i.division
	for {
		d.mu.Lock()
		change := &newest.Holders{Add: slices.Sorted(maps.Keys(d.pending)), Remove: d.divider.Silent(i.clock(), i.machine.Holders())}
		d.pending = nil
		d.proposing = len(change.Add) > 0
		d.mu.Unlock()
		if len(change.Add) == 0 {
			return
		}
		if err := i.proposeHolders(change); err != nil {
			i.log.Info("adding holders of limits failed", zap.Int("holders", len(change.Add)), zap.Error(err))
			d.mu.Lock()
			d.proposing = false
			d.mu.Unlock()
			return
		}
	}
}

// proposeHolders proposes a change as the leader. It is not forwarded to another leader: that
// one may have granted shares to an instance that this one, after a pause, takes for silent.
func (i *Instance) proposeHolders(change *newest.Holders) error {
	data, err := newest.Encode(newest.Command{Holders: change})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err = i.node.Propose(ctx, data)
	return err
}
