package storage

import (
	"context"
	"sync"
)

// DefaultMaxPendingBytes bounds the memory of the records that wait for a sync while a disk stalls.
const DefaultMaxPendingBytes = 256 << 20

// GroupCommitterOptions are the settings of a group committer; zero values stand for the defaults.
type GroupCommitterOptions struct {
	// MaxPendingBytes bounds the queue; a single request may exceed it when the queue is empty.
	MaxPendingBytes int
	// OnSync, when set, is called after each sync with the number of requests that shared it.
	OnSync func(requests int)
}

// GroupCommitter shares one sync among all requests that wait for it. Its goroutine writes the records and calls the
// callbacks in the order of the requests; Close ends it. It is safe for concurrent use.
type GroupCommitter struct {
	log     *Log
	options GroupCommitterOptions
	// stopped is closed when the goroutine has ended.
	stopped chan struct{}

	// mutex guards the fields below.
	mutex        sync.Mutex
	notEmpty     *sync.Cond
	queue        []commitRequest
	pendingBytes int
	closed       bool
}

type commitRequest struct {
	records   [][]byte
	positions []Position
	bytes     int
	done      func([]Position, error)
}

// NewGroupCommitter starts the goroutine that appends to the log. Close stops it; the log remains open.
func NewGroupCommitter(log *Log, options GroupCommitterOptions) *GroupCommitter {
	if options.MaxPendingBytes <= 0 {
		options.MaxPendingBytes = DefaultMaxPendingBytes
	}
	committer := &GroupCommitter{log: log, options: options, stopped: make(chan struct{})}
	committer.notEmpty = sync.NewCond(&committer.mutex)
	go committer.run()
	return committer
}

// Append returns when the records are durable. When the context ends first, the records may or may not become durable.
// The records must not change until they are written: a caller whose context ended must not reuse their memory.
func (c *GroupCommitter) Append(ctx context.Context, records ...[]byte) ([]Position, error) {
	type outcome struct {
		positions []Position
		err       error
	}
	outcomes := make(chan outcome, 1)
	c.AppendAsync(records, func(positions []Position, err error) {
		outcomes <- outcome{positions: positions, err: err}
	})
	select {
	case committed := <-outcomes:
		return committed.positions, committed.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// AppendAsync calls done when the records are durable or have failed: on the committer's goroutine, or on the caller's
// before AppendAsync returns when the request was rejected (*QueueFullError, *ClosedError). done must not block.
func (c *GroupCommitter) AppendAsync(records [][]byte, done func([]Position, error)) {
	size := 0
	for _, record := range records {
		size += len(record)
	}
	if err := c.enqueue(commitRequest{records: records, bytes: size, done: done}); err != nil {
		done(nil, err)
	}
}

func (c *GroupCommitter) enqueue(request commitRequest) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return &ClosedError{}
	}
	if c.pendingBytes > 0 && c.pendingBytes+request.bytes > c.options.MaxPendingBytes {
		return &QueueFullError{PendingBytes: c.pendingBytes, Max: c.options.MaxPendingBytes}
	}
	c.queue = append(c.queue, request)
	c.pendingBytes += request.bytes
	c.notEmpty.Signal()
	return nil
}

// Close commits the queue and stops the goroutine.
func (c *GroupCommitter) Close() {
	c.mutex.Lock()
	c.closed = true
	c.notEmpty.Signal()
	c.mutex.Unlock()
	<-c.stopped
}

func (c *GroupCommitter) run() {
	defer close(c.stopped)
	var reusable []commitRequest
	for {
		requests := c.takeQueue(reusable)
		if len(requests) == 0 {
			return
		}
		c.commit(requests)
		clear(requests)
		reusable = requests[:0]
	}
}

// takeQueue waits for requests and returns all of them, or none once the committer is closed and its queue is empty.
// The next queue reuses the given memory.
func (c *GroupCommitter) takeQueue(reusable []commitRequest) []commitRequest {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(c.queue) == 0 && !c.closed {
		c.notEmpty.Wait()
	}
	requests := c.queue
	c.queue = reusable
	c.pendingBytes = 0
	return requests
}

func (c *GroupCommitter) commit(requests []commitRequest) {
	errs := make([]error, len(requests))
	for index := range requests {
		errs[index] = c.write(&requests[index])
	}
	syncErr := c.log.Sync()
	if c.options.OnSync != nil {
		c.options.OnSync(len(requests))
	}
	for index, request := range requests {
		err := errs[index]
		if err == nil {
			err = syncErr
		}
		if err != nil {
			request.done(nil, err)
			continue
		}
		request.done(request.positions, nil)
	}
}

// write appends the records of one request, or none of them when one has an invalid size.
func (c *GroupCommitter) write(request *commitRequest) error {
	maximum := c.log.options.MaxRecordBytes
	for _, record := range request.records {
		if len(record) == 0 || len(record) > maximum {
			return &RecordSizeError{Size: len(record), Max: maximum}
		}
	}
	request.positions = make([]Position, 0, len(request.records))
	for _, record := range request.records {
		position, err := c.log.Write(record)
		if err != nil {
			return err
		}
		request.positions = append(request.positions, position)
	}
	return nil
}
