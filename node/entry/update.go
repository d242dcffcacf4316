package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/newest"
	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/node/control"
	"github.com/gullhaven/gullhaven/node/feed"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/route/pick"
)

// applyUpdate applies the answer of a core instance to a report. Neither the state of the log nor
// the list is replaced by an older one: the core instance may lag.
func (i *Instance) applyUpdate(from string, u *feed.Update, r feed.Report) {
	now := time.Now()
	i.mu.Lock()
	tellAll := i.suspects.update(from, u.Suspected, r.Brief)
	i.mu.Unlock()
	if tellAll {
		i.poisonRequests.reportAll()
	}
	// Removes from the reports what it has told itself.
	i.poisonRequests.mergeTold(u.Suspects)
	i.mu.Lock()
	defer i.mu.Unlock()
	k := &i.known
	if u.Head != nil {
		i.applyHead(now, from, u.Head)
	}
	if u.HasLeader && !u.Behind {
		k.confirmedAt = now
	}
	readAt := now.Add(-time.Duration(u.ListAgeMillis) * time.Millisecond)
	switch {
	case u.ListAgeMillis < 0 || !readAt.After(k.list.ReadAt):
	case len(u.List) > 0:
		i.applyList(u.List, now, readAt)
	case r.ListDigest == k.list.Digest:
		k.list.ReadAt = readAt
	}
	if u.CoresDigest != 0 && (u.HasLeader || len(k.cores) == 0) {
		k.cores, k.coresDigest = u.Cores, u.CoresDigest
	}
	if u.Entries != nil && !i.o.WeightedDirectory {
		for n := range u.Entries.Entries {
			u.Entries.Entries[n].Capacity = 0
		}
	}
	if u.Entries != nil && !k.entries.Apply(u.Entries) {
		// Two reports have overtaken each other: the next one asks for all.
		k.entries.Epoch, k.entries.At = 0, 0
	}
	if !r.Brief {
		k.regions = u.Regions
		// The answer to a report in which this instance was ready includes all instances that were.
		k.joined = k.joined || r.Self.Ready
	}
	if u.SameRegion {
		k.loads, k.partialLoads = u.Loads, r.PartialLoads
	}
	if !r.Brief {
		k.nextReportWait = waitAfter(u)
	}
	i.updateView(now)
}

// applyList applies an update of the list. An update based on another list than the one held is
// ignored, and the next report asks for it again.
func (i *Instance) applyList(data []byte, now, readAt time.Time) {
	var n feed.ListUpdate
	if err := cbor.Unmarshal(data, &n); err != nil {
		i.log.Warn("a list of targets cannot be read", zap.Error(err))
		return
	}
	if list, ok := i.known.list.Apply(&n, now, readAt); ok {
		i.poisonRequests.targetsListed(i.known.list.Targets, list.Targets)
		i.known.list = list
	}
}

// applyHead applies a state that a core instance has reported. Its evacuations take effect at once;
// its document must be requested.
func (i *Instance) applyHead(now time.Time, from string, h *newest.Head) {
	k := &i.known
	if k.head != nil && h.Index < k.head.Index {
		return
	}
	k.head, k.headAt = h, now
	if k.held != nil && k.held.Root == h.Root {
		k.held = h
		return
	}
	i.fetcher.handleAnnouncement(now, h, from)
}

// updateView builds the view from the known state.
func (i *Instance) updateView(now time.Time) {
	k := &i.known
	if k.index == nil || k.list.ReadAt.IsZero() {
		// Without a list it would accept requests and have no target for any.
		return
	}
	next := &exchange.View{
		Index: k.index, Regions: map[exchange.RegionService]pick.RegionLoad{}, EntryInstances: len(k.entries.Entries) + 1, TargetsReadAt: k.list.ReadAt,
	}
	next.OutdatedAt = k.outdatedAt()
	i.addRegions(next)
	for _, l := range k.listedVersions() {
		k.versions.record(now, l.service, l.version)
	}
	k.versions.observe(now, k.list.ReadAt)
	next.Versions, next.VersionsSince = k.versions.recent(now), k.versions.since
	if current := i.currentInputs(); i.lastView.inputs != current {
		i.lastView = lastView{inputs: current, peers: i.currentPeers()}
		snapshot := i.poolSnapshot(next.Index)
		i.pool.Update(now, snapshot)
		i.limits.SetView(next.Index, snapshot.Entries, next.EntryInstances)
	} else {
		i.pool.UpdateLoads(now, k.poolLoads())
	}
	i.pool.Listed(k.list.ReadAt, next.Versions)
	next.Peers = i.lastView.peers
	i.gateway.SetView(next)
}

// outdatedAt returns from when on a newer configuration may be in force at others: at once if its head is
// known, else when the last confirmation is too old.
func (k *knownState) outdatedAt() time.Time {
	if k.held.Root != k.head.Root {
		return k.headAt
	}
	return k.confirmedAt.Add(confirmedFor)
}

// serviceVersion is a software version of a service's targets.
type serviceVersion struct{ service, version string }

// listedVersions returns the software versions of the listed targets of the own region, found once for
// each list, and of the other regions.
func (k *knownState) listedVersions() []serviceVersion {
	if k.ownVersionsOf != k.list.Digest {
		seen := map[serviceVersion]bool{}
		for _, t := range k.list.Targets {
			seen[serviceVersion{t.Service, t.Software}] = true
		}
		k.ownVersions, k.ownVersionsOf = slices.Collect(maps.Keys(seen)), k.list.Digest
	}
	out := slices.Clone(k.ownVersions)
	for _, s := range k.regions {
		for version := range s.Software {
			out = append(out, serviceVersion{s.Service, version})
		}
	}
	return out
}

// lastView holds what the last view was built from.
type lastView struct {
	inputs viewInputs
	peers  []exchange.Peer
}

// viewInputs is all that a snapshot of the pool is built from except the loads.
//
// If each report built a snapshot, an instance with thousands of targets would go over all of them
// several times a second, although nothing has changed.
type viewInputs struct {
	index *routes.Index
	head  *newest.Head
	list  uint64
	// epoch and at are those of the entry instances.
	epoch, at                uint64
	ready, leaving, draining bool
	joined, partialLoads     bool
	propagationDelay         time.Duration
}

func (i *Instance) currentInputs() viewInputs {
	k := &i.known
	return viewInputs{
		index: k.index, head: k.head, list: k.list.Digest, epoch: k.entries.Epoch, at: k.entries.At,
		ready: i.Ready(), leaving: i.leaving(), draining: i.draining.Load(), joined: k.joined, partialLoads: k.partialLoads,
		propagationDelay: k.propagationDelay(),
	}
}

// currentPeers returns the entry instances of other regions that accept requests.
func (i *Instance) currentPeers() (out []exchange.Peer) {
	var accepting []feed.Entry
	for _, e := range i.known.entries.Entries {
		// A leaving one is excluded: its end would cut off requests forwarded to it, and the
		// caller's own instance may be leaving as well.
		if e.Ready && e.Region != i.o.Self.Region {
			accepting = append(accepting, e)
		}
	}
	capacities := feed.Capacities(accepting)
	for n, e := range accepting {
		p := exchange.Peer{Address: e.ID, Region: e.Region}
		if capacities != nil {
			p.Capacity = capacities[n]
		}
		out = append(out, p)
	}
	return out
}

// addRegions adds the summaries of the other regions to a view.
func (i *Instance) addRegions(v *exchange.View) {
	for _, s := range i.known.regions {
		if !s.Valid() {
			i.metrics.SummariesInvalid.Inc(1)
			continue
		}
		if s.LoadUnknown {
			i.metrics.SummariesUnknown.Inc(1)
		}
		key := exchange.RegionService{Region: s.Region, Service: s.Service}
		v.Regions[key] = pick.RegionLoad{Targets: s.Targets, Slots: s.Slots, Load: pick.Load{
			Running: s.Running, PendingPrefill: queueByRank(s.PendingPrefill), PrefillMillis: s.PrefillMillis,
		}, Prefill: pick.PrefillSums{Tokens: float64(s.PrefillSumTokens), Millis: float64(s.PrefillSumMillis)}, LoadUnknown: s.LoadUnknown, Software: s.Software}
	}
}

// acceptingEntries returns the entry instances of a region that accept requests: the ready ones,
// or, if it has none, those that are leaving and still accept all, so that these agree on the group
// owners.
func acceptingEntries(entries []feed.Entry, region string) []string {
	var ready, leaving []string
	for _, e := range entries {
		switch {
		case e.Region != region:
		case e.Ready:
			ready = append(ready, e.ID)
		case e.Leaving:
			leaving = append(leaving, e.ID)
		}
	}
	if len(ready) > 0 {
		return ready
	}
	return leaving
}

// queueByRank converts pending prefill tokens by rank; ranks above the highest known one count as
// that.
func queueByRank(byRank []int) pick.Queue {
	var q pick.Queue
	for rank, tokens := range byRank {
		q[min(rank, pick.Ranks-1)] += tokens
	}
	return q
}

// poolSnapshot returns what the pool needs to know.
func (i *Instance) poolSnapshot(index *routes.Index) pick.Snapshot {
	k := &i.known
	s := pick.Snapshot{Evacuated: map[string]bool{}, Loads: k.poolLoads(), PartialLoads: k.partialLoads, PropagationDelay: k.propagationDelay(), Rules: map[string]pick.ServiceRules{}}
	for _, zone := range k.head.Zones() {
		s.Evacuated[zone] = true
	}
	for _, t := range k.list.Targets {
		if t.Region != i.o.Self.Region {
			continue
		}
		s.Targets = append(s.Targets, pick.Target{
			ID: t.ID, Service: t.Service, Address: t.Address, Zone: t.Zone, Slots: t.Slots, Draining: t.Draining,
			ColdUntil: t.ColdUntil, ColdEpoch: t.ColdEpoch, StartMillis: t.StartMillis, Software: t.Software,
		})
	}
	self := i.o.Self
	// The first view makes it ready.
	self.Ready, self.Leaving = !i.draining.Load(), i.leaving()
	s.Joining = !k.joined
	s.Entries = acceptingEntries(append([]feed.Entry{self}, k.entries.Entries...), self.Region)
	for _, service := range index.Table.Services {
		rules := pick.ServiceRules{
			ColdFor: service.ColdFor, ColdPerSecond: service.ColdPerSecond, GapAim: index.GapAim(service.Name),
		}
		if service.Engine != nil {
			rules.Engine, rules.FetchPerKilo = true, service.Engine.FetchPerKilo
		}
		s.Rules[service.Name] = rules
	}
	return s
}

// propagationSlack is how much longer than its intervals an update may take, over a busy link and
// at instances that are short of processor time.
const propagationSlack = 300 * time.Millisecond

// propagationDelay is how long an update of an entry instance takes to reach the others: see
// pick.Snapshot.
func (k *knownState) propagationDelay() time.Duration {
	return 2*k.nextReportWait + control.GossipInterval + propagationSlack
}

// poolLoads returns the loads of the others in the form that the pool uses.
func (k *knownState) poolLoads() map[string]pick.Load {
	out := make(map[string]pick.Load, len(k.loads))
	for _, l := range k.loads {
		out[l.Target] = pick.Load{Running: l.Running, PendingPrefill: queueByRank(l.PendingPrefill), PrefillMillis: l.PrefillMillis}
	}
	return out
}
