package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/admit"
	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/node/duty"
	"github.com/gullhaven/gullhaven/node/feed"
)

const (
	// joinInterval is the time between two join requests of a member, and between two checks of
	// the group by its leader.
	joinInterval = 300 * time.Millisecond
	// standbyInterval is the time between two join requests of a standby. It is below the age
	// at which a request expires; 100 standbys cost the leader 70 calls per second.
	standbyInterval = 1500 * time.Millisecond
	// joinTimeout bounds one join request: two wide-area trips.
	joinTimeout = 500 * time.Millisecond
	// changeTimeout bounds one change of the group.
	changeTimeout = 2 * time.Second
)

// joinRequest asks the leader for membership.
type joinRequest struct {
	Member   replog.Member `cbor:"1,keyasint"`
	Zone     string        `cbor:"2,keyasint"`
	Newcomer bool          `cbor:"3,keyasint,omitempty"`
	Region   string        `cbor:"4,keyasint,omitempty"`
}

// joinReply answers a joinRequest.
type joinReply struct {
	// Leader is the leader's id, as far as the answering instance knows.
	Leader string `cbor:"1,keyasint,omitempty"`
	// FromLeader says that the answer comes from the leader itself.
	FromLeader bool `cbor:"2,keyasint,omitempty"`
	// Known says that the group held the id before the request; Settled says that the
	// requesting instance is no newcomer any more.
	Known   bool `cbor:"3,keyasint,omitempty"`
	Settled bool `cbor:"4,keyasint,omitempty"`
	// Full says that the group has no place for the requesting instance now. Members are then
	// the ones to which it forwards requests.
	Full    bool        `cbor:"5,keyasint,omitempty"`
	Members []feed.Core `cbor:"6,keyasint,omitempty"`
}

// runJoining repeats this instance's join request, which also reports its zone to the leader.
// While this instance leads, it records its own request and makes the changes of the group.
func (i *Instance) runJoining(ctx context.Context) {
	requested, attempt := false, -1
	var notBefore time.Time
	duty.Every(ctx, joinInterval, func(time.Time) {
		attempt++
		if time.Now().Before(notBefore) {
			return
		}
		if i.node.Status().Core.Role == replog.Leader {
			i.answerJoin(i.joinRequest())
			i.changeGroup(ctx)
			return
		}
		r, ok := i.requestJoin(ctx, attempt)
		if !ok {
			return
		}
		if i.standby.update(i.o.Self, &r) {
			i.log.Info("membership in the group changed", zap.Bool("outside", r.Full), zap.Int("members", len(r.Members)))
		}
		if r.Full {
			notBefore = time.Now().Add(standbyInterval)
		}
		if r.Settled || r.Known && !requested {
			i.newcomer = false
		}
		requested = true
	})
}

func (i *Instance) joinRequest() joinRequest {
	return joinRequest{Member: i.node.Member(), Region: i.o.Self.Region, Zone: i.o.Self.Zone, Newcomer: i.newcomer}
}

// requestJoin sends a join request to the leader. If none is known it asks another core
// instance, by attempt, for the leader. It returns false if the leader did not answer.
func (i *Instance) requestJoin(ctx context.Context, attempt int) (joinReply, bool) {
	to := cmp.Or(i.node.Status().Core.Leader.ID, i.standby.leaderID())
	if to == "" {
		others := i.others()
		if len(others) == 0 {
			return joinReply{}, false
		}
		to = others[attempt%len(others)]
	}
	r := i.sendJoin(ctx, to)
	if r == nil {
		i.standby.demote(to)
	}
	if r != nil && !r.FromLeader && r.Leader != "" && r.Leader != to && r.Leader != i.o.Self.ID {
		r = i.sendJoin(ctx, r.Leader)
	}
	if r == nil || !r.FromLeader {
		return joinReply{}, false
	}
	return *r, true
}

func (i *Instance) sendJoin(ctx context.Context, to string) *joinReply {
	payload, err := cbor.Marshal(i.joinRequest())
	if err != nil {
		i.log.Error("a join request cannot be encoded", zap.Error(err))
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	answer, err := i.hub.Call(ctx, to, channelJoin, payload)
	if err != nil {
		// The hub counts the failure; the next round asks again.
		return nil
	}
	var r joinReply
	if err := cbor.Unmarshal(answer, &r); err != nil {
		i.log.Warn("an answer to an application cannot be read", zap.String("from", to), zap.Error(err))
		return nil
	}
	return &r
}

// others returns the ids of the known core instances: members, those heard from, and seeds.
func (i *Instance) others() []string {
	seen := map[string]bool{i.o.Self.ID: true}
	var out []string
	add := func(id string) {
		if !seen[id] {
			seen[id] = true
			out = append(out, id)
		}
	}
	for _, m := range i.node.Status().Core.Config.Members() {
		add(m.ID)
	}
	for _, c := range i.store.Cores(time.Now()) {
		add(c.ID)
	}
	for _, id := range i.o.Seeds {
		add(id)
	}
	return out
}

func (i *Instance) serveJoin(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var a joinRequest
	if err := cbor.Unmarshal(payload, &a); err != nil {
		return nil, err
	}
	return cbor.Marshal(i.answerJoin(a))
}

func (i *Instance) answerJoin(a joinRequest) joinReply {
	s := i.node.Status().Core
	if s.Role != replog.Leader {
		return joinReply{Leader: s.Leader.ID}
	}
	i.membersMu.Lock()
	defer i.membersMu.Unlock()
	request := admit.JoinRequest{Member: a.Member, Region: a.Region, Zone: a.Zone, Newcomer: a.Newcomer, At: time.Now()}
	i.members.RecordRequest(request)
	_, known := s.Config.Lookup(a.Member.ID)
	r := joinReply{Leader: i.o.Self.ID, FromLeader: true, Known: known, Settled: i.members.Settled(s, a.Member)}
	if i.members.Full(request.At, s, request) {
		r.Full, r.Members = true, i.liveMembers(s.Config)
	}
	return r
}

// liveMembers returns the members that were heard from lately.
func (i *Instance) liveMembers(c replog.Config) []feed.Core {
	return slices.DeleteFunc(i.store.Cores(time.Now()), func(core feed.Core) bool {
		_, in := c.Lookup(core.ID)
		return !in
	})
}

// changeGroup makes the next change that the group needs, if any.
func (i *Instance) changeGroup(ctx context.Context) {
	s := i.node.Status().Core
	now := time.Now()
	active := func(p replog.Peer) bool {
		return !p.Active.IsZero() && i.clock().Sub(p.Active) < electionTimeout
	}
	i.membersMu.Lock()
	change, ok := i.members.Next(now, s, active)
	i.membersMu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	err := i.node.ChangeConfig(ctx, change)
	i.log.Info("group changed", zap.Stringer("kind", change.Kind), zap.Stringer("member", change.Member), zap.Error(err))
}
