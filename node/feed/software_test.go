package feed_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/node/feed"
)

// Guards against a stream that is sent to a region without targets of its software version, and one that
// is not sent to a region whose targets of that version are cold or draining.
func TestRegionsTellTheSoftwareOfTheirTargets(t *testing.T) {
	st := feed.NewStore(feed.Core{ID: "1", Region: "r", Zone: "z"}, 7)
	target := func(id, software string, draining bool) feed.Target {
		return feed.Target{ID: id, Service: "s", Region: "q", Zone: "y", Slots: 1, Software: software, Draining: draining}
	}
	told := func(at time.Time, targets ...feed.Target) map[string]int {
		st.SetList(feed.NewList(targets, at, feed.List{}), true)
		u := &feed.Update{}
		st.FillUpdate(at, feed.Report{Self: feed.Entry{ID: "e", Region: "r"}}, nil, u)
		if len(u.Regions) != 1 {
			t.Fatalf("%d regions", len(u.Regions))
		}
		return u.Regions[0].Software
	}
	for n, c := range []struct {
		targets []feed.Target
		want    map[string]int
	}{
		{[]feed.Target{target("a", "v1", false), target("b", "v2", true), target("c", "v1", false)}, map[string]int{"v1": 2, "v2": 1}},
		{[]feed.Target{target("a", "v1", false)}, map[string]int{"v1": 1}},
		{[]feed.Target{target("a", "", false)}, nil},
	} {
		if got := told(t0.Add(time.Duration(n+1)*time.Second), c.targets...); !reflect.DeepEqual(got, c.want) {
			t.Errorf("case %d: %v", n, got)
		}
	}
}
