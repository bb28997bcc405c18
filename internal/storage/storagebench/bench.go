// Package storagebench measures the throughput and latency of durable appends to the segmented log: with group commit,
// where all waiting writers share one sync, and with one sync per append as the baseline.
package storagebench

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/storage"
)

// WriterCounts lists the numbers of concurrent writers for which results are reported.
var WriterCounts = []int{1, 16, 256}

const (
	// maxMicros is the longest append latency that the histogram records: one minute.
	maxMicros         = 60_000_000
	significantDigits = 3
)

// Options configures a measurement.
type Options struct {
	// Dir is the directory in which the log is created and removed again. It determines which disk is measured.
	Dir         string
	Writers     int
	RecordBytes int
	Duration    time.Duration
	// SyncEach syncs each append separately, as the baseline, instead of using group commit.
	SyncEach bool
}

// Result is the result of one measurement.
type Result struct {
	Writers          int
	SyncEach         bool
	Appends          int64
	Syncs            int64
	AppendsPerSecond float64
	// P50 and P99 are quantiles of the time from the start of an append until the record is durable.
	P50 time.Duration
	P99 time.Duration
}

// Run appends from Options.Writers goroutines, each waiting for its record to be durable, for Options.Duration.
func Run(options Options) (result Result, err error) {
	dir, err := os.MkdirTemp(options.Dir, "storagebench-")
	if err != nil {
		return Result{}, errors.WithStack(err)
	}
	defer func() { err = errors.CombineErrors(err, os.RemoveAll(dir)) }()
	log, err := storage.OpenLog(storage.OSFilesystem{}, filepath.Join(dir, "log"), storage.LogOptions{})
	if err != nil {
		return Result{}, err
	}
	defer func() { err = errors.CombineErrors(err, log.Close()) }()
	run := &measurement{options: options, histogram: hdrhistogram.New(1, maxMicros, significantDigits)}
	appendOne, stop := run.appender(log)
	started := time.Now()
	run.runWriters(appendOne, started.Add(options.Duration))
	elapsed := time.Since(started)
	stop()
	return run.result(elapsed), run.err
}

// measurement is the state of one run, which its writers share.
type measurement struct {
	options Options
	// syncs is incremented by one goroutine at a time: the committer's, or the writer that holds the baseline's lock.
	syncs int64
	// mutex guards histogram and err.
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram
	err       error
}

// appender returns a function that durably appends one record, and a function that stops the appender's goroutine.
func (m *measurement) appender(log *storage.Log) (appendOne func([]byte) error, stop func()) {
	if m.options.SyncEach {
		return m.baselineAppender(log), func() {}
	}
	committer := storage.NewGroupCommitter(log, storage.GroupCommitterOptions{OnSync: func(int) { m.syncs++ }})
	return func(record []byte) error {
		_, err := committer.Append(context.Background(), record)
		return err
	}, committer.Close
}

// baselineAppender returns a function that appends and syncs one record at a time.
func (m *measurement) baselineAppender(log *storage.Log) func([]byte) error {
	var lock sync.Mutex
	return func(record []byte) error {
		lock.Lock()
		defer lock.Unlock()
		m.syncs++
		if _, err := log.Write(record); err != nil {
			return err
		}
		return log.Sync()
	}
}

func (m *measurement) runWriters(appendOne func([]byte) error, end time.Time) {
	var writers sync.WaitGroup
	for range m.options.Writers {
		writers.Go(func() {
			histogram := hdrhistogram.New(1, maxMicros, significantDigits)
			err := m.writeUntil(end, appendOne, histogram)
			m.mutex.Lock()
			defer m.mutex.Unlock()
			m.histogram.Merge(histogram)
			m.err = errors.CombineErrors(m.err, err)
		})
	}
	writers.Wait()
}

func (m *measurement) writeUntil(end time.Time, appendOne func([]byte) error, histogram *hdrhistogram.Histogram) error {
	record := make([]byte, m.options.RecordBytes)
	for started := time.Now(); started.Before(end); started = time.Now() {
		if err := appendOne(record); err != nil {
			return err
		}
		if err := histogram.RecordValue(max(time.Since(started).Microseconds(), 1)); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

func (m *measurement) result(elapsed time.Duration) Result {
	appends := m.histogram.TotalCount()
	return Result{
		Writers:          m.options.Writers,
		SyncEach:         m.options.SyncEach,
		Appends:          appends,
		Syncs:            m.syncs,
		AppendsPerSecond: float64(appends) / elapsed.Seconds(),
		P50:              time.Duration(m.histogram.ValueAtQuantile(50)) * time.Microsecond,
		P99:              time.Duration(m.histogram.ValueAtQuantile(99)) * time.Microsecond,
	}
}
