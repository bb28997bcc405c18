package storage

import "io"

// Filesystem is what the storage code needs of a file system. A name that was
// created, renamed or removed is durable only after SyncDir of its folder,
// and content only after Sync of its file. Errors for absent files match
// fs.ErrNotExist and a full disk matches syscall.ENOSPC.
type Filesystem interface {
	// MkdirAll creates a folder and its missing parents durably; an existing folder is no error.
	MkdirAll(path string) error
	// List returns the entries of a folder sorted by name.
	List(dir string) ([]Entry, error)
	// Create makes an empty file for reading and writing and cuts an existing one to nothing.
	Create(path string) (File, error)
	// Open opens an existing file for reading and writing.
	Open(path string) (File, error)
	// Rename replaces the file at the new path at once.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(path string) error
	// SyncDir makes the names in a folder durable.
	SyncDir(path string) error
}

// File is an open file.
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

// Entry is one name in a folder.
type Entry struct {
	Name  string
	IsDir bool
}
