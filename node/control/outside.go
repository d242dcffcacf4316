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
	"github.com/gullhaven/gullhaven/coord/pieces"
	"github.com/gullhaven/gullhaven/node/feed"
)

// errNoMember: this instance is outside the group and knows no member of it.
var errNoMember = errors.New("outside the group, and no member of it is known")

// outside is what an instance knows of the group while it is no member. The group is
// bounded; an instance outside keeps nothing, and passes on what operators and entry
// instances ask of it to a member, which answers.
type outside struct {
	mu sync.Mutex
	// full says that the leader had no place for this instance.
	full   bool
	leader string
	// members are the live ones, the nearest first.
	members []string
	// reader gets documents for operators.
	reader documentReader
}

// note takes in the leader's answer to an application, and reports whether it changes
// where this instance stands.
func (o *outside) note(self feed.Core, r *reception) (changed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	changed = o.full != r.Full
	o.full, o.leader = r.Full, r.Leader
	if !r.Full {
		return changed
	}
	near := slices.Clone(r.Members)
	slices.SortStableFunc(near, func(a, b feed.Core) int {
		return cmp.Compare(a.Distance(self.Region, self.Zone), b.Distance(self.Region, self.Zone))
	})
	o.members = o.members[:0]
	for _, c := range near {
		o.members = append(o.members, c.ID)
	}
	return changed
}

// lost puts a member that did not answer behind the others.
func (o *outside) lost(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.leader == id {
		o.leader = ""
	}
	if at := slices.Index(o.members, id); at >= 0 {
		o.members = append(slices.Delete(o.members, at, at+1), id)
	}
}

func (o *outside) leaderID() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leader
}

func (o *outside) isFull() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.full
}

// nearest is the member to ask; empty if none is known.
func (o *outside) nearest() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.members) > 0 {
		return o.members[0]
	}
	return o.leader
}

// isOutside reports whether this instance is no member of the group: the leader has no
// place for it, or its log, which may be new, does not name it. The seeds of a first
// start are about to form the group.
func (i *Instance) isOutside() bool {
	if i.outside.isFull() {
		return true
	}
	if i.stands().member {
		return false
	}
	return !i.o.FirstStart || !slices.Contains(i.o.Seeds, i.o.Self.ID)
}

// callMember asks a member.
func (i *Instance) callMember(ctx context.Context, to, channel string, payload []byte) ([]byte, error) {
	if to == "" || to == i.o.Self.ID {
		return nil, errNoMember
	}
	answer, err := i.hub.Call(ctx, to, channel, payload)
	if err != nil {
		i.outside.lost(to)
	}
	return answer, err
}

// passReport answers an entry instance that reports here, and has a member answer while
// this instance is outside. Where none does, the answer tells of no leader, so that the
// entry instance turns to another core instance.
func (i *Instance) passReport(ctx context.Context, from string, payload []byte) ([]byte, error) {
	if !i.isOutside() {
		return i.serveReport(ctx, from, payload)
	}
	answer, err := i.callMember(ctx, i.outside.nearest(), channelMember, payload)
	if err == nil {
		return answer, nil
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	i.log.Debug("a report was not passed on", zap.Error(err))
	return i.serveReport(ctx, from, payload)
}

// readOutside has a member read what is accepted, and gets the document in pieces. What has
// come is kept for the next call where this one ends too early.
func (i *Instance) readOutside(ctx context.Context) ([]byte, error) {
	from := i.outside.nearest()
	h, err := i.readHead(ctx, from)
	if err != nil {
		return nil, err
	}
	if h.Version == 0 {
		return nil, errNoDocument
	}
	return i.outside.reader.read(ctx, h.Root, func(ctx context.Context, a *pieces.Request) (*pieces.Response, error) {
		return i.askMember(ctx, from, a)
	})
}

// readHead has a member confirm what is accepted.
func (i *Instance) readHead(ctx context.Context, from string) (*newest.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
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

// serveRead tells an instance outside what is accepted; version 0 where nothing was yet.
func (i *Instance) serveRead(ctx context.Context, _ string, _ []byte) ([]byte, error) {
	if err := i.confirm(ctx); err != nil {
		return nil, err
	}
	return cbor.Marshal(i.machine.State().Head())
}
