package store

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/datafolder"
	"github.com/rosestand/rosestand/internal/storage"
)

const (
	// reopenInterval is the pause between two attempts to open the folder of a store that failed.
	reopenInterval = time.Second
	// reopenSpaceBytes is the room that a full disk must have again before its folder is opened.
	reopenSpaceBytes = 1 << 20
	// otherFailuresOutlived is how many failures that are no lack of room a process outlives.
	otherFailuresOutlived = 1
)

// FolderOpener opens the folder of a store: at the start of the process and again after a failure.
type FolderOpener func() (*datafolder.Folder, error)

// Supervisor runs a Store and replaces it by a new one, read from the same folder as after a crash, when its disk was full, or
// once when a write failed otherwise. Meanwhile it answers that the store is unavailable, and the process goes on. What the
// failed store had not synced was never acknowledged.
type Supervisor struct {
	options Options
	open    FolderOpener
	fatal   func(error)
	// current is the store that serves; nil while there is none.
	current atomic.Pointer[Store]
	// otherFailures counts the failures that were no lack of room; it belongs to the goroutine of run.
	otherFailures int
	failures      chan error
	location      datafolder.Location

	ctx      context.Context
	cancel   context.CancelFunc
	routines sync.WaitGroup
	// running is the store to stop at the end; it belongs to the goroutine of run, and to Stop after that has ended.
	running *Store
}

// NewSupervisor makes the first store from the opened folder; open opens the folder again after a failure.
func NewSupervisor(options Options, folder *datafolder.Folder, open FolderOpener) (*Supervisor, error) {
	options.fill()
	options.Self.StorageId = folder.StorageID
	s := &Supervisor{
		options: options, open: open, fatal: options.Fatal, failures: make(chan error, 1),
		location: folder.Location,
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	first, err := s.build(folder)
	if err != nil {
		return nil, err
	}
	s.running = first
	return s, nil
}

// build makes a store that reports its failure here, once.
func (s *Supervisor) build(folder *datafolder.Folder) (*Store, error) {
	options := s.options
	options.Self = proto.CloneOf(s.options.Self)
	var built *Store
	options.Fatal = func(err error) { s.storeFailed(built, err) }
	built, err := New(options, folder)
	return built, err
}

// storeFailed takes a store out of service at once; run replaces it.
func (s *Supervisor) storeFailed(failed *Store, err error) {
	s.current.CompareAndSwap(failed, nil)
	select {
	case s.failures <- err:
	default:
	}
}

// Start sets the store to work. Subscribe ViewChanged to the core's views before.
func (s *Supervisor) Start() {
	s.serveBy(s.running)
	s.routines.Go(s.run)
}

// serveBy starts a store and puts it in service.
func (s *Supervisor) serveBy(store *Store) {
	s.current.Store(store)
	store.Start()
}

// Stop ends the store.
func (s *Supervisor) Stop() error {
	s.cancel()
	s.routines.Wait()
	s.current.Store(nil)
	if s.running == nil {
		return nil
	}
	return s.running.Stop()
}

func (s *Supervisor) run() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case err := <-s.failures:
			if !s.replace(err) {
				return
			}
		}
	}
}

// replace ends the failed store and puts a new one in service; it reports false when the process must end, or ends already.
func (s *Supervisor) replace(failed error) bool {
	if err := s.running.Stop(); err != nil {
		s.options.Logger.Warn("the failed store was closed with an error", "error", err)
	}
	s.running = nil
	for failed != nil {
		if !s.outlives(failed) {
			s.fatal(failed)
			return false
		}
		if !s.pause() {
			return false
		}
		failed = s.reopen()
	}
	s.options.Logger.Info("the store serves again")
	return true
}

// outlives decides whether the folder is opened again after an error.
func (s *Supervisor) outlives(err error) bool {
	if storage.IsDiskFull(err) {
		return true
	}
	var corrupt *storage.CorruptError
	var replaced *StorageReplacedError
	if errors.As(err, &corrupt) || errors.As(err, &replaced) {
		return false
	}
	s.otherFailures++
	return s.otherFailures <= otherFailuresOutlived
}

// pause waits before the next attempt; it reports false when the process ends.
func (s *Supervisor) pause() bool {
	passed := make(chan struct{})
	stop := s.options.Clock.AfterFunc(reopenInterval, func() { close(passed) })
	defer stop()
	select {
	case <-passed:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// reopen reads the folder as after a crash and serves from it.
func (s *Supervisor) reopen() error {
	if err := s.location.CheckFreeSpace(reopenSpaceBytes); err != nil {
		return err
	}
	folder, err := s.open()
	if err != nil {
		return err
	}
	if folder.StorageID != s.options.Self.GetStorageId() {
		return errors.CombineErrors(&StorageReplacedError{Cause: folder.Lost}, folder.Close())
	}
	anew, err := s.build(folder)
	if err != nil {
		return errors.CombineErrors(err, folder.Close())
	}
	s.running = anew
	s.serveBy(anew)
	return nil
}

// ViewChanged passes on that the core's view is another one; it does not wait.
func (s *Supervisor) ViewChanged() {
	if serving := s.current.Load(); serving != nil {
		serving.ViewChanged()
	}
}

// Serving reports whether a store answers at this moment.
func (s *Supervisor) Serving() bool { return s.current.Load() != nil }

// Serve implements wire.Handler.
func (s *Supervisor) Serve(ctx context.Context, request *protocol.Request, send func(*protocol.Response) error) error {
	if serving := s.current.Load(); serving != nil {
		return serving.Serve(ctx, request, send)
	}
	if response := s.answerWithoutStore(request); response != nil {
		return send(response)
	}
	return failure.New(failure.Unavailable, protocol.Outcome_NOT_RUN, "the store waits for its disk", failure.WithRetryAfter(retryAfter))
}

// answerWithoutStore answers what needs no data; nil to anything else.
func (s *Supervisor) answerWithoutStore(request *protocol.Request) *protocol.Response {
	switch request.GetBody().(type) {
	case *protocol.Request_StoreStatus:
		return &protocol.Response{Body: &protocol.Response_StoreStatus{StoreStatus: s.Status()}}
	case *protocol.Request_LocateCore:
		return &protocol.Response{Body: &protocol.Response_LocateCore{LocateCore: s.options.Core.LocateCore()}}
	default:
		return nil
	}
}

// Status is what the store tells operators about itself: its name only while it waits for its disk.
func (s *Supervisor) Status() *protocol.StoreStatusResponse {
	if serving := s.current.Load(); serving != nil {
		return serving.Status()
	}
	return &protocol.StoreStatusResponse{Name: s.options.Self.GetName(), StorageId: s.options.Self.GetStorageId()}
}
