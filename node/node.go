// Package node assembles one instance of gullhaven: the request path, the links to other
// instances, the replicated groups of which it is a member, and the background work that keeps
// its view of the system up to date.
//
// Each piece of background work runs on its own goroutine, fed by a bounded ring. What they
// share is published through the request path's View and Routing.
package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/spread"
	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/coord/keys"
	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/coord/memory"
	"github.com/gullhaven/gullhaven/coord/roster"
	"github.com/gullhaven/gullhaven/metrics"
	"github.com/gullhaven/gullhaven/metrics/served"
	"github.com/gullhaven/gullhaven/node/group"
	"github.com/gullhaven/gullhaven/node/intake"
	"github.com/gullhaven/gullhaven/node/limits"
	"github.com/gullhaven/gullhaven/node/loads"
	"github.com/gullhaven/gullhaven/node/members"
	"github.com/gullhaven/gullhaven/node/placing"
	"github.com/gullhaven/gullhaven/node/regions"
	"github.com/gullhaven/gullhaven/node/registered"
	"github.com/gullhaven/gullhaven/node/rollout"
	"github.com/gullhaven/gullhaven/node/suspects"
	"github.com/gullhaven/gullhaven/pipeline"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/ports/enginehttp"
	"github.com/gullhaven/gullhaven/ports/plainhttp"
	"github.com/gullhaven/gullhaven/ports/platformhttp"
	"github.com/gullhaven/gullhaven/ports/transport"
	"github.com/gullhaven/gullhaven/route"
	"github.com/gullhaven/gullhaven/settings"
)

const (
	// globalGroup is the name of the group that accepts bundles.
	globalGroup = "global"
	// Times of the global group. Its members are in different regions, with a round trip of
	// about 160 ms between two of them.
	globalHeartbeat = 200 * time.Millisecond
	globalElection  = 1500 * time.Millisecond
	// maxBundleEntry bounds a bundle in the log, in bytes: the first one is whole, 2.3 MB with
	// 10,000 workspaces.
	maxBundleEntry = 8 << 20
	// maxLinkMessage bounds a message, in bytes. The longest are a signed bundle in JSON on its
	// way to the leader, and the snapshot of a full claim table, 26 MB.
	maxLinkMessage = 64 << 20
	// peersInterval is how often the view of peers is passed to the spreader.
	peersInterval = time.Second
	// drainInterval is the time between two checks of the requests in progress.
	drainInterval = 20 * time.Millisecond
	// leaveTimeout bounds the announcement to the other members that this instance leaves.
	leaveTimeout = 200 * time.Millisecond
)

// Options of a Node.
type Options struct {
	Settings *settings.Settings
	Key      *keys.Key
	Log      *zap.Logger
	// DrainTime bounds the wait for requests in progress at Stop; default 60 s.
	DrainTime time.Duration
	// AllowPeer, if set, blocks the peers for which it returns false, as a partition does.
	AllowPeer func(peer string) bool
}

// Node is one instance.
type Node struct {
	o       Options
	s       *settings.Settings
	log     *zap.Logger
	started time.Time
	metrics *metrics.Set
	served  *served.Table
	history *history
	// memory bounds what the requests of callers and operators hold together.
	memory *memory.Budget

	hub         *link.Hub
	members     *members.Service
	spreader    *rollout.Spreader
	regions     *regions.Service
	loads       *loads.Service
	limits      *limits.Service
	suspects    *suspects.Service
	engines     ports.Engines
	pipeline    *pipeline.Pipeline
	forward     *forwarder
	claimKeeper *claimKeeper
	placing     *placing.Service
	// claimTable is the state machine of the region group; nil at instances that aren't voters
	// of it.
	claimTable *registered.Table
	global     *group.Client
	claims     *claims
	directory  *directory
	platform   *platform

	// serversMu guards appending to servers.
	serversMu sync.Mutex
	servers   []*server
	draining  chan struct{}
	wg        sync.WaitGroup
	cancel    context.CancelFunc
}

// New assembles an instance without starting it, except that its replicated groups recover
// their logs and start. The error is about settings, disks or addresses.
func New(o Options) (*Node, error) {
	if o.DrainTime <= 0 {
		o.DrainTime = time.Minute
	}
	n := &Node{
		o: o, s: o.Settings, log: o.Log, started: time.Now(),
		metrics: metrics.NewSet(), served: served.NewTable(time.Now()), draining: make(chan struct{}),
		memory: memory.New(memory.Limit(o.Settings.MemoryMB)),
	}
	hub, err := link.New(link.Options{
		Key:            o.Key,
		Address:        n.address,
		UrgentChannels: []string{members.Channel, group.MessageChannel(globalGroup), group.MessageChannel(regionGroup(n.s.Region))},
		MaxMessage:     maxLinkMessage,
		Rand:           newRand(),
		AllowPeer:      o.AllowPeer,
	})
	if err != nil {
		return nil, err
	}
	n.hub = hub
	if err := n.assemble(); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

// assemble creates the parts in the order of their dependencies.
func (n *Node) assemble() error {
	n.spreader = rollout.NewSpreader(rollout.Options{
		Self:        spread.Peer{ID: n.s.Instance, Region: n.s.Region, Voter: n.isVoter(n.s.Instance)},
		Hub:         n.hub,
		Rand:        newRand(),
		Log:         n.log,
		OnInstalled: n.install,
	})
	if err := n.openGroups(); err != nil {
		return err
	}
	transports := transport.NewTransports(transport.Options{})
	n.engines = enginehttp.NewSet(transports)
	if a := n.s.Platform.InstanceList; a != "" {
		n.platform = &platform{node: n, list: platformhttp.NewInstanceList(a, transports)}
	}
	n.forward = newForwarder(n.o.Key, n.entriesOf)
	n.directory = &directory{region: n.s.Region, view: n.view, others: n.otherEntries}
	n.limits = limits.New(limits.Options{
		Self: n.s.Instance, Life: n.incarnationOf, Hub: n.hub, View: n.bundleView, Log: n.log,
	})
	n.history = newHistory(n)
	holder := &deferredHolder{}
	n.suspects = suspects.New(suspects.Options{
		Self: n.s.Instance, Hub: n.hub, Region: regionView{n}, Holder: holder, Log: n.log,
	})
	n.pipeline = pipeline.New(n.pathDeps(plainhttp.NewSet(transports)))
	holder.routing = n.pipeline.Routing()
	n.loads = loads.New(loads.Options{
		Self: n.s.Instance, Hub: n.hub, Engines: n.engines, Sink: n.pipeline.Routing(), Log: n.log,
	})
	self := roster.Contact{
		ID: n.s.Instance, Region: n.s.Region, Zone: n.s.Zone,
		Address: n.s.Advertise.Instances, CallerAddress: n.s.Advertise.Callers,
	}
	n.regions = regions.New(regions.Options{
		Self: self, Seeds: n.contacts(), Hub: n.hub, Routing: n.pipeline.Routing(), Log: n.log, OnChange: n.setLinks,
	})
	n.openPlacing()
	n.hub.Serve(channelRegions, maxStatusCalls, n.serveRegions)
	n.hub.Serve(channelVoters, maxStatusCalls, n.serveVoters)
	n.metrics.RegisterControl(n.control)
	n.metrics.RegisterIntake(n.intake)
	return n.openMembers()
}

func (n *Node) pathDeps(plains ports.Plains) pipeline.Deps {
	cfg := route.Config{Region: n.s.Region, Zone: n.s.Zone}
	return pipeline.Deps{
		Instance:  claim.Instance{ID: n.s.Instance, Incarnation: n.incarnation()},
		Region:    n.s.Region,
		Zone:      n.s.Zone,
		Decider:   route.New(cfg, newRand()),
		Engines:   n.engines,
		Plains:    plains,
		Forwarder: n.forward,
		Claims:    n.claims,
		Limits:    n.limits,
		Suspects:  n.suspects,
		LoneRuns:  n.suspects,
		Observer:  n.history.observer(n.served),
		Directory: n.directory,
		Metrics:   n.metrics,
		Log:       n.log,
		Bounds:    pipeline.Bounds{MaxAnswerBytes: memory.Limit(n.s.MemoryMB)},
	}
}

// incarnation identifies this start of the instance.
func (n *Node) incarnation() uint64 { return uint64(n.started.UnixMilli()) }

// incarnationOf identifies the current start of any instance of the region.
func (n *Node) incarnationOf(id string) string {
	if id == n.s.Instance {
		return fmt.Sprint(id, "/", n.incarnation())
	}
	m, _ := n.view().Find(id)
	return fmt.Sprint(id, "/", members.DecodeMeta(m.Member).StartMillis)
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Roll sends a signed bundle to the leader of the global group and returns the leader's answer,
// a bundle.Result in JSON. The same bytes may always be sent again.
func (n *Node) Roll(ctx context.Context, signed []byte) ([]byte, error) {
	return n.global.Propose(ctx, signed)
}

// Ready returns why the instance takes no requests; nil if it takes them.
func (n *Node) Ready() error {
	select {
	case <-n.draining:
		return errors.New("the instance is leaving")
	default:
	}
	if n.pipeline.View() == nil {
		return errors.New("no bundle is in force yet")
	}
	return nil
}

// Start opens the interfaces and starts the background work. The error is about an address.
func (n *Node) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	if err := n.listen(); err != nil {
		cancel()
		return err
	}
	loops := []func(context.Context){
		n.members.Run, n.spreader.Run, n.regions.Run, n.loads.Run, n.limits.Run, n.suspects.Run, n.history.run, n.pipeline.Run, n.publishPeers,
		func(ctx context.Context) { intake.Watch(ctx, n.log, n.intake) },
	}
	if n.claimKeeper != nil {
		loops = append(loops, n.claimKeeper.run)
	}
	if n.placing != nil {
		loops = append(loops, n.placing.Run)
	}
	if n.platform != nil {
		loops = append(loops, n.platform.run)
	}
	for _, run := range loops {
		n.wg.Go(func() { run(ctx) })
	}
	return nil
}

// Stop leaves gracefully: the others stop naming this instance to callers, new requests are
// refused, and those in progress get DrainTime to end. It returns how many were interrupted.
func (n *Node) Stop() int64 {
	close(n.draining)
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	n.members.Leave(ctx)
	cancel()
	n.drain()
	interrupted := n.pipeline.InFlight()
	n.cancel()
	n.wg.Wait()
	n.close()
	return interrupted
}

// drain waits for the requests in progress, up to DrainTime.
func (n *Node) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), n.o.DrainTime)
	defer cancel()
	for _, s := range n.servers {
		s.shutdown(ctx)
	}
	n.drainDetached(ctx)
}

// drainDetached waits for requests that outlive their callers: one that runs at most once is
// not cancelled when its caller leaves, and its end must be recorded. That comes after it is in flight.
func (n *Node) drainDetached(ctx context.Context) {
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	for n.pipeline.InFlight() > 0 || n.pipeline.Unrecorded() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// close closes what New opened.
func (n *Node) close() {
	for _, s := range n.servers {
		_ = s.http.Close()
	}
	if n.global != nil && n.global.Local() != nil {
		n.stopMember(n.global.Local())
	}
	if n.claims != nil {
		for _, c := range n.claims.groups {
			if c.Local() != nil {
				n.stopMember(c.Local())
			}
		}
	}
	if n.forward != nil {
		n.forward.Close()
	}
	n.hub.Close()
}
