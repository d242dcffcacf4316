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

// step pays for one operation and returns its planted failure, if any.
func (f *FS) step(op Op) error {
	if f.budget == 0 {
		return ErrCrashed
	}
	if f.budget > 0 && op != OpWrite {
		f.budget--
	}
	return f.planted(op)
}

func (f *FS) planted(op Op) error {
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

func (f *FS) used() int {
	sum := 0
	for _, n := range f.seen {
		sum += len(n.seen)
	}
	return sum
}

func (f *FS) record(c change) {
	apply(f.seen, c)
	f.pending = append(f.pending, c)
}

// MkdirAll does nothing: folders exist by the paths of their files.
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

// Lock takes a path until it's closed or the process ends.
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

// List returns the names of the files seen in a folder.
func (f *FS) List(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.step(OpList); err != nil {
		return nil, err
	}
	var names []string
	for _, path := range sortedPaths(f.seen) {
		if filepath.Dir(path) == filepath.Clean(dir) {
			names = append(names, filepath.Base(path))
		}
	}
	return names, nil
}

// ReadFile returns the content seen of a file.
func (f *FS) ReadFile(path string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.step(OpRead); err != nil {
		return nil, err
	}
	n := f.seen[path]
	if n == nil {
		return nil, &fs.PathError{Op: "read", Path: path, Err: fs.ErrNotExist}
	}
	return slices.Clone(n.seen), nil
}

// Create makes an empty file.
func (f *FS) Create(path string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.step(OpCreate); err != nil {
		return nil, err
	}
	n := &inode{}
	f.record(change{dir: filepath.Dir(path), set: path, node: n})
	return &file{fs: f, node: n, life: f.life}, nil
}

// OpenWrite opens an existing file.
func (f *FS) OpenWrite(path string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.step(OpOpen); err != nil {
		return nil, err
	}
	n := f.seen[path]
	if n == nil {
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
	return &file{fs: f, node: n, life: f.life}, nil
}

// Rename moves a file; a power loss keeps all of that or nothing.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.step(OpRename); err != nil {
		return err
	}
	n := f.seen[from]
	if n == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	f.record(change{dir: filepath.Dir(to), removed: from, set: to, node: n})
	return nil
}

// Remove removes a file.
func (f *FS) Remove(path string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.step(OpRemove); err != nil {
		return err
	}
	if f.seen[path] == nil {
		return &fs.PathError{Op: "remove", Path: path, Err: fs.ErrNotExist}
	}
	f.record(change{dir: filepath.Dir(path), removed: path})
	return nil
}

// SyncDir makes the entries of a folder durable.
func (f *FS) SyncDir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.step(OpSyncDir); err != nil {
		return err
	}
	var rest []change
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
	fs   *FS
	node *inode
	life int
}

// WriteAt writes as much as crash and capacity allow.
func (w *file) WriteAt(p []byte, off int64) (int, error) {
	f := w.fs
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.life != f.life {
		return 0, ErrCrashed
	}
	if err := f.step(OpWrite); err != nil {
		return 0, err
	}
	n, err := f.room(w.node, p, off)
	data := slices.Clone(p[:n])
	w.node.seen = put(w.node.seen, data, off)
	w.node.pending = append(w.node.pending, write{off: off, data: data})
	return n, err
}

// room returns how many bytes of a write go through, and why not all.
func (f *FS) room(node *inode, p []byte, off int64) (int, error) {
	n, err := len(p), error(nil)
	if grow := int(off) + n - len(node.seen); f.capacity >= 0 && grow > 0 {
		if free := f.capacity - f.used(); grow > free {
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

// Sync makes the bytes durable. If it fails, they count as clean all the same.
func (w *file) Sync() error {
	f := w.fs
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.life != f.life {
		return ErrCrashed
	}
	if err := f.step(OpSync); err != nil {
		if !errors.Is(err, ErrCrashed) {
			w.node.pending = nil
		}
		return err
	}
	for _, p := range w.node.pending {
		w.node.durable = put(w.node.durable, p.data, p.off)
	}
	w.node.pending = nil
	return nil
}

// Close does nothing: closing syncs nothing.
func (w *file) Close() error { return nil }
