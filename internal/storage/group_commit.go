package storage

import (
	"context"
	"sync"
)

// DefaultMaxPendingBytes bounds the records that wait for a sync.
const DefaultMaxPendingBytes = 256 << 20

// GroupCommitterOptions are the settings of a group committer; zero values stand for the defaults.
type GroupCommitterOptions struct {
	MaxPendingBytes int
	// OnSync, when set, is called after each sync with the number of requests that shared it.
	OnSync func(requests int)
}

// GroupCommitter shares one sync among all requests that wait for it. One goroutine
// writes the records and calls the callbacks in the order of the requests.
type GroupCommitter struct {
	log     *Log
	options GroupCommitterOptions
	stopped chan struct{}

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

// NewGroupCommitter starts the goroutine that appends to the log. Close stops it; the log stays open.
func NewGroupCommitter(log *Log, options GroupCommitterOptions) *GroupCommitter {
	if options.MaxPendingBytes <= 0 {
		options.MaxPendingBytes = DefaultMaxPendingBytes
	}
	committer := &GroupCommitter{log: log, options: options, stopped: make(chan struct{})}
	committer.notEmpty = sync.NewCond(&committer.mutex)
	go committer.run()
	return committer
}

// Append returns when the records are durable. When the context ends first the
// records may or may not become durable. The records must not change until they are written: callers
// that give up early must not use their memory again.
func (c *GroupCommitter) Append(ctx context.Context, records ...[]byte) ([]Position, error) {
	type result struct {
		positions []Position
		err       error
	}
	results := make(chan result, 1)
	c.AppendAsync(records, func(positions []Position, err error) {
		results <- result{positions: positions, err: err}
	})
	select {
	case answer := <-results:
		return answer.positions, answer.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// AppendAsync calls done when the records are durable or have failed. It is called on the committer's
// goroutine, or on the caller's before AppendAsync returns when the request was not taken
// (*QueueFullError, *ClosedError). done must not block.
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

// Close commits what waits and stops the goroutine.
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

// take waits for requests and returns none once the committer is closed and empty.
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

// write adds the records of one request, or none of them when one has a wrong size.
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
