package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/membership"
	"github.com/gullhaven/gullhaven/ports"
)

const (
	// platformInterval is the time between two reads of the platform's list.
	platformInterval = time.Second
	// platformTimeout bounds one read.
	platformTimeout = 800 * time.Millisecond
)

// platform reads the platform's list of live and leaving instances. The list lags, so it is
// only a hint: it names candidates to probe and instances that are leaving, and never declares
// an instance dead.
type platform struct {
	node *Node
	list ports.InstanceList
	// failing says that the last read failed, so that only changes are logged.
	failing bool
}

// run reads until ctx ends.
func (p *platform) run(ctx context.Context) {
	tick := time.NewTicker(platformInterval)
	defer tick.Stop()
	for {
		p.read(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (p *platform) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	snapshot, err := p.list.Instances(ctx)
	if failing := err != nil; failing != p.failing {
		p.failing = failing
		p.node.log.Info("list of instances changed state", zap.Bool("failing", failing), zap.Error(err))
	}
	if err == nil {
		p.publish(snapshot.Instances)
	}
}

// publish passes on what the list says of members of the region and of targets, which are known
// by their addresses.
func (p *platform) publish(list []ports.Instance) {
	var hints []membership.Hint
	leaving := map[string]bool{}
	for _, i := range list {
		isLeaving := i.State == ports.InstanceLeaving
		if i.Region == p.node.s.Region {
			hints = append(hints, membership.Hint{ID: i.ID, Leaving: isLeaving})
		}
		if isLeaving {
			leaving[i.Address] = true
		}
	}
	p.node.members.Hint(hints)
	p.node.loads.SetLeaving(p.targetsAt(leaving))
}

// targetsAt returns the ids of the targets of the bundle in force at some addresses.
func (p *platform) targetsAt(addresses map[string]bool) []string {
	v := p.node.bundleView()
	if v == nil {
		return nil
	}
	var ids []string
	for _, t := range v.Bundle.Targets {
		if addresses[t.Address] {
			ids = append(ids, t.ID)
		}
	}
	return ids
}
