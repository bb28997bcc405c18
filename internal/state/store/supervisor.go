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
	// reopenInterval is the wait before each attempt to reopen the folder of a store that failed.
	reopenInterval = time.Second
	// minFreeBytes is the free space that a full disk must have again before the folder is reopened.
	minFreeBytes = 1 << 20
	// maxOtherFailures is the number of failures other than a full disk that a process survives.
	maxOtherFailures = 1
)

// waitingForDiskReason is reported to callers and operators while no store is open.
const waitingForDiskReason = "the store waits for its disk"

// FolderOpener opens the folder of a store: at the start of the process and again after a failure.
type FolderOpener func() (*datafolder.Folder, error)

// Supervisor runs a Store. When the disk is full, or once after another failure of a write, it
// replaces the store by a new one that recovers from the same folder as after a crash. Meanwhile
// requests fail as unavailable, and the process continues. What the failed store had not synced
// was never acknowledged.
//
// run has a goroutine of its own; the exported methods may be called by any goroutine.
type Supervisor struct {
	options Options
	open    FolderOpener
	fatal   func(error)
	// current is the store that serves requests; nil while there is none.
	current atomic.Pointer[Store]
	// otherFailures is the number of failures other than a full disk; it belongs to the goroutine of run.
	otherFailures int
	// failures has the error of the store that failed, until run replaces that store.
	failures chan error
	location datafolder.Location

	ctx      context.Context
	cancel   context.CancelFunc
	routines sync.WaitGroup
	// running is the store that Stop must stop; it belongs to the goroutine of run, and to Stop once run has ended.
	running *Store
}

// NewSupervisor returns a supervisor whose first store uses the opened folder; open reopens the
// folder after a failure.
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

// build creates a store that reports its first failure to the supervisor.
func (s *Supervisor) build(folder *datafolder.Folder) (*Store, error) {
	options := s.options
	options.Self = proto.CloneOf(s.options.Self)
	var built *Store
	options.Fatal = func(err error) { s.handleFailure(built, err) }
	built, err := New(options, folder)
	return built, err
}

// handleFailure takes a store out of service immediately; run replaces it.
func (s *Supervisor) handleFailure(failed *Store, err error) {
	s.current.CompareAndSwap(failed, nil)
	select {
	case s.failures <- err:
	default:
	}
}

// Start puts the first store in service. Subscribe ViewChanged to the core's views first.
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

// replace stops the failed store and puts a new one in service. It returns false when the
// process must end, or is ending already.
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

// canReopenAfter reports whether the folder may be reopened after an error. It counts errors that maxOtherFailures
// limits.
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

// awaitReopen waits before the next attempt; it returns false when the process ends.
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

// reopen opens the folder as after a crash and puts a store on it in service.
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

// ViewChanged makes the store read the core's view again; it does not block.
func (s *Supervisor) ViewChanged() {
	if current := s.current.Load(); current != nil {
		current.ViewChanged()
	}
}

// Serving reports whether a store serves requests now.
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

// answerWithoutStore answers requests that need no data; it returns nil for all others.
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

// Status returns the status that the store reports to operators: only its name and storage id while no store is open.
func (s *Supervisor) Status() *protocol.StoreStatusResponse {
	if current := s.current.Load(); current != nil {
		return current.Status()
	}
	return &protocol.StoreStatusResponse{Name: s.options.Self.GetName(), StorageId: s.options.Self.GetStorageId()}
}
