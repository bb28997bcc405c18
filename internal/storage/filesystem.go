package storage

import "io"

// Filesystem is what the storage code needs of a file system. A name that was created, renamed or removed is durable
// only after SyncDir of its directory, and content only after Sync of its file. Errors for absent files match
// fs.ErrNotExist and a full disk matches syscall.ENOSPC. Implementations are safe for concurrent use.
type Filesystem interface {
	// MkdirAll creates a directory and its missing parents durably; an existing directory is no error.
	MkdirAll(path string) error
	// List returns the entries of a directory, sorted by name.
	List(dir string) ([]Entry, error)
	// Create makes an empty file for reading and writing, and truncates an existing one.
	Create(path string) (File, error)
	// Open opens an existing file for reading and writing.
	Open(path string) (File, error)
	// Rename atomically replaces the file at the new path.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(path string) error
	// SyncDir makes the names in a directory durable.
	SyncDir(path string) error
}

// File is an open file. It is safe for concurrent use.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Size returns the length in bytes.
	Size() (int64, error)
	// Truncate sets the length in bytes.
	Truncate(size int64) error
	// Sync makes all content written before durable.
	Sync() error
}

// Entry is one name in a directory.
type Entry struct {
	Name  string
	IsDir bool
}
