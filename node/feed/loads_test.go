package feed_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/gullhaven/gullhaven/node/feed"
	"github.com/gullhaven/gullhaven/route/pick"
)

// Symptom: entry instances on thin links receive 200 KB a second, and core instances send
// thirty times as much, when nothing is wrong.
// Events: a region of hundreds of instances before thousands of targets, most of them busy.
// Cause: each instance was told the loads of all targets.
func TestLoadsAreToldByGroup(t *testing.T) {
	const n, instances = 4000, 300
	b := feed.NewBoard(me, 1)
	var list []feed.Target
	var ids []string
	for k := range n {
		id := fmt.Sprint("t", k)
		ids = append(ids, id)
		list = append(list, feed.Target{ID: id, Service: "s", Region: me.Region, Zone: me.Zone})
	}
	b.Listed(feed.NewList(list, t0, feed.List{}), true)
	s := pick.Snapshot{Rules: map[string]pick.ServiceRules{}}
	for k := range instances {
		s.Entries = append(s.Entries, fmt.Sprint("e", k))
	}
	for _, id := range ids {
		s.Targets = append(s.Targets, pick.Target{ID: id, Service: "s"})
	}
	for k, id := range s.Entries {
		e := feed.Entry{ID: id, Region: me.Region, Ready: true}
		for j := k; j < n; j += instances {
			e.Loads = append(e.Loads, feed.Load{Target: ids[j], Running: 1})
		}
		b.Reported(t0, e)
	}
	told, most, sum := map[string]int{}, 0, 0
	for _, id := range s.Entries {
		p := pick.New(id)
		p.Update(t0, s)
		r := feed.Report{Self: feed.Entry{ID: id, Region: me.Region}, Part: true, Groups: p.WatchedGroups()}
		var u feed.Update
		b.Fill(t0, r, nil, &u)
		data, err := cbor.Marshal(u.Loads)
		if err != nil {
			t.Fatal(err)
		}
		most, sum = max(most, len(data)), sum+len(data)
		for _, l := range u.Loads {
			told[l.Target] += l.Running
		}
	}
	// An instance leaves out its own load, which it knows.
	for _, id := range ids {
		if told[id] == 0 {
			t.Fatalf("nobody is told the load of %s", id)
		}
	}
	if sum > 2*n*20 || most > 10*groupBytes {
		t.Errorf("%d bytes to all instances, %d to one", sum, most)
	}
}

// groupBytes is about what the loads of a group take.
const groupBytes = 20 * 20
