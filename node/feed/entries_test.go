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

// Symptom: an entry instance names instances that are gone, or does not know new ones.
// Events: hundreds come, leave, change and return; an asker hears of it now and then, and
// turns to another core instance, or to one that has started anew.
// Cause: differences that were told from the wrong state.
func TestNewsOfEntriesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := t0
		boards := []*feed.Store{feed.NewStore(me, 1), feed.NewStore(me, 2)}
		asker := feed.Entry{ID: "e0", Region: "r", Zone: "z", Ready: true}
		known := feed.Known{Self: asker.ID}
		there := map[string]feed.Entry{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(60, 900).Draw(t, "pause")) * time.Millisecond)
			changeEntries(t, there)
			there[asker.ID] = asker
			for _, b := range boards {
				for _, e := range there {
					b.AddReport(now, e)
				}
			}
			if rapid.IntRange(0, 2).Draw(t, "hears") > 0 {
				continue
			}
			if rapid.IntRange(0, 9).Draw(t, "starts anew") == 0 {
				boards[0] = feed.NewStore(me, rapid.Uint64Range(3, 1<<60).Draw(t, "epoch"))
				for _, e := range there {
					boards[0].AddReport(now, e)
				}
			}
			now = now.Add(feed.EntryTTL)
			b := boards[rapid.IntRange(0, 1).Draw(t, "board")]
			for _, e := range there {
				b.AddReport(now, e)
			}
			var u feed.Update
			b.FillUpdate(now, feed.Report{Self: asker, EntriesEpoch: known.Epoch, EntriesAt: known.At}, nil, &u)
			if u.Entries != nil && !known.Apply(u.Entries) {
				t.Fatalf("news %+v do not fit %+v", u.Entries, known)
			}
			checkKnown(t, known, there, asker.ID)
		}
	})
}

// changeEntries lets some instances come, leave, go and return.
func changeEntries(t *rapid.T, there map[string]feed.Entry) {
	for range rapid.IntRange(0, 4).Draw(t, "changes") {
		id := fmt.Sprint("e", rapid.IntRange(1, 8).Draw(t, "id"))
		switch rapid.IntRange(0, 2).Draw(t, "change") {
		case 0:
			delete(there, id)
		case 1:
			there[id] = feed.Entry{ID: id, Region: "r", Zone: "z", CallerAddress: id, Ready: true}
		case 2:
			there[id] = feed.Entry{ID: id, Region: "r", Zone: "z", CallerAddress: id, Loads: []feed.Load{{Target: "x", Running: 1}}}
		}
	}
}

// checkKnown compares what the asker knows with who is there.
func checkKnown(t *rapid.T, known feed.Known, there map[string]feed.Entry, self string) {
	var want []feed.Entry
	for id, e := range there {
		if id != self {
			e.Loads = nil
			want = append(want, e)
		}
	}
	slices.SortFunc(want, func(a, b feed.Entry) int { return slices.Compare([]byte(a.ID), []byte(b.ID)) })
	same := func(a, b feed.Entry) bool { return fmt.Sprint(a) == fmt.Sprint(b) }
	if !slices.EqualFunc(known.Entries, want, same) {
		t.Fatalf("known %+v, there %+v", known.Entries, want)
	}
}

// Symptom: the news of a core instance grow without bound, or lose who went.
// Events: many instances come and go while an asker hears nothing.
// Cause: what went is kept for good, or forgotten while somebody lacks it.
func TestNewsAfterLongSilenceAreWhole(t *testing.T) {
	b, now := feed.NewStore(me, 1), t0
	asker := feed.Report{Self: feed.Entry{ID: "a", Region: "r"}}
	var known feed.Known
	hear := func() *feed.EntriesUpdate {
		var u feed.Update
		asker.EntriesEpoch, asker.EntriesAt = known.Epoch, known.At
		b.FillUpdate(now, asker, nil, &u)
		if u.Entries != nil && !known.Apply(u.Entries) {
			t.Fatalf("%+v", u.Entries)
		}
		return u.Entries
	}
	b.AddReport(now, feed.Entry{ID: "first", Region: "r"})
	hear()
	for n := range 600 {
		now = now.Add(feed.EntryTTL)
		b.AddReport(now, feed.Entry{ID: fmt.Sprint("e", n), Region: "r"})
		b.FillUpdate(now, feed.Report{}, nil, &feed.Update{})
	}
	if n := hear(); n.Base != 0 || len(n.Removed) > 0 {
		t.Fatalf("%+v", n)
	}
	if len(known.Entries) != 1 || known.Entries[0].ID != "e599" {
		t.Fatalf("%+v", known)
	}
}

// Symptom: a core instance spends a start on encoding who is there.
// Events: hundreds of instances come within a second; each is told all of them.
// Cause: each answer was made and encoded by itself.
func TestNewsAreMadeOnceForAllThatLackTheSame(t *testing.T) {
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
			t.Fatalf("asker %d is told by news of its own", n)
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

// Symptom: a core instance sends 30 MB a second during a start and answers no vote.
// Events: a thousand instances ask the same core instance for who is there.
// Cause: a question for the state was answered with all targets and instances.
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
