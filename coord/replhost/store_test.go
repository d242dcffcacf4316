package replhost

import (
	"errors"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/coord/wal/faultfs"
)

// Symptom: a node starts with a log that it never had, or without one it had.
// Events: hard states, entries that replace others, own snapshots and those of
// a leader, in any order; a crash in one of them; start.
// Cause: entries of before a leader's snapshot that are kept, a segment that
// begins without what its snapshot doesn't cover.
func TestStoreStartsWithWhatWasWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := faultfs.New()
		o := Options{FS: fs, Dir: "/d", SegmentBytes: 500, Random: func() uint64 { return 1 }}
		var s *store
		var before, after replog.State
		open := func() {
			st, got, _, err := openStore(o)
			if err != nil {
				t.Fatal(err)
			}
			if !sameState(got, before) && !sameState(got, after) {
				t.Fatalf("found %+v\nbefore %+v\nafter %+v", got, before, after)
			}
			s, before = st, got
		}
		open()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			after = before
			crash := rapid.IntRange(0, 5).Draw(t, "crash") == 0
			if crash {
				fs.CrashAfter(rapid.IntRange(0, 600).Draw(t, "budget"))
			}
			r, own := drawWrite(t, &after)
			var err error
			if own != nil {
				err = s.save(*own)
			} else {
				err = s.write(&r)
			}
			if err != nil && !errors.Is(err, faultfs.ErrCrashed) {
				t.Fatal(err)
			}
			if err == nil {
				before = after
			}
			if crash || err != nil {
				fs.PowerLoss(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "kept") })
				open()
			}
		}
		fs.Kill()
		open()
	})
}

func sameState(a, b replog.State) bool {
	if len(a.Entries) == 0 && len(b.Entries) == 0 {
		a.Entries, b.Entries = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

func last(s replog.State) uint64 {
	if n := len(s.Entries); n > 0 {
		return s.Entries[n-1].Index
	}
	return first(s) - 1
}

// first is the index behind the snapshot.
func first(s replog.State) uint64 {
	if s.Snapshot != nil {
		return s.Snapshot.Index + 1
	}
	return 1
}

// drawWrite draws one write and carries it out on the state. A crash may leave
// the state before or after as a whole, so that each draw has one part only.
func drawWrite(t *rapid.T, s *replog.State) (r replog.Ready, own *replog.Snapshot) {
	switch rapid.IntRange(0, 5).Draw(t, "write") {
	case 0:
		s.HardState.Term++
		hs := s.HardState
		return replog.Ready{HardState: &hs}, nil
	case 1:
		s.Snapshot = &replog.Snapshot{Index: first(*s) + rapid.Uint64Range(0, 8).Draw(t, "ahead"), Data: []byte{2}}
		s.Entries = nil
		return replog.Ready{Snapshot: s.Snapshot}, nil
	case 2:
		if len(s.Entries) == 0 {
			return replog.Ready{}, nil
		}
		n := rapid.IntRange(1, len(s.Entries)).Draw(t, "covered")
		s.Snapshot = &replog.Snapshot{Index: s.Entries[n-1].Index, Data: []byte{1}}
		s.Entries = append([]replog.Entry(nil), s.Entries[n:]...)
		return r, s.Snapshot
	}
	from := rapid.Uint64Range(first(*s), last(*s)+1).Draw(t, "from")
	for i := range rapid.Uint64Range(1, 5).Draw(t, "entries") {
		data := rapid.SliceOfN(rapid.Byte(), 1, 20).Draw(t, "data")
		r.Entries = append(r.Entries, replog.Entry{Term: s.HardState.Term + 1, Index: from + i, Data: data})
	}
	kept := s.Entries[:from-first(*s)]
	s.Entries = append(append([]replog.Entry(nil), kept...), r.Entries...)
	return r, nil
}

// Symptom: a proposer is told that its proposal ran, or didn't, and it's not so.
// Events: another leader's entry takes its place; a snapshot skips it; its
// caller gives up before the core takes it.
// Cause: a place compared by index alone, a verdict that says too little.
func TestEachEndOfACallHasItsVerdict(t *testing.T) {
	cs := newCalls()
	lost, won, skipped, gone := newCall(), newCall(), newCall(), newCall()
	cs.addProposal(lost, replog.Position{Term: 3, Index: 10})
	cs.addProposal(won, replog.Position{Term: 5, Index: 10})
	cs.addProposal(skipped, replog.Position{Term: 5, Index: 12})
	cs.addProposal(gone, replog.Position{Term: 5, Index: 13})
	cs.applied(replog.Entry{Term: 5, Index: 10}, []byte("result"))
	cs.drop(gone)
	cs.skipped(12)
	if o := <-lost.done; o.err == nil || o.err.Verdict != verdict.NotRun || o.err.Code != CodeSuperseded {
		t.Fatalf("the superseded proposal ended with %+v", o)
	}
	if o := <-won.done; o.err != nil || string(o.result) != "result" {
		t.Fatalf("the committed proposal ended with %+v", o)
	}
	if o := <-skipped.done; o.err == nil || o.err.Verdict != verdict.MayHaveRun {
		t.Fatalf("the skipped proposal ended with %+v", o)
	}
	if len(cs.proposals) != 0 || len(gone.done) != 0 {
		t.Fatalf("%d places still waited for", len(cs.proposals))
	}
	c := newCall()
	if !c.abandon() || c.take() || c.abandon() {
		t.Fatal("an abandoned call was taken")
	}
}
