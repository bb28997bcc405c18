package replica

import (
	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/controlplane/replica/logstore"
	"github.com/rosestand/rosestand/internal/storage"
)

const (
	// reopenSpaceBytes is the free space that a full disk must have before its log is reopened.
	reopenSpaceBytes = 1 << 20
	// maxNonSpaceFailures is the number of disk failures other than a full disk after which the log is
	// reopened; one more is fatal.
	maxNonSpaceFailures = 1
)

// run is the body of the owner goroutine: it serves requests until the replica stops or its storage fails
// permanently. After a full disk, and once after any other failed write, it reopens the log as after a crash.
// That is safe, since nothing is acknowledged before it is synced; the state machine keeps its state.
func (r *Replica) run() {
	defer r.finish()
	for {
		r.owner.run()
		failure := r.owner.failure
		if failure == nil {
			return
		}
		r.owner.close(&DiskUnavailableError{Cause: failure})
		if !r.recoverDisk(failure) {
			return
		}
	}
}

// finish marks the replica as stopped and fails the callers that still wait.
func (r *Replica) finish() {
	close(r.stopped)
	if r.owner.failure == nil {
		r.owner.close(&StoppedError{})
	}
}

// recoverDisk reopens the log after a failure, with an election timeout between attempts. It returns
// false when the replica stops.
func (r *Replica) recoverDisk(failure error) bool {
	for failure != nil {
		r.logWarning("disk failed", "error", failure)
		if !r.recoverable(failure) {
			r.reportFatal(failure)
			return false
		}
		if !r.rejectRequests(failure) {
			return false
		}
		failure = r.reopenDisk()
	}
	r.logInfo("log reopened")
	return true
}

// recoverable decides whether the log is reopened after an error; it counts failures other than a full
// disk.
func (r *Replica) recoverable(err error) bool {
	if storage.IsDiskFull(err) {
		return true
	}
	var failed *storage.FailedError
	if !errors.As(err, &failed) {
		return false
	}
	r.nonSpaceFailures++
	return r.nonSpaceFailures <= maxNonSpaceFailures
}

// rejectRequests rejects all requests for an election timeout. It returns false when the replica stops.
func (r *Replica) rejectRequests(cause error) bool {
	rejection := &DiskUnavailableError{Cause: cause}
	timer := r.options.Clock.NewTimer(r.options.ElectionTimeout)
	defer timer.Stop()
	for {
		select {
		case <-r.stop:
			return false
		case <-timer.C():
			return true
		case <-r.inbound:
			// The message is dropped: the consensus protocol resends what is still needed.
		case proposal := <-r.proposals:
			proposal.done <- proposalResult{err: rejection}
		case request := <-r.requests:
			request.reject(rejection)
		}
	}
}

// reopenDisk recovers the state from the data folder, as after a crash.
func (r *Replica) reopenDisk() error {
	if err := r.store.Close(); err != nil {
		r.logWarning("closing the failed log failed", "error", err)
	}
	if err := storage.CheckFreeSpace(r.options.Filesystem, r.options.Folder, reopenSpaceBytes); err != nil {
		return err
	}
	store, err := logstore.Open(r.options.Filesystem, r.options.Folder)
	if err != nil {
		return err
	}
	r.store = store
	formerFailure := r.owner.failure
	r.owner = ownerLoop{}
	if err := r.recoverState(); err != nil {
		r.owner.failure = formerFailure
		return err
	}
	return nil
}

// reportFatal logs a failure that the replica cannot recover from, and calls OnFatal so that the process ends.
func (r *Replica) reportFatal(err error) {
	if r.options.Logger != nil {
		r.options.Logger.Error("core storage failed", "error", err)
	}
	if r.options.OnFatal != nil {
		go r.options.OnFatal(err)
	}
}
