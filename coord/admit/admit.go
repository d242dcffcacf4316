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
//     zone has become a voter, and the number of voters never falls.
package admit

import (
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/replog/confchange"
)

// Applicant asks to be a member.
type Applicant struct {
	Member replog.Member
	// Zone is the availability zone that it stands in.
	Zone string
	// Newcomer says that its disk was new at its start, that the group did not
	// know its id when it asked first, and that it is not Settled yet.
	Newcomer bool
	// At is when it asked last, by the leader's clock.
	At time.Time
}

// Rules bound when a change is made. Zero values take the defaults.
type Rules struct {
	// SilentFor is how long a voter must have been silent before a newcomer of
	// its zone may replace it; default 2 s, above a restart of its process.
	SilentFor time.Duration
	// AskedWithin is the age above which an application is void; default 2 s,
	// a few of the intervals at which applicants ask.
	AskedWithin time.Duration
}

// Defaults of Rules.
const (
	DefaultSilentFor   = 2 * time.Second
	DefaultAskedWithin = 2 * time.Second
)

// Group keeps who asked and which zone each member stands in. It belongs to one
// goroutine.
type Group struct {
	rules      Rules
	applicants map[string]Applicant
	zones      map[string]string
	// quietSince is when a voter was first found silent by this leader.
	quietSince map[string]time.Time
}

// New makes a Group without applicants.
func New(r Rules) *Group {
	if r.SilentFor <= 0 {
		r.SilentFor = DefaultSilentFor
	}
	if r.AskedWithin <= 0 {
		r.AskedWithin = DefaultAskedWithin
	}
	return &Group{
		rules: r, applicants: map[string]Applicant{}, zones: map[string]string{}, quietSince: map[string]time.Time{},
	}
}

// Asked takes in an application. Members ask too, which tells their zones.
func (g *Group) Asked(a Applicant) {
	g.applicants[a.Member.ID] = a
	g.zones[a.Member.ID] = a.Zone
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
		if since, quiet := g.quietSince[id]; ok && quiet && now.Sub(since) >= g.rules.SilentFor {
			return dead, true
		}
	}
	return replog.Member{}, false
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
			fits := g.zones[dead.ID] == "" || g.zones[dead.ID] == a.Zone
			if a.Newcomer && a.Member == m && !taken[m.ID] && fits {
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
		if quiet && (g.zones[other.ID] == "" || g.zones[other.ID] == g.zones[m.ID]) {
			return false
		}
	}
	return true
}

// joining is the first applicant that is no member.
func (g *Group) joining(now time.Time, s replog.Status) (replog.ConfChange, bool) {
	ids := make([]string, 0, len(g.applicants))
	for id := range g.applicants {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		a := g.applicants[id]
		if now.Sub(a.At) > g.rules.AskedWithin {
			continue
		}
		if _, ok := s.Config.Lookup(id); ok {
			continue
		}
		return replog.ConfChange{Kind: confchange.AddLearner, Member: a.Member}, true
	}
	return replog.ConfChange{}, false
}
