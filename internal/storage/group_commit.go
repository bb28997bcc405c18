package storage

import (
	"context"
	"slices"
	"sync"
)

// DefaultMaxPendingBytes bounds the memory used by records that are waiting for a sync while the disk stalls.
const DefaultMaxPendingBytes = 256 << 20

// GroupCommitterOptions configures a group committer. Zero values select the defaults.
type GroupCommitterOptions struct {
	// MaxPendingBytes limits the queue. A single request may exceed it when the queue is empty.
	MaxPendingBytes int
	// OnSync, when set, is called after each sync with the number of requests that it covered.
	OnSync func(requests int)
}

// GroupCommitter batches concurrent appends so that one sync covers all waiting requests. Its goroutine writes the
// records and calls the callbacks in the order of the requests; Close stops it. It is safe for concurrent use.
type GroupCommitter struct {
	log     *Log
	options GroupCommitterOptions
	// stopped is closed when the goroutine has exited.
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
	// between, when set, makes the request one of BetweenBatches, which has no other fields.
	between func()
}

// NewGroupCommitter starts the goroutine that appends to the log. Close stops the goroutine but does not close the log.
func NewGroupCommitter(log *Log, options GroupCommitterOptions) *GroupCommitter {
	if options.MaxPendingBytes <= 0 {
		options.MaxPendingBytes = DefaultMaxPendingBytes
	}
	committer := &GroupCommitter{log: log, options: options, stopped: make(chan struct{})}
	committer.notEmpty = sync.NewCond(&committer.mutex)
	go committer.run()
	return committer
}

// Append appends the records and returns once they are durable. If the context ends first, the records may or may not
// become durable. They must not be modified until they are written, so a caller whose context ended must not reuse
// their memory.
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
	case committed := <-results:
		return committed.positions, committed.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// AppendAsync appends the records and calls done once they are durable or the append has failed. done runs on the
// committer's goroutine; when the request is rejected (*QueueFullError, *ClosedError) it runs on the caller's goroutine
// before AppendAsync returns. done must not block.
func (c *GroupCommitter) AppendAsync(records [][]byte, done func([]Position, error)) {
	size := 0
	for _, record := range records {
		size += len(record)
	}
	if err := c.enqueue(commitRequest{records: records, bytes: size, done: done}); err != nil {
		done(nil, err)
	}
}

// BetweenBatches calls do on the committer's goroutine, and returns when do has. At that moment every record that was
// written to the log has been passed to its done, and no other one is written. The error is a *ClosedError.
//
// A copy of what the callers of AppendAsync keep of their records must be taken after such a moment if it is to cover
// the log: a record may be in the log, and even durable, before its done is called.
func (c *GroupCommitter) BetweenBatches(do func()) error {
	ended := make(chan struct{})
	err := c.enqueue(commitRequest{between: func() {
		defer close(ended)
		do()
	}})
	if err != nil {
		return err
	}
	<-ended
	return nil
}

// Rotate begins a new segment of the log between two batches and returns its number: every record of the segments
// before it has been passed to its done.
func (c *GroupCommitter) Rotate() (segment uint64, err error) {
	closed := c.BetweenBatches(func() { segment, err = c.log.Rotate() })
	if closed != nil {
		return 0, closed
	}
	return segment, err
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

// Close commits the queued requests and stops the goroutine.
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
		c.serve(requests)
		clear(requests)
		reusable = requests[:0]
	}
}

// takeQueue waits for requests and returns all of them, or none once the committer is closed and its queue is empty.
// The memory of reusable becomes the next queue.
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

// serve commits the requests in batches, which those of BetweenBatches separate.
func (c *GroupCommitter) serve(requests []commitRequest) {
	for len(requests) > 0 {
		batch := requests
		if at := slices.IndexFunc(requests, isBetween); at >= 0 {
			batch = requests[:at]
		}
		if len(batch) > 0 {
			c.commit(batch)
		}
		requests = requests[len(batch):]
		if len(requests) > 0 {
			requests[0].between()
			requests = requests[1:]
		}
	}
}

func isBetween(request commitRequest) bool { return request.between != nil }

// commit writes a batch, syncs the log and calls the callbacks.
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

// write appends the records of one request. If one of them has an invalid size, it writes none.
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
