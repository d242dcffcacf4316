package wal

import "fmt"

// CorruptError says that acknowledged data is damaged or missing. Open changed
// no file.
type CorruptError struct {
	// File is the path of the damaged or missing file.
	File string
	// Offset is the first byte, from the start of the file, that is not reliable.
	Offset int64
	// Reason is human-readable.
	Reason string
}

// Error names file, offset and reason in one line.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("wal: %s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// PoisonedError says that a disk operation failed, or that the log was closed, and that
// the log accepts nothing more. The next Open may or may not find what was not
// acknowledged.
type PoisonedError struct {
	// Op is the operation that failed first, for example "sync".
	Op string
	// File is the path that it failed on.
	File string
	// Err is the first failure.
	Err error
}

// Error names the first failure in one line.
func (e *PoisonedError) Error() string {
	return fmt.Sprintf("wal: stopped by a failed %s of %s: %v", e.Op, e.File, e.Err)
}

// Unwrap returns the first failure.
func (e *PoisonedError) Unwrap() error { return e.Err }

// LockedError says that another process has the folder open.
type LockedError struct {
	// File is the path of the lock file.
	File string
	// Err is the cause given by the operating system.
	Err error
}

// Error names the lock file.
func (e *LockedError) Error() string {
	return fmt.Sprintf("wal: %s is held by another process: %v", e.File, e.Err)
}

// Unwrap returns the operating system's error.
func (e *LockedError) Unwrap() error { return e.Err }

// TooLargeError says that records do not fit into one batch. None of them was buffered,
// and the log stays usable.
type TooLargeError struct {
	// Size is the length of the batch in bytes, Max the bound.
	Size, Max int
}

// Error gives size and bound.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("wal: a batch of %d bytes is larger than %d", e.Size, e.Max)
}

// ArgumentError says that a call's arguments are invalid. Nothing was written, and the
// log stays usable.
type ArgumentError struct {
	// Reason is human-readable.
	Reason string
}

// Error returns the reason.
func (e *ArgumentError) Error() string { return "wal: " + e.Reason }
