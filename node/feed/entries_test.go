package feed_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/node/feed"
)

// Guards against updates based on the wrong state: an entry instance names instances that are gone,
// or misses new ones. Hundreds join, leave, change and return; the receiver gets an update only now
// and then, and switches to another core instance or to one that has restarted.
func TestEntriesUpdatesMatchState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := t0
		stores := []*feed.Store{feed.NewStore(me, 1), feed.NewStore(me, 2)}
		receiver := feed.Entry{ID: "e0", Region: "r", Zone: "z", Ready: true}
		known := feed.Known{Self: receiver.ID}
		live := map[string]feed.Entry{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(60, 900).Draw(t, "pause")) * time.Millisecond)
			changeEntries(t, live)
			live[receiver.ID] = receiver
			for _, b := range stores {
				for _, e := range live {
					b.AddReport(now, e)
				}
			}
			if rapid.IntRange(0, 2).Draw(t, "receives") > 0 {
				continue
			}
			if rapid.IntRange(0, 9).Draw(t, "restarts") == 0 {
				stores[0] = feed.NewStore(me, rapid.Uint64Range(3, 1<<60).Draw(t, "epoch"))
				for _, e := range live {
					stores[0].AddReport(now, e)
				}
			}
			now = now.Add(feed.EntryTTL)
			b := stores[rapid.IntRange(0, 1).Draw(t, "store")]
			for _, e := range live {
				b.AddReport(now, e)
			}
			var u feed.Update
			b.FillUpdate(now, feed.Report{Self: receiver, EntriesEpoch: known.Epoch, EntriesAt: known.At}, nil, &u)
			if u.Entries != nil && !known.Apply(u.Entries) {
				t.Fatalf("update %+v does not apply to %+v", u.Entries, known)
			}
			checkKnown(t, known, live, receiver.ID)
		}
	})
}

// changeEntries makes some instances join, leave, stop and return.
func changeEntries(t *rapid.T, live map[string]feed.Entry) {
	for range rapid.IntRange(0, 4).Draw(t, "changes") {
		id := fmt.Sprint("e", rapid.IntRange(1, 8).Draw(t, "id"))
		switch rapid.IntRange(0, 2).Draw(t, "change") {
		case 0:
			delete(live, id)
		case 1:
			live[id] = feed.Entry{ID: id, Region: "r", Zone: "z", CallerAddress: id, Ready: true}
		case 2:
			live[id] = feed.Entry{ID: id, Region: "r", Zone: "z", CallerAddress: id, Loads: []feed.Load{{Target: "x", Running: 1}}}
		}
	}
}

// checkKnown compares what the receiver knows with the live instances.
func checkKnown(t *rapid.T, known feed.Known, live map[string]feed.Entry, self string) {
	var want []feed.Entry
	for id, e := range live {
		if id != self {
			e.Loads = nil
			want = append(want, e)
		}
	}
	slices.SortFunc(want, func(a, b feed.Entry) int { return slices.Compare([]byte(a.ID), []byte(b.ID)) })
	same := func(a, b feed.Entry) bool { return fmt.Sprint(a) == fmt.Sprint(b) }
	if !slices.EqualFunc(known.Entries, want, same) {
		t.Fatalf("known %+v, live %+v", known.Entries, want)
	}
}

// Guards against updates that grow without bound, or miss removals: many instances join and leave
// while the receiver gets no update, and removals are kept forever or dropped while somebody misses
// them.
func TestUpdateAfterLongSilenceIsComplete(t *testing.T) {
	b, now := feed.NewStore(me, 1), t0
	receiver := feed.Report{Self: feed.Entry{ID: "a", Region: "r"}}
	var known feed.Known
	fetch := func() *feed.EntriesUpdate {
		var u feed.Update
		receiver.EntriesEpoch, receiver.EntriesAt = known.Epoch, known.At
		b.FillUpdate(now, receiver, nil, &u)
		if u.Entries != nil && !known.Apply(u.Entries) {
			t.Fatalf("%+v", u.Entries)
		}
		return u.Entries
	}
	b.AddReport(now, feed.Entry{ID: "first", Region: "r"})
	fetch()
	for n := range 600 {
		now = now.Add(feed.EntryTTL)
		b.AddReport(now, feed.Entry{ID: fmt.Sprint("e", n), Region: "r"})
		b.FillUpdate(now, feed.Report{}, nil, &feed.Update{})
	}
	if n := fetch(); n.Base != 0 || len(n.Removed) > 0 {
		t.Fatalf("%+v", n)
	}
	if len(known.Entries) != 1 || known.Entries[0].ID != "e599" {
		t.Fatalf("%+v", known)
	}
}

// Guards against a core instance that spends a start on encoding the entry instances: hundreds join
// within a second, each is sent all of them, and each answer is built and encoded by itself.
func TestEntriesUpdateIsShared(t *testing.T) {
	b := feed.NewStore(me, 1)
	for n := range 1000 {
		b.AddReport(t0, feed.Entry{ID: fmt.Sprint("e", n), Region: "r", Ready: true})
	}
	var first *feed.EntriesUpdate
	for n := range 1000 {
		var u feed.Update
		b.FillUpdate(t0, feed.Report{Self: feed.Entry{ID: fmt.Sprint("e", n), Region: "r"}}, nil, &u)
		if first == nil {
			first = u.Entries
		}
		if u.Entries != first {
			t.Fatalf("receiver %d gets an update of its own", n)
		}
	}
	data, err := cbor.Marshal(first)
	if err != nil {
		t.Fatal(err)
	}
	var got feed.EntriesUpdate
	if err := cbor.Unmarshal(data, &got); err != nil || len(got.Entries) != 1000 || got.At != first.At {
		t.Errorf("%d entries of %d, %v", len(got.Entries), len(first.Entries), err)
	}
}

// Guards against a core instance that sends 30 MB a second during a start and answers no vote: a
// thousand instances ask the same one, and each probe is answered with all targets and instances.
func TestProbeIsAnsweredInFewBytes(t *testing.T) {
	b := feed.NewStore(me, 1)
	for n := range 1000 {
		b.AddReport(t0, feed.Entry{ID: fmt.Sprint("e", n), Region: "r", Ready: true})
	}
	var targets []feed.Target
	for n := range 10000 {
		targets = append(targets, feed.Target{ID: fmt.Sprint("t", n), Service: "s", Region: "r"})
	}
	b.SetList(feed.NewList(targets, t0, feed.List{}), true)
	u := feed.Update{HasLeader: true}
	b.FillUpdate(t0, feed.Report{Self: feed.Entry{ID: "new", Region: "r"}, Brief: true, Probe: true}, nil, &u)
	data, err := cbor.Marshal(u)
	if err != nil || len(data) > 100 || len(u.Cores) != 1 || u.ListAgeMillis != -1 {
		t.Errorf("%d bytes, %+v, %v", len(data), u, err)
	}
}
