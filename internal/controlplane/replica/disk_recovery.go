package replica

import (
	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/controlplane/replica/logstore"
	"github.com/rosestand/rosestand/internal/storage"
)

const (
	// reopenSpaceBytes is the room that a full disk must have again before its log is opened.
	reopenSpaceBytes = 1 << 20
	// otherFailuresOutlived is how many failures of the disk that are no lack of room a process outlives.
	maxNonSpaceFailures = 1
)

// run serves until the replica stops. When its disk was full, or once when a write failed otherwise, it opens the log again
// as after a crash: what was not synced was neither acknowledged nor promised, and the state machine keeps its state.
func (r *Replica) run() {
	defer r.finish()
	for {
		r.owner.run()
		failed := r.owner.failure
		if failed == nil {
			return
		}
		r.owner.close(&DiskUnavailableError{Cause: failed})
		if !r.recoverDisk(failed) {
			return
		}
	}
}

// end answers whoever waits when the replica has stopped.
func (r *Replica) finish() {
	close(r.stopped)
	if r.owner.failure == nil {
		r.owner.close(&StoppedError{})
	}
}

// recoverFrom opens the log again after a failure; it reports false when the replica stops.
func (r *Replica) recoverDisk(failed error) bool {
	for failed != nil {
		r.logWarning("the disk failed", "error", failed)
		if !r.recoverable(failed) {
			r.reportFatal(failed)
			return false
		}
		if !r.rejectRequests(failed) {
			return false
		}
		failed = r.reopenDisk()
	}
	r.logInfo("the log is open again")
	return true
}

// outlives decides whether the log is opened again after an error.
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

// refuseForAWhile refuses all requests for an election timeout; it reports false when the replica stops.
func (r *Replica) rejectRequests(cause error) bool {
	refusal := &DiskUnavailableError{Cause: cause}
	timer := r.options.Clock.NewTimer(r.options.ElectionTimeout)
	defer timer.Stop()
	for {
		select {
		case <-r.stop:
			return false
		case <-timer.C():
			return true
		case <-r.inbound:
			// The protocol repeats it.
		case refused := <-r.proposals:
			refused.done <- proposalResult{err: refusal}
		case refused := <-r.requests:
			refused.reject(refusal)
		}
	}
}

// reopen reads the folder as after a crash.
func (r *Replica) reopenDisk() error {
	if err := r.store.Close(); err != nil {
		r.logWarning("the failed log was closed with an error", "error", err)
	}
	if err := storage.CheckFreeSpace(r.options.Filesystem, r.options.Folder, reopenSpaceBytes); err != nil {
		return err
	}
	store, err := logstore.Open(r.options.Filesystem, r.options.Folder)
	if err != nil {
		return err
	}
	r.store = store
	former := r.owner.failure
	r.owner = owner{}
	if err := r.recoverState(); err != nil {
		r.owner.failure = former
		return err
	}
	return nil
}

// reportFatal tells the process that it must end.
func (r *Replica) reportFatal(err error) {
	if r.options.Logger != nil {
		r.options.Logger.Error("core storage failed", "error", err)
	}
	if r.options.OnFatal != nil {
		go r.options.OnFatal(err)
	}
}
