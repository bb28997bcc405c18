package storage

import (
	"os"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Modes of created directories and files: the group of the process may read them, others have no access.
const (
	dirMode  = 0o750
	fileMode = 0o640
)

// OSFilesystem is the file system of the operating system.
type OSFilesystem struct{}

var _ Filesystem = OSFilesystem{}

// Mkdir creates a directory.
func (OSFilesystem) Mkdir(path string) error {
	return errors.WithStack(os.Mkdir(path, dirMode))
}

// List returns the entries of a directory, sorted by name.
func (OSFilesystem) List(dir string) ([]Entry, error) {
	names, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	entries := make([]Entry, 0, len(names))
	for _, entry := range names {
		entries = append(entries, Entry{Name: entry.Name(), IsDir: entry.IsDir()})
	}
	return entries, nil
}

// Create creates an empty file or truncates an existing one.
func (OSFilesystem) Create(path string) (File, error) {
	return openOSFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC)
}

// Open opens an existing file.
func (OSFilesystem) Open(path string) (File, error) {
	return openOSFile(path, os.O_RDWR)
}

// Rename renames a file, replacing any file at the new path.
func (OSFilesystem) Rename(from, to string) error {
	return errors.WithStack(os.Rename(from, to))
}

// Remove deletes a file.
func (OSFilesystem) Remove(path string) error {
	return errors.WithStack(os.Remove(path))
}

// SyncDir syncs the entries of a directory.
func (OSFilesystem) SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return errors.WithStack(err)
	}
	err = dir.Sync()
	return errors.WithStack(errors.CombineErrors(err, dir.Close()))
}

type osFile struct {
	*os.File
}

func openOSFile(path string, flags int) (File, error) {
	file, err := os.OpenFile(path, flags, fileMode)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return osFile{File: file}, nil
}

// Size returns the length in bytes.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, errors.WithStack(err)
	}
	return info.Size(), nil
}

// Sync flushes content and length to the disk with fdatasync, which does not flush access and modification times and so
// saves a second write.
func (f osFile) Sync() error {
	for {
		err := unix.Fdatasync(int(f.Fd()))
		if !errors.Is(err, unix.EINTR) {
			return errors.WithStack(err)
		}
	}
}
