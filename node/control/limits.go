package control

import (
	"context"
	"errors"
	"sync"

	"github.com/fxamacker/cbor/v2"

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
// that those of one term end before the next term's Divider grants anew.
func (i *Instance) divide(from string, payload []byte) ([]byte, error) {
	var r quota.Report
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return nil, err
	}
	d := &i.dividing
	d.mu.Lock()
	defer d.mu.Unlock()
	core := i.node.Status().Core
	if core.Role != replog.Leader || i.node.LeaseUntil().IsZero() {
		return nil, errNoLeader
	}
	if d.divider == nil || d.term != core.Term {
		d.term, d.divider = core.Term, quota.NewDivider(i.clock(), core.Term, i.o.Regions, nil)
	}
	return cbor.Marshal(d.divider.Report(i.clock(), from, &r))
}
