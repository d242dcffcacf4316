package faultfs

import (
	"errors"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/gullhaven/gullhaven/coord/wal"
)

// charge charges one operation to the crash budget and returns its injected failure, if
// any. A write is charged by its bytes instead, in writable.
func (f *FS) charge(op Op) error {
	if f.budget == 0 {
		return ErrCrashed
	}
	if f.budget > 0 && op != OpWrite {
		f.budget--
	}
	return f.injectedError(op)
}

func (f *FS) injectedError(op Op) error {
	p := f.faults[op]
	if p == nil {
		return nil
	}
	if p.after > 0 {
		p.after--
		return nil
	}
	delete(f.faults, op)
	if errors.Is(p.err, ErrCrashed) {
		f.budget = 0
	}
	return p.err
}

func (f *FS) usedBytes() int {
	sum := 0
	for _, n := range f.visible {
		sum += len(n.visible)
	}
	return sum
}

func (f *FS) recordChange(c dirChange) {
	apply(f.visible, c)
	f.pending = append(f.pending, c)
}

// MkdirAll does nothing: folders exist through the paths of their files.
func (f *FS) MkdirAll(string) error { return nil }

type lock struct {
	fs   *FS
	path string
}

func (l *lock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	if l.fs.locks[l.path] == l {
		delete(l.fs.locks, l.path)
	}
	return nil
}

// Lock locks a path until the result is closed or the process ends.
func (f *FS) Lock(path string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locks[path] != nil {
		return nil, &wal.LockedError{File: path, Err: syscall.EWOULDBLOCK}
	}
	l := &lock{fs: f, path: path}
	f.locks[path] = l
	return l, nil
}

// List returns the names of the visible files in a folder.
func (f *FS) List(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.charge(OpList); err != nil {
		return nil, err
	}
	var names []string
	for _, path := range sortedPaths(f.visible) {
		if filepath.Dir(path) == filepath.Clean(dir) {
			names = append(names, filepath.Base(path))
		}
	}
	return names, nil
}

// ReadFile returns the visible contents of a file.
func (f *FS) ReadFile(path string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.charge(OpRead); err != nil {
		return nil, err
	}
	n := f.visible[path]
	if n == nil {
		return nil, &fs.PathError{Op: "read", Path: path, Err: fs.ErrNotExist}
	}
	return slices.Clone(n.visible), nil
}

// Create creates an empty file.
func (f *FS) Create(path string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.charge(OpCreate); err != nil {
		return nil, err
	}
	n := &inode{}
	f.recordChange(dirChange{dir: filepath.Dir(path), set: path, node: n})
	return &file{fs: f, node: n, generation: f.generation}, nil
}

// OpenWrite opens an existing file.
func (f *FS) OpenWrite(path string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.charge(OpOpen); err != nil {
		return nil, err
	}
	n := f.visible[path]
	if n == nil {
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
	return &file{fs: f, node: n, generation: f.generation}, nil
}

// Rename moves a file; a power loss keeps all of the move or nothing.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.charge(OpRename); err != nil {
		return err
	}
	n := f.visible[from]
	if n == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	f.recordChange(dirChange{dir: filepath.Dir(to), removed: from, set: to, node: n})
	return nil
}

// Remove removes a file.
func (f *FS) Remove(path string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.charge(OpRemove); err != nil {
		return err
	}
	if f.visible[path] == nil {
		return &fs.PathError{Op: "remove", Path: path, Err: fs.ErrNotExist}
	}
	f.recordChange(dirChange{dir: filepath.Dir(path), removed: path})
	return nil
}

// SyncDir makes the directory entries of a folder durable.
func (f *FS) SyncDir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.charge(OpSyncDir); err != nil {
		return err
	}
	var rest []dirChange
	for _, c := range f.pending {
		if c.dir == filepath.Clean(dir) {
			apply(f.durable, c)
		} else {
			rest = append(rest, c)
		}
	}
	f.pending = rest
	return nil
}

type file struct {
	fs         *FS
	node       *inode
	generation int
}

// WriteAt writes as much as the crash budget and the capacity allow.
func (w *file) WriteAt(p []byte, off int64) (int, error) {
	f := w.fs
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.generation != f.generation {
		return 0, ErrCrashed
	}
	if err := f.charge(OpWrite); err != nil {
		return 0, err
	}
	n, err := f.writable(w.node, p, off)
	data := slices.Clone(p[:n])
	w.node.visible = writeRange(w.node.visible, data, off)
	w.node.pending = append(w.node.pending, pendingWrite{off: off, data: data})
	return n, err
}

// writable returns how many bytes of a write succeed, and the error if not all do.
func (f *FS) writable(node *inode, p []byte, off int64) (int, error) {
	n, err := len(p), error(nil)
	if grow := int(off) + n - len(node.visible); f.capacity >= 0 && grow > 0 {
		if free := f.capacity - f.usedBytes(); grow > free {
			n, err = max(0, n-(grow-max(0, free))), syscall.ENOSPC
		}
	}
	if f.budget >= 0 {
		if f.budget < n {
			n, err = f.budget, ErrCrashed
		}
		f.budget -= n
	}
	return n, err
}

// Sync makes the bytes durable. If it fails, they count as clean nevertheless.
func (w *file) Sync() error {
	f := w.fs
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.generation != f.generation {
		return ErrCrashed
	}
	if err := f.charge(OpSync); err != nil {
		if !errors.Is(err, ErrCrashed) {
			w.node.pending = nil
		}
		return err
	}
	for _, p := range w.node.pending {
		w.node.durable = writeRange(w.node.durable, p.data, p.off)
	}
	w.node.pending = nil
	return nil
}

// Close does nothing; in particular it does not sync.
func (w *file) Close() error { return nil }
