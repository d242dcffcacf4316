package wal

import (
	"io"
	"os"
	"path/filepath"
)

const (
	// DefaultSegmentBytes is the length at which a segment is closed.
	DefaultSegmentBytes = 16 << 20
	// MaxBatchBytes bounds the frame header and records of one Sync, and so the memory
	// that writing a batch takes. Reading needs no such bound: a frame that is longer than
	// the rest of its file is damaged, and no memory is allocated by its length.
	MaxBatchBytes = 256 << 20

	// maxKeptBufferBytes is the largest buffer that is kept for the next batch.
	maxKeptBufferBytes = 4 << 20
)

// Options configure a Log.
type Options struct {
	// Incarnation is written into a new folder; it must not be zero there. An existing
	// folder keeps its own.
	Incarnation Incarnation
	// SegmentBytes is the length at which the next Sync begins a new segment; 0 means
	// DefaultSegmentBytes.
	SegmentBytes int64
}

// Stats counts events of a Log since Open.
type Stats struct {
	// Syncs is the number of batches synced, Records the number of records in them,
	// Bytes the length of their frames, without marks.
	Syncs, Records, Bytes uint64
	// Segment is the number of the current segment.
	Segment uint64
}

// Log is a write-ahead log. It is not safe for concurrent use.
type Log struct {
	fs           FS
	dir          string
	id           Incarnation
	segmentLimit int64
	lock         io.Closer
	file         File // the current segment; its number and checksum seed follow
	segment      uint64
	seed         uint64
	size         int64  // offset of the next frame
	synced       int64  // everything before it in this segment is durable
	seq          uint64 // number of the last batch
	chain        uint64 // checksum of the last frame
	batchChain   uint64 // checksum of the last synced batch's frame, or of the header
	buf          []byte // header space and records of the next batch
	recordCount  uint32
	snapshot     snapshotHeader
	poisoned     *PoisonedError
	stats        Stats
}

// Append buffers records for the next Sync. The data is copied. The error is a
// TooLargeError, with none of the records buffered, or a PoisonedError.
func (l *Log) Append(records ...Record) error {
	if l.poisoned != nil {
		return l.poisoned
	}
	size := len(l.buf)
	for _, r := range records {
		size += recordHeaderSize + len(r.Data)
	}
	if size > MaxBatchBytes {
		return &TooLargeError{Size: size, Max: MaxBatchBytes}
	}
	for _, r := range records {
		l.buf = appendRecord(l.buf, r)
	}
	l.recordCount += uint32(len(records))
	return nil
}

// Sync makes the buffered records durable as one batch; nil means that each later Open
// finds them or reports damage. The error is a PoisonedError; the batch may then be
// found or not.
func (l *Log) Sync() error {
	if l.poisoned != nil {
		return l.poisoned
	}
	if l.recordCount == 0 {
		return nil
	}
	if l.size >= l.segmentLimit {
		if err := l.beginSegment(l.segment + 1); err != nil {
			return err
		}
	}
	if err := l.writeBatch(); err != nil {
		return err
	}
	// The batch is durable. A failure from here on must not be reported for it; it
	// poisons later calls.
	_ = l.writeMark()
	return nil
}

func (l *Log) writeBatch() error {
	b := sealFrame(l.buf, l.frame(batchFrame, l.seq+1, l.recordCount), l.seed)
	if err := l.write(b); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		return l.fail("sync", l.segmentPath(l.segment), err)
	}
	l.seq++
	l.synced, l.batchChain = l.size, l.chain
	l.stats.Syncs++
	l.stats.Records += uint64(l.recordCount)
	l.stats.Bytes += uint64(len(b))
	l.resetBuffer()
	return nil
}

// writeMark attests that the last batch is durable. It is not synced: if a mark is
// lost, it only remains open whether damage there is an interrupted write.
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

// write writes a sealed frame at the end of the segment.
func (l *Log) write(b []byte) error {
	if _, err := l.file.WriteAt(b, l.size); err != nil {
		return l.fail("write", l.segmentPath(l.segment), err)
	}
	l.size += int64(len(b))
	l.chain = uint64At(b[len(b)-sumSize:], 0)
	return nil
}

// Rotate syncs the buffered records, begins a new segment and returns its number. The
// error is a PoisonedError.
func (l *Log) Rotate() (uint64, error) {
	if err := l.Sync(); err != nil {
		return 0, err
	}
	if l.poisoned != nil { // the mark after the batch failed
		return 0, l.poisoned
	}
	if err := l.beginSegment(l.segment + 1); err != nil {
		return 0, err
	}
	return l.segment, nil
}

// beginSegment adds a new segment to the folder. The file is renamed into place with
// its header synced, and the folder is synced before the first frame, so there can be
// neither a segment without a header nor an acknowledged batch in a file that a crash
// removes. The header attests the old segment up to its last batch and not the mark
// after it, which may be lost.
func (l *Log) beginSegment(num uint64) error {
	h := segmentHeader{Segment: num, NextSeq: l.seq + 1, Chain: l.batchChain, PrevEnd: uint64(l.synced)}
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
	l.file, l.segment, l.seed = file, num, checksumSeed(l.id, num)
	l.size, l.synced = segmentHeaderSize, segmentHeaderSize
	l.chain = uint64At(b[len(b)-sumSize:], 0)
	l.batchChain = l.chain
	l.stats.Segment = num
	return nil
}

// install writes a whole file: temporary file, sync, rename, sync of the folder.
func (l *Log) install(path string, contents []byte) error {
	temp := path + tempSuffix
	if err := l.writeTemp(temp, contents); err != nil {
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

func (l *Log) writeTemp(path string, contents []byte) error {
	f, err := l.fs.Create(path)
	if err != nil {
		return l.fail("create", path, err)
	}
	if _, err := f.WriteAt(contents, 0); err != nil {
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
	if l.poisoned == nil {
		return nil
	}
	return l.poisoned
}

// Stats returns the current counters.
func (l *Log) Stats() Stats { return l.stats }

// Close releases the folder. Buffered records are dropped. The error is a PoisonedError.
func (l *Log) Close() error {
	err := l.closeFile()
	if l.lock != nil {
		if e := l.lock.Close(); e != nil && err == nil {
			err = l.fail("close", filepath.Join(l.dir, lockName), e)
		}
		l.lock = nil
	}
	if l.poisoned == nil {
		l.poisoned = &PoisonedError{Op: "close", File: l.dir, Err: os.ErrClosed}
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
	if cap(l.buf) > maxKeptBufferBytes {
		l.buf = nil
	}
	l.buf = append(l.buf[:0], make([]byte, frameHeaderSize)...)
	l.recordCount = 0
}

// fail poisons the log with its first failure and returns that failure.
func (l *Log) fail(op, file string, err error) error {
	if l.poisoned == nil {
		l.poisoned = &PoisonedError{Op: op, File: file, Err: err}
	}
	return l.poisoned
}

func (l *Log) segmentPath(num uint64) string {
	return filepath.Join(l.dir, fileName(num, segmentSuffix))
}

func (l *Log) snapshotPath(num uint64) string {
	return filepath.Join(l.dir, fileName(num, snapshotSuffix))
}
