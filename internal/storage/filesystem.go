package storage

import "io"

// Filesystem is the set of file system operations that the storage code uses. Creating, renaming or removing a file or
// directory becomes durable only with SyncDir of its parent, and file content only with Sync of the file. Errors for
// files that do not exist match fs.ErrNotExist, and errors for a full disk match syscall.ENOSPC. Implementations must
// be safe for concurrent use.
type Filesystem interface {
	// Mkdir creates a directory. The error matches fs.ErrExist if the path exists, and fs.ErrNotExist if its parent does
	// not.
	Mkdir(path string) error
	// List returns the entries of a directory, sorted by name.
	List(dir string) ([]Entry, error)
	// Create opens a file for reading and writing; it creates the file if it does not exist and truncates it otherwise.
	Create(path string) (File, error)
	// Open opens an existing file for reading and writing.
	Open(path string) (File, error)
	// Rename atomically renames a file, replacing any file at the new path.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(path string) error
	// SyncDir makes earlier changes of the directory's entries durable.
	SyncDir(path string) error
}

// File is an open file. Implementations must be safe for concurrent use.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Size returns the length in bytes.
	Size() (int64, error)
	// Truncate sets the length in bytes.
	Truncate(size int64) error
	// Sync makes all content written earlier durable.
	Sync() error
}

// Entry is a directory entry.
type Entry struct {
	Name  string
	IsDir bool
}
