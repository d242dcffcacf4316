package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Recovered is what Open found in the folder.
type Recovered struct {
	// New says that the folder held no log: nothing is remembered.
	New bool
	// Incarnation is the id of the folder.
	Incarnation Incarnation
	// Snapshot is the newest one, or nil.
	Snapshot *Snapshot
	// Records are those from the snapshot's base segment on, in the order of Append.
	Records []Record
	// Truncated is the tail that was dropped, or nil. See the package comment on what
	// it may have held.
	Truncated *TruncatedTail
}

// TruncatedTail is an unreadable tail that was never marked as synced.
type TruncatedTail struct {
	// File and Offset are where it begins.
	File   string
	Offset int64
	// Bytes is its length in bytes.
	Bytes int64
}

// folderFiles lists the files of a log by kind, with ascending numbers.
type folderFiles struct {
	segments, snapshots []uint64
	temps               []string
	incarnation         bool
}

func classifyNames(names []string) folderFiles {
	var f folderFiles
	for _, name := range names {
		if num, ok := parseName(name, segmentSuffix); ok {
			f.segments = append(f.segments, num)
		}
		if num, ok := parseName(name, snapshotSuffix); ok {
			f.snapshots = append(f.snapshots, num)
		}
		if strings.HasSuffix(name, tempSuffix) {
			f.temps = append(f.temps, name)
		}
		f.incarnation = f.incarnation || name == incarnationName
	}
	slices.Sort(f.segments)
	slices.Sort(f.snapshots)
	return f
}

// Open locks the folder for this process, creates it if needed, and recovers its
// contents. The error is a LockedError, a CorruptError, a PoisonedError if repairing
// the tail failed, an ArgumentError, or one of the file system.
func Open(fs FS, dir string, opt Options) (*Log, Recovered, error) {
	l := &Log{fs: fs, dir: dir, segmentLimit: opt.SegmentBytes}
	if l.segmentLimit <= 0 {
		l.segmentLimit = DefaultSegmentBytes
	}
	l.resetBuffer()
	if err := fs.MkdirAll(dir); err != nil {
		return nil, Recovered{}, errors.Annotatef(err, "make %s", dir)
	}
	lock, err := fs.Lock(filepath.Join(dir, lockName))
	if err != nil {
		return nil, Recovered{}, err
	}
	l.lock = lock
	rec, err := l.open(opt.Incarnation)
	if err != nil {
		_ = l.Close()
		return nil, Recovered{}, err
	}
	return l, rec, nil
}

func (l *Log) open(id Incarnation) (Recovered, error) {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return Recovered{}, errors.Annotatef(err, "list %s", l.dir)
	}
	f := classifyNames(names)
	if !f.incarnation {
		return l.create(f, id)
	}
	return l.recover(f)
}

// create creates a new log. The incarnation is written last: while it is missing, no
// Open has returned, and a first segment without frames holds nothing.
func (l *Log) create(f folderFiles, id Incarnation) (Recovered, error) {
	if err := l.checkEmpty(f); err != nil {
		return Recovered{}, err
	}
	if id == (Incarnation{}) {
		return Recovered{}, &ArgumentError{Reason: "a new folder needs an incarnation"}
	}
	l.id = id
	if err := l.beginSegment(1); err != nil {
		return Recovered{}, err
	}
	if err := l.install(filepath.Join(l.dir, incarnationName), encodeIncarnation(id)); err != nil {
		return Recovered{}, err
	}
	return Recovered{New: true, Incarnation: id}, nil
}

// checkEmpty distinguishes a folder that was never used from one that lost its
// incarnation, for which it returns a CorruptError.
func (l *Log) checkEmpty(f folderFiles) error {
	lost := len(f.snapshots) > 0 || len(f.segments) > 1
	if len(f.segments) == 1 {
		b, err := l.fs.ReadFile(l.segmentPath(f.segments[0]))
		if err != nil {
			return errors.Annotate(err, "read the first segment")
		}
		lost = lost || f.segments[0] != 1 || len(b) > segmentHeaderSize
	}
	if lost {
		return &CorruptError{File: filepath.Join(l.dir, incarnationName), Reason: "missing beside a log"}
	}
	return nil
}

// recover reads everything first and writes only if nothing is damaged.
func (l *Log) recover(f folderFiles) (Recovered, error) {
	if err := l.readIncarnation(); err != nil {
		return Recovered{}, err
	}
	rec := Recovered{Incarnation: l.id}
	if err := l.readSnapshot(f, &rec); err != nil {
		return Recovered{}, err
	}
	s := scan{log: l, records: &rec.Records}
	if err := s.readSegments(f.segments, max(1, l.snapshot.Base)); err != nil {
		return Recovered{}, err
	}
	if s.seq < l.snapshot.Seq {
		return Recovered{}, &CorruptError{File: l.segmentPath(s.segment), Offset: s.end,
			Reason: fmt.Sprintf("the log ends with batch %d, but the snapshot was saved after batch %d", s.seq, l.snapshot.Seq)}
	}
	if tail := int64(len(s.content)) - s.end; tail > 0 {
		rec.Truncated = &TruncatedTail{File: l.segmentPath(s.segment), Offset: s.end, Bytes: tail}
	}
	for _, name := range f.temps {
		if err := l.remove(filepath.Join(l.dir, name)); err != nil {
			return Recovered{}, err
		}
	}
	return rec, l.continueAt(&s)
}

func (l *Log) readIncarnation() error {
	path := filepath.Join(l.dir, incarnationName)
	b, err := l.fs.ReadFile(path)
	if err != nil {
		return errors.Annotatef(err, "read %s", path)
	}
	id, ok := decodeIncarnation(b)
	if !ok {
		return &CorruptError{File: path, Reason: "not a valid incarnation"}
	}
	l.id = id
	return nil
}

// readSnapshot reads the newest snapshot. An older one cannot replace it: the segments
// after that may have been removed.
func (l *Log) readSnapshot(f folderFiles, rec *Recovered) error {
	if len(f.snapshots) == 0 {
		return nil
	}
	num := f.snapshots[len(f.snapshots)-1]
	b, err := l.fs.ReadFile(l.snapshotPath(num))
	if err != nil {
		return errors.Annotatef(err, "read snapshot %d", num)
	}
	h, data, ok := decodeSnapshot(b, l.id, num)
	if !ok {
		return &CorruptError{File: l.snapshotPath(num), Reason: "not a valid snapshot of this folder"}
	}
	l.snapshot = h
	rec.Snapshot = &Snapshot{Index: h.Index, Data: data}
	return nil
}

// continueAt makes the end that was found durable and continues after it. It also syncs
// the folder: a segment or snapshot whose rename was never synced can be visible after
// a kill of the process, but not after a power loss.
func (l *Log) continueAt(s *scan) error {
	if err := l.fs.SyncDir(l.dir); err != nil {
		return l.fail("sync", l.dir, err)
	}
	path := l.segmentPath(s.segment)
	file, err := l.fs.OpenWrite(path)
	if err != nil {
		return l.fail("open", path, err)
	}
	l.file, l.segment, l.seed = file, s.segment, checksumSeed(l.id, s.segment)
	l.size, l.synced, l.seq = s.end, s.synced, s.seq
	l.chain, l.batchChain = s.chain, s.batchChain
	l.stats.Segment = s.segment
	if !s.marked {
		if err := l.rewriteLastBatch(s.content[s.synced:s.end]); err != nil {
			return err
		}
	}
	if int64(len(s.content)) > s.end {
		return l.beginSegment(s.segment + 1)
	}
	if !s.marked && s.end > segmentHeaderSize {
		return l.writeMark()
	}
	return nil
}

// rewriteLastBatch makes the unmarked last batch durable. It can be read, but perhaps
// only from the operating system's cache: if its sync failed, the pages count as clean
// and no later sync would write them. Writing the same bytes makes them dirty again.
func (l *Log) rewriteLastBatch(tail []byte) error {
	if _, err := l.file.WriteAt(tail, l.synced); err != nil {
		return l.fail("write", l.segmentPath(l.segment), err)
	}
	if err := l.file.Sync(); err != nil {
		return l.fail("sync", l.segmentPath(l.segment), err)
	}
	l.synced, l.batchChain = l.size, l.chain
	return nil
}

// scan reads the segments of a folder in order.
type scan struct {
	log        *Log
	records    *[]Record
	segment    uint64 // the current one
	content    []byte // its bytes, up to where they are read
	end        int64  // end of the last valid frame
	synced     int64  // everything before it is known to be durable
	marked     bool   // the last frame is a mark
	seq        uint64 // number of the last batch
	chain      uint64 // checksum of the last frame or header
	batchChain uint64 // checksum of the last batch's frame, or of the header
}

// readSegments reads the segments from base on, which must be present without a gap.
func (s *scan) readSegments(numbers []uint64, base uint64) error {
	from, _ := slices.BinarySearch(numbers, base)
	numbers = numbers[from:]
	if len(numbers) == 0 {
		return &CorruptError{File: s.log.segmentPath(base), Reason: "missing"}
	}
	for i, num := range numbers {
		if want := base + uint64(i); num != want {
			return &CorruptError{File: s.log.segmentPath(want), Reason: "missing"}
		}
		b, h, err := s.readSegment(num)
		if err != nil {
			return err
		}
		if i > 0 {
			if err := s.finishSegment(h); err != nil {
				return err
			}
		}
		s.startSegment(b, h)
	}
	return s.readFrames()
}

func (s *scan) readSegment(num uint64) ([]byte, segmentHeader, error) {
	path := s.log.segmentPath(num)
	b, err := s.log.fs.ReadFile(path)
	if err != nil {
		return nil, segmentHeader{}, errors.Annotatef(err, "read %s", path)
	}
	h, ok := decodeSegmentHeader(b, s.log.id, num)
	if !ok {
		return nil, h, &CorruptError{File: path, Reason: "not a valid segment header of this folder"}
	}
	return b, h, nil
}

func (s *scan) startSegment(b []byte, h segmentHeader) {
	s.segment, s.content = h.Segment, b
	s.end, s.synced, s.marked = segmentHeaderSize, segmentHeaderSize, false
	s.seq, s.chain = h.NextSeq-1, uint64At(b[segmentHeaderSize-sumSize:], 0)
	s.batchChain = s.chain
}

// finishSegment reads the segment that next follows on. All up to the end that next
// states was synced before next began, so any error there is damage; bytes after it are
// a lost mark or a tail that an earlier Open dropped.
func (s *scan) finishSegment(next segmentHeader) error {
	attested := int64(next.PrevEnd)
	s.content = s.content[:min(attested, int64(len(s.content)))]
	if err := s.readFrames(); err != nil {
		return err
	}
	if attested == s.end && next.NextSeq == s.seq+1 && next.Chain == s.chain {
		return nil
	}
	return &CorruptError{File: s.log.segmentPath(s.segment), Offset: s.end,
		Reason: fmt.Sprintf("readable up to here, but the next segment says that it ended at %d", attested)}
}

func (s *scan) readFrames() error {
	seed := checksumSeed(s.log.id, s.segment)
	for s.end < int64(len(s.content)) {
		f, payload, ok := readFrame(s.content, int(s.end), seed)
		if !ok {
			return s.checkTail(seed)
		}
		if err := s.addFrame(f, payload); err != nil {
			return err
		}
	}
	return nil
}

func (s *scan) addFrame(f frame, payload []byte) error {
	corrupt := func(reason string) error {
		return &CorruptError{File: s.log.segmentPath(s.segment), Offset: s.end, Reason: reason}
	}
	wantSeq := s.seq
	if f.Kind == batchFrame {
		wantSeq++
	}
	if f.Chain != s.chain || f.Seq != wantSeq {
		return corrupt("a frame that doesn't follow the one before it")
	}
	records, ok := readRecords(*s.records, payload, f.Count)
	if !ok {
		return corrupt("a batch whose records don't fill it")
	}
	*s.records = records
	s.synced = int64(f.Synced)
	s.marked = f.Kind == markFrame
	s.seq, s.end = f.Seq, f.end()
	s.chain = uint64At(s.content[s.end-sumSize:], 0)
	s.batchChain = s.chain
	if s.marked {
		s.batchChain = f.Chain
	}
	return nil
}

// checkTail decides whether the bytes from the end of the last valid frame on can be an
// interrupted write. They cannot if a later frame attests that they were synced: the
// sectors of one unsynced write reach the disk in any order, so a valid frame after a
// bad one is not enough, but its synced offset is.
func (s *scan) checkTail(seed uint64) error {
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for off := int(s.end) + 1; ; off++ {
		next := bytes.Index(s.content[min(off, len(s.content)):], magic)
		if next < 0 {
			return nil
		}
		off += next
		f, _, ok := readFrame(s.content, off, seed)
		if ok && int64(f.Synced) > s.end {
			return &CorruptError{File: s.log.segmentPath(s.segment), Offset: s.end,
				Reason: fmt.Sprintf("unreadable, but the frame at %d says that it was synced", off)}
		}
	}
}
