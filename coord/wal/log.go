package wal

import (
	"io"
	"os"
	"path/filepath"
)

const (
	// DefaultSegmentBytes is the length from which on a segment is not
	// continued.
	DefaultSegmentBytes = 16 << 20
	// MaxBatchBytes bounds the records of one Sync, so that a damaged length
	// can't ask for more memory than that.
	MaxBatchBytes = 256 << 20

	keepBufferBytes = 4 << 20
)

// Options are the settings of a Log.
type Options struct {
	// Incarnation is written into a new folder; it must not be zero there. A
	// folder that exists keeps its own.
	Incarnation Incarnation
	// SegmentBytes is the length in bytes from which on the next Sync begins a
	// new segment; 0 means DefaultSegmentBytes.
	SegmentBytes int64
}

// Stats are the counters of a Log since Open.
type Stats struct {
	// Syncs is the number of batches made durable, Records of the records in
	// them, Bytes of the bytes written for them.
	Syncs, Records, Bytes uint64
	// Segment is the number of the segment that is written now.
	Segment uint64
}

// Log is a write-ahead log. It belongs to one goroutine at a time.
type Log struct {
	fs       FS
	dir      string
	id       Incarnation
	limit    int64
	lock     io.Closer
	file     File // the segment in hand, whose number and checksum seed follow
	segment  uint64
	seed     uint64
	size     int64  // where the next frame goes
	synced   int64  // everything before it in this segment is durable
	seq      uint64 // of the last batch
	chain    uint64 // sum of the last frame
	durable  uint64 // sum of the last frame before synced
	buf      []byte // header space and records of the next batch
	count    uint32
	snapshot snapshotHeader
	poison   *PoisonedError
	stats    Stats
}

// Append buffers records for the next Sync. The data is copied. The error is a
// TooLargeError, with none of the records taken, or a PoisonedError.
func (l *Log) Append(records ...Record) error {
	if l.poison != nil {
		return l.poison
	}
	size := len(l.buf)
	for _, r := range records {
		size += recordHeadSize + len(r.Data)
	}
	if size > MaxBatchBytes {
		return &TooLargeError{Size: size, Max: MaxBatchBytes}
	}
	for _, r := range records {
		l.buf = appendRecord(l.buf, r)
	}
	l.count += uint32(len(records))
	return nil
}

// Sync makes the buffered records durable as one batch; nil means that each
// later Open finds them or reports damage. The error is a PoisonedError; the
// batch then may or may not be found.
func (l *Log) Sync() error {
	if l.poison != nil {
		return l.poison
	}
	if l.count == 0 {
		return nil
	}
	if l.size >= l.limit {
		if err := l.beginSegment(l.segment + 1); err != nil {
			return err
		}
	}
	if err := l.writeBatch(); err != nil {
		return err
	}
	// The batch is durable. A failure from here on must not deny it; it
	// poisons the calls that follow.
	_ = l.writeMark()
	return nil
}

func (l *Log) writeBatch() error {
	b := sealFrame(l.buf, l.frame(batchFrame, l.seq+1, l.count), l.seed)
	if err := l.write(b); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		return l.fail("sync", l.segmentPath(l.segment), err)
	}
	l.seq++
	l.synced, l.durable = l.size, l.chain
	l.stats.Syncs++
	l.stats.Records += uint64(l.count)
	l.stats.Bytes += uint64(len(b))
	l.resetBuffer()
	return nil
}

// writeMark attests that the last batch is durable. It isn't synced: a mark
// that gets lost only leaves open whether damage there is a torn write.
func (l *Log) writeMark() error {
	b := make([]byte, frameHeaderSize, frameHeaderSize+sumSize)
	return l.write(sealFrame(b, l.frame(markFrame, l.seq, 0), l.seed))
}

func (l *Log) frame(kind frameKind, seq uint64, count uint32) frame {
	return frame{
		Kind: kind, Offset: uint64(l.size), Synced: uint64(l.synced),
		Seq: seq, Chain: l.chain, Count: count,
	}
}

// write puts a sealed frame at the end of the segment.
func (l *Log) write(b []byte) error {
	if _, err := l.file.WriteAt(b, l.size); err != nil {
		return l.fail("write", l.segmentPath(l.segment), err)
	}
	l.size += int64(len(b))
	l.chain = number(b[len(b)-sumSize:], 0)
	return nil
}

// Rotate syncs what is buffered and begins a new segment, whose number it
// returns. The error is a PoisonedError.
func (l *Log) Rotate() (uint64, error) {
	if err := l.Sync(); err != nil {
		return 0, err
	}
	if l.poison != nil { // the mark after the batch failed
		return 0, l.poison
	}
	if err := l.beginSegment(l.segment + 1); err != nil {
		return 0, err
	}
	return l.segment, nil
}

// beginSegment puts a new segment into the folder. It comes there by rename
// with its header synced, and the folder is synced before the first frame, so
// that neither a headless segment nor an acknowledged batch in a file that a
// crash takes away can come about. The header attests the old segment up to its
// last batch and not the mark after it, which may get lost.
func (l *Log) beginSegment(num uint64) error {
	h := segmentHeader{Segment: num, NextSeq: l.seq + 1, Chain: l.durable, PrevEnd: uint64(l.synced)}
	b := encodeSegmentHeader(h, l.id)
	path := l.segmentPath(num)
	if err := l.install(path, b); err != nil {
		return err
	}
	file, err := l.fs.OpenWrite(path)
	if err != nil {
		return l.fail("open", path, err)
	}
	if err := l.closeFile(); err != nil {
		_ = file.Close()
		return err
	}
	l.file, l.segment, l.seed = file, num, seedOf(l.id, num)
	l.size, l.synced = segmentHeaderSize, segmentHeaderSize
	l.chain = number(b[len(b)-sumSize:], 0)
	l.durable = l.chain
	l.stats.Segment = num
	return nil
}

// install writes a file as a whole: temporary, sync, rename, sync of the folder.
func (l *Log) install(path string, content []byte) error {
	temp := path + tempSuffix
	if err := l.writeTemp(temp, content); err != nil {
		return err
	}
	if err := l.fs.Rename(temp, path); err != nil {
		return l.fail("rename", temp, err)
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return l.fail("sync", l.dir, err)
	}
	return nil
}

func (l *Log) writeTemp(path string, content []byte) error {
	f, err := l.fs.Create(path)
	if err != nil {
		return l.fail("create", path, err)
	}
	if _, err := f.WriteAt(content, 0); err != nil {
		_ = f.Close()
		return l.fail("write", path, err)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return l.fail("sync", path, err)
	}
	if err := f.Close(); err != nil {
		return l.fail("close", path, err)
	}
	return nil
}

// Incarnation returns the id of the folder.
func (l *Log) Incarnation() Incarnation { return l.id }

// Err returns the PoisonedError that stopped the log, or nil.
func (l *Log) Err() error {
	if l.poison == nil {
		return nil
	}
	return l.poison
}

// Stats returns the counters now.
func (l *Log) Stats() Stats { return l.stats }

// Close releases the folder. Records that were not synced are dropped.
func (l *Log) Close() error {
	err := l.closeFile()
	if l.lock != nil {
		if e := l.lock.Close(); e != nil && err == nil {
			err = l.fail("close", filepath.Join(l.dir, lockName), e)
		}
		l.lock = nil
	}
	if l.poison == nil {
		l.poison = &PoisonedError{Op: "close", File: l.dir, Err: os.ErrClosed}
	}
	return err
}

func (l *Log) closeFile() error {
	if l.file == nil {
		return nil
	}
	file := l.file
	l.file = nil
	if err := file.Close(); err != nil {
		return l.fail("close", l.segmentPath(l.segment), err)
	}
	return nil
}

func (l *Log) resetBuffer() {
	if cap(l.buf) > keepBufferBytes {
		l.buf = nil
	}
	l.buf = append(l.buf[:0], make([]byte, frameHeaderSize)...)
	l.count = 0
}

// fail poisons the log with its first failure and returns that.
func (l *Log) fail(op, file string, err error) error {
	if l.poison == nil {
		l.poison = &PoisonedError{Op: op, File: file, Err: err}
	}
	return l.poison
}

func (l *Log) segmentPath(num uint64) string {
	return filepath.Join(l.dir, fileName(num, segmentSuffix))
}

func (l *Log) snapshotPath(num uint64) string {
	return filepath.Join(l.dir, fileName(num, snapshotSuffix))
}
