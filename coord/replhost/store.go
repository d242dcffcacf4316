package replhost

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/wal"
)

// store keeps the state of the core in a write-ahead log. After the open, the
// disk goroutine alone uses it.
type store struct {
	log *wal.Log
	hs  replog.HardState
	// tail mirrors the entries on disk behind the newest snapshot. Their data
	// is shared with the core.
	tail []replog.Entry
}

// openStore opens the log and reads the state of the core from it.
func openStore(o Options) (*store, replog.State, wal.Recovered, error) {
	opt := wal.Options{Incarnation: drawIncarnation(o.Random), SegmentBytes: o.SegmentBytes}
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
		s.dropTo(state.Snapshot.Index)
	}
	state.HardState, state.Entries = s.hs, slices.Clone(s.tail)
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
		return s.put(e)
	}
	return errors.NotValidf("type %d", r.Type)
}

// put adds an entry to the mirror in place of those at or after its index.
func (s *store) put(e replog.Entry) error {
	if len(s.tail) == 0 {
		s.tail = append(s.tail, e)
		return nil
	}
	first := s.tail[0].Index
	if e.Index > first+uint64(len(s.tail)) {
		return errors.NotValidf("entry %d after %d", e.Index, first+uint64(len(s.tail))-1)
	}
	keep := 0
	if e.Index > first {
		keep = int(e.Index - first)
	}
	s.tail = append(s.tail[:keep], e)
	return nil
}

// dropTo forgets the entries up to index.
func (s *store) dropTo(index uint64) {
	for i, e := range s.tail {
		if e.Index > index {
			s.tail = append([]replog.Entry(nil), s.tail[i:]...)
			return
		}
	}
	s.tail = nil
}

// write makes what a Ready wants written durable.
func (s *store) write(r *replog.Ready) error {
	if r.HardState != nil {
		s.hs = *r.HardState
		if err := s.appendHardState(); err != nil {
			return err
		}
	}
	if r.Snapshot != nil {
		s.tail = nil
		if err := s.save(*r.Snapshot); err != nil {
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
	if err := s.put(entries[0]); err != nil {
		return err
	}
	s.tail = append(s.tail, entries[1:]...)
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

// save makes a snapshot durable and drops what it covers. The hard state and
// the entries behind it are written again into the segment that the snapshot
// begins with. They are one batch: of a part of it, recovery would take the
// first entry for one that replaces all after it.
func (s *store) save(snap replog.Snapshot) error {
	b, err := cbor.Marshal(snap)
	if err != nil {
		return errors.Annotate(err, "encode snapshot")
	}
	base, err := s.log.Rotate()
	if err != nil {
		return err
	}
	s.dropTo(snap.Index)
	if err := s.appendHardState(); err != nil {
		return err
	}
	if err := s.appendRecords(s.tail); err != nil {
		return err
	}
	if err := s.log.SaveSnapshot(base, wal.Snapshot{Index: snap.Index, Data: b}); err != nil {
		return err
	}
	return s.log.Compact()
}
