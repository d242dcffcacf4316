package control

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/newest"
	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/coord/pieces"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/node/feed"
)

// errNoMember: this instance is a standby and knows no member of the group.
var errNoMember = errors.New("outside the group, and no member of it is known")

// standby is what an instance knows of the group while it is not a member. The group is
// bounded; a standby stores nothing, and forwards the requests of operators and entry instances
// to a member.
type standby struct {
	mu sync.Mutex
	// full says that the leader had no place for this instance.
	full   bool
	leader string
	// members are the live ones, nearest first.
	members []string
	// reader fetches documents for operators.
	reader documentReader
}

// update applies the leader's reply to a join request, and reports whether this instance
// became or ceased to be a standby for want of a place.
func (o *standby) update(self feed.Core, r *joinReply) (changed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	changed = o.full != r.Full
	o.full, o.leader = r.Full, r.Leader
	if !r.Full {
		return changed
	}
	byDistance := slices.Clone(r.Members)
	slices.SortStableFunc(byDistance, func(a, b feed.Core) int {
		return cmp.Compare(a.Distance(self.Region, self.Zone), b.Distance(self.Region, self.Zone))
	})
	o.members = o.members[:0]
	for _, c := range byDistance {
		o.members = append(o.members, c.ID)
	}
	return changed
}

// demote moves a member that did not answer behind the others.
func (o *standby) demote(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.leader == id {
		o.leader = ""
	}
	if index := slices.Index(o.members, id); index >= 0 {
		o.members = append(slices.Delete(o.members, index, index+1), id)
	}
}

func (o *standby) leaderID() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leader
}

func (o *standby) isFull() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.full
}

// nearest returns the id of the member to ask; empty if none is known.
func (o *standby) nearest() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.members) > 0 {
		return o.members[0]
	}
	return o.leader
}

// isStandby reports whether this instance is not a member of the group: the leader has no place
// for it, or its log, which may be new, does not name it. The seeds of a first start are no
// standbys, as they are about to form the group.
func (i *Instance) isStandby() bool {
	if i.standby.isFull() {
		return true
	}
	if i.position().member {
		return false
	}
	return !i.firstStart || !slices.Contains(i.o.Seeds, i.o.Self.ID)
}

// callMember calls a member, and demotes it after an error, unless it is of a release that does not serve the channel.
func (i *Instance) callMember(ctx context.Context, to, channel string, payload []byte) ([]byte, error) {
	if to == "" || to == i.o.Self.ID {
		return nil, errNoMember
	}
	answer, err := i.hub.Call(ctx, to, channel, payload)
	var refused *verdict.Error
	if err != nil && !(errors.As(err, &refused) && refused.Code == link.CodeNoHandler) {
		i.standby.demote(to)
	}
	return answer, err
}

// serveOrForwardReport answers an entry instance's report; a standby forwards it to a member.
// If no member answers, the reply says that there is no leader, so that the entry instance
// turns to another core instance.
func (i *Instance) serveOrForwardReport(ctx context.Context, from string, payload []byte) ([]byte, error) {
	if !i.isStandby() {
		return i.serveReport(ctx, from, payload)
	}
	answer, err := i.callMember(ctx, i.standby.nearest(), channelMemberReport, payload)
	if err == nil {
		return answer, nil
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	i.log.Debug("forwarding a report failed", zap.Error(err))
	return i.serveReport(ctx, from, payload)
}

// readAsStandby has a member confirm what is accepted, and fetches the document in pieces.
// Received pieces are kept for the next call if this one ends too early.
func (i *Instance) readAsStandby(ctx context.Context) ([]byte, error) {
	from := i.standby.nearest()
	h, err := i.readHead(ctx, from)
	if err != nil {
		return nil, err
	}
	if h.Version == 0 {
		return nil, errNoDocument
	}
	return i.standby.reader.read(ctx, h.Root, func(ctx context.Context, a *pieces.Request) (*pieces.Response, error) {
		return i.askMember(ctx, from, a)
	})
}

// readHead has a member confirm the accepted state, and returns its head.
func (i *Instance) readHead(ctx context.Context, from string) (*newest.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := i.callMember(ctx, from, channelRead, nil)
	if err != nil {
		return nil, err
	}
	h := &newest.Head{}
	return h, cbor.Unmarshal(data, h)
}

func (i *Instance) askMember(ctx context.Context, from string, a *pieces.Request) (*pieces.Response, error) {
	payload, err := cbor.Marshal(a)
	if err != nil {
		return nil, err
	}
	data, err := i.callMember(ctx, from, channelMemberDocument, payload)
	if err != nil {
		return nil, err
	}
	answer := &pieces.Response{}
	return answer, cbor.Unmarshal(data, answer)
}

// serveRead returns the confirmed head to a standby; its version is 0 if nothing was accepted
// yet.
func (i *Instance) serveRead(ctx context.Context, _ string, _ []byte) ([]byte, error) {
	if err := i.confirm(ctx); err != nil {
		return nil, err
	}
	return cbor.Marshal(i.machine.State().Head())
}
