package ownership

import (
	"context"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/failure"
)

// authorityCheckInterval is the interval at which a drain checks whether this node still has authority.
const authorityCheckInterval = 100 * time.Millisecond

// Drain yields this node's sessions, each after its last turn is committed, and hands off its partition. It returns
// when both are done, or with the context's error. It also returns when this node has no authority, for example because
// no core is reachable: other nodes then treat the sessions and the partition as lost, and there is nothing left to
// hand off.
func (m *Manager) Drain(ctx context.Context) error {
	m.options.Link.SetDraining(true)
	drained := make(chan struct{})
	if !m.runAndWait(func(s *shell) { s.drain(drained) }) {
		return notRun(failure.NotReady, "the directory is not running")
	}
	ticker := time.NewTicker(authorityCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-drained:
			return nil
		case <-ticker.C:
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

// handOffTimedOut reports whether all sessions are yielded but the partition could not be handed off within
// HandOffTimeout. The owners register their sessions with other nodes once this process has ended.
func (s *shell) handOffTimedOut() bool {
	if s.directory.OwnedCount() > 0 {
		return false
	}
	if s.yieldedAllAt.IsZero() {
		s.yieldedAllAt = time.Now()
	}
	return time.Since(s.yieldedAllAt) >= s.manager.options.HandOffTimeout
}
