// Package node assembles one instance of gullhaven: the request path, the links
// to other instances, the replicated groups that it is a member of, and the
// duties that keep its view of the system up to date.
//
// Each duty is a goroutine with a bounded ring before it; what they share is
// published through the request path's View and Routing.
package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/bundle/spread"
	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/coord/keys"
	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/coord/membership"
	"github.com/gullhaven/gullhaven/coord/roster"
	"github.com/gullhaven/gullhaven/metrics"
	"github.com/gullhaven/gullhaven/node/group"
	"github.com/gullhaven/gullhaven/node/limits"
	"github.com/gullhaven/gullhaven/node/loads"
	"github.com/gullhaven/gullhaven/node/members"
	"github.com/gullhaven/gullhaven/node/regions"
	"github.com/gullhaven/gullhaven/node/rollout"
	"github.com/gullhaven/gullhaven/node/suspects"
	"github.com/gullhaven/gullhaven/pipeline"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/ports/enginehttp"
	"github.com/gullhaven/gullhaven/ports/plainhttp"
	"github.com/gullhaven/gullhaven/ports/sending"
	"github.com/gullhaven/gullhaven/route"
	"github.com/gullhaven/gullhaven/settings"
)

const (
	// globalGroup is the name of the group that accepts bundles.
	globalGroup = "global"
	// Times of the global group, whose members are regions apart: the round
	// trip between two of them is about 160 ms.
	globalHeartbeat = 200 * time.Millisecond
	globalElection  = 1500 * time.Millisecond
	// maxLinkMessage bounds a message: a whole bundle of 10,000 workspaces.
	maxLinkMessage = 8 << 20
	// peersInterval is how often the view of peers is handed to the spreader.
	peersInterval = time.Second
	// drainInterval is the time between two looks at the work in progress.
	drainInterval = 20 * time.Millisecond
	// leaveTime bounds the farewell to the other members.
	leaveTime = 200 * time.Millisecond
)

// Options of a Node.
type Options struct {
	Settings *settings.Settings
	Key      *keys.Key
	Log      *zap.Logger
	// DrainTime bounds the wait for requests in progress at Stop; default 60 s.
	DrainTime time.Duration
	// Allow, if set, cuts the links to peers for which it is false.
	Allow func(peer string) bool
}

// Node is one instance.
type Node struct {
	o       Options
	s       *settings.Settings
	log     *zap.Logger
	started time.Time
	metrics *metrics.Set
	burn    *metrics.Burn

	hub       *link.Hub
	members   *members.Service
	spreader  *rollout.Spreader
	regions   *regions.Service
	loads     *loads.Service
	limits    *limits.Service
	suspects  *suspects.Service
	engines   ports.Engines
	pipeline  *pipeline.Pipeline
	forward   *forwarder
	keeper    *keeper
	global    *group.Client
	claims    *claims
	directory *directory

	servers  []*server
	draining chan struct{}
	wg       sync.WaitGroup
	cancel   context.CancelFunc
}

// New assembles an instance without starting it, but for its replicated groups,
// which recover their logs. The error is of settings, disks or addresses.
func New(o Options) (*Node, error) {
	if o.DrainTime <= 0 {
		o.DrainTime = time.Minute
	}
	n := &Node{
		o: o, s: o.Settings, log: o.Log, started: time.Now(),
		metrics: metrics.NewSet(), burn: metrics.NewBurn(), draining: make(chan struct{}),
	}
	hub, err := link.New(link.Options{
		Key:        o.Key,
		Address:    n.address,
		Urgent:     []string{members.Channel, group.MessageChannel(globalGroup), group.MessageChannel(regionGroup(n.s.Region))},
		MaxMessage: maxLinkMessage,
		Rand:       newRand(),
		Allow:      o.Allow,
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

// assemble makes the parts in the order of their needs.
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
	transports := sending.NewTransports(sending.Options{})
	n.engines = enginehttp.NewSet(transports)
	n.forward = newForwarder(n.o.Key, n.entriesOf)
	n.directory = &directory{region: n.s.Region, view: n.view, others: n.otherEntries}
	n.limits = limits.New(limits.Options{
		Self: n.s.Instance, Life: n.lifeOf, Hub: n.hub, View: n.bundleView, Log: n.log,
	})
	holder := &lateHolder{}
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
		Address: n.s.Advertise.Instances, Callers: n.s.Advertise.Callers,
	}
	n.regions = regions.New(regions.Options{
		Self: self, Seeds: n.contacts(), Hub: n.hub, Routing: n.pipeline.Routing(), Log: n.log, OnChange: n.setLinks,
	})
	return n.openMembers()
}

// lateHolder passes on to the routing that is made after it.
type lateHolder struct{ routing *pipeline.Routing }

// SetReserved replaces the targets kept free for lone runs.
func (h *lateHolder) SetReserved(targets []route.TargetID) { h.routing.SetReserved(targets) }

func (n *Node) pathDeps(plains ports.Plains) pipeline.Deps {
	cfg := route.Config{Region: n.s.Region, Zone: n.s.Zone}
	return pipeline.Deps{
		Instance:  claim.Instance{ID: n.s.Instance, Incarnation: n.life()},
		Region:    n.s.Region,
		Zone:      n.s.Zone,
		Decider:   route.New(cfg, newRand()),
		Engines:   n.engines,
		Plains:    plains,
		Forwarder: n.forward,
		Claims:    n.claims,
		Limits:    n.limits,
		Suspects:  n.suspects,
		Lone:      n.suspects,
		Burn:      n.burn,
		Directory: n.directory,
		Metrics:   n.metrics,
		Log:       n.log,
	}
}

// life names this start of the instance.
func (n *Node) life() uint64 { return uint64(n.started.UnixMilli()) }

// lifeOf names the start of any instance of the region.
func (n *Node) lifeOf(id string) string {
	if id == n.s.Instance {
		return fmt.Sprint(id, "/", n.life())
	}
	m, _ := n.view().Find(id)
	return fmt.Sprint(id, "/", members.DecodeMeta(m.Member).Start)
}

// bundleView is the bundle in force; nil before the first.
func (n *Node) bundleView() *pipeline.View { return n.pipeline.View() }

func regionGroup(region string) string { return "region-" + region }

// openGroups opens the groups that this instance is a voter of and makes
// clients of all.
func (n *Node) openGroups() error {
	machine := rollout.NewMachine(n.s.Bootstrap.Trust(), n.spreader.Accepted)
	voters := n.votersOf("")
	local, err := n.openGroup(voters, group.Options{
		Name: globalGroup, StateMachine: machine, Prepare: machine.Prepare,
		HeartbeatInterval: globalHeartbeat, ElectionTimeout: globalElection,
	})
	if err != nil {
		return err
	}
	n.global = group.NewClient(globalGroup, voters, n.hub, local)
	n.claims = &claims{groups: map[string]*group.Client{}}
	for _, region := range n.votersRegions() {
		if err := n.openRegionGroup(region); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) openRegionGroup(region string) error {
	voters := n.votersOf(region)
	name := regionGroup(region)
	local, err := n.openGroup(voters, group.Options{Name: name, StateMachine: claim.NewTable()})
	if err != nil {
		return err
	}
	n.claims.groups[region] = group.NewClient(name, voters, n.hub, local)
	if local != nil {
		n.keeper = newKeeper(local, n.log)
	}
	return nil
}

// openGroup opens this instance's member of a group; nil if it is none.
func (n *Node) openGroup(voters []string, o group.Options) (*group.Member, error) {
	if !n.s.Voter || !slices.Contains(voters, n.s.Instance) {
		return nil, nil
	}
	o.Self, o.Members, o.Hub = n.s.Instance, voters, n.hub
	o.Dir = filepath.Join(n.s.DataDir, o.Name)
	return group.Open(o)
}

// votersOf are the ids of the voters of a region; of all if it is empty.
func (n *Node) votersOf(region string) []string {
	var ids []string
	for _, v := range n.s.Voters {
		if region == "" || v.Region == region {
			ids = append(ids, v.ID)
		}
	}
	return ids
}

func (n *Node) votersRegions() []string {
	var ids []string
	for _, v := range n.s.Voters {
		if !slices.Contains(ids, v.Region) {
			ids = append(ids, v.Region)
		}
	}
	return ids
}

func (n *Node) isVoter(id string) bool { return slices.Contains(n.votersOf(""), id) }

func (n *Node) openMembers() error {
	meta, err := members.Meta{Callers: n.s.Advertise.Callers, Start: n.life()}.Encode()
	if err != nil {
		return err
	}
	n.members, err = members.New(members.Options{
		Self: membership.Member{
			ID: n.s.Instance, Region: n.s.Region, Zone: n.s.Zone, Address: n.s.Advertise.Instances,
			Incarnation: n.life(), Meta: meta,
		},
		Seeds:   n.regionSeeds(),
		Hub:     n.hub,
		Rand:    newRand(),
		Log:     n.log,
		OnEvent: n.onMember,
		OnView:  n.onView,
	})
	return err
}

// regionSeeds are the other instances of the own region named in the settings.
func (n *Node) regionSeeds() []string {
	var ids []string
	for _, p := range n.peers() {
		if p.Region == n.s.Region {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// peers are the other instances named in the settings, each once.
func (n *Node) peers() []settings.Peer {
	var peers []settings.Peer
	for _, p := range slices.Concat(n.s.Seeds, n.s.Voters) {
		known := func(o settings.Peer) bool { return o.ID == p.ID }
		if p.ID != n.s.Instance && !slices.ContainsFunc(peers, known) {
			peers = append(peers, p)
		}
	}
	return peers
}

func (n *Node) contacts() []roster.Contact {
	var contacts []roster.Contact
	for _, p := range n.peers() {
		contacts = append(contacts, roster.Contact{ID: p.ID, Region: p.Region, Zone: p.Zone, Address: p.Address})
	}
	return contacts
}

// address finds where an instance listens for links: as a member of the region
// says, as another region's roster says, or as the settings say.
func (n *Node) address(id string) (string, bool) {
	if n.members != nil {
		if m, ok := n.members.View().Find(id); ok && m.Address != "" {
			return m.Address, true
		}
	}
	if n.regions != nil {
		if a, ok := n.regions.Address(id); ok {
			return a, true
		}
	}
	for _, p := range n.peers() {
		if p.ID == id {
			return p.Address, true
		}
	}
	return "", false
}

func (n *Node) view() *members.View { return n.members.View() }

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// install puts a bundle in force at this instance.
func (n *Node) install(s *bundle.Signed, id bundle.Identity) {
	v := pipeline.NewView(&s.Bundle, id.Digest, n.s.Region)
	n.pipeline.SetView(v)
	n.loads.SetTargets(v.TargetSpecs(), enginesOf(v))
	n.setLinks()
}

// enginesOf are the targets of the region that report load.
func enginesOf(v *pipeline.View) []loads.Target {
	var engines []loads.Target
	for _, t := range v.Bundle.Targets {
		service := v.Service(t.Service)
		if t.Region == v.Region && service != nil && service.Kind == bundle.KindModel {
			engines = append(engines, loads.Target{ID: t.ID, Address: t.Address})
		}
	}
	return engines
}

// setLinks tells routing which neighbours there are and which can be reached.
func (n *Node) setLinks() {
	v := n.pipeline.View()
	if v == nil {
		return
	}
	links := v.Links(n.regions.Reachable)
	n.pipeline.Routing().SetLinks(links)
	var ids []string
	for _, l := range links {
		ids = append(ids, l.Region)
	}
	n.regions.SetNeighbours(ids)
}

func (n *Node) onMember(e membership.Event) {
	if n.keeper != nil && e.State == membership.Alive {
		n.keeper.observe(e.Member)
	}
	if e.State == membership.Alive {
		n.suspects.Joined(e.Member.ID)
	}
}

// onView hands a new view of the region to those who act on it.
func (n *Node) onView(v *members.View) {
	if n.regions == nil || n.loads == nil {
		return
	}
	var own roster.Own
	var ids []string
	for _, m := range v.Alive() {
		c := contactOf(m)
		own.Members = append(own.Members, c)
		ids = append(ids, m.ID)
	}
	for _, id := range v.Relays {
		if m, ok := v.Find(id); ok {
			own.Relays = append(own.Relays, contactOf(m))
		}
	}
	n.regions.SetOwn(own)
	n.loads.SetMembers(ids)
	n.limits.SetMembers(ids, v.Relays[0])
}

func contactOf(m membership.View) roster.Contact {
	return roster.Contact{
		ID: m.ID, Region: m.Region, Zone: m.Zone, Address: m.Address, Callers: members.DecodeMeta(m.Member).Callers,
	}
}

// tellPeers hands the view of all regions to the spreader until ctx ends.
func (n *Node) tellPeers(ctx context.Context) {
	tick := time.NewTicker(peersInterval)
	defer tick.Stop()
	for {
		n.spreader.SetPeers(n.spreadPeers())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// spreadPeers are the members of the region, and the relays and voters of others.
func (n *Node) spreadPeers() []spread.Peer {
	v := n.view()
	var peers []spread.Peer
	for _, m := range v.Alive() {
		peers = append(peers, spread.Peer{ID: m.ID, Region: m.Region, Relay: v.IsRelay(m.ID), Voter: n.isVoter(m.ID)})
	}
	for _, r := range n.regions.Rosters() {
		for _, c := range r.Relays {
			peers = append(peers, spread.Peer{ID: c.ID, Region: c.Region, Relay: true, Voter: n.isVoter(c.ID)})
		}
	}
	for _, p := range n.s.Voters {
		known := func(o spread.Peer) bool { return o.ID == p.ID }
		if p.Region != n.s.Region && !slices.ContainsFunc(peers, known) {
			peers = append(peers, spread.Peer{ID: p.ID, Region: p.Region, Voter: true})
		}
	}
	return peers
}

// entriesOf are the other instances of a region that requests can be passed on to.
func (n *Node) entriesOf(region string) []roster.Contact {
	if region == n.s.Region {
		var contacts []roster.Contact
		for _, m := range n.view().Alive() {
			if m.ID != n.s.Instance {
				contacts = append(contacts, contactOf(m))
			}
		}
		return contacts
	}
	for _, r := range n.regions.Rosters() {
		if r.Region == region {
			return slices.Clone(r.Entries)
		}
	}
	return nil
}

// otherEntries are the instances of other regions, for the directory.
func (n *Node) otherEntries() []ports.DirectoryEntry {
	var entries []ports.DirectoryEntry
	for _, r := range n.regions.Rosters() {
		for _, c := range r.Entries {
			if c.Callers != "" {
				entries = append(entries, entryOf(c.ID, c.Callers, c.Region, c.Zone))
			}
		}
	}
	return entries
}

// Roll hands a signed bundle to the leader of the global group and returns its
// answer, a bundle.Result in JSON. The same bytes may always be sent again.
func (n *Node) Roll(ctx context.Context, signed []byte) ([]byte, error) {
	return n.global.Propose(ctx, signed)
}

// Ready says why the instance takes no requests; nil means that it does.
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

// Start listens and starts the duties. The error is of an address.
func (n *Node) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	if err := n.listen(); err != nil {
		cancel()
		return err
	}
	duties := []func(context.Context){
		n.members.Run, n.spreader.Run, n.regions.Run, n.loads.Run, n.limits.Run, n.suspects.Run, n.pipeline.Run, n.tellPeers,
	}
	if n.keeper != nil {
		duties = append(duties, n.keeper.run)
	}
	for _, duty := range duties {
		n.wg.Go(func() { duty(ctx) })
	}
	return nil
}

// Stop leaves gracefully: the others stop naming this instance to callers, new
// requests are refused, and those in progress end, within DrainTime. It returns
// how many were cut off.
func (n *Node) Stop() int64 {
	close(n.draining)
	leaving, done := context.WithTimeout(context.Background(), leaveTime)
	n.members.Leave(leaving)
	done()
	n.drain()
	cut := n.pipeline.InFlight()
	n.cancel()
	n.wg.Wait()
	n.close()
	return cut
}

// drain waits for the requests in progress.
func (n *Node) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), n.o.DrainTime)
	defer cancel()
	for _, s := range n.servers {
		s.shutdown(ctx)
	}
	n.drainDetached(ctx)
}

// drainDetached waits for work that goes on without its caller: what runs at
// most once is not cancelled when the caller leaves, and its end must be
// recorded.
func (n *Node) drainDetached(ctx context.Context) {
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	for n.pipeline.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// close ends what New opened.
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

func (n *Node) stopMember(m *group.Member) {
	if err := m.Stop(); err != nil {
		n.log.Error("replicated log ended with an error", zap.Error(err))
	}
}

// regionView is the region as lone runs see it.
type regionView struct{ n *Node }

// Others are the live instances of the region but this one.
func (r regionView) Others() []string {
	var ids []string
	for _, m := range r.n.view().Alive() {
		if m.ID != r.n.s.Instance {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Owner owns the lone runs of the region.
func (r regionView) Owner() string { return r.n.view().Relays[0] }

// Life numbers the lives of a target.
func (r regionView) Life(target string) uint64 {
	seen, _ := r.n.loads.Seen(target)
	return seen.Life
}

// Candidates are the warm targets of a service, least loaded first.
func (r regionView) Candidates(service string) []string {
	var ids []string
	load := map[string]int{}
	for _, spec := range r.n.loads.States() {
		if spec.Service != service || spec.State != route.Warm {
			continue
		}
		seen, _ := r.n.loads.Seen(string(spec.ID))
		ids = append(ids, string(spec.ID))
		load[string(spec.ID)] = seen.Running + seen.Waiting
	}
	slices.SortStableFunc(ids, func(x, y string) int { return cmp.Compare(load[x], load[y]) })
	return ids
}

// Idle asks an engine whether it runs nothing. A plain service can't tell; it
// counts as idle, so that a suspect runs there with what came before it.
func (r regionView) Idle(ctx context.Context, target string) bool {
	v := r.n.bundleView()
	t := v.Target(route.TargetID(target))
	if t == nil {
		return false
	}
	if s := v.Service(t.Service); s == nil || s.Kind != bundle.KindModel {
		return true
	}
	report, err := r.n.engines.Engine(t.Address).Load(ctx)
	return err == nil && report.Running == 0 && report.Waiting == 0
}
