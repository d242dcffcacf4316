package wal

import "io"

// FS is the part of a file system that the log needs. Paths are joined with
// path/filepath. Only File.Sync and SyncDir make anything durable.
type FS interface {
	// MkdirAll creates a folder with its parents and makes them durable.
	MkdirAll(dir string) error
	// Lock locks the file at path for this process alone, creating it if needed. It
	// returns a LockedError if another process has it. Closing releases it.
	Lock(path string) (io.Closer, error)
	// List returns the names of the files in a folder, in any order.
	List(dir string) ([]string, error)
	// ReadFile returns the whole contents of a file.
	ReadFile(path string) ([]byte, error)
	// Create creates an empty file for writing, replacing one that exists.
	Create(path string) (File, error)
	// OpenWrite opens an existing file for writing.
	OpenWrite(path string) (File, error)
	// Rename moves a file atomically, replacing one at to.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncDir makes the directory entries of a folder durable.
	SyncDir(dir string) error
}

// File is a file open for writing.
type File interface {
	io.WriterAt
	io.Closer
	// Sync makes the contents durable, but not the file's directory entry.
	Sync() error
}
