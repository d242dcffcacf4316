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

// crowd is a group whose leader "a" hears the applications of many.
type crowd struct {
	*view
	t    *rapid.T
	g    *admit.Group
	now  time.Time
	most int
	// all are the ids that ask unless they are silent.
	all     []string
	regions map[string]string
	removed []string
}

func newCrowd(t *rapid.T) *crowd {
	c := &crowd{view: newView("a"), t: t, now: time.Unix(100, 0), regions: map[string]string{}}
	c.most = rapid.IntRange(3, 9).Draw(t, "most")
	c.g = admit.New(admit.Rules{MaxMembers: c.most})
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

// pass lets time pass, in which all that are not silent ask and the leader changes
// what it wants to change.
func (c *crowd) pass(d time.Duration) {
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
		if len(next.Voters) < len(c.config.Voters) && len(next.Voters) < c.most {
			c.t.Fatalf("%v leaves %d voters of %d", ch.Member, len(next.Voters), c.most)
		}
		c.config = next
		if len(c.config.Members()) > c.most+1 {
			c.t.Fatalf("%d members, at most %d and a successor", len(c.config.Members()), c.most)
		}
	}
}

// spread is by how many voters regions differ that have instances outside.
func (c *crowd) spread() (least, most int) {
	voters, outside := map[string]int{}, map[string]bool{}
	for _, id := range c.all {
		if _, in := c.config.Lookup(id); in {
			voters[c.regions[id]]++
		} else {
			outside[c.regions[id]] = true
		}
	}
	least = len(c.all)
	for r := range outside {
		least = min(least, voters[r])
	}
	for _, n := range voters {
		most = max(most, n)
	}
	return least, most
}

func memberOf(id string) replog.Member {
	if id == "a" {
		return member("a")
	}
	return replog.Member{ID: id, Incarnation: 7}
}

// Symptom: with a hundred core instances the leader spends its processor on
// heartbeats, and a group forms for half a minute.
// Events: many instances ask for membership at once.
// Cause: each of them is let in.
func TestGroupIsBoundedAndSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCrowd(t)
		c.pass(20 * time.Second)
		if want := min(c.most, len(c.all)); len(c.config.Voters) != want {
			t.Fatalf("%d voters, want %d", len(c.config.Voters), want)
		}
		if least, most := c.spread(); most-least > 1 {
			t.Fatalf("a region has %d voters, one with instances outside has %d", most, least)
		}
		if len(c.removed) > 0 {
			t.Fatalf("removed %v", c.removed)
		}
	})
}

// Symptom: a voter that is gone for good is never replaced although instances wait
// outside; or one that is silent for a moment loses its place.
// Events: one voter falls silent, for a while or for good.
// Cause: no way in from outside, or one that takes silence for death too soon.
func TestInstanceFromOutsideTakesThePlaceOfALostVoter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCrowd(t)
		c.pass(20 * time.Second)
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
		c.pass(time.Duration(rapid.IntRange(1, 9000).Draw(t, "pause")) * time.Millisecond)
		if _, in := c.config.Lookup(lost); !in || len(c.config.Members()) > c.most {
			t.Fatalf("%s lost its place early: %v", lost, c.config)
		}
		stands := false
		for _, id := range c.all {
			_, in := c.config.Lookup(id)
			stands = stands || !in && c.zones[id] == c.zones[lost]
		}
		c.pass(40 * time.Second)
		_, in := c.config.Lookup(lost)
		if in == stands {
			t.Fatalf("an instance of its zone waits: %v, the lost one has its place: %v", stands, in)
		}
		if want := min(c.most, len(c.all)); len(c.config.Voters) != want {
			t.Fatalf("%d voters, want %d", len(c.config.Voters), want)
		}
		c.silent[lost] = false
		c.pass(20 * time.Second)
		if want := min(c.most, len(c.all)); len(c.config.Voters) != want {
			t.Fatalf("%d voters after it came back, want %d", len(c.config.Voters), want)
		}
	})
}

// Symptom: a region that is cut off for an hour has no voters left.
// Events: all instances of one region fall silent together.
// Cause: instances of other regions take the places.
func TestCutOffRegionKeepsItsPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCrowd(t)
		c.pass(20 * time.Second)
		for _, id := range c.all {
			c.silent[id] = c.regions[id] != "r0"
		}
		c.pass(time.Minute)
		if len(c.removed) > 0 {
			t.Fatalf("removed %v", c.removed)
		}
	})
}
