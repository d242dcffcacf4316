package feed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gullhaven/gullhaven/node/feed"
	"github.com/gullhaven/gullhaven/route/pick"
)

// BenchmarkSecond runs one second of a core instance: reports and their answers, and gossip. A
// ninth of the entry instances report to it; there are 10 targets for each entry instance.
func BenchmarkSecond(b *testing.B) {
	for _, instances := range []int{100, 300, 1000, 2000} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) { benchmarkSecond(b, instances) })
	}
}

func benchmarkSecond(b *testing.B, instances int) {
	const regions, cores, reportsPerSecond, busyShare = 3, 9, 5, 4
	store := feed.NewStore(feed.Core{ID: "0", Region: "r0", Zone: "z"}, 1)
	var targets []feed.Target
	for k := range 10 * instances {
		targets = append(targets, feed.Target{ID: fmt.Sprint("t", k), Service: "s", Region: fmt.Sprint("r", k%regions), Slots: 48})
	}
	store.SetList(feed.NewList(targets, t0, feed.List{}), true)
	entry := func(n int) feed.Entry {
		return feed.Entry{ID: fmt.Sprint("10.0.0.", n, ":7020"), Region: fmt.Sprint("r", n%regions), Zone: "z", CallerAddress: fmt.Sprint("10.0.0.", n, ":80"), Ready: true}
	}
	var near, far []feed.Entry
	for n := range instances {
		if n%cores == 0 {
			e := entry(n - n%regions)
			for j := n; j < 10*instances; j += instances * busyShare {
				e.Loads = append(e.Loads, feed.Load{Target: fmt.Sprint("t", j-j%regions), Running: 1, PendingPrefill: []int{500}})
			}
			near = append(near, e)
		} else {
			far = append(far, entry(n))
		}
	}
	gossip := feed.Gossip{From: feed.Core{ID: "1", Region: "r1"}, Entries: far}
	now, sent := t0, 0
	for b.Loop() {
		sent = 0
		for range reportsPerSecond {
			now = now.Add(time.Second / reportsPerSecond)
			store.MergeGossip(now, gossip)
			for n, e := range near {
				store.AddReport(now, e)
				r := feed.Report{Self: e, ListDigest: store.List().Digest, PartialLoads: true, Groups: []pick.Group{{Service: "s", Number: n}}}
				var u feed.Update
				store.FillUpdate(now.Add(time.Duration(n)*200*time.Millisecond/time.Duration(len(near))), r, nil, &u)
				u.Entries = nil
				data, err := cbor.Marshal(u)
				if err != nil {
					b.Fatal(err)
				}
				sent += len(data)
			}
		}
		for range 2 {
			for _, in := range []bool{true, false} {
				data, err := cbor.Marshal(store.Gossip(now, in, false))
				if err != nil {
					b.Fatal(err)
				}
				sent += len(data) * cores / 2
			}
		}
	}
	b.ReportMetric(float64(sent), "B/s")
}
