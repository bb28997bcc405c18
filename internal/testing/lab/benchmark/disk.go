package benchmark

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/testing/lab/report"
)

// SyncTimes writes records to a log of the project's own and syncs each; the
// times are what a durable change costs on this disk at the least.
func SyncTimes(ctx context.Context, folder string, count, recordBytes int) (*report.Times, error) {
	path, err := os.MkdirTemp(folder, "sync-")
	if err != nil {
		return nil, errors.Wrap(err, "make folder")
	}
	defer func() { _ = os.RemoveAll(path) }()
	log, err := storage.OpenLog(storage.OSFilesystem{}, path, storage.LogOptions{})
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	times := report.NewTimes()
	record := make([]byte, recordBytes)
	for range count {
		begun := time.Now()
		if _, err := log.Write(record); err != nil {
			return nil, errors.CombineErrors(errors.Wrap(err, "write"), log.Close())
		}
		if err := log.Sync(); err != nil {
			return nil, errors.CombineErrors(errors.Wrap(err, "sync"), log.Close())
		}
		times.Add(time.Since(begun))
		if ctx.Err() != nil {
			break
		}
	}
	return times, errors.CombineErrors(log.Close(), ctx.Err())
}
