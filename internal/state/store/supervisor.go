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
	// reopenInterval is the wait before each attempt to open the folder of a store that failed.
	reopenInterval = time.Second
	// minFreeBytes is the free space that a full disk must have again before its folder is opened.
	minFreeBytes = 1 << 20
	// maxOtherFailures is how many failures other than a full disk a process survives.
	maxOtherFailures = 1
)

// waitingForDiskReason is what callers and operators are shown while there is no store.
const waitingForDiskReason = "the store waits for its disk"

// FolderOpener opens the folder of a store: at the start of the process and again after a failure.
type FolderOpener func() (*datafolder.Folder, error)

// Supervisor runs a Store and replaces it by a new one, read from the same folder as after a
// crash, when its disk was full, or once when a write failed otherwise. Meanwhile it answers
// that the store is unavailable, and the process continues. What the failed store had not
// synced was never acknowledged.
//
// Its goroutine is that of run; other methods may be called by any goroutine.
type Supervisor struct {
	options Options
	open    FolderOpener
	fatal   func(error)
	// current is the store that serves; nil while there is none.
	current atomic.Pointer[Store]
	// otherFailures counts the failures other than a full disk; it belongs to the goroutine of run.
	otherFailures int
	// failures has the error of the store that failed, until run replaces that store.
	failures chan error
	location datafolder.Location

	ctx      context.Context
	cancel   context.CancelFunc
	routines sync.WaitGroup
	// running is the store to stop at the end; it belongs to the goroutine of run, and to Stop after that has ended.
	running *Store
}

// NewSupervisor returns a supervisor whose first store uses the opened folder; open opens the
// folder again after a failure.
func NewSupervisor(options Options, folder *datafolder.Folder, open FolderOpener) (*Supervisor, error) {
	options.applyDefaults()
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

// build makes a store that reports its first failure to the supervisor.
func (s *Supervisor) build(folder *datafolder.Folder) (*Store, error) {
	options := s.options
	options.Self = proto.CloneOf(s.options.Self)
	var built *Store
	options.Fatal = func(err error) { s.handleFailure(built, err) }
	built, err := New(options, folder)
	return built, err
}

// handleFailure takes a store out of service at once; run replaces it.
func (s *Supervisor) handleFailure(failed *Store, err error) {
	s.current.CompareAndSwap(failed, nil)
	select {
	case s.failures <- err:
	default:
	}
}

// Start puts the first store in service. Subscribe ViewChanged to the core's views before.
func (s *Supervisor) Start() {
	s.serveFrom(s.running)
	s.routines.Go(s.run)
}

// serveFrom starts a store and puts it in service.
func (s *Supervisor) serveFrom(store *Store) {
	s.current.Store(store)
	store.Start()
}

// Stop ends the store and the supervisor's goroutine.
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

// replace ends the failed store and puts a new one in service; it reports false when the
// process must end, or ends already.
func (s *Supervisor) replace(failed error) bool {
	if err := s.running.Stop(); err != nil {
		s.options.Logger.Warn("failed store closed with an error", "error", err)
	}
	s.running = nil
	for failed != nil {
		if !s.canReopenAfter(failed) {
			s.fatal(failed)
			return false
		}
		if !s.awaitReopen() {
			return false
		}
		failed = s.reopen()
	}
	s.options.Logger.Info("store reopened")
	return true
}

// canReopenAfter decides whether the folder is opened again after an error.
func (s *Supervisor) canReopenAfter(err error) bool {
	if storage.IsDiskFull(err) {
		return true
	}
	var corrupt *storage.CorruptError
	var replaced *StorageReplacedError
	if errors.As(err, &corrupt) || errors.As(err, &replaced) {
		return false
	}
	s.otherFailures++
	return s.otherFailures <= maxOtherFailures
}

// awaitReopen waits before the next attempt; it reports false when the process ends.
func (s *Supervisor) awaitReopen() bool {
	elapsed := make(chan struct{})
	stop := s.options.Clock.AfterFunc(reopenInterval, func() { close(elapsed) })
	defer stop()
	select {
	case <-elapsed:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// reopen reads the folder as after a crash and serves from it.
func (s *Supervisor) reopen() error {
	if err := s.location.CheckFreeSpace(minFreeBytes); err != nil {
		return err
	}
	folder, err := s.open()
	if err != nil {
		return err
	}
	if folder.StorageID != s.options.Self.GetStorageId() {
		return errors.CombineErrors(&StorageReplacedError{Cause: folder.Lost}, folder.Close())
	}
	replacement, err := s.build(folder)
	if err != nil {
		return errors.CombineErrors(err, folder.Close())
	}
	s.running = replacement
	s.serveFrom(replacement)
	return nil
}

// ViewChanged makes the store read the core's view again; it does not wait.
func (s *Supervisor) ViewChanged() {
	if current := s.current.Load(); current != nil {
		current.ViewChanged()
	}
}

// Serving reports whether a store answers at this moment.
func (s *Supervisor) Serving() bool { return s.current.Load() != nil }

// Serve implements wire.Handler.
func (s *Supervisor) Serve(ctx context.Context, request *protocol.Request, send func(*protocol.Response) error) error {
	if current := s.current.Load(); current != nil {
		return current.Serve(ctx, request, send)
	}
	if response := s.answerWithoutStore(request); response != nil {
		return send(response)
	}
	return failure.New(failure.Unavailable, protocol.Outcome_NOT_RUN, waitingForDiskReason,
		failure.WithRetryAfter(retryAfter))
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

// Status is what the store reports to operators of itself: its name only while it waits for its disk.
func (s *Supervisor) Status() *protocol.StoreStatusResponse {
	if current := s.current.Load(); current != nil {
		return current.Status()
	}
	return &protocol.StoreStatusResponse{Name: s.options.Self.GetName(), StorageId: s.options.Self.GetStorageId()}
}
