package wire

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
)

// Counters count the traffic of a pool or server, in bytes and frames.
type Counters struct {
	SentBytes     atomic.Uint64
	ReceivedBytes atomic.Uint64
	SentFrames    atomic.Uint64
	// SentFor and ReceivedFor are the bytes of frames by their purpose; sent ones count when they are queued.
	SentFor     purposeBytes
	ReceivedFor purposeBytes
	// RefusedFrames counts requests that found no memory; a pool has none.
	RefusedFrames atomic.Uint64
	// Panics counts handlers that panicked; a pool has none.
	Panics atomic.Uint64
}

// frameWriter queues the frames of all exchanges on a connection and writes
// all queued frames in one system call. The mutex guards pending, reusable and cause.
type frameWriter struct {
	connection net.Conn
	counters   *Counters

	mutex    sync.Mutex
	pending  []byte
	reusable []byte
	// queuedBytes and writtenBytes count what was queued and written since the beginning; written is closed at the next
	// change of writtenBytes or cause, and nil unless somebody waits for it.
	queuedBytes  uint64
	writtenBytes uint64
	written      chan struct{}
	// cause is returned by every write once fail was called; nil until then.
	cause  error
	notify chan struct{}
	// deadlineSetAt is when the write deadline was last set; only the writing goroutine uses it.
	deadlineSetAt time.Time
}

func newFrameWriter(connection net.Conn, counters *Counters) *frameWriter {
	return &frameWriter{connection: connection, counters: counters, notify: make(chan struct{}, 1)}
}

// write queues one frame. It fails if the connection is broken, or if the peer
// reads so slowly that more than maxPendingBytes are queued.
func (w *frameWriter) write(message proto.Message) error {
	_, err := w.writeSized(message)
	return err
}

// writeSized does the same and returns the size of the frame.
func (w *frameWriter) writeSized(message proto.Message) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.cause != nil {
		return 0, w.cause
	}
	if len(w.pending) > maxPendingBytes {
		return 0, &FrameError{Reason: "peer reads too slowly"}
	}
	extended, err := appendFrame(w.pending, message)
	if err != nil {
		return 0, err
	}
	size := len(extended) - len(w.pending)
	if frame, isFrame := message.(*protocol.Frame); isFrame {
		w.counters.SentFor.add(frame, size)
	}
	w.queuedBytes += uint64(size)
	w.pending = extended
	w.counters.SentFrames.Add(1)
	select {
	case w.notify <- struct{}{}:
	default:
	}
	return size, nil
}

// run writes until the connection fails or done is closed.
func (w *frameWriter) run(done <-chan struct{}) error {
	for {
		select {
		case <-done:
			return nil
		case <-w.notify:
		}
		if err := w.flush(); err != nil {
			return err
		}
	}
}

func (w *frameWriter) flush() error {
	w.mutex.Lock()
	batch := w.pending
	w.pending = w.reusable[:0]
	w.reusable = nil
	w.mutex.Unlock()
	if len(batch) > 0 {
		if now := time.Now(); now.Sub(w.deadlineSetAt) > deadlineRefresh {
			w.deadlineSetAt = now
			if err := w.connection.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
				return err
			}
		}
		if _, err := w.connection.Write(batch); err != nil {
			return err
		}
		w.counters.SentBytes.Add(uint64(len(batch)))
		w.recordWritten(len(batch))
	}
	if cap(batch) > maxReusedBufferBytes {
		return nil
	}
	w.mutex.Lock()
	w.reusable = batch
	w.mutex.Unlock()
	return nil
}

func (w *frameWriter) recordWritten(count int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.writtenBytes += uint64(count)
	w.wakeWaiters()
}

// wakeWaiters is called with the mutex held.
func (w *frameWriter) wakeWaiters() {
	if w.written != nil {
		close(w.written)
		w.written = nil
	}
}

// awaitWritten waits until all that is queued now was written, the connection broke or expired is closed.
func (w *frameWriter) awaitWritten(expired <-chan struct{}) {
	w.mutex.Lock()
	position := w.queuedBytes
	for w.writtenBytes < position && w.cause == nil {
		if w.written == nil {
			w.written = make(chan struct{})
		}
		written := w.written
		w.mutex.Unlock()
		select {
		case <-written:
		case <-expired:
			return
		}
		w.mutex.Lock()
	}
	w.mutex.Unlock()
}

// fail makes every later write return err.
func (w *frameWriter) fail(err error) {
	w.mutex.Lock()
	if w.cause == nil {
		w.cause = err
		w.wakeWaiters()
	}
	w.mutex.Unlock()
}

// countingReader counts the bytes read from a connection.
type countingReader struct {
	connection net.Conn
	counters   *Counters
}

// Read implements io.Reader.
func (r *countingReader) Read(buffer []byte) (int, error) {
	count, err := r.connection.Read(buffer)
	r.counters.ReceivedBytes.Add(uint64(count))
	return count, err
}
