// Package wal is a checksummed write-ahead log in segments under one folder,
// with snapshots beside it.
//
// A voter's promises (a vote, an accepted entry) are what it has on disk. The
// package guarantees that an acknowledged promise is found again after any
// crash, or that its loss is reported; a voter that forgets silently can make
// two majorities disagree.
//
// # Files
//
//	INCARNATION             random id of this folder, given by the host at creation
//	LOCK                    held by flock while a process has the folder open
//	0000000000000001.wal    segments, numbered from 1 without gaps
//	0000000000000001.snap   snapshots, numbered from 1; only the newest counts
//	*.tmp                   files that never took effect; removed by Open
//
// A segment is a header and frames. A frame is a batch (the records of one
// Sync, found again whole or not at all) or a mark. Each frame ends with a
// checksum seeded by incarnation and segment, over its own offset, the batch
// number, the checksum of the frame or segment header before it (the chain),
// and a synced offset: everything before that offset had been synced when the
// frame was written.
// Files with other names are left alone.
//
// # Sync
//
// A batch is written, the file is synced, and only then is the batch
// acknowledged. The folder was synced when the segment was added to it, before
// the first frame. After the sync a mark is written but not synced: it costs
// one small write, survives a kill of the process, and reaches the disk with
// the next sync or the operating system's own write-back.
//
// A failed write, sync, rename or remove poisons the log: this and each later
// call returns a PoisonedError. A sync is never retried, because the operating
// system may drop the dirty pages after the first failure and let the second
// sync succeed with the data lost. For the same reason Open writes an unmarked
// last batch once more and syncs it before it returns it.
//
// # Recovery
//
// An unreadable frame at offset o of the last segment is a truncated tail if no
// later valid frame has a synced offset above o: the bytes need not have been
// synced, and Open drops them. It does not overwrite the tail: it begins a new
// segment whose header states where the old one ends. If a later frame attests
// the bytes, or they are in an earlier segment, a header, the newest snapshot
// or the incarnation, they were acknowledged and then damaged: Open returns a
// CorruptError with file and offset, and changes no file.
//
// # Limits of detection
//
// Damage in the very last batch before its mark is on disk looks like a write
// interrupted by a crash; so does damage to the last batch and its mark
// together. Open then drops the batch and sets Recovered.Truncated. The same
// holds for a file system that loses whole frames at the end of the last
// segment, or the last segment itself, after reporting them as synced; the
// newest snapshot's batch number limits this, because a log that ends before it
// is reported as corrupt. Consequence for a voter: after a power loss on a disk
// that damages synced data it can lose its last batch (a vote, or the last
// entries it accepted). Truncated is also set after harmless crashes, so a host
// cannot refuse all of them; a host that does not trust its disks can treat
// Truncated like a wiped disk and have the voter readmitted under a new
// incarnation. After a kill of the process alone, with the operating system
// still running, the mark is there and nothing is ambiguous, unless the kill
// came between sync and mark.
//
// A folder without INCARNATION and without other files is new, and
// Recovered.New says so: the host must treat the voter as one that remembers
// nothing. A folder with segments but without INCARNATION is corrupt.
package wal
