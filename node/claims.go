package node

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/coord/membership"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/node/duty"
	"github.com/gullhaven/gullhaven/node/group"
	"github.com/gullhaven/gullhaven/node/members"
	"github.com/gullhaven/gullhaven/node/registered"
	"github.com/gullhaven/gullhaven/ports"
)

// proposeTimeout bounds a proposal that the region's leader makes on its own.
const proposeTimeout = time.Second

// claims proposes to the region groups that keep claims.
type claims struct {
	groups map[string]*group.Client
}

// Propose has a command committed in the home region's log.
func (c *claims) Propose(ctx context.Context, home string, cmd claim.Command) (claim.Result, error) {
	client := c.groups[home]
	if client == nil {
		return claim.Result{}, ports.ErrClaimNotSent
	}
	data, err := claim.Encode(cmd)
	if err != nil {
		return claim.Result{}, errors.Join(ports.ErrClaimNotSent, err)
	}
	result, err := client.Propose(ctx, data)
	if after, blocked := registered.Blocked(err); blocked {
		// This is an answer, not a failure: a retry within the request would not help.
		return claim.Result{Reply: claim.Blocked, RetryAfterMillis: after.Milliseconds()}, nil
	}
	var e *verdict.Error
	if errors.As(err, &e) && e.Verdict == verdict.NotRun {
		return claim.Result{}, errors.Join(ports.ErrClaimNotSent, err)
	}
	if err != nil {
		return claim.Result{}, err
	}
	return claim.DecodeResult(result)
}

// claimKeeper does the periodic work of the region group's leader on its claim table: it
// registers the group, advances the table's clock, and reports ended incarnations of instances.
type claimKeeper struct {
	local     *group.Member
	registrar *registered.Registrar
	log       *zap.Logger

	mu sync.Mutex
	// starts holds the newest known incarnation of each instance; lost holds the incarnations
	// before them that were not reported yet.
	starts map[string]uint64
	lost   map[string]uint64
}

func newClaimKeeper(local *group.Member, registrar *registered.Registrar, log *zap.Logger) *claimKeeper {
	return &claimKeeper{
		local: local, registrar: registrar, log: log,
		starts: map[string]uint64{}, lost: map[string]uint64{},
	}
}

// observe records a member's incarnation. An earlier one has ended once a later one is seen. A
// member that only seems dead is not reported: if it was cut off it still runs what it claimed,
// and would be refused every claim afterwards.
func (k *claimKeeper) observe(m membership.Member) {
	start := members.DecodeMeta(m).StartMillis
	if start == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if start <= k.starts[m.ID] {
		return
	}
	k.starts[m.ID] = start
	k.lost[m.ID] = start - 1
}

// run works while this instance leads, until ctx ends.
func (k *claimKeeper) run(ctx context.Context) {
	duty.Every(ctx, claim.ExpireInterval, func(time.Time) {
		if k.local.Node.LeaseUntil().IsZero() {
			return
		}
		k.registrar.Step(ctx)
		k.propose(ctx, claim.Command{Expire: &claim.Expire{}})
		k.proposeLost(ctx)
	})
}

// proposeLost proposes the ended incarnations; a failed proposal is retried in the next round.
func (k *claimKeeper) proposeLost(ctx context.Context) {
	k.mu.Lock()
	lost := maps.Clone(k.lost)
	k.mu.Unlock()
	for id, incarnation := range lost {
		instance := claim.Instance{ID: id, Incarnation: incarnation}
		if !k.propose(ctx, claim.Command{InstanceLost: &claim.InstanceLost{Instance: instance}}) {
			return
		}
		k.mu.Lock()
		if k.lost[id] == incarnation {
			delete(k.lost, id)
		}
		k.mu.Unlock()
	}
}

// propose commits a command of the leader's own and reports success.
func (k *claimKeeper) propose(ctx context.Context, c claim.Command) bool {
	c.Now = time.Now().UnixMilli()
	data, err := claim.Encode(c)
	if err != nil {
		k.log.Error("claim command can't be encoded", zap.Error(err))
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err = k.local.Node.Propose(ctx, data)
	return err == nil
}
