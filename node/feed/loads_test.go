package feed_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/gullhaven/gullhaven/node/feed"
	"github.com/gullhaven/gullhaven/route/pick"
)

// Guards against entry instances on slow links that receive 200 KB a second, and core instances
// that send thirty times as much, without any fault: a region has hundreds of instances and
// thousands of targets, most of them busy, and each instance is sent the loads of all targets.
func TestLoadsAreSentByGroup(t *testing.T) {
	const n, instances = 4000, 300
	b := feed.NewStore(me, 1)
	var list []feed.Target
	var ids []string
	for k := range n {
		id := fmt.Sprint("t", k)
		ids = append(ids, id)
		list = append(list, feed.Target{ID: id, Service: "s", Region: me.Region, Zone: me.Zone})
	}
	b.SetList(feed.NewList(list, t0, feed.List{}), true)
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
		b.AddReport(t0, e)
	}
	sent, largest, total := map[string]int{}, 0, 0
	for _, id := range s.Entries {
		p := pick.New(id)
		p.Update(t0, s)
		r := feed.Report{Self: feed.Entry{ID: id, Region: me.Region}, PartialLoads: true, Groups: p.WatchedGroups()}
		var u feed.Update
		b.FillUpdate(t0, r, nil, &u)
		data, err := cbor.Marshal(u.Loads)
		if err != nil {
			t.Fatal(err)
		}
		largest, total = max(largest, len(data)), total+len(data)
		for _, l := range u.Loads {
			sent[l.Target] += l.Running
		}
	}
	// An instance is not sent its own load, which it knows.
	for _, id := range ids {
		if sent[id] == 0 {
			t.Fatalf("no instance is sent the load of %s", id)
		}
	}
	if total > 2*n*20 || largest > 10*groupBytes {
		t.Errorf("%d bytes to all instances, %d to one", total, largest)
	}
}

// groupBytes is about the size of the loads of a group.
const groupBytes = 20 * 20
