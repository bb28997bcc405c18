package replica

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rosestand/rosestand/internal/storage"
)

// slowFilesystem delays each sync of a file by syncTime.
type slowFilesystem struct {
	storage.Filesystem
	syncTime time.Duration
}

func (s slowFilesystem) Create(path string) (storage.File, error) {
	return s.slow(s.Filesystem.Create(path))
}

func (s slowFilesystem) Open(path string) (storage.File, error) {
	return s.slow(s.Filesystem.Open(path))
}

func (s slowFilesystem) slow(file storage.File, err error) (storage.File, error) {
	if err != nil || s.syncTime == 0 {
		return file, err
	}
	return slowFile{File: file, syncTime: s.syncTime}, nil
}

type slowFile struct {
	storage.File
	syncTime time.Duration
}

func (s slowFile) Sync() error {
	<-time.NewTimer(s.syncTime).C
	return s.File.Sync()
}

// openLimiter counts the files that are opened while it is enabled. More than maxOpened cause a panic, so that a
// replica that reads a snapshot in an endless loop fails its test.
type openLimiter struct {
	enabled atomic.Bool
	opened  atomic.Int64
}

const maxOpened = 10_000

// limitedFilesystem reports each opened file to a limiter.
type limitedFilesystem struct {
	storage.Filesystem
	limiter *openLimiter
}

func (f limitedFilesystem) Open(path string) (storage.File, error) {
	if f.limiter.enabled.Load() && f.limiter.opened.Add(1) > maxOpened {
		panic("opened more than " + strconv.Itoa(maxOpened) + " files: the replica reads in an endless loop")
	}
	return f.Filesystem.Open(path)
}
