// Package faultfs is an in-memory file system for tests of crash recovery.
//
// It keeps two views: what a process sees, and what is durable. Written bytes become
// durable only by File.Sync and directory entries only by SyncDir. Kill ends the
// process and keeps what it saw, as when the operating system keeps running. PowerLoss
// keeps what is durable and, of everything else, what the caller chooses: any written
// range whole, in part or not at all, in any order, and any directory entry or not.
// Faults are injected in advance: a crash after a number of bytes and steps, a full
// disk, failing operations, flipped bits. A failed sync behaves as on common systems:
// the bytes can still be read, but they count as clean, so that a later sync does not
// write them.
package faultfs

import (
	"errors"
	"slices"
	"sync"

	"github.com/gullhaven/gullhaven/coord/wal"
)

// ErrCrashed is returned by each operation after an injected crash.
var ErrCrashed = errors.New("faultfs: crashed")

// Choose returns a number from 0 to n-1. It decides what a power loss keeps; a test
// draws it from its own source of randomness.
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

// pendingWrite is a range that was written and not synced yet.
type pendingWrite struct {
	off  int64
	data []byte
}

type inode struct {
	visible []byte
	durable []byte
	pending []pendingWrite
}

// dirChange is a directory entry that was changed and not synced yet. removed and set
// are the paths that lose and get the node; empty for none.
type dirChange struct {
	dir     string
	removed string
	set     string
	node    *inode
}

// fault is an operation's injected failure.
type fault struct {
	after int // successes before it
	err   error
}

// FS is an in-memory file system. It is safe for concurrent use.
type FS struct {
	mu         sync.Mutex
	visible    map[string]*inode
	durable    map[string]*inode
	pending    []dirChange
	locks      map[string]*lock
	faults     map[Op]*fault
	budget     int // bytes and steps until the crash; below 0: no crash
	capacity   int // bytes of all files; below 0: unlimited
	generation int // incremented at each crash; files of an earlier one are unusable
}

var _ wal.FS = (*FS)(nil)

// New returns an empty file system without faults.
func New() *FS {
	return &FS{
		visible: map[string]*inode{}, durable: map[string]*inode{},
		locks: map[string]*lock{}, faults: map[Op]*fault{}, budget: -1, capacity: -1,
	}
}

// CrashAfter injects a crash: each written byte and each other operation uses one unit
// of budget; after that every operation returns ErrCrashed.
func (f *FS) CrashAfter(budget int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget = budget
}

// Fail makes one operation of a kind fail with err, after the given number of
// successes; later ones succeed again. With ErrCrashed it injects a crash there.
func (f *FS) Fail(op Op, after int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults[op] = &fault{after: after, err: err}
}

// SetCapacity bounds the bytes of all files; a write beyond it is cut short with
// ENOSPC. Below 0 there is no bound.
func (f *FS) SetCapacity(bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.capacity = bytes
}

// ClearFaults removes the injected faults that have not occurred yet.
func (f *FS) ClearFaults() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clearFaults()
}

func (f *FS) clearFaults() {
	f.faults = map[Op]*fault{}
	f.budget, f.capacity = -1, -1
}

// Kill ends the process: locks and open files are gone, written bytes remain.
func (f *FS) Kill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restart()
}

// PowerLoss ends the process and the operating system: choose decides what remains of
// the bytes and directory entries that were not synced.
func (f *FS) PowerLoss(choose Choose) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.pending {
		if choose(2) == 1 {
			apply(f.durable, c)
		}
	}
	f.pending = nil
	f.visible = map[string]*inode{}
	for _, path := range sortedPaths(f.durable) {
		n := f.durable[path]
		n.loseWrites(choose)
		f.visible[path] = n
	}
	f.restart()
}

// Wipe removes everything, like replacing the disk.
func (f *FS) Wipe() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.visible, f.durable, f.pending = map[string]*inode{}, map[string]*inode{}, nil
	f.restart()
}

func (f *FS) restart() {
	f.clearFaults()
	f.locks = map[string]*lock{}
	f.generation++
}

// FlipBit flips one bit of a file, in the visible and the durable contents.
func (f *FS) FlipBit(path string, bit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.visible[path]
	for _, b := range [][]byte{n.visible, n.durable} {
		if bit/8 < len(b) {
			b[bit/8] ^= 1 << (bit % 8)
		}
	}
}

// Dump returns a copy of all visible files by path.
func (f *FS) Dump() map[string][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string][]byte{}
	for path, n := range f.visible {
		out[path] = slices.Clone(n.visible)
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

func apply(m map[string]*inode, c dirChange) {
	if c.removed != "" {
		delete(m, c.removed)
	}
	if c.set != "" {
		m[c.set] = c.node
	}
}

// How a power loss can treat one unsynced write.
const (
	writeLost = iota
	writeWhole
	writeHead
	writeTail
	writeOutcomes
)

func (n *inode) loseWrites(choose Choose) {
	for _, w := range n.pending {
		switch choose(writeOutcomes) {
		case writeWhole:
			n.durable = writeRange(n.durable, w.data, w.off)
		case writeHead:
			n.durable = writeRange(n.durable, w.data[:choose(len(w.data)+1)], w.off)
		case writeTail: // the length may grow before the bytes are written
			from := choose(len(w.data) + 1)
			n.durable = writeRange(n.durable, w.data[from:], w.off+int64(from))
		}
	}
	n.pending = nil
	n.visible = slices.Clone(n.durable)
}

func writeRange(b, data []byte, off int64) []byte {
	if grow := int(off) + len(data) - len(b); grow > 0 && len(data) > 0 {
		b = append(b, make([]byte, grow)...)
	}
	if len(data) > 0 {
		copy(b[off:], data)
	}
	return b
}
