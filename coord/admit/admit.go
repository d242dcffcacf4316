// Package admit decides how the membership of a replicated group changes
// automatically: who joins, who becomes a voter, and which voter a newcomer
// replaces.
//
// It does no input or output. The leader of the group passes in what it observes and
// makes the change that Next returns, one at a time; package replog refuses a change
// while an earlier one is pending, and the next call decides again.
//
// Without the rules below:
//   - An instance is lost permanently and its successor starts at another address. If
//     the lost voter stays, each replacement raises the number of voters that must
//     answer while the number that can does not rise, until there is no majority.
//   - A partitioned voter is taken for dead. Removing it on silence alone would let a
//     group shrink step by step. So a voter is removed only after a newcomer of its
//     zone has become a voter, and the number of voters never falls.
//   - A group has a hundred members. Each member costs the leader a message at each
//     heartbeat, and each commit needs the answers of half of them. So at most
//     MaxMembers are admitted, spread over regions and zones. The others are standbys;
//     one of them replaces a voter of its zone that has been silent for long.
package admit

import (
	"cmp"
	"time"

	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/replog/confchange"
)

// JoinRequest is an instance's request for membership.
type JoinRequest struct {
	Member replog.Member
	// Region and Zone of the instance.
	Region, Zone string
	// Newcomer says that its disk was new at its start, that the group did not
	// know its id when it first asked, and that it is not Settled yet.
	Newcomer bool
	// At is when the leader received it, by the leader's clock.
	At time.Time
}

// Rules configure when a change is made. Zero values take the defaults.
type Rules struct {
	// ReplaceAfter is how long a voter must have been silent before a newcomer of its
	// zone may replace it; default 2 s, longer than a restart of its process.
	ReplaceAfter time.Duration
	// RequestTTL is the age beyond which a join request is ignored; default 2 s,
	// a few of the intervals at which instances ask.
	RequestTTL time.Duration
	// MaxMembers bounds the voters and learners of a group without silent voters;
	// default 9, which tolerates the loss of four.
	MaxMembers int
	// StandbyAfter is how long a voter must have been silent before a standby that is
	// not a newcomer replaces it; default 10 s, longer than a restart of its instance
	// with an empty disk.
	StandbyAfter time.Duration
}

// Defaults of Rules.
const (
	DefaultReplaceAfter = 2 * time.Second
	DefaultRequestTTL   = 2 * time.Second
	DefaultMaxMembers   = 9
	DefaultStandbyAfter = 10 * time.Second
)

// Group keeps the join requests and the zone of each member. It is not safe for
// concurrent use.
type Group struct {
	rules    Rules
	requests map[string]JoinRequest
	// zones and regions of all instances that ever asked, by id.
	zones, regions map[string]string
	// silentSince is when this leader first found a voter silent.
	silentSince map[string]time.Time
}

// New returns a Group without join requests.
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
		rules: r, requests: map[string]JoinRequest{}, zones: map[string]string{}, regions: map[string]string{},
		silentSince: map[string]time.Time{},
	}
}

// RecordRequest records a join request. Members send them too, which tells their zones.
func (g *Group) RecordRequest(a JoinRequest) {
	g.requests[a.Member.ID] = a
	g.zones[a.Member.ID], g.regions[a.Member.ID] = a.Zone, a.Region
}

// Next returns the change that the group needs now, or false. s is the leader's status;
// active reports whether a member answered the leader within an election timeout.
func (g *Group) Next(now time.Time, s replog.Status, active func(replog.Peer) bool) (replog.ConfChange, bool) {
	if s.Role != replog.Leader {
		clear(g.silentSince)
		return replog.ConfChange{}, false
	}
	g.trackSilence(now, s, active)
	if m, ok := g.voterToRemove(now, s); ok {
		return replog.ConfChange{Kind: confchange.Remove, Member: m}, true
	}
	for _, p := range s.Peers {
		if !p.Voter && p.CaughtUp && active(p) {
			return replog.ConfChange{Kind: confchange.Promote, Member: p.Member}, true
		}
	}
	return g.nextLearner(now, s)
}

// trackSilence records since when each voter is silent.
func (g *Group) trackSilence(now time.Time, s replog.Status, active func(replog.Peer) bool) {
	for _, p := range s.Peers {
		if !p.Voter || p.Member.ID == s.Self.ID || active(p) {
			delete(g.silentSince, p.Member.ID)
			continue
		}
		if _, ok := g.silentSince[p.Member.ID]; !ok {
			g.silentSince[p.Member.ID] = now
		}
	}
}

// voterToRemove returns a silent voter that a newcomer has replaced, or else the
// surplusVoter.
func (g *Group) voterToRemove(now time.Time, s replog.Status) (replog.Member, bool) {
	for _, id := range g.replacedVoters(s) {
		voter, ok := s.Config.Lookup(id)
		if since, silent := g.silentSince[id]; ok && silent && now.Sub(since) >= g.rules.ReplaceAfter {
			return voter, true
		}
	}
	return g.surplusVoter(now, s)
}

// surplusVoter returns the voter that has been silent for longest if the group has more
// voters than its rules allow, because a standby has been added in place of one.
func (g *Group) surplusVoter(now time.Time, s replog.Status) (replog.Member, bool) {
	var longest replog.Member
	if len(s.Config.Voters) <= g.rules.MaxMembers {
		return longest, false
	}
	since := now
	for _, m := range s.Config.Voters {
		at, silent := g.silentSince[m.ID]
		if silent && now.Sub(at) >= g.rules.StandbyAfter && at.Before(since) {
			longest, since = m, at
		}
	}
	return longest, since.Before(now)
}

// canReplace reports whether a newcomer of requestZone may replace a voter: the voter
// is of the same zone, or its zone is unknown to this leader.
func (g *Group) canReplace(requestZone, voterID string) bool {
	voterZone := g.zones[voterID]
	return voterZone == "" || voterZone == requestZone
}

// replacedVoters returns the silent voters for which a newcomer has become a voter, each
// newcomer counted for one, in the order of ids. A voter that never asked this leader is
// of unknown zone: it has been silent for as long as the leader has led, and any newcomer
// may replace it.
func (g *Group) replacedVoters(s replog.Status) []string {
	var out []string
	assigned := map[string]bool{}
	for _, voter := range s.Config.Voters {
		if _, silent := g.silentSince[voter.ID]; !silent {
			continue
		}
		for _, m := range s.Config.Voters {
			a := g.requests[m.ID]
			if a.Newcomer && a.Member == m && !assigned[m.ID] && g.canReplace(a.Zone, voter.ID) {
				assigned[m.ID] = true
				out = append(out, voter.ID)
				break
			}
		}
	}
	return out
}

// Settled reports whether a member is no longer a newcomer: it is a voter, and no other
// voter that it could replace is silent. Without this an old newcomer would replace each
// voter of its zone that restarts.
func (g *Group) Settled(s replog.Status, m replog.Member) bool {
	if s.Role != replog.Leader || !s.Config.IsVoter(m) {
		return false
	}
	for _, other := range s.Config.Voters {
		_, silent := g.silentSince[other.ID]
		if silent && g.canReplace(g.zones[m.ID], other.ID) {
			return false
		}
	}
	return true
}

// Full reports whether an instance that isn't a member must remain a standby for now.
func (g *Group) Full(now time.Time, s replog.Status, a JoinRequest) bool {
	if _, in := s.Config.Lookup(a.Member.ID); in {
		return false
	}
	return len(s.Config.Members()) >= g.rules.MaxMembers && !g.canSubstitute(now, s, a)
}

// canSubstitute reports whether an instance may take the place of a silent voter: a
// newcomer at once, as the successor of an instance, and a standby when the voter of its
// own zone has been silent for StandbyAfter. A voter that never asked this leader is of
// unknown zone and may be partitioned with its region: only a newcomer may replace it.
func (g *Group) canSubstitute(now time.Time, s replog.Status, a JoinRequest) bool {
	if len(s.Config.Members()) > g.rules.MaxMembers {
		return false
	}
	for _, m := range s.Config.Voters {
		since, silent := g.silentSince[m.ID]
		switch {
		case !silent:
		case a.Newcomer && g.canReplace(a.Zone, m.ID):
			return true
		case g.zones[m.ID] == a.Zone && now.Sub(since) >= g.rules.StandbyAfter:
			return true
		}
	}
	return false
}

// nextLearner returns the instance to add next: of the region, then of the zone, with the
// fewest members.
func (g *Group) nextLearner(now time.Time, s replog.Status) (replog.ConfChange, bool) {
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
	for id, a := range g.requests {
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
