// Package faultfs is a file system in memory for tests of what a crash leaves.
//
// It keeps two views: what a process sees, and what is durable. Written bytes
// become durable by File.Sync alone and folder entries by SyncDir alone. A Kill
// ends the process and keeps what it saw, as an operating system does that goes
// on. A PowerLoss keeps what is durable and, of everything else, whatever the
// caller's choices say: any written range whole, in part or not at all, in any
// order, and any folder entry or not. Faults are planted in advance: a crash
// after a number of bytes and steps, a full disk, failing operations, flipped
// bits. A failed sync behaves as on common systems: the bytes can still be
// read, but they count as clean, so that a later sync doesn't write them.
package faultfs

import (
	"errors"
	"slices"
	"sync"

	"github.com/gullhaven/gullhaven/coord/wal"
)

// ErrCrashed is returned by each operation after a planted crash.
var ErrCrashed = errors.New("faultfs: crashed")

// Choose returns a number from 0 to n-1. It decides what a power loss keeps, so
// a test draws it from its own source of randomness.
type Choose func(n int) int

// Op is a kind of operation.
type Op string

// The operations that can fail or crash.
const (
	OpWrite   Op = "write"
	OpSync    Op = "sync"
	OpSyncDir Op = "syncdir"
	OpCreate  Op = "create"
	OpOpen    Op = "open"
	OpRename  Op = "rename"
	OpRemove  Op = "remove"
	OpList    Op = "list"
	OpRead    Op = "read"
)

// write is a range that was written and not synced yet.
type write struct {
	off  int64
	data []byte
}

type inode struct {
	seen    []byte
	durable []byte
	pending []write
}

// change is an entry of a folder that was changed and not synced yet.
type change struct {
	dir     string
	removed string
	set     string
	node    *inode
}

type fault struct {
	after int
	err   error
}

// FS is the file system. It is safe for concurrent use.
type FS struct {
	mu       sync.Mutex
	seen     map[string]*inode
	durable  map[string]*inode
	pending  []change
	locks    map[string]*lock
	faults   map[Op]*fault
	budget   int // bytes and steps until the crash; below 0: none planted
	capacity int // bytes of all files; below 0: no bound
	life     int // rises at each crash; files of an earlier life are dead
}

var _ wal.FS = (*FS)(nil)

// New makes an empty file system without faults.
func New() *FS {
	return &FS{
		seen: map[string]*inode{}, durable: map[string]*inode{},
		locks: map[string]*lock{}, faults: map[Op]*fault{}, budget: -1, capacity: -1,
	}
}

// CrashAfter plants a crash: each written byte and each other operation takes
// one from budget, and nothing happens after that but ErrCrashed.
func (f *FS) CrashAfter(budget int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget = budget
}

// Fail lets one operation of a kind fail with err, after it has succeeded for
// the given number of times; the ones after it succeed again. With ErrCrashed
// it plants a crash there.
func (f *FS) Fail(op Op, after int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults[op] = &fault{after: after, err: err}
}

// SetCapacity bounds the bytes of all files; a write beyond it is cut short
// with ENOSPC. Below 0 there is no bound.
func (f *FS) SetCapacity(bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.capacity = bytes
}

// Mend removes the planted faults that have not come to pass.
func (f *FS) ClearFaults() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mend()
}

func (f *FS) mend() {
	f.faults = map[Op]*fault{}
	f.budget, f.capacity = -1, -1
}

// Kill ends the process: locks and open files are gone, written bytes stay.
func (f *FS) Kill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restart()
}

// PowerLoss ends the process and the operating system: choose decides what is
// left of the bytes and folder entries that were not synced.
func (f *FS) PowerLoss(choose Choose) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.pending {
		if choose(2) == 1 {
			apply(f.durable, c)
		}
	}
	f.pending = nil
	f.seen = map[string]*inode{}
	for _, path := range sortedPaths(f.durable) {
		n := f.durable[path]
		n.loseWrites(choose)
		f.seen[path] = n
	}
	f.restart()
}

// Wipe removes everything, as a replaced disk does.
func (f *FS) Wipe() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen, f.durable, f.pending = map[string]*inode{}, map[string]*inode{}, nil
	f.restart()
}

func (f *FS) restart() {
	f.mend()
	f.locks = map[string]*lock{}
	f.life++
}

// FlipBit flips one bit of a file, on the disk and as it is seen.
func (f *FS) FlipBit(path string, bit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.seen[path]
	for _, b := range [][]byte{n.seen, n.durable} {
		if bit/8 < len(b) {
			b[bit/8] ^= 1 << (bit % 8)
		}
	}
}

// Dump returns a copy of all files as they are seen, by path.
func (f *FS) Dump() map[string][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string][]byte{}
	for path, n := range f.seen {
		out[path] = slices.Clone(n.seen)
	}
	return out
}

func sortedPaths(m map[string]*inode) []string {
	paths := make([]string, 0, len(m))
	for path := range m {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	return paths
}

func apply(m map[string]*inode, c change) {
	if c.removed != "" {
		delete(m, c.removed)
	}
	if c.set != "" {
		m[c.set] = c.node
	}
}

// The ways in which a power loss treats one unsynced write.
const (
	writeLost = iota
	writeWhole
	writeHead
	writeTail
	writeWays
)

func (n *inode) loseWrites(choose Choose) {
	for _, w := range n.pending {
		switch choose(writeWays) {
		case writeWhole:
			n.durable = put(n.durable, w.data, w.off)
		case writeHead:
			n.durable = put(n.durable, w.data[:choose(len(w.data)+1)], w.off)
		case writeTail: // the length may grow before the bytes come
			from := choose(len(w.data) + 1)
			n.durable = put(n.durable, w.data[from:], w.off+int64(from))
		}
	}
	n.pending = nil
	n.seen = slices.Clone(n.durable)
}

func put(b, data []byte, off int64) []byte {
	if grow := int(off) + len(data) - len(b); grow > 0 && len(data) > 0 {
		b = append(b, make([]byte, grow)...)
	}
	if len(data) > 0 {
		copy(b[off:], data)
	}
	return b
}
