// Package admit decides how the members of a replicated group change by
// themselves: who joins, who becomes a voter, and which voter a newcomer
// replaces.
//
// It has no input or output. The leader of the group hands in what it sees and
// makes the change that Next returns, one at a time; package replog refuses what
// is not settled yet, and then the next call decides anew.
//
// What goes wrong without the rules below:
//   - a machine is gone for good and its successor comes at another address. If
//     the dead voter stays, each replacement raises the number of voters that must
//     answer while the number that can does not rise, until no majority is left;
//   - a cut-off voter is taken for dead. Removing it on silence alone would let a
//     group shrink step by step. So a voter leaves only after a newcomer of its
//     zone has become a voter, and the number of voters never falls;
//   - a group of a hundred. Each member costs the leader a message at each
//     heartbeat and each commit the answers of half of them. So at most MaxMembers
//     are let in, spread over regions and zones; the others stay outside, and one
//     of them takes the place of a voter of its zone that is silent for long.
package admit

import (
	"cmp"
	"time"

	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/replog/confchange"
)

// JoinRequest asks to be a member.
type JoinRequest struct {
	Member replog.Member
	// Region and Zone are where it stands.
	Region, Zone string
	// Newcomer says that its disk was new at its start, that the group did not
	// know its id when it asked first, and that it is not Settled yet.
	Newcomer bool
	// At is when it asked last, by the leader's clock.
	At time.Time
}

// Rules bound when a change is made. Zero values take the defaults.
type Rules struct {
	// ReplaceAfter is how long a voter must have been silent before a newcomer of
	// its zone may replace it; default 2 s, above a restart of its process.
	ReplaceAfter time.Duration
	// RequestTTL is the age above which an application is void; default 2 s,
	// a few of the intervals at which applicants ask.
	RequestTTL time.Duration
	// MaxMembers bounds the voters and learners of a group in which no voter is
	// silent; default 9, which bears the loss of four.
	MaxMembers int
	// StandbyAfter is how long a voter must have been silent before an applicant
	// that is no newcomer takes its place; default 10 s, above a restart of its
	// instance with an empty disk.
	StandbyAfter time.Duration
}

// Defaults of Rules.
const (
	DefaultReplaceAfter = 2 * time.Second
	DefaultRequestTTL   = 2 * time.Second
	DefaultMaxMembers   = 9
	DefaultStandbyAfter = 10 * time.Second
)

// Group keeps who asked and which zone each member stands in. It belongs to one
// goroutine.
type Group struct {
	rules      Rules
	applicants map[string]JoinRequest
	// zones and regions are those of all that ever asked.
	zones, regions map[string]string
	// quietSince is when a voter was first found silent by this leader.
	quietSince map[string]time.Time
}

// New makes a Group without applicants.
func New(r Rules) *Group {
	if r.ReplaceAfter <= 0 {
		r.ReplaceAfter = DefaultReplaceAfter
	}
	if r.RequestTTL <= 0 {
		r.RequestTTL = DefaultRequestTTL
	}
	if r.MaxMembers <= 0 {
		r.MaxMembers = DefaultMaxMembers
	}
	if r.StandbyAfter <= 0 {
		r.StandbyAfter = DefaultStandbyAfter
	}
	return &Group{
		rules: r, applicants: map[string]JoinRequest{}, zones: map[string]string{}, regions: map[string]string{},
		quietSince: map[string]time.Time{},
	}
}

// RecordRequest takes in an application. Members ask too, which tells their zones.
func (g *Group) RecordRequest(a JoinRequest) {
	g.applicants[a.Member.ID] = a
	g.zones[a.Member.ID], g.regions[a.Member.ID] = a.Zone, a.Region
}

// Next returns the change that the group needs now, if it needs one. s is the
// leader's status; active tells whether a member answered the leader within an
// election timeout.
func (g *Group) Next(now time.Time, s replog.Status, active func(replog.Peer) bool) (replog.ConfChange, bool) {
	if s.Role != replog.Leader {
		clear(g.quietSince)
		return replog.ConfChange{}, false
	}
	g.watch(now, s, active)
	if m, ok := g.replaced(now, s); ok {
		return replog.ConfChange{Kind: confchange.Remove, Member: m}, true
	}
	for _, p := range s.Peers {
		if !p.Voter && p.CaughtUp && active(p) {
			return replog.ConfChange{Kind: confchange.Promote, Member: p.Member}, true
		}
	}
	return g.joining(now, s)
}

// watch notes since when each voter is silent.
func (g *Group) watch(now time.Time, s replog.Status, active func(replog.Peer) bool) {
	for _, p := range s.Peers {
		if !p.Voter || p.Member.ID == s.Self.ID || active(p) {
			delete(g.quietSince, p.Member.ID)
			continue
		}
		if _, ok := g.quietSince[p.Member.ID]; !ok {
			g.quietSince[p.Member.ID] = now
		}
	}
}

// replaced is a silent voter for which a newcomer stands.
func (g *Group) replaced(now time.Time, s replog.Status) (replog.Member, bool) {
	for _, id := range g.successors(s) {
		dead, ok := s.Config.Lookup(id)
		if since, quiet := g.quietSince[id]; ok && quiet && now.Sub(since) >= g.rules.ReplaceAfter {
			return dead, true
		}
	}
	return g.surplus(now, s)
}

// surplus is the voter that is silent for longest where an applicant from outside
// has taken the place of one: the group has more members than its rules allow.
func (g *Group) surplus(now time.Time, s replog.Status) (replog.Member, bool) {
	var longest replog.Member
	if len(s.Config.Voters) <= g.rules.MaxMembers {
		return longest, false
	}
	since := now
	for _, m := range s.Config.Voters {
		at, quiet := g.quietSince[m.ID]
		if quiet && now.Sub(at) >= g.rules.StandbyAfter && at.Before(since) {
			longest, since = m, at
		}
	}
	return longest, since.Before(now)
}

// mayFollow reports whether a newcomer of a zone may be the successor of a voter: it is
// of the same zone, or its zone is unknown to this leader.
func (g *Group) mayFollow(zone, voter string) bool {
	of := g.zones[voter]
	return of == "" || of == zone
}

// successors are the silent voters for which a newcomer that votes stands, each
// newcomer for one, in the order of ids. A voter that never asked this leader is
// of unknown zone: it was silent all the time that the leader led, and any
// newcomer may stand for it.
func (g *Group) successors(s replog.Status) []string {
	var out []string
	taken := map[string]bool{}
	for _, dead := range s.Config.Voters {
		if _, quiet := g.quietSince[dead.ID]; !quiet {
			continue
		}
		for _, m := range s.Config.Voters {
			a := g.applicants[m.ID]
			if a.Newcomer && a.Member == m && !taken[m.ID] && g.mayFollow(a.Zone, dead.ID) {
				taken[m.ID] = true
				out = append(out, dead.ID)
				break
			}
		}
	}
	return out
}

// Settled reports whether a member is no newcomer any more: it votes, and no
// other voter that it could stand for is silent. Without this a newcomer of old
// would stand for each voter of its zone that restarts.
func (g *Group) Settled(s replog.Status, m replog.Member) bool {
	if s.Role != replog.Leader || !s.Config.IsVoter(m) {
		return false
	}
	for _, other := range s.Config.Voters {
		_, quiet := g.quietSince[other.ID]
		if quiet && g.mayFollow(g.zones[m.ID], other.ID) {
			return false
		}
	}
	return true
}

// Full reports whether an applicant that is no member stays outside for now.
func (g *Group) Full(now time.Time, s replog.Status, a JoinRequest) bool {
	if _, in := s.Config.Lookup(a.Member.ID); in {
		return false
	}
	return len(s.Config.Members()) >= g.rules.MaxMembers && !g.standsIn(now, s, a)
}

// standsIn reports whether an applicant may take the place of a voter that is
// silent: a newcomer at once, as the successor of an instance, and one from outside
// when the voter of its own zone is silent for long. A voter that never asked this
// leader is of unknown zone and may be cut off with its region: only a newcomer
// stands in for it.
func (g *Group) standsIn(now time.Time, s replog.Status, a JoinRequest) bool {
	if len(s.Config.Members()) > g.rules.MaxMembers {
		return false
	}
	for _, m := range s.Config.Voters {
		since, quiet := g.quietSince[m.ID]
		switch {
		case !quiet:
		case a.Newcomer && g.mayFollow(a.Zone, m.ID):
			return true
		case g.zones[m.ID] == a.Zone && now.Sub(since) >= g.rules.StandbyAfter:
			return true
		}
	}
	return false
}

// joining is the applicant to let in next: that of the region, then of the zone,
// with the fewest members.
func (g *Group) joining(now time.Time, s replog.Status) (replog.ConfChange, bool) {
	inRegion, inZone := map[string]int{}, map[string]int{}
	for _, m := range s.Config.Members() {
		inRegion[g.regions[m.ID]]++
		inZone[g.zones[m.ID]]++
	}
	var best *JoinRequest
	less := func(a, b *JoinRequest) bool {
		return cmp.Or(
			cmp.Compare(inRegion[a.Region], inRegion[b.Region]),
			cmp.Compare(inZone[a.Zone], inZone[b.Zone]),
			cmp.Compare(a.Member.ID, b.Member.ID),
		) < 0
	}
	for id, a := range g.applicants {
		_, in := s.Config.Lookup(id)
		if in || now.Sub(a.At) > g.rules.RequestTTL || g.Full(now, s, a) {
			continue
		}
		if best == nil || less(&a, best) {
			best = &a
		}
	}
	if best == nil {
		return replog.ConfChange{}, false
	}
	return replog.ConfChange{Kind: confchange.AddLearner, Member: best.Member}, true
}
