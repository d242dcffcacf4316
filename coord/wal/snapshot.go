package wal

import "fmt"

// Snapshot is the newest saved snapshot of a folder.
type Snapshot struct {
	// Index is set by the host: the last index that Data covers.
	Index uint64
	// Data is the host's state.
	Data []byte
}

// SaveSnapshot makes a snapshot durable by write, sync, rename and sync of the folder.
// From then on, Open does not read the segments before base, a number that Rotate
// returned: the records of those segments that are needed besides the snapshot must
// have been appended again after that Rotate, and are synced here first. The error is
// an ArgumentError or a PoisonedError.
func (l *Log) SaveSnapshot(base uint64, s Snapshot) error {
	if err := l.Sync(); err != nil {
		return err
	}
	if l.poisoned != nil {
		return l.poisoned
	}
	if base > l.segment || base < max(1, l.snapshot.Base) {
		return &ArgumentError{Reason: fmt.Sprintf("a snapshot can't begin at segment %d: the log has %d to %d",
			base, max(1, l.snapshot.Base), l.segment)}
	}
	h := snapshotHeader{
		Number: l.snapshot.Number + 1, Base: base, Index: s.Index,
		Seq: l.seq, Length: uint64(len(s.Data)),
	}
	if err := l.install(l.snapshotPath(h.Number), encodeSnapshot(h, l.id, s.Data)); err != nil {
		return err
	}
	l.snapshot = h
	return nil
}

// Compact removes the segments and snapshots that the newest snapshot supersedes. The
// snapshot's rename was synced before, so a crash at any point leaves all that is
// needed, or more. The error is a PoisonedError.
func (l *Log) Compact() error {
	if l.poisoned != nil {
		return l.poisoned
	}
	names, err := l.fs.List(l.dir)
	if err != nil {
		return l.fail("list", l.dir, err)
	}
	f := classifyNames(names)
	for _, num := range f.segments {
		if num < l.snapshot.Base {
			if err := l.remove(l.segmentPath(num)); err != nil {
				return err
			}
		}
	}
	for _, num := range f.snapshots {
		if num < l.snapshot.Number {
			if err := l.remove(l.snapshotPath(num)); err != nil {
				return err
			}
		}
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return l.fail("sync", l.dir, err)
	}
	return nil
}

func (l *Log) remove(path string) error {
	if err := l.fs.Remove(path); err != nil {
		return l.fail("remove", path, err)
	}
	return nil
}
