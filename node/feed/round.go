package feed

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gullhaven/gullhaven/route/pick"
)

// roundLife is how long the common part of answers is used: a quarter of the time
// between two reports of one instance. With 60 entry instances at a core instance the
// sums are made 20 times a second instead of 300 times.
const roundLife = 50 * time.Millisecond

// round is what the answers of a moment have in common. Making it goes over all
// targets and instances; an answer takes from it what concerns the asker.
type round struct {
	at    time.Time
	cores []Core
	// coresDigest is never 0.
	coresDigest uint64
	// loads are those of the own region, in the order of targets; own are the parts that
	// the instances which report here have in them.
	loads []Load
	own   map[string][]Load
	// byGroup are loads by group; nil until they are asked for.
	byGroup map[pick.Group][]Load
	// read tells of the engines of the own region by service, and ownRead is the part of it
	// that the instances which report here have found.
	read, ownRead map[string]PrefillSums
	// sums are told of each region, by the region that asks.
	sums map[string][]Summary
}

// current returns the round of now.
func (b *Store) current(now time.Time) *round {
	if b.round != nil && !now.Before(b.round.at) && now.Sub(b.round.at) < roundLife {
		return b.round
	}
	r := &round{
		at: now, cores: b.liveCores(now), own: map[string][]Load{},
		sums: map[string][]Summary{},
		read: map[string]PrefillSums{}, ownRead: map[string]PrefillSums{},
	}
	r.coresDigest = coresDigest(r.cores)
	entries := b.liveEntries(now)
	b.changes.take(entries)
	b.reporters = 0
	for _, h := range entries {
		if h.direct {
			b.reporters++
		}
		if !h.direct || h.entry.Region != b.self.Region {
			continue
		}
		if len(h.entry.Loads) > 0 {
			r.own[h.entry.ID] = h.entry.Loads
		}
		addRead(r.ownRead, h.entry.PrefillSums)
		addRead(r.read, h.entry.PrefillSums)
	}
	for _, h := range b.cores {
		if now.Sub(h.at) < CoreTTL {
			addRead(r.read, h.read)
		}
	}
	r.loads = b.sumLoads(r, true)
	b.round = r
	return r
}

// coresDigest names a list of core instances.
func coresDigest(cores []Core) uint64 {
	d := xxhash.New()
	for _, c := range cores {
		digestParts(d, c.ID, c.Region, c.Zone)
	}
	// 0 means that the asker knows none.
	return max(1, d.Sum64())
}

// loadsFor are the loads that a report asks for.
//
// What goes wrong where each instance hears of all targets: in a region of 300 instances and
// 4,000 targets each load that changes is told 300 times, five times a second, though one or
// two instances choose among its target's group.
func (b *Store) loadsFor(r *round, q *Report) []Load {
	if !q.PartialLoads {
		return r.loadsBut(r.loads, q.Self.ID)
	}
	if r.byGroup == nil {
		r.byGroup = map[pick.Group][]Load{}
		for _, l := range r.loads {
			g := b.division()[l.Target]
			r.byGroup[g] = append(r.byGroup[g], l)
		}
	}
	var out []Load
	for _, g := range q.Groups {
		out = append(out, r.byGroup[g]...)
	}
	return r.loadsBut(out, q.Self.ID)
}

// loadsBut are some loads without those of one instance.
func (r *round) loadsBut(all []Load, id string) []Load {
	own := r.own[id]
	if len(own) == 0 {
		return all
	}
	mine := make(map[string]Load, len(own))
	for _, l := range own {
		mine[l.Target] = l
	}
	out := make([]Load, 0, len(all))
	for _, l := range all {
		m := mine[l.Target]
		l = l.minus(m)
		if l.Running != 0 || len(l.PendingPrefill) != 0 {
			out = append(out, l)
		}
	}
	return out
}

// Fill completes the answer to a report. evacuated are the zones that get nothing.
func (b *Store) FillUpdate(now time.Time, r Report, evacuated map[string]uint64, u *Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u.ListAgeMillis = -1
	if !b.list.ReadAt.IsZero() && !r.Probe {
		u.ListAgeMillis = now.Sub(b.list.ReadAt).Milliseconds()
		if b.newerThan(now, &r) {
			u.List = b.news(now, r.ListDigest, r.Self.Region)
		}
	}
	round := b.current(now)
	if round.coresDigest != r.CoresDigest {
		u.Cores, u.CoresDigest = round.cores, round.coresDigest
	}
	if r.Brief || r.Probe {
		return
	}
	u.Suspects = b.lateSuspects(now, false)
	u.Entries = b.changes.news(r.EntriesEpoch, r.EntriesAt)
	if r.Self.Region == b.self.Region {
		u.SameRegion, u.Loads = true, b.loadsFor(round, &r)
	}
	if _, ok := round.sums[r.Self.Region]; !ok {
		round.sums[r.Self.Region] = b.otherRegions(round, r.Self.Region, evacuated)
	}
	u.Regions = round.sums[r.Self.Region]
}

// HasList reports whether there is another list here than the asker's that is told to it.
func (b *Store) HasListFor(now time.Time, r *Report) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list.Digest != r.ListDigest && b.newerThan(now, r)
}

// newerThan reports whether the list here was read after that of the asker.
//
// What goes wrong without it: a core instance that hears of a new list a moment later than the
// asker does not know the asker's list, and tells it all targets of its region. With many
// instances that compare with core instances of other regions that is most of the traffic
// between regions.
func (b *Store) newerThan(now time.Time, r *Report) bool {
	return r.ListDigest == 0 || now.Sub(b.list.ReadAt) < time.Duration(r.ListAgeMillis)*time.Millisecond
}

// otherRegions sums up what other regions than one have and do.
func (b *Store) otherRegions(r *round, but string, evacuated map[string]uint64) []Summary {
	type key struct{ region, service string }
	sums := map[key]Summary{}
	for _, t := range b.list.Targets {
		if t.Region == but || t.Draining || evacuated[t.Zone] != 0 || r.at.Before(t.ColdUntil) {
			continue
		}
		k := key{t.Region, t.Service}
		sum := sums[k]
		sums[k] = Summary{
			Region: t.Region, Service: t.Service, Targets: sum.Targets + 1, Slots: sum.Slots + t.Slots, LoadUnknown: !b.toldOf(r, t.Region),
		}
	}
	add := func(loads []Summary) {
		for _, l := range loads {
			k := key{l.Region, l.Service}
			if sum, ok := sums[k]; ok {
				sum = sum.plus(l.load())
				sum.PrefillSumTokens, sum.PrefillSumMillis = l.PrefillSumTokens, l.PrefillSumMillis
				sums[k] = sum
			}
		}
	}
	for _, h := range b.sums {
		if r.at.Sub(h.at) < CoreTTL {
			add(h.sums)
		}
	}
	add(b.summarize(r))
	out := make([]Summary, 0, len(sums))
	for _, s := range sums {
		out = append(out, s)
	}
	slices.SortFunc(out, func(x, y Summary) int { return strings.Compare(x.Region+x.Service, y.Region+y.Service) })
	return out
}

// toldOf reports whether the load of a region is known.
//
// What goes wrong without it: the core instances of a region are cut off, its entry
// instances are not. Its targets stand in the list and their load is missing, so the region
// looks idle, and all others pass on to it.
func (b *Store) toldOf(r *round, region string) bool {
	return region == b.self.Region || r.at.Sub(b.sums[region].at) < CoreTTL
}

// sumLoads sums up what the entry instances of the own region have under way: of those
// that report here, and with all of those that report to others too.
func (b *Store) sumLoads(r *round, all bool) []Load {
	sums := map[string]Load{}
	add := func(loads []Load) {
		for _, l := range loads {
			sum := sums[l.Target]
			sums[l.Target] = l.plus(sum)
		}
	}
	for _, loads := range r.own {
		add(loads)
	}
	for _, h := range b.cores {
		if all && r.at.Sub(h.at) < CoreTTL {
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

// addRead adds what instances tell of engines.
func addRead(sums map[string]PrefillSums, more []PrefillSums) {
	for _, m := range more {
		sum := sums[m.Service]
		sums[m.Service] = PrefillSums{Service: m.Service, Tokens: sum.Tokens + m.Tokens, Millis: sum.Millis + m.Millis}
	}
}

// inOrder lists them by service.
func inOrder(sums map[string]PrefillSums) []PrefillSums {
	return slices.SortedFunc(maps.Values(sums), func(x, y PrefillSums) int { return strings.Compare(x.Service, y.Service) })
}

// summarize sums up the loads of the own region by service.
func (b *Store) summarize(r *round) []Summary {
	sums := map[string]Summary{}
	for _, l := range r.loads {
		if name := b.division()[l.Target].Service; name != "" {
			sum := sums[name]
			sum.Region, sum.Service = b.self.Region, name
			sums[name] = sum.plus(l)
		}
	}
	for name, read := range r.read {
		sum := sums[name]
		sum.Region, sum.Service = b.self.Region, name
		sum.PrefillSumTokens, sum.PrefillSumMillis = read.Tokens, read.Millis
		sums[name] = sum
	}
	var out []Summary
	for _, s := range sums {
		out = append(out, s)
	}
	slices.SortFunc(out, func(x, y Summary) int { return strings.Compare(x.Service, y.Service) })
	return out
}

// pushBytes bounds the news of a list that go with a gossip. Longer ones, as a first list of
// hundreds of targets, are fetched by those that lack them.
const pushBytes = 16 << 10

// Gossip is what this instance tells others: the entry instances that report here, to
// those of its region their loads, and its own reading of the list. fresh says that the list
// has just changed: its news go along, as a question for them costs a trip there and back.
func (b *Store) Gossip(now time.Time, near, fresh bool) Gossip {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.current(now)
	g := Gossip{From: b.self, Regions: b.summarize(r), Suspects: b.lateSuspects(now, true)}
	for _, h := range b.liveEntries(now) {
		if !h.direct {
			continue
		}
		e := h.entry
		e.Loads, e.PrefillSums, e.AgeMillis = nil, nil, now.Sub(h.at).Milliseconds()
		g.Entries = append(g.Entries, e)
	}
	if near {
		g.Loads, g.PrefillSums = b.sumLoads(r, false), inOrder(r.ownRead)
	}
	if b.own {
		g.ListDigest, g.ListAgeMillis, g.ReadCalls = b.list.Digest, now.Sub(b.list.ReadAt).Milliseconds(), b.calls
	}
	if b.own && fresh && len(b.older) > 0 {
		if news := b.news(now, b.older[len(b.older)-1].Digest, ""); len(news) <= pushBytes {
			g.List = news
		}
	}
	return g
}
