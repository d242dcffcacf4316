package entry

import (
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

// learn takes in the answer of a core instance to a report. Neither the state of the log
// nor the list goes back: the core instance may lag.
func (i *Instance) learn(from string, u *feed.Update, r feed.Report) {
	now := time.Now()
	i.killers.learn(u.Suspects)
	i.mu.Lock()
	defer i.mu.Unlock()
	k := &i.known
	if u.Head != nil {
		i.learnHead(now, from, u.Head)
	}
	readAt := now.Add(-time.Duration(u.ListAgeMillis) * time.Millisecond)
	switch {
	case u.ListAgeMillis < 0 || !readAt.After(k.list.ReadAt):
	case len(u.List) > 0:
		i.learnList(u.List, now, readAt)
	case r.Digest == k.list.Digest:
		k.list.ReadAt = readAt
	}
	if u.CoresDigest != 0 && (u.Led || len(k.cores) == 0) {
		k.cores, k.coresDigest = u.Cores, u.CoresDigest
	}
	if u.Entries != nil && !k.entries.Apply(u.Entries) {
		// Two reports have overtaken each other: the next one asks for all.
		k.entries.Epoch, k.entries.At = 0, 0
	}
	if !r.Brief {
		k.regions = u.Regions
		// The answer to a report that called this instance ready tells of all that were.
		k.joined = k.joined || r.Self.Ready
	}
	if u.Near {
		k.loads, k.partial = u.Loads, r.Part
	}
	if !r.Brief {
		k.wait = nextWait(u)
	}
	i.show(now)
}

// learnList takes in news of the list; those about another list than the one held are
// asked for anew.
func (i *Instance) learnList(data []byte, now, readAt time.Time) {
	var n feed.ListNews
	if err := cbor.Unmarshal(data, &n); err != nil {
		i.log.Warn("a list of targets cannot be read", zap.Error(err))
		return
	}
	if list, ok := i.known.list.Apply(&n, now, readAt); ok {
		i.known.list = list
	}
}

// learnHead takes in a state that a core instance tells of. Its evacuations hold at once,
// its document has to be asked for.
func (i *Instance) learnHead(now time.Time, from string, h *newest.Head) {
	k := &i.known
	if k.head != nil && h.Index < k.head.Index {
		return
	}
	k.head = h
	if k.held != nil && k.held.Root == h.Root {
		k.held = h
		return
	}
	i.fetcher.want(now, h, from)
}

// show makes the view of what is known.
func (i *Instance) show(now time.Time) {
	k := &i.known
	if k.index == nil || k.list.ReadAt.IsZero() {
		// Without a list it would take requests and have no target for any.
		return
	}
	next := &exchange.View{
		Index: k.index, Regions: map[exchange.RegionService]pick.RegionLoad{}, EntryInstances: len(k.entries.Entries) + 1, TargetsReadAt: k.list.ReadAt,
	}
	i.showRegions(next)
	if current := i.currentBasis(); i.last.basis != current {
		i.last = lastView{basis: current, peers: i.currentPeers()}
		snapshot := i.snapshot(next.Index)
		i.pool.Update(now, snapshot)
		i.limits.SetView(next.Index, snapshot.Entries, next.EntryInstances)
	} else {
		i.pool.UpdateLoads(now, k.poolLoads())
	}
	next.Peers = i.last.peers
	i.gateway.SetView(next)
}

// lastView is what the last view was made of.
type lastView struct {
	basis basis
	peers []exchange.Peer
}

// basis is all that a snapshot of the pool is made of but the loads.
//
// What goes wrong where each report makes a snapshot: an instance before thousands of targets
// goes over all of them some times a second, when nothing has changed.
type basis struct {
	index *routes.Index
	head  *newest.Head
	list  uint64
	// epoch and at are those of the entry instances.
	epoch, at                uint64
	ready, leaving, draining bool
	joined, partial          bool
	settle                   time.Duration
}

func (i *Instance) currentBasis() basis {
	k := &i.known
	return basis{
		index: k.index, head: k.head, list: k.list.Digest, epoch: k.entries.Epoch, at: k.entries.At,
		ready: i.Ready(), leaving: i.leaving(), draining: i.draining.Load(), joined: k.joined, partial: k.partial,
		settle: k.settle(),
	}
}

// currentPeers are the entry instances of other regions that take requests.
func (i *Instance) currentPeers() (out []exchange.Peer) {
	for _, e := range i.known.entries.Entries {
		// One that leaves is no way into its region: its end would cut off what was passed on
		// to it, and the caller's own instance may be leaving as well.
		if e.Ready && e.Region != i.o.Self.Region {
			out = append(out, exchange.Peer{Address: e.ID, Region: e.Region})
		}
	}
	return out
}

// showRegions sums up the other regions.
func (i *Instance) showRegions(v *exchange.View) {
	for _, s := range i.known.regions {
		if !s.Valid() {
			i.metrics.SummariesInvalid.Inc(1)
			continue
		}
		if s.Untold {
			i.metrics.SummariesUntold.Inc(1)
		}
		key := exchange.RegionService{Region: s.Region, Service: s.Service}
		v.Regions[key] = pick.RegionLoad{Targets: s.Targets, Slots: s.Slots, Load: pick.Load{
			Running: s.Running, PendingPrefill: queue(s.Unread), PrefillMillis: s.Reading,
		}, Prefill: pick.PrefillSums{Tokens: float64(s.ReadTokens), Millis: float64(s.ReadMillis)}, LoadUnknown: s.Untold}
	}
}

// takers are the entry instances of a region that take requests: the ready ones, or where
// it has none those that leave and still take all, so that these agree on who decides.
func takers(entries []feed.Entry, region string) []string {
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

// queue is what waits, as another instance told it; ranks beyond those that are told apart
// count as the last.
func queue(byRank []int) pick.Queue {
	var q pick.Queue
	for rank, tokens := range byRank {
		q[min(rank, pick.Ranks-1)] += tokens
	}
	return q
}

// snapshot is what the pool needs to know.
func (i *Instance) snapshot(index *routes.Index) pick.Snapshot {
	k := &i.known
	s := pick.Snapshot{Evacuated: map[string]bool{}, Loads: k.poolLoads(), PartialLoads: k.partial, PropagationDelay: k.settle(), Rules: map[string]pick.ServiceRules{}}
	for _, zone := range k.head.Zones() {
		s.Evacuated[zone] = true
	}
	for _, t := range k.list.Targets {
		if t.Region != i.o.Self.Region {
			continue
		}
		s.Targets = append(s.Targets, pick.Target{
			ID: t.ID, Service: t.Service, Address: t.Address, Zone: t.Zone, Slots: t.Slots, Draining: t.Draining,
			ColdUntil: t.ColdUntil, ColdEpoch: t.ColdTurn, StartMillis: t.Born,
		})
	}
	self := i.o.Self
	// The first view makes it ready.
	self.Ready, self.Leaving = !i.draining.Load(), i.leaving()
	s.Joining = !k.joined
	s.Entries = takers(append([]feed.Entry{self}, k.entries.Entries...), self.Region)
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

// slackOfNews is how much longer than its intervals news may take, over a busy link and at
// instances that are short of processor.
const slackOfNews = 300 * time.Millisecond

// settle is how long news of an entry instance take to the others: see pick.Snapshot.
func (k *knowledge) settle() time.Duration { return 2*k.wait + control.GossipInterval + slackOfNews }

// poolLoads are the loads of the others as the pool takes them.
func (k *knowledge) poolLoads() map[string]pick.Load {
	out := make(map[string]pick.Load, len(k.loads))
	for _, l := range k.loads {
		out[l.Target] = pick.Load{Running: l.Running, PendingPrefill: queue(l.Unread), PrefillMillis: l.Reading}
	}
	return out
}
