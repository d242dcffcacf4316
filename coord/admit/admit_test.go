package admit_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/coord/admit"
	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/replog/confchange"
)

func member(id string) replog.Member { return replog.Member{ID: id, Incarnation: uint64(id[0])} }

// view is a group as its leader "a" sees it.
type view struct {
	config replog.Config
	silent map[string]bool
	zones  map[string]string
}

func newView(ids ...string) *view {
	v := &view{silent: map[string]bool{}, zones: map[string]string{}}
	for _, id := range ids {
		v.config.Voters = append(v.config.Voters, member(id))
		v.zones[id] = "z" + id
	}
	return v
}

func (v *view) status() replog.Status {
	s := replog.Status{Self: member("a"), Role: replog.Leader, Config: v.config}
	for _, m := range v.config.Members() {
		if m.ID != "a" {
			s.Peers = append(s.Peers, replog.Peer{Member: m, Voter: v.config.IsVoter(m), CaughtUp: !v.silent[m.ID]})
		}
	}
	return s
}

func (v *view) active(p replog.Peer) bool { return !v.silent[p.Member.ID] }

// sendRequests sends a join request of each member that is not silent.
func (v *view) sendRequests(g *admit.Group, now time.Time, newcomers ...string) {
	for _, m := range v.config.Members() {
		if !v.silent[m.ID] {
			newcomer := false
			for _, id := range newcomers {
				newcomer = newcomer || id == m.ID
			}
			g.RecordRequest(admit.JoinRequest{Member: m, Zone: v.zones[m.ID], Newcomer: newcomer, At: now})
		}
	}
}

// Guards against a group that loses its majority after a few replacements of
// instances: one is lost permanently, another one starts at a new address, and the lost
// voter stays.
func TestNewcomerReplacesSilentVoterOfItsZone(t *testing.T) {
	Convey("a voter is gone and a newcomer of its zone asks", t, func() {
		v, g, now := newView("a", "b", "c"), admit.New(admit.Rules{}), time.Unix(100, 0)
		v.sendRequests(g, now)
		v.silent["c"] = true
		v.zones["d"] = v.zones["c"]
		g.RecordRequest(admit.JoinRequest{Member: member("d"), Zone: v.zones["d"], Newcomer: true, At: now})
		var kinds []confchange.Kind
		for range 20 {
			now = now.Add(300 * time.Millisecond)
			v.sendRequests(g, now, "d")
			if _, in := v.config.Lookup("d"); !in {
				g.RecordRequest(admit.JoinRequest{Member: member("d"), Zone: v.zones["d"], Newcomer: true, At: now})
			}
			ch, ok := g.Next(now, v.status(), v.active)
			if !ok {
				continue
			}
			next, err := v.config.Apply(ch)
			So(err, ShouldBeNil)
			v.config = next
			kinds = append(kinds, ch.Kind)
		}
		So(kinds, ShouldResemble, []confchange.Kind{confchange.AddLearner, confchange.Promote, confchange.Remove})
		_, in := v.config.Lookup("c")
		So(in, ShouldBeFalse)
		So(len(v.config.Voters), ShouldEqual, 3)
		So(g.Settled(v.status(), member("d")), ShouldBeTrue)
	})
}

// Guards against a group of five that shrinks to two while voters are only partitioned:
// voters become silent and return in any order, no machine is replaced, and silence alone
// is taken for death.
func TestSilenceAloneRemovesNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, g, now := newView("a", "b", "c", "d", "e"), admit.New(admit.Rules{}), time.Unix(100, 0)
		for id := range v.zones {
			v.zones[id] = "z" + fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "zone"))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(100, 3000).Draw(t, "pause")) * time.Millisecond)
			id := rapid.SampledFrom([]string{"b", "c", "d", "e"}).Draw(t, "who")
			v.silent[id] = rapid.Bool().Draw(t, "silent")
			v.sendRequests(g, now)
			if ch, ok := g.Next(now, v.status(), v.active); ok {
				t.Fatalf("change %v %v", ch.Kind, ch.Member)
			}
		}
	})
}

// Guards against two voters removed for one newcomer: two voters of a zone are silent when
// one newcomer has become a voter, and it replaces each of them.
func TestOneNewcomerReplacesOneVoter(t *testing.T) {
	v, g, now := newView("a", "b", "c", "d", "e"), admit.New(admit.Rules{}), time.Unix(100, 0)
	v.zones["c"], v.zones["d"], v.zones["e"] = "z", "z", "z"
	v.sendRequests(g, now)
	v.silent["c"], v.silent["d"] = true, true
	removed := 0
	for range 20 {
		now = now.Add(time.Second)
		v.sendRequests(g, now, "e")
		ch, ok := g.Next(now, v.status(), v.active)
		if !ok {
			continue
		}
		removed++
		next, err := v.config.Apply(ch)
		if err != nil {
			t.Fatal(err)
		}
		v.config = next
		if g.Settled(v.status(), member("e")) {
			break
		}
	}
	// The second one may be removed only for another newcomer; the instance clears its flag
	// when it learns that it is settled, which it isn't while a voter of its zone is silent.
	if removed > 2 || len(v.config.Voters) < 3 {
		t.Fatalf("%d removed, %d voters left", removed, len(v.config.Voters))
	}
}

func TestOnlyTheLeaderChangesTheGroup(t *testing.T) {
	v, g := newView("a", "b"), admit.New(admit.Rules{})
	s := v.status()
	s.Role = replog.Follower
	g.RecordRequest(admit.JoinRequest{Member: member("x"), Zone: "z", At: time.Unix(100, 0)})
	if ch, ok := g.Next(time.Unix(100, 0), s, v.active); ok {
		t.Fatalf("a follower wants %v", ch)
	}
}

func TestExpiredJoinRequestIsIgnored(t *testing.T) {
	v, g := newView("a", "b"), admit.New(admit.Rules{})
	g.RecordRequest(admit.JoinRequest{Member: member("x"), Zone: "z", At: time.Unix(100, 0)})
	if ch, ok := g.Next(time.Unix(103, 0), v.status(), v.active); ok {
		t.Fatalf("an instance that asked three seconds ago is added: %v", ch)
	}
}
