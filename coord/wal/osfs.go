package wal

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

const (
	filePerm   = 0o600
	folderPerm = 0o700
)

// OS is the file system of the operating system.
type OS struct{}

// MkdirAll creates a folder and syncs the parent of each that it creates, and the
// parent of dir in any case, as an earlier process may have been killed in between.
// Without that, a crash can remove the folder with all the synced files in it, and the
// voter would come back as a new one.
func (o OS) MkdirAll(dir string) error {
	parent := filepath.Dir(dir)
	if info, err := os.Stat(dir); err == nil && info.IsDir() {
		return o.SyncDir(parent)
	}
	if parent != dir {
		if err := o.MkdirAll(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(dir, folderPerm); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	return o.SyncDir(parent)
}

// Lock locks the file at path by flock, which ends with the process.
func (OS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, filePerm)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, &LockedError{File: path, Err: err}
	}
	return f, nil
}

// List returns the names of the files in a folder.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names, nil
}

// ReadFile returns the whole contents of a file.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create creates an empty file for writing.
func (OS) Create(path string) (File, error) {
	return openFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC)
}

// OpenWrite opens an existing file for writing.
func (OS) OpenWrite(path string) (File, error) {
	return openFile(path, os.O_WRONLY)
}

// openFile keeps a nil *os.File out of the interface.
func openFile(path string, flag int) (File, error) {
	f, err := os.OpenFile(path, flag, filePerm)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Rename moves a file, replacing one at to.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir makes the directory entries of a folder durable.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
