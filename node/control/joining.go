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
	// joinInterval is the time between two applications of a member, and between
	// two looks of the leader at its group.
	joinInterval = 300 * time.Millisecond
	// outsideInterval is the time between two applications of an instance for which
	// the group has no place: under the age at which an application is void, and 100
	// of them cost the leader 70 calls a second.
	outsideInterval = 1500 * time.Millisecond
	// joinTime bounds one application: two wide-area trips.
	joinTime = 500 * time.Millisecond
	// changeTime bounds one change of the group.
	changeTime = 2 * time.Second
)

// application asks the leader for membership.
type application struct {
	Member   replog.Member `cbor:"1,keyasint"`
	Zone     string        `cbor:"2,keyasint"`
	Newcomer bool          `cbor:"3,keyasint,omitempty"`
	Region   string        `cbor:"4,keyasint,omitempty"`
}

// reception answers an application.
type reception struct {
	// Leader is who leads, as far as the answering instance knows.
	Leader string `cbor:"1,keyasint,omitempty"`
	// Leads says that the answer comes from the leader itself.
	Leads bool `cbor:"2,keyasint,omitempty"`
	// Known says that the group held the id before the application; Settled that
	// the applicant is no newcomer any more.
	Known   bool `cbor:"3,keyasint,omitempty"`
	Settled bool `cbor:"4,keyasint,omitempty"`
	// Full says that the group has no place for the applicant now; Members are then
	// those that it passes on to what it is asked.
	Full    bool        `cbor:"5,keyasint,omitempty"`
	Members []feed.Core `cbor:"6,keyasint,omitempty"`
}

// runJoining applies for membership again and again, which also tells the leader
// the zones of its members, and changes the group while this instance leads.
func (i *Instance) runJoining(ctx context.Context) {
	asked, at := false, -1
	var notBefore time.Time
	duty.Every(ctx, joinInterval, func(time.Time) {
		at++
		if time.Now().Before(notBefore) {
			return
		}
		if i.node.Status().Core.Role == replog.Leader {
			i.serveApplication(i.application())
			i.changeGroup(ctx)
			return
		}
		r, ok := i.apply(ctx, at)
		if !ok {
			return
		}
		if i.outside.note(i.o.Self, &r) {
			i.log.Info("place in the group", zap.Bool("outside", r.Full), zap.Int("members", len(r.Members)))
		}
		if r.Full {
			notBefore = time.Now().Add(outsideInterval)
		}
		if r.Settled || r.Known && !asked {
			i.newcomer = false
		}
		asked = true
	})
}

func (i *Instance) application() application {
	return application{Member: i.node.Member(), Region: i.o.Self.Region, Zone: i.o.Self.Zone, Newcomer: i.newcomer}
}

// apply asks the leader, or another core instance for who leads.
func (i *Instance) apply(ctx context.Context, at int) (reception, bool) {
	to := cmp.Or(i.node.Status().Core.Leader.ID, i.outside.leaderID())
	if to == "" {
		others := i.others()
		if len(others) == 0 {
			return reception{}, false
		}
		to = others[at%len(others)]
	}
	r := i.ask(ctx, to)
	if r == nil {
		i.outside.lost(to)
	}
	if r != nil && !r.Leads && r.Leader != "" && r.Leader != to && r.Leader != i.o.Self.ID {
		r = i.ask(ctx, r.Leader)
	}
	if r == nil || !r.Leads {
		return reception{}, false
	}
	return *r, true
}

func (i *Instance) ask(ctx context.Context, to string) *reception {
	payload, err := cbor.Marshal(i.application())
	if err != nil {
		i.log.Error("an application cannot be written", zap.Error(err))
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, joinTime)
	defer cancel()
	answer, err := i.hub.Call(ctx, to, channelJoin, payload)
	if err != nil {
		// Counted by the hub; the next turn asks again.
		return nil
	}
	var r reception
	if err := cbor.Unmarshal(answer, &r); err != nil {
		i.log.Warn("an answer to an application cannot be read", zap.String("from", to), zap.Error(err))
		return nil
	}
	return &r
}

// others are the core instances known: members, those heard of, and seeds.
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
	for _, c := range i.board.Cores(time.Now()) {
		add(c.ID)
	}
	for _, id := range i.o.Seeds {
		add(id)
	}
	return out
}

func (i *Instance) serveJoin(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var a application
	if err := cbor.Unmarshal(payload, &a); err != nil {
		return nil, err
	}
	return cbor.Marshal(i.serveApplication(a))
}

func (i *Instance) serveApplication(a application) reception {
	s := i.node.Status().Core
	if s.Role != replog.Leader {
		return reception{Leader: s.Leader.ID}
	}
	i.membersMu.Lock()
	defer i.membersMu.Unlock()
	applicant := admit.JoinRequest{Member: a.Member, Region: a.Region, Zone: a.Zone, Newcomer: a.Newcomer, At: time.Now()}
	i.members.RecordRequest(applicant)
	_, known := s.Config.Lookup(a.Member.ID)
	r := reception{Leader: i.o.Self.ID, Leads: true, Known: known, Settled: i.members.Settled(s, a.Member)}
	if i.members.Full(applicant.At, s, applicant) {
		r.Full, r.Members = true, i.liveMembers(s.Config)
	}
	return r
}

// liveMembers are the members that were heard lately.
func (i *Instance) liveMembers(c replog.Config) []feed.Core {
	return slices.DeleteFunc(i.board.Cores(time.Now()), func(core feed.Core) bool {
		_, in := c.Lookup(core.ID)
		return !in
	})
}

// changeGroup makes the change that the group needs, if it needs one.
func (i *Instance) changeGroup(ctx context.Context) {
	s := i.node.Status().Core
	now := time.Now()
	active := func(p replog.Peer) bool {
		return !p.Active.IsZero() && i.clock().Sub(p.Active) < election
	}
	i.membersMu.Lock()
	change, ok := i.members.Next(now, s, active)
	i.membersMu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTime)
	defer cancel()
	err := i.node.ChangeConfig(ctx, change)
	i.log.Info("group changed", zap.Stringer("kind", change.Kind), zap.Stringer("member", change.Member), zap.Error(err))
}
