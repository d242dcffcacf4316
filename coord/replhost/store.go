package replhost

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/wal"
)

// store keeps the core's state in a write-ahead log. After Open, only the disk
// goroutine uses it.
type store struct {
	log *wal.Log
	hs  replog.HardState
	// entries mirrors the entries on disk after the newest snapshot. Their data is
	// shared with the core.
	entries []replog.Entry
}

// openStore opens the log and reads the core's state from it.
func openStore(o Options) (*store, replog.State, wal.Recovered, error) {
	opt := wal.Options{Incarnation: newIncarnation(o.Random), SegmentBytes: o.SegmentBytes}
	log, rec, err := wal.Open(o.FS, o.Dir, opt)
	if err != nil {
		return nil, replog.State{}, rec, err
	}
	s := &store{log: log}
	state, err := s.replay(rec)
	if err != nil {
		_ = log.Close()
		return nil, state, rec, err
	}
	return s, state, rec, nil
}

func (s *store) replay(rec wal.Recovered) (replog.State, error) {
	var state replog.State
	if rec.Snapshot != nil {
		state.Snapshot = &replog.Snapshot{}
		if err := decoding.Unmarshal(rec.Snapshot.Data, state.Snapshot); err != nil {
			return state, errors.Annotate(err, "decode snapshot")
		}
	}
	for i, r := range rec.Records {
		if err := s.replayRecord(r); err != nil {
			return state, errors.Annotatef(err, "record %d", i)
		}
	}
	if state.Snapshot != nil {
		s.dropThrough(state.Snapshot.Index)
	}
	state.HardState, state.Entries = s.hs, slices.Clone(s.entries)
	return state, nil
}

func (s *store) replayRecord(r wal.Record) error {
	switch r.Type {
	case recordHardState:
		s.hs = replog.HardState{}
		return decoding.Unmarshal(r.Data, &s.hs)
	case recordEntry:
		var e replog.Entry
		if err := decoding.Unmarshal(r.Data, &e); err != nil {
			return err
		}
		return s.replaceFrom(e)
	}
	return errors.NotValidf("type %d", r.Type)
}

// replaceFrom adds an entry to the mirror in place of those at or after its index.
func (s *store) replaceFrom(e replog.Entry) error {
	if len(s.entries) == 0 {
		s.entries = append(s.entries, e)
		return nil
	}
	first := s.entries[0].Index
	if e.Index > first+uint64(len(s.entries)) {
		return errors.NotValidf("entry %d after %d", e.Index, first+uint64(len(s.entries))-1)
	}
	keep := 0
	if e.Index > first {
		keep = int(e.Index - first)
	}
	s.entries = append(s.entries[:keep], e)
	return nil
}

// dropThrough removes the entries up to index from the mirror.
func (s *store) dropThrough(index uint64) {
	for i, e := range s.entries {
		if e.Index > index {
			s.entries = append([]replog.Entry(nil), s.entries[i:]...)
			return
		}
	}
	s.entries = nil
}

// write makes the state in a Ready durable.
func (s *store) write(r *replog.Ready) error {
	if r.HardState != nil {
		s.hs = *r.HardState
		if err := s.appendHardState(); err != nil {
			return err
		}
	}
	if r.Snapshot != nil {
		s.entries = nil
		if err := s.saveSnapshot(*r.Snapshot); err != nil {
			return err
		}
	}
	if err := s.appendEntries(r.Entries); err != nil {
		return err
	}
	return s.log.Sync()
}

func (s *store) appendHardState() error {
	rec, err := record(recordHardState, s.hs)
	if err != nil {
		return err
	}
	return s.log.Append(rec)
}

func (s *store) appendEntries(entries []replog.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := s.replaceFrom(entries[0]); err != nil {
		return err
	}
	s.entries = append(s.entries, entries[1:]...)
	return s.appendRecords(entries)
}

func (s *store) appendRecords(entries []replog.Entry) error {
	for _, e := range entries {
		rec, err := record(recordEntry, e)
		if err != nil {
			return err
		}
		if err := s.log.Append(rec); err != nil {
			return err
		}
	}
	return nil
}

// saveSnapshot makes a snapshot durable and drops what it covers. The hard state and
// the entries after the snapshot are written again, into the segment that the snapshot
// begins with. They are one batch: if only a part were found, recovery would take the
// first entry for one that replaces all after it.
func (s *store) saveSnapshot(snap replog.Snapshot) error {
	b, err := cbor.Marshal(snap)
	if err != nil {
		return errors.Annotate(err, "encode snapshot")
	}
	base, err := s.log.Rotate()
	if err != nil {
		return err
	}
	s.dropThrough(snap.Index)
	if err := s.appendHardState(); err != nil {
		return err
	}
	if err := s.appendRecords(s.entries); err != nil {
		return err
	}
	if err := s.log.SaveSnapshot(base, wal.Snapshot{Index: snap.Index, Data: b}); err != nil {
		return err
	}
	return s.log.Compact()
}
