package wal

import "io"

// FS is what the log needs of a file system. Paths are joined with
// path/filepath. Nothing is durable but by File.Sync and SyncDir.
type FS interface {
	// MkdirAll makes a folder with its parents and syncs those that it made.
	MkdirAll(dir string) error
	// Lock takes the file at path for this process alone and makes it if need
	// be. It returns a LockedError if another one has it. Closing releases it.
	Lock(path string) (io.Closer, error)
	// List returns the names of the files in a folder, in any order.
	List(dir string) ([]string, error)
	// ReadFile returns the whole content of a file.
	ReadFile(path string) ([]byte, error)
	// Create makes an empty file for writing, in place of one that exists.
	Create(path string) (File, error)
	// OpenWrite opens an existing file for writing.
	OpenWrite(path string) (File, error)
	// Rename moves a file over another one, atomically.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncDir makes the entries of a folder durable.
	SyncDir(dir string) error
}

// File is a file open for writing.
type File interface {
	io.WriterAt
	io.Closer
	// Sync makes the content durable, but not the entry in its folder.
	Sync() error
}
