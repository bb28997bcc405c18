package ownership

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/failure"
)

// authorityCheckInterval is how often a drain checks whether authority has ended.
const authorityCheckInterval = 100 * time.Millisecond

// Drain yields this node's sessions, each after its last turn is committed, and
// hands off its partition. It returns when both are done, or with the context's
// error. Without authority there is nothing left to hand off, since other nodes treat the
// sessions and the partition as lost; so Drain returns then, too, as when no core
// answers any more.
func (m *Manager) Drain(ctx context.Context) error {
	m.options.Link.SetDraining(true)
	drained := make(chan struct{})
	if !m.runAndWait(func(s *shell) { s.drain(drained) }) {
		return notRun(failure.NotReady, "the directory is not running")
	}
	watch := time.NewTicker(authorityCheckInterval)
	defer watch.Stop()
	for {
		select {
		case <-drained:
			return nil
		case <-watch.C:
			if !m.options.Link.Authority().Valid() {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		case <-m.done:
			return notRun(failure.NotReady, "the directory is not running")
		}
	}
}

func (s *shell) drain(drained chan struct{}) {
	s.drainWaiters = append(s.drainWaiters, drained)
	s.handle(directory.DrainBegun{})
	s.checkDrained()
}

func (s *shell) checkDrained() {
	if len(s.drainWaiters) == 0 || !s.directory.Drained() && !s.handOffTimedOut() {
		return
	}
	for _, drained := range s.drainWaiters {
		close(drained)
	}
	s.drainWaiters = nil
}

// handOffTimedOut reports whether the sessions are yielded and the partition
// could not be handed off in time. The owners register their sessions elsewhere once this process has ended.
func (s *shell) handOffTimedOut() bool {
	if s.directory.OwnedCount() > 0 {
		return false
	}
	if s.yieldedAllAt.IsZero() {
		s.yieldedAllAt = time.Now()
	}
	return time.Since(s.yieldedAllAt) >= s.manager.options.HandOffTimeout
}
