package admit_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/coord/admit"
	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/replog/confchange"
)

// largeGroup is a group whose leader "a" gets join requests of many instances.
type largeGroup struct {
	*view
	t          *rapid.T
	g          *admit.Group
	now        time.Time
	maxMembers int
	// all are the ids of instances that ask unless they are silent.
	all     []string
	regions map[string]string
	removed []string
}

func newLargeGroup(t *rapid.T) *largeGroup {
	c := &largeGroup{view: newView("a"), t: t, now: time.Unix(100, 0), regions: map[string]string{}}
	c.maxMembers = rapid.IntRange(3, 9).Draw(t, "most")
	c.g = admit.New(admit.Rules{MaxMembers: c.maxMembers})
	regions := rapid.IntRange(1, 3).Draw(t, "regions")
	for n := range rapid.IntRange(1, 40).Draw(t, "instances") {
		id := "a"
		if n > 0 {
			id = fmt.Sprintf("m%02d", n)
		}
		c.all = append(c.all, id)
		c.regions[id] = fmt.Sprint("r", n%regions)
		c.zones[id] = fmt.Sprint(c.regions[id], "-", n/regions%2)
	}
	return c
}

// run advances time by d. Meanwhile all that are not silent ask, and the leader makes
// its changes.
func (c *largeGroup) run(d time.Duration) {
	const tick = 300 * time.Millisecond
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(tick)
		for _, id := range c.all {
			if !c.silent[id] {
				c.g.RecordRequest(admit.JoinRequest{Member: memberOf(id), Region: c.regions[id], Zone: c.zones[id], At: c.now})
			}
		}
		ch, ok := c.g.Next(c.now, c.status(), c.active)
		if !ok {
			continue
		}
		next, err := c.config.Apply(ch)
		if err != nil {
			c.t.Fatal(err)
		}
		if ch.Kind == confchange.Remove {
			c.removed = append(c.removed, ch.Member.ID)
		}
		if len(next.Voters) < len(c.config.Voters) && len(next.Voters) < c.maxMembers {
			c.t.Fatalf("%v leaves %d voters of %d", ch.Member, len(next.Voters), c.maxMembers)
		}
		c.config = next
		if len(c.config.Members()) > c.maxMembers+1 {
			c.t.Fatalf("%d members, want at most %d and a successor", len(c.config.Members()), c.maxMembers)
		}
	}
}

// voterSpread returns the lowest number of voters of a region with instances outside the
// group, and the highest number of any region.
func (c *largeGroup) voterSpread() (lowest, highest int) {
	voters, outside := map[string]int{}, map[string]bool{}
	for _, id := range c.all {
		if _, in := c.config.Lookup(id); in {
			voters[c.regions[id]]++
		} else {
			outside[c.regions[id]] = true
		}
	}
	lowest = len(c.all)
	for r := range outside {
		lowest = min(lowest, voters[r])
	}
	for _, n := range voters {
		highest = max(highest, n)
	}
	return lowest, highest
}

func memberOf(id string) replog.Member {
	if id == "a" {
		return member("a")
	}
	return replog.Member{ID: id, Incarnation: 7}
}

// Guards against a leader that spends its processor on heartbeats with a hundred core
// instances, and a group that takes half a minute to form: many instances ask for
// membership at once and each is added.
func TestGroupIsBoundedAndSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newLargeGroup(t)
		c.run(20 * time.Second)
		if want := min(c.maxMembers, len(c.all)); len(c.config.Voters) != want {
			t.Fatalf("%d voters, want %d", len(c.config.Voters), want)
		}
		if least, most := c.voterSpread(); most-least > 1 {
			t.Fatalf("a region has %d voters, one with instances outside has %d", most, least)
		}
		if len(c.removed) > 0 {
			t.Fatalf("removed %v", c.removed)
		}
	})
}

// Guards against a lost voter that is never replaced although standbys exist, and against
// a voter that is removed after a short silence: a standby can't join, or silence is taken
// for death too soon.
func TestStandbyReplacesLostVoterOfItsZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newLargeGroup(t)
		c.run(20 * time.Second)
		var others []string
		for _, m := range c.config.Voters {
			if m.ID != "a" {
				others = append(others, m.ID)
			}
		}
		if len(others) == 0 {
			return
		}
		lost := rapid.SampledFrom(others).Draw(t, "lost")
		c.silent[lost] = true
		c.run(time.Duration(rapid.IntRange(1, 9000).Draw(t, "pause")) * time.Millisecond)
		if _, in := c.config.Lookup(lost); !in || len(c.config.Members()) > c.maxMembers {
			t.Fatalf("%s was removed early: %v", lost, c.config)
		}
		standby := false
		for _, id := range c.all {
			_, in := c.config.Lookup(id)
			standby = standby || !in && c.zones[id] == c.zones[lost]
		}
		c.run(40 * time.Second)
		_, in := c.config.Lookup(lost)
		if in == standby {
			t.Fatalf("a standby of its zone exists: %v, the lost voter is still a member: %v", standby, in)
		}
		if want := min(c.maxMembers, len(c.all)); len(c.config.Voters) != want {
			t.Fatalf("%d voters, want %d", len(c.config.Voters), want)
		}
		c.silent[lost] = false
		c.run(20 * time.Second)
		if want := min(c.maxMembers, len(c.all)); len(c.config.Voters) != want {
			t.Fatalf("%d voters after it returned, want %d", len(c.config.Voters), want)
		}
	})
}

// Guards against a region without voters after a partition of an hour: all its instances
// become silent together and instances of other regions take their places.
func TestPartitionedRegionKeepsItsVoters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newLargeGroup(t)
		c.run(20 * time.Second)
		for _, id := range c.all {
			c.silent[id] = c.regions[id] != "r0"
		}
		c.run(time.Minute)
		if len(c.removed) > 0 {
			t.Fatalf("removed %v", c.removed)
		}
	})
}
