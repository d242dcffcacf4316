package wal_test

import (
	"encoding/binary"
	"errors"
	"path/filepath"
	"reflect"
	"slices"
	"syscall"
	"testing"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/coord/wal"
	"github.com/gullhaven/gullhaven/coord/wal/faultfs"
)

const dir = "/data/wal"

var errDisk = errors.New("injected disk fault")

// model holds what a recovery must find.
type model struct {
	t               *rapid.T
	fs              *faultfs.FS
	log             *wal.Log
	openCount       byte // calls of Open, used as incarnations
	created         bool
	nextID          uint64         // id of the next record
	acked           []uint64       // ids, oldest first
	unsynced        []uint64       // ids appended since the last acknowledged sync
	rotated         map[uint64]int // number of acknowledged records when a segment began
	snapshotSegment uint64         // segment of the newest acknowledged snapshot, 0 if none
	pendingSnapshot uint64         // segment of a snapshot whose save was begun, 0 if none
}

func record(id uint64) wal.Record {
	data := binary.LittleEndian.AppendUint64(nil, id)
	return wal.Record{Type: uint8(id%5) + 1, Data: append(data, make([]byte, id%37)...)}
}

func idOf(r wal.Record) uint64 { return binary.LittleEndian.Uint64(r.Data) }

func (m *model) open() {
	m.openCount++
	l, rec, err := wal.Open(m.fs, dir, wal.Options{Incarnation: wal.Incarnation{m.openCount}, SegmentBytes: 700})
	if err != nil {
		m.t.Fatalf("open after a crash: %v", err)
	}
	if rec.New && m.created {
		m.t.Fatalf("a folder in use was treated as a new one")
	}
	if rec.New && rec.Incarnation != (wal.Incarnation{m.openCount}) {
		m.t.Fatalf("created under %v", rec.Incarnation)
	}
	m.created = true
	m.log = l
	m.compare(rec)
}

// compare checks a recovery: everything acknowledged, in order, then the unsynced
// records as a whole or none of them.
func (m *model) compare(rec wal.Recovered) {
	base := m.snapshotSegment
	if rec.Snapshot == nil && base != 0 {
		m.t.Fatalf("the snapshot of segment %d is gone", base)
	}
	if rec.Snapshot != nil {
		got := binary.LittleEndian.Uint64(rec.Snapshot.Data)
		if got != m.snapshotSegment && (got != m.pendingSnapshot || got == 0) {
			m.t.Fatalf("found the snapshot of segment %d; acknowledged %d, begun %d", got, m.snapshotSegment, m.pendingSnapshot)
		}
		base = got
	}
	from := m.rotated[base]
	var got []uint64
	for _, r := range rec.Records {
		if !reflect.DeepEqual(r, record(idOf(r))) {
			m.t.Fatalf("a record was found changed: %v", r)
		}
		got = append(got, idOf(r))
	}
	all := append(slices.Clone(m.acked), m.unsynced...)
	switch {
	case slices.Equal(got, m.acked[from:]):
	case slices.Equal(got, all[from:]):
		m.acked = all
	default:
		m.t.Fatalf("found %v; acknowledged %v, unsynced %v", got, m.acked[from:], m.unsynced)
	}
	m.snapshotSegment, m.pendingSnapshot, m.unsynced = base, 0, nil
}

func (m *model) appendSome() {
	for range rapid.IntRange(1, 4).Draw(m.t, "records") {
		if m.log.Append(record(m.nextID)) == nil {
			m.unsynced = append(m.unsynced, m.nextID)
			m.nextID++
		}
	}
}

func (m *model) sync() {
	if m.log.Sync() == nil {
		m.acked = append(m.acked, m.unsynced...)
		m.unsynced = nil
	}
}

func (m *model) rotate() {
	m.sync()
	if num, err := m.log.Rotate(); err == nil {
		m.rotated[num] = len(m.acked)
	}
}

func (m *model) snapshot() {
	m.sync()
	num, err := m.log.Rotate()
	if err != nil {
		return
	}
	m.rotated[num] = len(m.acked)
	m.pendingSnapshot = num
	data := binary.LittleEndian.AppendUint64(nil, num)
	if m.log.SaveSnapshot(num, wal.Snapshot{Index: num, Data: data}) == nil {
		m.snapshotSegment, m.pendingSnapshot = num, 0
	}
}

func (m *model) crash() {
	if rapid.Bool().Draw(m.t, "power loss") {
		m.fs.PowerLoss(func(n int) int { return rapid.IntRange(0, n-1).Draw(m.t, "kept") })
	} else {
		m.fs.Kill()
	}
}

func (m *model) injectFault() {
	switch rapid.IntRange(0, 3).Draw(m.t, "fault") {
	case 0:
		m.fs.CrashAfter(rapid.IntRange(0, 900).Draw(m.t, "budget"))
	case 1:
		m.fs.SetCapacity(rapid.IntRange(0, 3000).Draw(m.t, "capacity"))
	case 2:
		ops := []faultfs.Op{faultfs.OpWrite, faultfs.OpSync, faultfs.OpSyncDir, faultfs.OpRename, faultfs.OpRemove}
		err := rapid.SampledFrom([]error{errDisk, faultfs.ErrCrashed}).Draw(m.t, "error")
		m.fs.Fail(rapid.SampledFrom(ops).Draw(m.t, "op"), rapid.IntRange(0, 9).Draw(m.t, "after"), err)
	default:
	}
}

// Guards against a voter that forgets a vote or an entry that it acknowledged, or finds
// one that nobody gave it. Appends, syncs, rotations, snapshots and compactions are
// interleaved with crashes at any byte, a failing or full disk, and restarts. Causes
// would be a file or folder not synced before the answer, a retried sync, a partial
// batch taken for whole, or a segment removed too early.
func TestCrashAtAnyByteKeepsWhatWasAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, fs: faultfs.New(), rotated: map[uint64]int{}}
		for range rapid.IntRange(1, 6).Draw(t, "lives") {
			if rapid.Bool().Draw(t, "fault while opening") {
				m.injectFault()
				if l, _, err := wal.Open(m.fs, dir, wal.Options{Incarnation: wal.Incarnation{99}}); err == nil {
					m.created = true
					_ = l.Close()
				}
				m.crash()
			}
			m.open()
			m.injectFault()
			for range rapid.IntRange(0, 25).Draw(t, "steps") {
				switch rapid.IntRange(0, 9).Draw(t, "step") {
				case 0:
					m.rotate()
				case 1:
					m.snapshot()
				case 2:
					_ = m.log.Compact()
				case 3, 4, 5:
					m.appendSome()
				default:
					m.appendSome()
					m.sync()
				}
			}
			m.crash()
		}
		m.open()
	})
}

// Guards against acknowledging what is not on disk: a disk operation fails once, then
// works again. The log must neither continue after a failure nor retry a sync.
func TestFailedDiskPoisonsTheLog(t *testing.T) {
	faults := map[string]func(*faultfs.FS){
		"write":     func(f *faultfs.FS) { f.Fail(faultfs.OpWrite, 0, errDisk) },
		"sync":      func(f *faultfs.FS) { f.Fail(faultfs.OpSync, 0, errDisk) },
		"full disk": func(f *faultfs.FS) { f.SetCapacity(150) },
	}
	for name, inject := range faults {
		fs := faultfs.New()
		l, _, err := wal.Open(fs, dir, wal.Options{Incarnation: wal.Incarnation{1}})
		if err != nil {
			t.Fatal(err)
		}
		inject(fs)
		_ = l.Append(record(36))
		first := l.Sync()
		fs.SetCapacity(-1)
		_, rotated := l.Rotate()
		for _, err := range []error{first, l.Sync(), l.Append(record(1)), rotated, l.SaveSnapshot(1, wal.Snapshot{}), l.Compact(), l.Err()} {
			var p *wal.PoisonedError
			if !errors.As(err, &p) || !(errors.Is(err, errDisk) || errors.Is(err, syscall.ENOSPC)) {
				t.Fatalf("%s: a call after the failure returned %v", name, err)
			}
		}
	}
}

// Guards against two processes that write one folder and overwrite each other's
// acknowledged data. The folder is locked while it is open, and the lock is released on
// Close.
func TestSecondHolderIsRejectedOnARealDisk(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "a", "b")
	opt := wal.Options{Incarnation: wal.Incarnation{3}}
	l, rec, err := wal.Open(wal.OS{}, folder, opt)
	if err != nil || !rec.New {
		t.Fatal(rec, err)
	}
	var locked *wal.LockedError
	if _, _, err := wal.Open(wal.OS{}, folder, opt); !errors.As(err, &locked) {
		t.Fatalf("a second holder got %v", err)
	}
	if err := errors.Join(l.Append(record(1), record(2)), l.Sync(), l.Close()); err != nil {
		t.Fatal(err)
	}
	_, rec, err = wal.Open(wal.OS{}, folder, wal.Options{})
	if err != nil || rec.New || rec.Incarnation != opt.Incarnation || len(rec.Records) != 2 || rec.Truncated != nil {
		t.Fatal(rec, err)
	}
}

// Guards against a dropped batch that comes back at a later start. Power is lost in a
// sync; the mark of the batch before is lost and the batch itself kept, so it is
// dropped. If the log continued in the same segment, the mark would be written again
// and the next start would find the old batch after it.
func TestDroppedTailStaysDropped(t *testing.T) {
	fs := faultfs.New()
	l, _, err := wal.Open(fs, dir, wal.Options{Incarnation: wal.Incarnation{1}})
	if err = errors.Join(err, l.Append(record(1)), l.Sync(), l.Append(record(2))); err != nil {
		t.Fatal(err)
	}
	fs.Fail(faultfs.OpSync, 0, faultfs.ErrCrashed)
	if err := l.Sync(); !errors.Is(err, faultfs.ErrCrashed) {
		t.Fatal(err)
	}
	kept := []int{0, 1} // the mark is lost, the batch is whole
	fs.PowerLoss(func(int) int {
		next := kept[0]
		kept = kept[1:]
		return next
	})
	for start := range 3 {
		_, rec, err := wal.Open(fs, dir, wal.Options{})
		if err != nil || len(rec.Records) != 1 || (rec.Truncated != nil) != (start == 0) {
			t.Fatalf("start %d: %+v, %v", start, rec, err)
		}
		fs.Kill()
	}
}
