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

// Guards against a node that starts with a log that it never had, or without one that
// it had: hard states, entries that replace others, own snapshots and those of a leader
// are written in any order, with a crash in one of the writes. Faults would be entries
// kept from before a leader's snapshot, or a segment that begins without what its
// snapshot does not cover.
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
				err = s.saveSnapshot(*own)
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

// first returns the index after the snapshot.
func first(s replog.State) uint64 {
	if s.Snapshot != nil {
		return s.Snapshot.Index + 1
	}
	return 1
}

// drawWrite draws one write and applies it to the state. After a crash the state must
// be the one before or after as a whole, so each write has one part only.
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

// Guards against a wrong verdict on whether a proposal ran: another leader's entry is
// committed at its index, a snapshot covers it, or its caller gives up before the core
// accepts it. Terms must be compared as well as indexes.
func TestEachEndOfACallHasItsVerdict(t *testing.T) {
	cs := newCalls()
	lost, won, skipped, abandoned := newCall(), newCall(), newCall(), newCall()
	cs.addProposal(lost, replog.Position{Term: 3, Index: 10})
	cs.addProposal(won, replog.Position{Term: 5, Index: 10})
	cs.addProposal(skipped, replog.Position{Term: 5, Index: 12})
	cs.addProposal(abandoned, replog.Position{Term: 5, Index: 13})
	cs.endApplied(replog.Entry{Term: 5, Index: 10}, []byte("result"))
	cs.remove(abandoned)
	cs.endCovered(12)
	if o := <-lost.done; o.err == nil || o.err.Verdict != verdict.NotRun || o.err.Code != CodeSuperseded {
		t.Fatalf("the superseded proposal ended with %+v", o)
	}
	if o := <-won.done; o.err != nil || string(o.result) != "result" {
		t.Fatalf("the committed proposal ended with %+v", o)
	}
	if o := <-skipped.done; o.err == nil || o.err.Verdict != verdict.MayHaveRun {
		t.Fatalf("the skipped proposal ended with %+v", o)
	}
	if len(cs.proposals) != 0 || len(abandoned.done) != 0 {
		t.Fatalf("%d indexes still waited for", len(cs.proposals))
	}
	c := newCall()
	if !c.abandon() || c.accept() || c.abandon() {
		t.Fatal("an abandoned call was accepted")
	}
}
