package feed

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gullhaven/gullhaven/route/pick"
)

// aggregateTTL is how long the common parts of answers are reused: a quarter of the time between
// two reports of one instance. With 60 entry instances at a core instance they are computed 20
// times a second instead of 300 times.
const aggregateTTL = 50 * time.Millisecond

// aggregate holds the common parts of current answers. Computing it goes over all targets and
// instances; each answer takes what concerns its receiver.
type aggregate struct {
	at    time.Time
	cores []Core
	// coresDigest is never 0.
	coresDigest uint64
	// loads are those of the own region, in the order of targets; directLoads are the parts of the
	// instances that report here, by instance ID.
	loads       []Load
	directLoads map[string][]Load
	// byGroup are loads by group; nil until they are needed.
	byGroup map[pick.Group][]Load
	// prefillSums are those of the own region by service; directPrefillSums are the parts of the
	// instances that report here.
	prefillSums, directPrefillSums map[string]PrefillSums
	// otherRegions are the summaries for each receiving region.
	otherRegions map[string][]Summary
}

// currentAggregate returns the aggregate, and recomputes it if it has expired.
func (st *Store) currentAggregate(now time.Time) *aggregate {
	if st.aggregate != nil && !now.Before(st.aggregate.at) && now.Sub(st.aggregate.at) < aggregateTTL {
		return st.aggregate
	}
	agg := &aggregate{
		at: now, cores: st.liveCores(now), directLoads: map[string][]Load{},
		otherRegions: map[string][]Summary{},
		prefillSums:  map[string]PrefillSums{}, directPrefillSums: map[string]PrefillSums{},
	}
	agg.coresDigest = coresDigest(agg.cores)
	entries := st.liveEntries(now)
	st.changes.record(entries)
	st.reporters = 0
	for _, h := range entries {
		if h.direct {
			st.reporters++
		}
		if !h.direct || h.entry.Region != st.self.Region {
			continue
		}
		if len(h.entry.Loads) > 0 {
			agg.directLoads[h.entry.ID] = h.entry.Loads
		}
		addPrefillSums(agg.directPrefillSums, h.entry.PrefillSums)
		addPrefillSums(agg.prefillSums, h.entry.PrefillSums)
	}
	for _, h := range st.cores {
		if now.Sub(h.receivedAt) < CoreTTL {
			addPrefillSums(agg.prefillSums, h.prefillSums)
		}
	}
	agg.loads = st.sumLoads(agg, true)
	st.aggregate = agg
	return agg
}

// coresDigest returns a hash of a list of core instances.
func coresDigest(cores []Core) uint64 {
	d := xxhash.New()
	for _, c := range cores {
		hashStrings(d, c.ID, c.Region, c.Zone)
	}
	// 0 means that the sender of a report knows none.
	return max(1, d.Sum64())
}

// loadsFor returns the loads that a report asks for.
//
// If each instance got those of all targets, in a region of 300 instances and 4,000 targets each
// changed load would be sent 300 times, five times a second, though one or two instances choose
// among its target's group.
func (st *Store) loadsFor(agg *aggregate, r *Report) []Load {
	if !r.PartialLoads {
		return agg.withoutLoadsOf(agg.loads, r.Self.ID)
	}
	if agg.byGroup == nil {
		agg.byGroup = map[pick.Group][]Load{}
		for _, l := range agg.loads {
			g := st.targetGroups()[l.Target]
			agg.byGroup[g] = append(agg.byGroup[g], l)
		}
	}
	var out []Load
	for _, g := range r.Groups {
		out = append(out, agg.byGroup[g]...)
	}
	return agg.withoutLoadsOf(out, r.Self.ID)
}

// withoutLoadsOf subtracts from loads the parts of one instance that reports here.
func (agg *aggregate) withoutLoadsOf(all []Load, id string) []Load {
	direct := agg.directLoads[id]
	if len(direct) == 0 {
		return all
	}
	byTarget := make(map[string]Load, len(direct))
	for _, l := range direct {
		byTarget[l.Target] = l
	}
	out := make([]Load, 0, len(all))
	for _, l := range all {
		m := byTarget[l.Target]
		l = l.minus(m)
		if l.Running != 0 || len(l.PendingPrefill) != 0 {
			out = append(out, l)
		}
	}
	return out
}

// FillUpdate adds to the answer to a report what this store holds. evacuated are the zones that get
// no new requests.
func (st *Store) FillUpdate(now time.Time, r Report, evacuated map[string]uint64, u *Update) {
	st.mu.Lock()
	defer st.mu.Unlock()
	u.ListAgeMillis = -1
	if !st.list.ReadAt.IsZero() && !r.Probe {
		u.ListAgeMillis = now.Sub(st.list.ReadAt).Milliseconds()
		if st.listNewerThan(now, &r) {
			u.List = st.encodeListUpdate(now, r.ListDigest, r.Self.Region)
		}
	}
	agg := st.currentAggregate(now)
	if agg.coresDigest != r.CoresDigest {
		u.Cores, u.CoresDigest = agg.cores, agg.coresDigest
	}
	if !r.Probe {
		u.Suspects, u.Suspected = st.suspectsFor(now, &r)
	}
	if r.Brief || r.Probe {
		return
	}
	u.Entries = st.changes.update(r.EntriesEpoch, r.EntriesAt)
	if r.Self.Region == st.self.Region {
		u.SameRegion, u.Loads = true, st.loadsFor(agg, &r)
	}
	if _, ok := agg.otherRegions[r.Self.Region]; !ok {
		agg.otherRegions[r.Self.Region] = st.summarizeOthers(agg, r.Self.Region, evacuated)
	}
	u.Regions = agg.otherRegions[r.Self.Region]
}

// HasListFor reports whether a report would be answered with a list other than the one that its
// sender holds.
func (st *Store) HasListFor(now time.Time, r *Report) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.list.Digest != r.ListDigest && st.listNewerThan(now, r)
}

// listNewerThan reports whether the list here was read after that of the sender of a report.
//
// Without it, a core instance that gets a new list a moment later than the sender does not know the
// sender's list, and would send it all targets of its region. With many instances that compare with
// core instances of other regions that would be most of the traffic between regions.
func (st *Store) listNewerThan(now time.Time, r *Report) bool {
	return r.ListDigest == 0 || now.Sub(st.list.ReadAt) < time.Duration(r.ListAgeMillis)*time.Millisecond
}

// summarizeOthers returns the capacity and load of all regions but except, by region and service.
func (st *Store) summarizeOthers(agg *aggregate, except string, evacuated map[string]uint64) []Summary {
	sums := map[regionService]Summary{}
	for _, t := range st.list.Targets {
		if t.Region == except || t.Draining || evacuated[t.Zone] != 0 || agg.at.Before(t.ColdUntil) {
			continue
		}
		k := regionService{t.Region, t.Service}
		sum := sums[k]
		sums[k] = Summary{
			Region: t.Region, Service: t.Service, Targets: sum.Targets + 1, Slots: sum.Slots + t.Slots, Software: st.listedSoftware()[k],
			LoadUnknown: !st.loadKnown(agg, t.Region),
		}
	}
	add := func(loads []Summary) {
		for _, l := range loads {
			k := regionService{l.Region, l.Service}
			if sum, ok := sums[k]; ok {
				sum = sum.plus(l.load())
				sum.PrefillSumTokens, sum.PrefillSumMillis = l.PrefillSumTokens, l.PrefillSumMillis
				sums[k] = sum
			}
		}
	}
	for _, h := range st.regionSums {
		if agg.at.Sub(h.receivedAt) < CoreTTL {
			add(h.sums)
		}
	}
	add(st.summarizeOwn(agg))
	out := make([]Summary, 0, len(sums))
	for _, s := range sums {
		out = append(out, s)
	}
	slices.SortFunc(out, func(x, y Summary) int { return strings.Compare(x.Region+x.Service, y.Region+y.Service) })
	return out
}

type regionService struct{ region, service string }

// listedSoftware returns the number of targets by software version, region and service. Do not change
// it.
func (st *Store) listedSoftware() map[regionService]map[string]int {
	if st.software != nil {
		return st.software
	}
	st.software = map[regionService]map[string]int{}
	for _, t := range st.list.Targets {
		if t.Software == "" {
			continue
		}
		k := regionService{t.Region, t.Service}
		if st.software[k] == nil {
			st.software[k] = map[string]int{}
		}
		st.software[k][t.Software]++
	}
	return st.software
}

// loadKnown reports whether the load of a region is known.
//
// Without it, if the core instances of a region are partitioned and its entry instances are not,
// its targets would be listed without loads. The region would look idle, and all others would
// forward requests to it.
func (st *Store) loadKnown(agg *aggregate, region string) bool {
	return region == st.self.Region || agg.at.Sub(st.regionSums[region].receivedAt) < CoreTTL
}

// sumLoads returns the loads of the entry instances of the own region by target: of those that
// report here, and with all also of those that report to other core instances.
func (st *Store) sumLoads(agg *aggregate, all bool) []Load {
	sums := map[string]Load{}
	add := func(loads []Load) {
		for _, l := range loads {
			sum := sums[l.Target]
			sums[l.Target] = l.plus(sum)
		}
	}
	for _, loads := range agg.directLoads {
		add(loads)
	}
	for _, h := range st.cores {
		if all && agg.at.Sub(h.receivedAt) < CoreTTL {
			add(h.loads)
		}
	}
	out := make([]Load, 0, len(sums))
	for _, l := range sums {
		out = append(out, l)
	}
	slices.SortFunc(out, func(x, y Load) int { return strings.Compare(x.Target, y.Target) })
	return out
}

// addPrefillSums adds reported sums by service.
func addPrefillSums(sums map[string]PrefillSums, more []PrefillSums) {
	for _, m := range more {
		sum := sums[m.Service]
		sums[m.Service] = PrefillSums{Service: m.Service, Tokens: sum.Tokens + m.Tokens, Millis: sum.Millis + m.Millis}
	}
}

// sortedByService returns the sums in the order of services.
func sortedByService(sums map[string]PrefillSums) []PrefillSums {
	return slices.SortedFunc(maps.Values(sums), func(x, y PrefillSums) int { return strings.Compare(x.Service, y.Service) })
}

// summarizeOwn returns the loads of the own region by service.
func (st *Store) summarizeOwn(agg *aggregate) []Summary {
	sums := map[string]Summary{}
	for _, l := range agg.loads {
		if name := st.targetGroups()[l.Target].Service; name != "" {
			sum := sums[name]
			sum.Region, sum.Service = st.self.Region, name
			sums[name] = sum.plus(l)
		}
	}
	for name, prefill := range agg.prefillSums {
		sum := sums[name]
		sum.Region, sum.Service = st.self.Region, name
		sum.PrefillSumTokens, sum.PrefillSumMillis = prefill.Tokens, prefill.Millis
		sums[name] = sum
	}
	var out []Summary
	for _, s := range sums {
		out = append(out, s)
	}
	slices.SortFunc(out, func(x, y Summary) int { return strings.Compare(x.Service, y.Service) })
	return out
}

// maxGossipListBytes bounds the list update that is sent with gossip. Longer ones, such as a first
// list of hundreds of targets, are fetched by the instances that miss them.
const maxGossipListBytes = 16 << 10

// Gossip returns the message of this instance to another core instance: the entry instances that
// report here and its own reading of the list, and with sameRegion their loads. listChanged says
// that the list has just changed: its update is then included, as fetching it costs a round trip.
func (st *Store) Gossip(now time.Time, sameRegion, listChanged bool) Gossip {
	st.mu.Lock()
	defer st.mu.Unlock()
	agg := st.currentAggregate(now)
	st.suspects.expire(now)
	g := Gossip{From: st.self, Regions: st.summarizeOwn(agg), SuspectsDigest: st.suspects.digest()}
	for _, h := range st.liveEntries(now) {
		if !h.direct {
			continue
		}
		e := h.entry
		e.Loads, e.PrefillSums, e.AgeMillis = nil, nil, now.Sub(h.reportedAt).Milliseconds()
		g.Entries = append(g.Entries, e)
	}
	if sameRegion {
		g.Loads, g.PrefillSums = st.sumLoads(agg, false), sortedByService(agg.directPrefillSums)
	}
	if st.listReadHere {
		g.ListDigest, g.ListAgeMillis, g.ReadCalls = st.list.Digest, now.Sub(st.list.ReadAt).Milliseconds(), st.readCalls
	}
	if st.listReadHere && listChanged && len(st.olderLists) > 0 {
		if update := st.encodeListUpdate(now, st.olderLists[len(st.olderLists)-1].Digest, ""); len(update) <= maxGossipListBytes {
			g.List = update
		}
	}
	return g
}
